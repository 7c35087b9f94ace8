// Package spread decides how revisions travel between nodes: who hangs under
// whom, who reads the platform, who publishes, what is pushed and what is
// fetched.
//
// Each node draws a level from the hash of its own name. A node's parent has a
// strictly higher rank, that is (level, hash), so views that differ can never
// form a cycle.
//
// A [State] holds every decision of one node. It takes events and answers
// actions; it opens no socket and starts no goroutine.
//
// # Usage
//
//	state := spread.New(spread.Config{Tree: tree, Holder: holder, Beat: time.Second}, view, now)
//	state.Tick(now, view, checked)
//	for _, a := range state.Actions() {
//		// send a.Attach, a.Fetch or an update to a.Addr, and hand back the answer
//	}
package spread

import (
	"github.com/cespare/xxhash/v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Tree holds the shape of the tree.
type Tree struct {
	Fanout  int // children of one node on average; twice as many at most
	Readers int // nodes of each failure domain that read the platform
}

// Capacity returns the largest number of children of one node.
func (t Tree) Capacity() int { return 2 * max(t.Fanout, 2) }

// Rank orders the nodes of the tree.
type Rank struct {
	Level int
	Hash  uint64
}

// Above tells whether r is strictly higher than o.
func (r Rank) Above(o Rank) bool {
	if r.Level != o.Level {
		return r.Level > o.Level
	}
	return r.Hash > o.Hash
}

// maxLevel bounds the levels of the tree.
const maxLevel = 16

// RankOf returns the rank of an instance.
func (t Tree) RankOf(name string) Rank {
	h := xxhash.Sum64String(name)
	fanout := uint64(max(t.Fanout, 2))
	level := 0
	for x := h; x%fanout == 0 && level < maxLevel; x /= fanout {
		level++
	}
	return Rank{Level: level, Hash: h}
}

// maxCandidates bounds the parents that a shape keeps in order.
const maxCandidates = 16

// Publishers is the number of nodes that stand ready to publish.
const Publishers = 3

// Shape is the place of the own node in one view. It is immutable.
type Shape struct {
	View      *member.View
	Parents   []*wire.Member // the best parents, best first; empty at the top
	Reader    bool           // the node reads the platform
	Publisher bool           // the node stands ready to publish
	Order     int            // among the publishers, the first is 0

	tree Tree
	rank Rank
}

// Shape works out the place of the own node in a view in one pass over the
// members.
func (t Tree) Shape(v *member.View) *Shape {
	s := &Shape{View: v, tree: t, rank: t.RankOf(v.Self.GetName())}
	turn := mix(s.rank.Hash ^ publishSalt)
	above, before := 0, 0
	parents := ranking{limit: maxCandidates}
	for _, name := range v.Names {
		m := v.Members[name]
		if m.GetState() != wire.State_STATE_ALIVE {
			continue
		}
		rank := t.RankOf(name)
		if mix(rank.Hash^publishSalt) > turn {
			before++
		}
		if !rank.Above(s.rank) {
			continue
		}
		if m.GetDomain() == v.Self.GetDomain() {
			above++
		}
		parents.add(m, s.key(m, rank))
	}
	s.Parents = parents.members
	s.Reader = above < max(t.Readers, 1)
	s.Order, s.Publisher = before, before < Publishers
	return s
}

// Best returns the best parent that skip does not rule out, or nil.
func (s *Shape) Best(skip func(name string) bool) *wire.Member {
	for _, m := range s.Parents {
		if !skip(m.GetName()) {
			return m
		}
	}
	if len(s.Parents) < maxCandidates {
		return nil
	}
	rest := ranking{limit: 1}
	for _, name := range s.View.Names {
		m, rank := s.View.Members[name], s.tree.RankOf(name)
		if m.GetState() == wire.State_STATE_ALIVE && rank.Above(s.rank) && !skip(name) {
			rest.add(m, s.key(m, rank))
		}
	}
	if len(rest.members) == 0 {
		return nil
	}
	return rest.members[0]
}

// Fits tells whether a member may be the parent of the own node.
func (s *Shape) Fits(name string) bool {
	m := s.View.Members[name]
	if m == nil || m.GetState() == wire.State_STATE_LEAVING || m.GetState() == wire.State_STATE_DEAD {
		return false
	}
	return s.tree.RankOf(name).Above(s.rank)
}

// parentKey orders the parents: the own failure domain first, then a higher
// level before the same one. Among higher levels the lowest comes first and a
// hash of the pair spreads the children evenly; on the same level the highest
// rank comes first, which keeps the tree flat.
type parentKey struct {
	far   bool
	same  bool
	level int
	order uint64
}

func (s *Shape) key(m *wire.Member, rank Rank) parentKey {
	k := parentKey{far: m.GetDomain() != s.View.Self.GetDomain(), same: rank.Level == s.rank.Level, level: rank.Level}
	if k.same {
		k.order = ^rank.Hash
	} else {
		k.order = mix(rank.Hash ^ mix(s.rank.Hash))
	}
	return k
}

func (k parentKey) before(o parentKey) bool {
	switch {
	case k.far != o.far:
		return !k.far
	case k.same != o.same:
		return !k.same
	case k.level != o.level:
		return k.level < o.level
	}
	return k.order < o.order
}

// ranking keeps the best members in order.
type ranking struct {
	limit   int
	members []*wire.Member
	keys    []parentKey
}

func (r *ranking) add(m *wire.Member, k parentKey) {
	i := len(r.keys)
	for i > 0 && k.before(r.keys[i-1]) {
		i--
	}
	if i == r.limit {
		return
	}
	r.keys = append(r.keys, parentKey{})
	r.members = append(r.members, nil)
	copy(r.keys[i+1:], r.keys[i:])
	copy(r.members[i+1:], r.members[i:])
	r.keys[i], r.members[i] = k, m
	if len(r.keys) > r.limit {
		r.keys, r.members = r.keys[:r.limit], r.members[:r.limit]
	}
}

// publishSalt sets the order of publishers apart from the ranks of the tree.
const publishSalt = 0x9e3779b97f4a7c15

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
