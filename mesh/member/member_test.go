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

// drawEvent draws an event about one of a few instances, so that events conflict.
func drawEvent(t *rapid.T) *wire.Member {
	m := drawState(t)
	if rapid.Bool().Draw(t, "left") {
		stamp := uint64(rapid.IntRange(1, 4).Draw(t, "stamp"))
		m.Left = &wire.Departure{Server: fmt.Sprint("s", stamp), Epoch: stamp, Incarnation: stamp, Serial: stamp}
	}
	return m
}

// drawState draws an event without a departure.
func drawState(t *rapid.T) *wire.Member {
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
	return &wire.Member{Name: name, Peer: name, Incarnation: incarnation, Serial: serial, State: state, Domain: "a", Servers: []*wire.Server{{Name: "s2", Epoch: 2}}}
}

// tableState returns what a table holds about each instance.
func tableState(t *Table) map[string]string {
	out := map[string]string{}
	for name, e := range t.entries {
		out[name] = fmt.Sprint(e.state(), e.member.GetIncarnation(), e.member.GetSerial(), e.deadIncarnation, e.left.GetSerial(), e.member.GetServers())
	}
	return out
}

// TestMergeIsOrderIndependent guards against tables that differ because the same
// events arrived in another order or more than once.
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
		require.Equal(t, tableState(a), tableState(b))
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.liveNames, b.liveNames)
		for _, e := range events {
			require.False(t, a.Merge(e, now), "an event that was merged is no news")
		}
	})
}

// TestSyncEqualizesTables checks that one exchange makes two random tables equal.
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
		if back := a.MergeSync(b.HandleSync(a.SyncRequest(), now), now); back != nil {
			b.HandleSync(back, now)
		}
		require.Equal(t, a.Digest(), b.Digest())
		require.Empty(t, b.HandleSync(a.SyncRequest(), now).GetMembers(), "equal tables exchange nothing")
	})
}

// TestSpreadReachesEveryoneInTime bounds the number of hops in which an event gets
// from one node to all others along the rings.
func TestSpreadReachesEveryoneInTime(t *testing.T) {
	for name, size := range map[string]int{"small": 11, "fleet": 7000} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1)
			table := NewTable(instance(0), now)
			for i := range size {
				table.Merge(instance(i), now)
			}
			next := make(map[string][]string, size)
			for _, m := range table.liveNames {
				table.self = table.Get(m)
				next[m] = table.Neighbours(func(*entry) bool { return false }).Alive
				require.LessOrEqual(t, len(next[m]), domainRings+globalRings)
			}
			// A hop takes at most a tick and the latency between two regions.
			const hop = time.Second/beatTicks + 50*time.Millisecond
			require.LessOrEqual(t, time.Duration(eccentricity(next, "i00000"))*hop, 2*time.Second)
		})
	}
}

// instance returns the i-th member of a fleet in 7 failure domains.
func instance(i int) *wire.Member {
	name := fmt.Sprintf("i%05d", i)
	return &wire.Member{Name: name, Peer: name, Incarnation: 1, State: wire.State_STATE_ALIVE, Domain: fmt.Sprint("d", i%7)}
}

// eccentricity returns the number of hops from a node to the node farthest from it,
// and 1<<20 when some node cannot be reached.
func eccentricity(next map[string][]string, from string) int {
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

// TestLoneNodeLowersItsEstimate checks that the estimated size of the fleet decays
// on a node whose seeds are all down. With the first estimate its share of the
// platform's rates would be too small to start alone.
func TestLoneNodeLowersItsEstimate(t *testing.T) {
	start := time.Unix(1000, 0)
	self := &wire.Member{Name: "a", Peer: "127.0.0.1:1", State: wire.State_STATE_ALIVE, Incarnation: 1}
	a := New(Config{Heartbeat: time.Second, SuspicionTimeout: time.Second, Seeds: []string{"127.0.0.1:2"}}, self, start)
	require.Equal(t, initialFleetEstimate, a.EstimatedSize(start))
	last := initialFleetEstimate
	for after := time.Duration(0); after < time.Hour; after += time.Second {
		size := a.EstimatedSize(start.Add(after))
		require.LessOrEqual(t, size, last)
		last = size
	}
	require.Equal(t, minLoneEstimate, last)
}

// TestMeetingPointsReplaceSeeds checks that a node without seeds joins through the
// platform's meeting points, although most of them name nodes that are gone and one
// the node itself, and that it asks the live one within a heartbeat interval.
func TestMeetingPointsReplaceSeeds(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	self := &wire.Member{Name: "a", Peer: "a", Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE}
	a := New(Config{Heartbeat: testHeartbeat, SuspicionTimeout: 3 * testHeartbeat, HasMeetingPoints: true, Rand: rand.New(rand.NewPCG(1, 2))}, self, now)
	require.False(t, a.Joined(), "a node without seeds that has a meeting place is not alone")
	points := []*wire.Member{
		{Name: "gone-1", Peer: "gone-1"}, {Name: "gone-2", Peer: "gone-2"}, {Name: "gone-3", Peer: "gone-3"}, {Name: "a", Peer: "a"}, {Name: "b", Peer: "b"},
	}
	asked, discovered := map[string]time.Time{}, time.Time{}
	for range 200 {
		now = now.Add(testHeartbeat / beatTicks)
		for _, act := range a.Tick(now) {
			switch act.Kind {
			case Discover:
				discovered = now
				a.DiscoverDone(now, points)
			case Join:
				asked[act.Addr] = now
				if act.Addr == "b" {
					a.JoinDone(now, act, &wire.JoinResponse{Members: []*wire.Member{
						{Name: "b", Peer: "b", Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE},
					}})
				} // the other addresses never answer
			}
		}
		if a.table.Len() == 2 {
			break
		}
	}
	require.Equal(t, 2, a.table.Len())
	require.NotContains(t, asked, "a")
	require.LessOrEqual(t, asked["b"].Sub(discovered), testHeartbeat, "it does not wait for the points that are gone")
}

// TestOthersFindARestartedNode restarts a node without seeds while the platform,
// and with it the meeting points, is down. The node cannot find the others, so
// they must contact it within seconds, also when it had left in order.
func TestOthersFindARestartedNode(t *testing.T) {
	for name, stop := range map[string]func(w *world){
		"killed":   func(w *world) { w.nodes["n3"].up = false },
		"stopped":  func(w *world) { w.perform("n3", w.nodes["n3"].agent.Leave(w.now)); w.nodes["n3"].up = false },
		"for long": func(w *world) { w.nodes["n3"].up = false; w.run(20 * testHeartbeat) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, "x", "x", "x", "y", "y", "y", "z", "z", "z", "z")
			w.run(20 * testHeartbeat)
			w.seeds, w.hasMeetingPoints, w.platformDown = nil, true, true
			stop(w)
			w.run(testHeartbeat)
			w.start("n3", uint64(w.now.UnixMilli()))
			w.run(5 * testHeartbeat)
			require.Len(t, w.nodes["n3"].agent.View().Names, len(w.names))
		})
	}
}
