// Package spread distributes revisions of the configuration between nodes. It
// decides which node is the parent of which, which nodes read the platform,
// which are eligible to publish, and which updates are pushed and fetched.
//
// The nodes form a distribution tree. Each node derives a level from the hash
// of its name, and its rank is the pair (level, hash). A node's parent has a
// strictly higher rank, so the parents never form a cycle, even while nodes
// hold different views of the membership. Parents push new revisions to their
// children. A node that missed one fetches it from a peer, and a periodic digest
// exchange with a random peer finds what is still missing.
//
// The floor of an instance is its low watermark: the lowest revision that it
// may serve. It keeps an instance from going back across a restart.
//
// A [State] makes all these decisions for one node. It takes events and
// returns actions; it opens no socket and starts no goroutine.
//
// # Usage
//
//	state := spread.New(spread.Config{Tree: tree, Holder: holder, HeartbeatInterval: time.Second}, view, now)
//	state.Tick(now, view, checked)
//	for _, a := range state.Actions() {
//		// send a.Attach, a.Fetch or an update to a.Addr and pass the response back
//	}
package spread

import (
	"github.com/cespare/xxhash/v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Tree holds the parameters of the distribution tree.
type Tree struct {
	Fanout           int // average number of children of a node; the maximum is twice as many
	ReadersPerDomain int // number of nodes in each failure domain that read the platform
}

// Capacity returns the maximum number of children of a node.
func (t Tree) Capacity() int { return 2 * max(t.Fanout, 2) }

// Rank orders the nodes of the tree, by level and then by hash.
type Rank struct {
	Level int
	Hash  uint64
}

// Above reports whether r is strictly higher than o.
func (r Rank) Above(o Rank) bool {
	if r.Level != o.Level {
		return r.Level > o.Level
	}
	return r.Hash > o.Hash
}

// maxLevel is the highest level of a node.
const maxLevel = 16

// RankOf returns the rank of the named instance. On average, one node in Fanout
// reaches level 1, one in Fanout of these reaches level 2, and so on.
func (t Tree) RankOf(name string) Rank {
	h := xxhash.Sum64String(name)
	fanout := uint64(max(t.Fanout, 2))
	level := 0
	for x := h; x%fanout == 0 && level < maxLevel; x /= fanout {
		level++
	}
	return Rank{Level: level, Hash: h}
}

// maxCandidates is the maximum number of parent candidates that are
// kept in order.
const maxCandidates = 16

// PublisherCount is the number of nodes that are eligible to publish.
const PublisherCount = 3

// Placement is the place of the local node in the tree, computed from one view
// of the membership. It is immutable.
type Placement struct {
	View           *member.View
	Candidates     []*wire.Member // parent candidates, best first; empty at the root
	IsReader       bool           // whether the node reads the platform
	IsPublisher    bool           // whether the node is eligible to publish
	PublisherIndex int            // position among the publishers, from 0

	tree Tree
	rank Rank
}

// Placement computes the place of the local node in a view, in one pass over
// the members.
func (t Tree) Placement(v *member.View) *Placement {
	s := &Placement{View: v, tree: t, rank: t.RankOf(v.Self.GetName())}
	publishHash := mix(s.rank.Hash ^ publishSalt)
	higherInDomain, earlierPublishers := 0, 0
	parents := candidateList{limit: maxCandidates}
	for _, name := range v.Names {
		m := v.Members[name]
		if m.GetState() != wire.State_STATE_ALIVE {
			continue
		}
		rank := t.RankOf(name)
		if mix(rank.Hash^publishSalt) > publishHash {
			earlierPublishers++
		}
		if !rank.Above(s.rank) {
			continue
		}
		if m.GetDomain() == v.Self.GetDomain() {
			higherInDomain++
		}
		parents.add(m, s.key(m, rank))
	}
	s.Candidates = parents.members
	s.IsReader = higherInDomain < max(t.ReadersPerDomain, 1)
	s.PublisherIndex, s.IsPublisher = earlierPublishers, earlierPublishers < PublisherCount
	return s
}

// BestParent returns the best parent candidate for which skip returns false, or
// nil. It scans all members only if skip excludes every candidate that is kept.
func (p *Placement) BestParent(skip func(name string) bool) *wire.Member {
	for _, m := range p.Candidates {
		if !skip(m.GetName()) {
			return m
		}
	}
	if len(p.Candidates) < maxCandidates {
		return nil
	}
	rest := candidateList{limit: 1}
	for _, name := range p.View.Names {
		m, rank := p.View.Members[name], p.tree.RankOf(name)
		if m.GetState() == wire.State_STATE_ALIVE && rank.Above(p.rank) && !skip(name) {
			rest.add(m, p.key(m, rank))
		}
	}
	if len(rest.members) == 0 {
		return nil
	}
	return rest.members[0]
}

// CanBeParent reports whether the named member may be the parent of the local
// node.
func (p *Placement) CanBeParent(name string) bool {
	m := p.View.Members[name]
	if m == nil || m.GetState() == wire.State_STATE_LEAVING || m.GetState() == wire.State_STATE_DEAD {
		return false
	}
	return p.tree.RankOf(name).Above(p.rank)
}

// parentKey is the sort key of a parent candidate. Candidates in the local
// failure domain come first, then those at a higher level before those at the
// same level. Of the higher levels the lowest comes first, and within it a hash
// of the pair of nodes distributes the children evenly. At the same level the
// highest rank comes first, which keeps the tree flat.
type parentKey struct {
	otherDomain bool
	sameLevel   bool
	level       int
	tieBreak    uint64
}

func (p *Placement) key(m *wire.Member, rank Rank) parentKey {
	k := parentKey{otherDomain: m.GetDomain() != p.View.Self.GetDomain(), sameLevel: rank.Level == p.rank.Level, level: rank.Level}
	if k.sameLevel {
		k.tieBreak = ^rank.Hash
	} else {
		k.tieBreak = mix(rank.Hash ^ mix(p.rank.Hash))
	}
	return k
}

func (k parentKey) before(o parentKey) bool {
	switch {
	case k.otherDomain != o.otherDomain:
		return !k.otherDomain
	case k.sameLevel != o.sameLevel:
		return !k.sameLevel
	case k.level != o.level:
		return k.level < o.level
	}
	return k.tieBreak < o.tieBreak
}

// candidateList keeps up to limit members, ordered by their keys.
type candidateList struct {
	limit   int
	members []*wire.Member
	keys    []parentKey
}

func (r *candidateList) add(m *wire.Member, k parentKey) {
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

// publishSalt makes the order of the publishers independent of the ranks.
const publishSalt = 0x9e3779b97f4a7c15

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
