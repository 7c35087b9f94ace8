package store

// This file keeps one node's calls to the platform inside its share of the
// fleet's rates.

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The part of the platform's rates that the fleet uses, per second.
const (
	FleetReads  = 1600
	FleetWrites = 320
)

// minBurst is the number of calls that a node may make at once, an operator's
// handful; until the node knows the fleet it is one read.
const minBurst = 8

// BudgetConfig configures a Budget. Every field is required.
type BudgetConfig struct {
	Nodes  func() int  // nodes of the fleet, as far as this one knows
	Duties func() int  // nodes that read or publish, as far as this one knows
	OnDuty func() bool // whether this node is one of them
	Known  func() bool // whether this node knows the fleet
}

// Budget is a node's share of the platform's rates: one half is shared by all
// nodes alike, the other by those that read or publish. It shrinks as the node
// learns of more nodes.
type Budget struct {
	config  BudgetConfig
	reads   *rate.Limiter
	writes  *rate.Limiter
	refused atomic.Uint64
}

// NewBudget returns a budget.
func NewBudget(config BudgetConfig) *Budget {
	b := &Budget{config: config, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, minBurst)}
	b.resize()
	return b
}

// Refused returns the number of calls that the budget refused so far.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// Share returns the reads and writes a second that the node may make now.
func (b *Budget) Share() (reads, writes float64) {
	share := 0.5 / float64(max(1, b.config.Nodes()))
	if b.config.OnDuty() {
		share += 0.5 / float64(max(1, b.config.Duties()))
	}
	return FleetReads * share, FleetWrites * share
}

// resize fits the limits to the fleet.
func (b *Budget) resize() {
	reads, writes := b.Share()
	for _, l := range []struct {
		limiter *rate.Limiter
		rate    float64
	}{{b.reads, reads}, {b.writes, writes}} {
		l.limiter.SetLimit(rate.Limit(l.rate))
		burst := max(minBurst, int(l.rate))
		if l.limiter == b.reads && !b.config.Known() {
			burst = 1
		}
		l.limiter.SetBurst(burst)
	}
}

// take uses up one call, or returns a BusyError.
func (b *Budget) take(limiter *rate.Limiter) error {
	b.resize()
	r := limiter.Reserve()
	wait := r.Delay()
	if wait <= 0 {
		return nil
	}
	r.Cancel()
	b.refused.Add(1)
	return &BusyError{After: min(wait, maxBudgetWait)}
}

// maxBudgetWait bounds the wait that a refusal names, since the share may grow.
const maxBudgetWait = time.Second

// Wrap returns a store whose calls come out of the budget. A call beyond it
// returns a BusyError and does not reach the platform.
func (b *Budget) Wrap(s Store) Store { return &budgeted{store: s, budget: b} }

// budgeted is a store under a budget.
type budgeted struct {
	store  Store
	budget *Budget
}

// Get implements Store.
func (s *budgeted) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := s.budget.take(s.budget.reads); err != nil {
		return Object{}, err
	}
	return s.store.Get(ctx, kind, name)
}

// List implements Store.
func (s *budgeted) List(ctx context.Context, kind, after string) ([]Object, uint64, bool, error) {
	if err := s.budget.take(s.budget.reads); err != nil {
		return nil, 0, false, err
	}
	return s.store.List(ctx, kind, after)
}

// Watch implements Store.
func (s *budgeted) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]Object, uint64, error) {
	if err := s.budget.take(s.budget.reads); err != nil {
		return nil, 0, err
	}
	return s.store.Watch(ctx, kind, version, wait)
}

// Create implements Store.
func (s *budgeted) Create(ctx context.Context, kind, name string, body []byte) (Object, error) {
	if err := s.budget.take(s.budget.writes); err != nil {
		return Object{}, err
	}
	return s.store.Create(ctx, kind, name, body)
}

// Update implements Store.
func (s *budgeted) Update(ctx context.Context, kind, name string, version uint64, body []byte) (Object, error) {
	if err := s.budget.take(s.budget.writes); err != nil {
		return Object{}, err
	}
	return s.store.Update(ctx, kind, name, version, body)
}

// Delete implements Store.
func (s *budgeted) Delete(ctx context.Context, kind, name string, version uint64) error {
	if err := s.budget.take(s.budget.writes); err != nil {
		return err
	}
	return s.store.Delete(ctx, kind, name, version)
}
