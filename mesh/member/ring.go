package member

// This file chooses whom a node sends heartbeats and news to.

import (
	"math/bits"

	"caroblift.dev/wire"
)

// The members are ordered on several rings by different hashes of their names.
// A node watches its successor on each: a few in its own failure domain and a
// few anywhere. Each ring alone reaches everyone, and their union has a
// diameter that grows with the logarithm of the fleet.
const (
	nearRings = 3
	farRings  = 2
	maxPassed = 3 // silent members that are watched in front of a successor
)

// Neighbours are those that a node sends to.
type Neighbours struct {
	Alive  []string // get heartbeats and news
	Silent []string // suspect members that are asked whether they are back
}

// place returns the position of a member on a ring.
func place(hash uint64, ring int) uint64 {
	hi, lo := bits.Mul64(hash^uint64(ring+1)*0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return hi ^ lo
}

// step is a member on the way along a ring.
type step struct {
	name     string
	distance uint64
}

// Neighbours returns whom the own node sends to.
func (t *Table) Neighbours(avoid func(*entry) bool) Neighbours {
	var n Neighbours
	seen := map[string]bool{t.self.GetName(): true}
	self := hashName(t.self.GetName())
	for ring := range nearRings + farRings {
		next, passed := t.successor(self, ring, seen, avoid)
		for _, s := range passed {
			if !seen[s.name] {
				seen[s.name] = true
				n.Silent = append(n.Silent, s.name)
			}
		}
		if next.name != "" {
			seen[next.name] = true
			n.Alive = append(n.Alive, next.name)
		}
	}
	return n
}

// successor walks a ring to the next member that answers and that no earlier
// ring gave, and returns the silent ones in between, the nearest first.
func (t *Table) successor(self uint64, ring int, seen map[string]bool, avoid func(*entry) bool) (step, []step) {
	from := place(self, ring)
	var next step
	var passed []step
	for i, e := range t.list {
		if ring < nearRings && e.member.GetDomain() != t.self.GetDomain() {
			continue
		}
		s := step{t.names[i], place(e.hash, ring) - from}
		if next.name != "" && s.distance >= next.distance || seen[s.name] {
			continue
		}
		if e.state() == wire.State_STATE_SUSPECT || avoid(e) {
			passed = insert(passed, s)
		} else {
			next = s
		}
	}
	if next.name != "" {
		for len(passed) > 0 && passed[len(passed)-1].distance > next.distance {
			passed = passed[:len(passed)-1]
		}
	}
	return next, passed
}

// insert keeps the nearest few steps in order.
func insert(steps []step, s step) []step {
	i := len(steps)
	for i > 0 && steps[i-1].distance > s.distance {
		i--
	}
	if i >= maxPassed {
		return steps
	}
	if len(steps) < maxPassed {
		steps = append(steps, step{})
	}
	copy(steps[i+1:], steps[i:])
	steps[i] = s
	return steps
}
