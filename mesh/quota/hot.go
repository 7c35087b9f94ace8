package quota

// This file selects the workspaces whose totals all nodes get.

import (
	"maps"
	"slices"
	"time"
)

const (
	// hotTime is how long a workspace stays on the list after it was last noted.
	hotTime = 3 * time.Second
	// hotInterval is the shortest interval at which the list is renewed between two ticks.
	hotInterval = 100 * time.Millisecond
	// hotBasis is the age of the totals with which an increase is compared, at least.
	hotBasis = 500 * time.Millisecond
)

// hotList lists the workspaces with refused calls, and those whose calls increase beyond
// chance. Nodes without recent calls of such a workspace need its total as well, since
// otherwise each of them would admit its next calls with full headroom.
type hotList struct {
	until         map[uint64]time.Duration
	notedAt       time.Duration
	basis, recent map[uint64]counts // earlier totals; basis are the older ones
	recentAt      time.Duration
}

// due reports whether hotInterval has passed since the last call that reported so.
func (h *hotList) due(at time.Duration) bool {
	if at-h.notedAt < hotInterval {
		return false
	}
	h.notedAt = at
	return true
}

// note lists a workspace if its total requires it.
func (h *hotList) note(id uint64, c counts, at time.Duration) {
	if c.tight() || h.basis != nil && growth(c.offered, h.basis[id].offered) > 1 {
		h.keep(id, at)
	}
}

func (h *hotList) keep(id uint64, at time.Duration) { h.until[id] = at + hotTime }

// finish removes what was not noted recently and keeps the totals for comparison.
func (h *hotList) finish(totals map[uint64]counts, at time.Duration) {
	maps.DeleteFunc(h.until, func(_ uint64, until time.Duration) bool { return at > until })
	if at-h.recentAt >= hotBasis {
		h.basis, h.recent, h.recentAt = h.recent, maps.Clone(totals), at
	}
}

// add returns the given workspaces and those on the list.
func (h *hotList) add(ids []uint64) []uint64 {
	return slices.AppendSeq(slices.Clone(ids), maps.Keys(h.until))
}
