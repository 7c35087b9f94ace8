package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"caroblift.dev/wire"
)

// drawEvent draws an event about one of few instances, so that events clash.
func drawEvent(t *rapid.T) *wire.Member {
	name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "name"))
	incarnation := uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
	if rapid.Bool().Draw(t, "verdict") {
		state := rapid.SampledFrom([]wire.State{wire.State_STATE_SUSPECT, wire.State_STATE_DEAD}).Draw(t, "state")
		return NewVerdict(name, incarnation, state)
	}
	serial := uint64(rapid.IntRange(1, 3).Draw(t, "serial"))
	state := wire.State_STATE_ALIVE
	if serial == 3 {
		state = wire.State_STATE_LEAVING
	}
	return &wire.Member{Name: name, Peer: name, Incarnation: incarnation, Serial: serial, State: state, Domain: "a"}
}

// picture returns what a table says of each instance.
func picture(t *Table) map[string]string {
	out := map[string]string{}
	for name, e := range t.members {
		out[name] = fmt.Sprint(e.state(), e.member.GetIncarnation(), e.member.GetSerial(), e.died)
	}
	return out
}

func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1)
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 24).Draw(t, "events")
		self := &wire.Member{Name: "self", Peer: "self", Incarnation: 1}
		a, b := NewTable(self, now), NewTable(self, now)
		for _, e := range events {
			a.Merge(proto.CloneOf(e), now)
		}
		for _, e := range rapid.Permutation(append(events, events...)).Draw(t, "order") {
			b.Merge(proto.CloneOf(e), now)
		}
		require.Equal(t, picture(a), picture(b))
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.names, b.names)
		for _, e := range events {
			require.False(t, a.Merge(e, now), "an event that was merged is no news")
		}
	})
}

func TestSyncEqualizesTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1)
		a := NewTable(&wire.Member{Name: "a", Peer: "a", Incarnation: 1, State: wire.State_STATE_ALIVE}, now)
		b := NewTable(&wire.Member{Name: "b", Peer: "b", Incarnation: 1, State: wire.State_STATE_ALIVE}, now)
		for _, e := range rapid.SliceOfN(rapid.Custom(drawEvent), 0, 12).Draw(t, "a") {
			a.Merge(e, now)
		}
		for _, e := range rapid.SliceOfN(rapid.Custom(drawEvent), 0, 12).Draw(t, "b") {
			b.Merge(e, now)
		}
		if back := a.Return(b.Sync(a.SyncRequest(), now), now); back != nil {
			b.Sync(back, now)
		}
		require.Equal(t, a.Digest(), b.Digest())
		require.Empty(t, b.Sync(a.SyncRequest(), now).GetMembers(), "equal tables exchange nothing")
	})
}

// TestSpreadReachesEveryoneInTime counts the ticks until an event that one
// node sends to its neighbours has reached all others.
func TestSpreadReachesEveryoneInTime(t *testing.T) {
	for name, size := range map[string]int{"small": 11, "fleet": 7000} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1)
			table := NewTable(instance(0), now)
			for i := range size {
				table.Merge(instance(i), now)
			}
			next := make(map[string][]string, size)
			for _, m := range table.names {
				table.self = table.Get(m)
				next[m] = table.Neighbours(func(*entry) bool { return false }).Alive
				require.LessOrEqual(t, len(next[m]), nearRings+farRings)
			}
			// Each hop takes at most a tick and the way between two regions.
			const hop = time.Second/ticksPerBeat + 50*time.Millisecond
			require.LessOrEqual(t, time.Duration(hops(next, "i00000"))*hop, 2*time.Second)
		})
	}
}

func instance(i int) *wire.Member {
	name := fmt.Sprintf("i%05d", i)
	return &wire.Member{Name: name, Peer: name, Incarnation: 1, State: wire.State_STATE_ALIVE, Domain: fmt.Sprint("d", i%7)}
}

// hops returns the length of the longest shortest way from a node.
func hops(next map[string][]string, from string) int {
	seen, layer, n := map[string]bool{from: true}, []string{from}, 0
	for len(seen) < len(next) && len(layer) > 0 {
		var out []string
		for _, name := range layer {
			for _, to := range next[name] {
				if !seen[to] {
					seen[to] = true
					out = append(out, to)
				}
			}
		}
		layer = out
		n++
	}
	if len(seen) < len(next) {
		return 1 << 20
	}
	return n
}

// TestLoneNodeReckonsWithFewer checks that a node whose seeds are all down
// comes to a share of the platform with which it can start.
func TestLoneNodeReckonsWithFewer(t *testing.T) {
	start := time.Unix(1000, 0)
	self := &wire.Member{Name: "a", Peer: "127.0.0.1:1", State: wire.State_STATE_ALIVE, Incarnation: 1}
	a := New(Config{Beat: time.Second, Suspect: time.Second, Seeds: []string{"127.0.0.1:2"}}, self, start)
	require.Equal(t, unknownFleet, a.Size(start))
	last := unknownFleet
	for after := time.Duration(0); after < time.Hour; after += time.Second {
		size := a.Size(start.Add(after))
		require.LessOrEqual(t, size, last)
		last = size
	}
	require.Equal(t, loneFleet, last)
}

// TestMeetingPointsReplaceSeeds lets nodes without seeds find each other by
// their meeting points, with points among them that lead nowhere, and finds
// again a node that was killed with all others.
func TestMeetingPointsReplaceSeeds(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	self := &wire.Member{Name: "a", Peer: "a", Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE}
	a := New(Config{Beat: testBeat, Suspect: 3 * testBeat, Meet: true, Rand: rand.New(rand.NewPCG(1, 2))}, self, now)
	require.False(t, a.Joined(), "a node without seeds that has a meeting place is not alone")
	points := []*wire.Member{{Name: "gone", Peer: "gone"}, {Name: "a", Peer: "a"}, {Name: "b", Peer: "b"}}
	asked := map[string]time.Time{}
	for range 200 {
		now = now.Add(testBeat / ticksPerBeat)
		for _, act := range a.Tick(now) {
			switch act.Kind {
			case Meet:
				a.MeetDone(now, points)
			case Join:
				asked[act.Addr] = now
				if act.Addr == "b" {
					a.JoinDone(now, act, &wire.JoinResponse{Members: []*wire.Member{
						{Name: "b", Peer: "b", Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE},
					}})
				} // the other never answers
			}
		}
		if a.table.Len() == 2 {
			break
		}
	}
	require.Equal(t, 2, a.table.Len())
	require.NotContains(t, asked, "a")
	require.LessOrEqual(t, asked["b"].Sub(asked["gone"]), (patience+1)*testBeat, "it does not wait for the point that is gone")
}

// TestOthersFindARestartedNode restarts a node that has no seeds while the
// platform with the meeting points is away: the others find it within seconds.
func TestOthersFindARestartedNode(t *testing.T) {
	for name, stop := range map[string]func(w *world){
		"killed":   func(w *world) { w.nodes["n3"].up = false },
		"stopped":  func(w *world) { w.perform("n3", w.nodes["n3"].agent.Leave(w.now)); w.nodes["n3"].up = false },
		"for long": func(w *world) { w.nodes["n3"].up = false; w.run(20 * testBeat) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, "x", "x", "x", "y", "y", "y", "z", "z", "z", "z")
			w.run(20 * testBeat)
			w.seeds, w.meets, w.down = nil, true, true
			stop(w)
			w.run(testBeat)
			w.start("n3", uint64(w.now.UnixMilli()))
			w.run(5 * testBeat)
			require.Len(t, w.nodes["n3"].agent.View().Names, len(w.names))
		})
	}
}
