package store

// This file keeps the era of the platform, as seen by all clients of one node.

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/telemetry"
)

// ErrOldEra reports an answer from an era before one in which the platform has
// already answered: it was on its way while the platform came back from an older
// copy, and what it says may be gone.
var ErrOldEra = errors.New("answer is from before the platform came back from an older copy")

// Eras keeps the latest era in which the platform answered this node. All clients
// of a node share it, so that a late answer on one connection is recognized by
// what another has received. It may be used from several goroutines. A nil Eras
// stands for a platform without eras.
type Eras struct {
	sinks telemetry.Sinks

	mu    sync.Mutex
	known bool
	state EraState
	heard time.Time     // when the platform last answered
	rose  chan struct{} // closed and replaced at each rise
}

// EraState is the era of the platform and its history as seen by one node.
type EraState struct {
	Current  uint64
	Previous uint64 // the era before the last rise; equal to Current if none was seen
	Rises    uint64 // number of rises seen
}

// NewEras returns an Eras for a node that has not reached the platform yet.
func NewEras(sinks telemetry.Sinks) *Eras {
	return &Eras{sinks: sinks.WithDefaults(), rose: make(chan struct{})}
}

// Observe records that an answer is of the given era. It returns ErrOldEra if an
// answer of a later era has been seen before. A rise is logged and counted; the
// first answer is not a rise.
func (e *Eras) Observe(era uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = time.Now()
	switch {
	case !e.known:
		e.known, e.state = true, EraState{Current: era, Previous: era}
		e.report()
	case era < e.state.Current:
		return errors.Wrapf(ErrOldEra, "era %d, seen %d", era, e.state.Current)
	case era > e.state.Current:
		e.state = EraState{Current: era, Previous: e.state.Current, Rises: e.state.Rises + 1}
		e.sinks.Log.Warn("platform came back from an older copy", "era", era, "before", e.state.Previous)
		e.report()
		close(e.rose)
		e.rose = make(chan struct{})
	}
	return nil
}

// report sets the gauges of the era and of the one before the last rise. The
// caller holds e.mu.
func (e *Eras) report() {
	e.sinks.Scope.Tagged(map[string]string{"which": "current"}).Gauge("era").Update(float64(e.state.Current))
	e.sinks.Scope.Tagged(map[string]string{"which": "previous"}).Gauge("era").Update(float64(e.state.Previous))
}

// SinceHeard returns how long ago the platform last answered this node.
func (e *Eras) SinceHeard() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.heard)
}

// State returns the era and its history.
func (e *Eras) State() EraState {
	if e == nil {
		return EraState{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Rose returns a channel that is closed when the era next rises.
func (e *Eras) Rose() <-chan struct{} {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rose
}
