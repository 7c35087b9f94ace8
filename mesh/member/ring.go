package member

// This file chooses the members that a node sends heartbeats and gossip to.

import (
	"math/bits"

	"caroblift.dev/wire"
)

// The members are ordered on several rings by different hashes of their names, and
// a node watches its successor on each ring. Some rings hold the members of one
// failure domain, the others the whole fleet. Each ring alone connects all of its
// members, and the diameter of the union grows with the logarithm of the fleet's
// size.
const (
	domainRings = 3
	globalRings = 2
	maxSkipped  = 3 // unreachable members watched between a node and its successor on a ring
)

// Neighbours names the members that a node watches.
type Neighbours struct {
	Alive       []string // receive heartbeats and gossip
	Unreachable []string // suspect or avoided; receive heartbeats that find out when they are back
}

// ringPosition returns the position of a member on a ring, by the hash of its
// name.
func ringPosition(hash uint64, ring int) uint64 {
	hi, lo := bits.Mul64(hash^uint64(ring+1)*0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return hi ^ lo
}

// ringMember is a member and its distance along a ring from this node.
type ringMember struct {
	name     string
	distance uint64
}

// Neighbours returns the members that this node watches.
func (t *Table) Neighbours(isAvoided func(*entry) bool) Neighbours {
	var n Neighbours
	seen := map[string]bool{t.self.GetName(): true}
	self := hashName(t.self.GetName())
	for ring := range domainRings + globalRings {
		next, skipped := t.successor(self, ring, seen, isAvoided)
		for _, m := range skipped {
			if !seen[m.name] {
				seen[m.name] = true
				n.Unreachable = append(n.Unreachable, m.name)
			}
		}
		if next.name != "" {
			seen[next.name] = true
			n.Alive = append(n.Alive, next.name)
		}
	}
	return n
}

// successor returns the next member along a ring that is reachable and not in
// seen, and the unreachable members in between, nearest first and at most
// maxSkipped. Without a reachable member the first result has no name.
func (t *Table) successor(self uint64, ring int, seen map[string]bool, isAvoided func(*entry) bool) (ringMember, []ringMember) {
	from := ringPosition(self, ring)
	var next ringMember
	var skipped []ringMember
	for i, e := range t.liveEntries {
		if ring < domainRings && e.member.GetDomain() != t.self.GetDomain() {
			continue
		}
		m := ringMember{t.liveNames[i], ringPosition(e.nameHash, ring) - from}
		if next.name != "" && m.distance >= next.distance || seen[m.name] {
			continue
		}
		if e.state() == wire.State_STATE_SUSPECT || isAvoided(e) {
			skipped = insertNearest(skipped, m)
		} else {
			next = m
		}
	}
	if next.name != "" {
		for len(skipped) > 0 && skipped[len(skipped)-1].distance > next.distance {
			skipped = skipped[:len(skipped)-1]
		}
	}
	return next, skipped
}

// insertNearest inserts m into members, which holds the nearest maxSkipped in
// order of distance.
func insertNearest(members []ringMember, m ringMember) []ringMember {
	i := len(members)
	for i > 0 && members[i-1].distance > m.distance {
		i--
	}
	if i >= maxSkipped {
		return members
	}
	if len(members) < maxSkipped {
		members = append(members, ringMember{})
	}
	copy(members[i+1:], members[i:])
	members[i] = m
	return members
}
