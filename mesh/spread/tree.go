// Package spread decides how revisions travel between nodes: who hangs under
// whom, who reads the platform and who publishes.
//
// Each node draws a level from the hash of its own name. A node's parent has a
// strictly higher rank, that is (level, hash), so views that differ can never
// form a cycle.
//
// # Usage
//
//	tree := spread.Tree{Fanout: 16, Readers: 2}
//	parent := tree.Parent(view)
//	if tree.Reader(view) {
//		// follow the platform
//	}
package spread

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Tree holds the shape of the tree.
type Tree struct {
	Fanout  int // children of one node, on average
	Readers int // nodes of each failure domain that read the platform
}

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

// RankOf returns the rank of an instance.
func (t Tree) RankOf(name string) Rank {
	h := xxhash.Sum64String(name)
	fanout := uint64(max(t.Fanout, 2))
	level := 0
	for x := h; x%fanout == 0 && level < 16; x /= fanout {
		level++
	}
	return Rank{Level: level, Hash: h}
}

// Parent returns the member that the own node hangs under, or nil at the top.
func (t Tree) Parent(v *member.View) *wire.Member {
	self := t.RankOf(v.Self.GetName())
	var best *wire.Member
	var bestKey parentKey
	for _, name := range v.Names {
		m := v.Members[name]
		rank := t.RankOf(name)
		if m.GetState() != wire.State_STATE_ALIVE || !rank.Above(self) {
			continue
		}
		key := t.parentKey(v.Self, self, m, rank)
		if best == nil || key.before(bestKey) {
			best, bestKey = m, key
		}
	}
	return best
}

// parentKey orders the candidates for a parent: a higher level before the same
// one, the own failure domain first, then the lowest level, then by a hash of
// the pair, which spreads children evenly.
type parentKey struct {
	same  bool // same level as the child
	far   bool // another failure domain
	level int
	hash  uint64
}

func (t Tree) parentKey(self *wire.Member, selfRank Rank, m *wire.Member, rank Rank) parentKey {
	return parentKey{
		same: rank.Level == selfRank.Level, far: m.GetDomain() != self.GetDomain(),
		level: rank.Level, hash: xxhash.Sum64String(self.GetName() + "/" + m.GetName()),
	}
}

func (k parentKey) before(o parentKey) bool {
	if k.same != o.same {
		return !k.same
	}
	if k.far != o.far {
		return !k.far
	}
	if k.level != o.level {
		return k.level < o.level
	}
	return k.hash < o.hash
}

// Reader tells whether the own node is among the nodes of its failure domain
// that read the platform.
func (t Tree) Reader(v *member.View) bool {
	self := t.RankOf(v.Self.GetName())
	above := 0
	for _, name := range v.Names {
		m := v.Members[name]
		if m.GetState() == wire.State_STATE_ALIVE && m.GetDomain() == v.Self.GetDomain() && t.RankOf(name).Above(self) {
			above++
		}
	}
	return above < max(t.Readers, 1)
}

// Candidates is the number of nodes that stand ready to publish.
const Candidates = 3

// Publisher returns the own node's rank among the candidates to publish, and
// false when it is none.
func (t Tree) Publisher(v *member.View) (int, bool) {
	hash := func(name string) uint64 { return xxhash.Sum64String("publish/" + name) }
	self := hash(v.Self.GetName())
	above := 0
	for _, name := range v.Names {
		if v.Members[name].GetState() == wire.State_STATE_ALIVE && hash(name) > self {
			above++
		}
	}
	return above, above < Candidates
}

// Merge adds up reports, and keeps at most limit laggards.
func Merge(limit int, reports ...*wire.Report) *wire.Report {
	type key struct {
		domain   string
		revision uint64
	}
	counts := map[key]uint32{}
	out := &wire.Report{}
	for _, r := range reports {
		for _, c := range r.GetCounts() {
			counts[key{c.GetDomain(), c.GetRevision()}] += c.GetNodes()
		}
		out.Laggards = append(out.Laggards, r.GetLaggards()...)
		out.More += r.GetMore()
	}
	for k, n := range counts {
		out.Counts = append(out.Counts, &wire.Count{Domain: k.domain, Revision: k.revision, Nodes: n})
	}
	sort.Slice(out.Counts, func(i, j int) bool {
		a, b := out.Counts[i], out.Counts[j]
		if a.Domain != b.Domain {
			return a.Domain < b.Domain
		}
		return a.Revision < b.Revision
	})
	sort.SliceStable(out.Laggards, func(i, j int) bool { return out.Laggards[i].Revision < out.Laggards[j].Revision })
	if n := len(out.Laggards) - limit; n > 0 {
		out.Laggards, out.More = out.Laggards[:limit], out.More+uint32(n)
	}
	return out
}
