package call

// This file selects an instance of a service: one in the node's own failure
// domain first, one in another failure domain when those are busy, and an ejected
// one only if there is no other.

import (
	"slices"
	"sync"
	"time"
)

const (
	spillUtilization = 0.75 // utilization of the near instance from which far ones are considered
	spillMargin      = 0.25 // how much lower the utilization of the far instance must be
)

// Balancer selects among the instances of one service that an entry node uses.
// Near and Far don't change. Its methods may be called concurrently.
type Balancer struct {
	Near []*Instance // in the same failure domain as the node
	Far  []*Instance // in other failure domains

	mu sync.Mutex // serializes ejections, so that their limit holds
}

// Len returns the number of instances.
func (b *Balancer) Len() int { return len(b.Near) + len(b.Far) }

// Slots returns the slots of all instances, as announced or last reported.
func (b *Balancer) Slots() int {
	slots := 0
	for _, from := range [][]*Instance{b.Near, b.Far} {
		for _, i := range from {
			slots += int(i.slots.Load())
		}
	}
	return slots
}

// Has reports whether an instance is one of the balancer's.
func (b *Balancer) Has(i *Instance) bool {
	return slices.Contains(b.Near, i) || slices.Contains(b.Far, i)
}

// Tallies returns the sums of the tallies that the instances reported of late, and how
// many of them did.
func (b *Balancer) Tallies(now time.Time) (sums []Tally, reported int) {
	for _, from := range [][]*Instance{b.Near, b.Far} {
		for _, i := range from {
			if r := i.tallies.Load(); r != nil && now.Sub(r.at) <= maxTallyAge {
				sums = AddTallies(sums, r.tallies)
				reported++
			}
		}
	}
	return sums, reported
}

// pickBufferSize is the number of candidates that a pick holds without a heap
// allocation.
const pickBufferSize = 32

// Pick returns an instance that is not in tried, or nil if there is none. It
// returns an ejected instance only if there is no other.
func (b *Balancer) Pick(p Policy, tried []*Instance, now time.Time, rand Rand) *Instance {
	near := pickAvailable(p, b.Near, tried, now, rand)
	if near != nil && near.Utilization(now) < spillUtilization {
		return near
	}
	far := pickAvailable(p, b.Far, tried, now, rand)
	switch {
	case near == nil && far == nil:
		return b.anyUntried(tried)
	case near == nil:
		return far
	case far != nil && far.Utilization(now)+spillMargin < near.Utilization(now):
		return far
	}
	return near
}

// pickAvailable applies a policy to the instances that are neither tried nor
// ejected. It returns nil if there are none.
func pickAvailable(p Policy, from, tried []*Instance, now time.Time, rand Rand) *Instance {
	var buffer [pickBufferSize]*Instance
	candidates := buffer[:0]
	for _, i := range from {
		if !i.Ejected(now) && !slices.Contains(tried, i) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return p.Pick(candidates, now, rand)
}

// anyUntried returns the first instance that is not in tried, ejected or not, or
// nil.
func (b *Balancer) anyUntried(tried []*Instance) *Instance {
	for _, from := range [][]*Instance{b.Near, b.Far} {
		for _, i := range from {
			if !slices.Contains(tried, i) {
				return i
			}
		}
	}
	return nil
}

// RecordResult records the result of an attempt at an instance and reports
// whether it ejected the instance for its failures. At most half of the
// instances are ejected at a time, so that a service never loses all of them.
func (b *Balancer) RecordResult(i *Instance, good bool, now time.Time) bool {
	if good {
		i.recordSuccess(now)
		return false
	}
	if !i.recordFailure(now) || i.Ejected(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if 2*(b.ejectedCount(now)+1) > len(b.Near)+len(b.Far) {
		return false
	}
	i.eject(now)
	return true
}

// ejectedCount returns the number of instances that are ejected now.
func (b *Balancer) ejectedCount(now time.Time) int {
	n := 0
	for _, from := range [][]*Instance{b.Near, b.Far} {
		for _, i := range from {
			if i.Ejected(now) {
				n++
			}
		}
	}
	return n
}
