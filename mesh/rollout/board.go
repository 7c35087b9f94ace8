package rollout

// This file holds the states that a node knows, and passes them on.

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caroblift.dev/wire"
)

const (
	maxServices     = 256 // states that are kept
	maxBeatRollouts = 8   // states in one message, some 150 bytes each
)

// Board holds the states of the roll-outs that a node knows. It implements
// member.Rollouts. Its methods may be called concurrently.
type Board struct {
	known    atomic.Bool
	snapshot atomic.Pointer[map[string]*State] // replaced at each change but of Heard, Rate and Load
	news     chan struct{}

	mu      sync.Mutex
	states  map[string]State
	changed map[string]bool // since the last News
	rotated string          // last service of an ended roll-out in a heartbeat
}

// NewBoard returns a board without states.
func NewBoard() *Board {
	b := &Board{news: make(chan struct{}, 1), states: map[string]State{}, changed: map[string]bool{}}
	b.snapshot.Store(&map[string]*State{})
	return b
}

// Known reports whether the node knows all roll-outs that were written before it started.
func (b *Board) Known() bool { return b.known.Load() }

// MarkKnown records that the node has read all roll-outs.
func (b *Board) MarkKnown() { b.known.Store(true) }

// Snapshot identifies the states; it changes with them. A nil board has none.
func (b *Board) Snapshot() *map[string]*State {
	if b == nil {
		return nil
	}
	return b.snapshot.Load()
}

// Get returns the state of a service, and false if there is none.
func (b *Board) Get(service string) (State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[service]
	return s, ok
}

// All returns all states in the order of their services.
func (b *Board) All() []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []State
	for _, service := range slices.Sorted(maps.Keys(b.states)) {
		out = append(out, b.states[service])
	}
	return out
}

// Put takes a state from a message or from the store. A state with a lower number than the
// known one is ignored. It reports whether anything but Heard, Rate and Load has changed.
func (b *Board) Put(s State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.states[s.Service]
	switch {
	case ok && s.Number < old.Number, !ok && len(b.states) >= maxServices:
		return false
	case ok && s.Number == old.Number:
		if s.Heard.After(old.Heard) {
			old.Heard, old.Rate, old.Load = s.Heard, s.Rate, s.Load
		}
		changed := s.Halted && !old.Halted
		old.Halted = old.Halted || s.Halted
		b.states[s.Service] = old
		if changed {
			b.publish(s.Service)
		}
		return changed
	}
	b.states[s.Service] = s
	b.publish(s.Service)
	return true
}

// Confirm records that the leader, which is this node, stands by a state.
func (b *Board) Confirm(service string, number uint64, rate, load float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.states[service]; ok && s.Number == number {
		s.Heard, s.Rate, s.Load = now, rate, load
		b.states[service] = s
	}
}

// publish makes a change visible and passes it on. The caller holds b.mu.
func (b *Board) publish(service string) {
	all := make(map[string]*State, len(b.states))
	for name, s := range b.states {
		all[name] = &s
	}
	b.snapshot.Store(&all)
	b.changed[service] = true
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// NewsReady returns a channel that receives when there are news.
func (b *Board) NewsReady() <-chan struct{} { return b.news }

// News returns the states that changed since they were last returned, or nil.
func (b *Board) News(now time.Time) *wire.RolloutNews {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.changed) == 0 {
		return nil
	}
	out := &wire.RolloutNews{Known: b.known.Load()}
	for _, service := range slices.Sorted(maps.Keys(b.changed)) {
		if len(out.Rollouts) == maxBeatRollouts {
			break
		}
		delete(b.changed, service)
		out.Rollouts = append(out.Rollouts, encodeState(b.states[service], now))
	}
	return out
}

// Current returns the states for a heartbeat: those of roll-outs under way, and one of the
// others after another, for nodes that were cut off. It returns nil if there are none, unless
// the node does not know all of them yet.
func (b *Board) Current(now time.Time) *wire.RolloutNews {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &wire.RolloutNews{Known: b.known.Load()}
	if len(b.states) == 0 && out.Known {
		return nil
	}
	var ended []string
	for _, service := range slices.Sorted(maps.Keys(b.states)) {
		switch s := b.states[service]; {
		case !s.Phase.Active():
			ended = append(ended, service)
		case len(out.Rollouts) < maxBeatRollouts-1:
			out.Rollouts = append(out.Rollouts, encodeState(s, now))
		}
	}
	if len(ended) > 0 {
		next, _ := slices.BinarySearch(ended, b.rotated+"\x00")
		b.rotated = ended[next%len(ended)]
		out.Rollouts = append(out.Rollouts, encodeState(b.states[b.rotated], now))
	}
	return out
}

// Answer returns the state of a service, for a gate that sent its counts.
func (b *Board) Answer(service string, now time.Time) *wire.RolloutNews {
	s, ok := b.Get(service)
	if !ok {
		return nil
	}
	return &wire.RolloutNews{Known: b.known.Load(), Rollouts: []*wire.Rollout{encodeState(s, now)}}
}

// Complete returns all states, for a node that joins.
func (b *Board) Complete(now time.Time) *wire.RolloutNews {
	out := &wire.RolloutNews{Known: b.known.Load()}
	for _, s := range b.All() {
		out.Rollouts = append(out.Rollouts, encodeState(s, now))
	}
	return out
}

// Merge takes the states in a message. complete means that they are all that the sender has.
func (b *Board) Merge(now time.Time, news *wire.RolloutNews, complete bool) {
	all := news.GetRollouts()
	for _, m := range all[:min(len(all), maxServices)] {
		if s, ok := decodeState(m, now); ok {
			b.Put(s)
		}
	}
	if complete && news.GetKnown() {
		b.MarkKnown()
	}
}
