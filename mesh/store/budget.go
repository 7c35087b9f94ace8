package store

// This file limits one node's calls to the platform to its share of the fleet's
// rates.

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Calls per second that the whole fleet may make; less than the platform's
// limits.
const (
	FleetReadsPerSecond  = 1600
	FleetWritesPerSecond = 320
)

// minBurst is the least burst size in calls, enough for an operator's few
// interactive requests. Reads have a burst of 1 until the node knows the fleet.
const minBurst = 8

// BudgetConfig configures a Budget. Every field is required.
type BudgetConfig struct {
	Nodes       func() int  // number of nodes in the fleet, as known to this node
	ActiveNodes func() int  // number of nodes that read or publish, as known to this node
	Active      func() bool // whether this node is one of them
	FleetKnown  func() bool // whether this node knows the members of the fleet
}

// Budget is a node's share of the platform's rates, enforced by token buckets.
// One half of the rates is divided among all nodes, the other among those that
// read or publish. The share shrinks as the node learns of more nodes.
type Budget struct {
	config  BudgetConfig
	reads   *rate.Limiter
	writes  *rate.Limiter
	refused atomic.Uint64
}

// NewBudget returns a budget whose limits follow the fleet size in config.
func NewBudget(config BudgetConfig) *Budget {
	b := &Budget{config: config, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, minBurst)}
	b.updateLimits()
	return b
}

// Refused returns the number of calls that the budget has refused so far.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// Rates returns the reads and writes per second that the node may make now.
func (b *Budget) Rates() (reads, writes float64) {
	share := 0.5 / float64(max(1, b.config.Nodes()))
	if b.config.Active() {
		share += 0.5 / float64(max(1, b.config.ActiveNodes()))
	}
	return FleetReadsPerSecond * share, FleetWritesPerSecond * share
}

// updateLimits adjusts the rates and bursts to the present fleet size.
func (b *Budget) updateLimits() {
	reads, writes := b.Rates()
	for _, l := range []struct {
		limiter *rate.Limiter
		rate    float64
	}{{b.reads, reads}, {b.writes, writes}} {
		l.limiter.SetLimit(rate.Limit(l.rate))
		burst := max(minBurst, int(l.rate))
		if l.limiter == b.reads && !b.config.FleetKnown() {
			burst = 1
		}
		l.limiter.SetBurst(burst)
	}
}

// take consumes one token, or returns a RateLimitError without consuming any.
func (b *Budget) take(limiter *rate.Limiter) error {
	b.updateLimits()
	r := limiter.Reserve()
	wait := r.Delay()
	if wait <= 0 {
		return nil
	}
	r.Cancel()
	b.refused.Add(1)
	return &RateLimitError{RetryAfter: min(wait, maxBudgetWait)}
}

// maxBudgetWait bounds the wait in a refusal: the node's share may grow, so a
// longer wait would be out of date.
const maxBudgetWait = time.Second

// Wrap returns a store whose calls are charged to the budget. A call that exceeds
// it returns a RateLimitError and does not reach the platform.
func (b *Budget) Wrap(s Store) Store { return &budgetedStore{store: s, budget: b} }

// budgetedStore charges each call to a budget before it passes it on.
type budgetedStore struct {
	store  Store
	budget *Budget
}

// Get implements Store.
func (s *budgetedStore) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := s.budget.take(s.budget.reads); err != nil {
		return Object{}, err
	}
	return s.store.Get(ctx, kind, name)
}

// List implements Store.
func (s *budgetedStore) List(ctx context.Context, kind, after string) ([]Object, Version, bool, error) {
	if err := s.budget.take(s.budget.reads); err != nil {
		return nil, Version{}, false, err
	}
	return s.store.List(ctx, kind, after)
}

// Watch implements Store.
func (s *budgetedStore) Watch(ctx context.Context, kind string, version Version, wait time.Duration) ([]Object, Version, error) {
	if err := s.budget.take(s.budget.reads); err != nil {
		return nil, Version{}, err
	}
	return s.store.Watch(ctx, kind, version, wait)
}

// Create implements Store.
func (s *budgetedStore) Create(ctx context.Context, kind, name string, body []byte) (Object, error) {
	if err := s.budget.take(s.budget.writes); err != nil {
		return Object{}, err
	}
	return s.store.Create(ctx, kind, name, body)
}

// Update implements Store.
func (s *budgetedStore) Update(ctx context.Context, kind, name string, version Version, body []byte) (Object, error) {
	if err := s.budget.take(s.budget.writes); err != nil {
		return Object{}, err
	}
	return s.store.Update(ctx, kind, name, version, body)
}

// Delete implements Store.
func (s *budgetedStore) Delete(ctx context.Context, kind, name string, version Version) error {
	if err := s.budget.take(s.budget.writes); err != nil {
		return err
	}
	return s.store.Delete(ctx, kind, name, version)
}
