package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// serve announces the server of an instance, which is not leaving.
func (w *world) serve(name, server string, epoch uint64) {
	w.perform(name, w.nodes[name].agent.Announce(w.now, []*wire.Server{{Service: "quotes", Slots: 1, Epoch: epoch, Name: server}}))
}

// TestDepartureOutlivesItsNode guards against forgetting that a server has left when the node beside it is killed.
func TestDepartureOutlivesItsNode(t *testing.T) {
	for name, disturb := range map[string]func(w *world){
		"killed at once":      func(*world) {},
		"killed later":        func(w *world) { w.run(3 * testHeartbeat) },
		"declared dead":       func(w *world) { w.crash("n3"); w.run(20 * testHeartbeat) },
		"killed twice":        func(w *world) { w.crash("n3"); w.run(testHeartbeat); w.start("n3", uint64(w.now.UnixMilli())) },
		"platform down":       func(w *world) { w.seeds, w.hasMeetingPoints, w.platformDown = nil, true, true },
		"messages are lost":   func(w *world) { w.loss = 0.3 },
		"messages come late":  func(w *world) { w.reorder, w.duplicate = 0.5, 0.5 },
		"neighbours go along": func(w *world) { w.restart("n0", "n1", "n2", "n4") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5, "x", "x", "x", "y", "y", "y", "z", "z", "z", "z")
			w.serve("n3", "s", 7)
			w.run(20 * testHeartbeat)
			require.Contains(t, w.routable("n5"), "n3")
			w.perform("n3", w.nodes["n3"].agent.RecordDeparture(w.now, "s", 7))
			disturb(w)
			w.crash("n3")
			w.run(testHeartbeat / 2)
			w.start("n3", uint64(w.now.UnixMilli()))
			w.serve("n3", "s", 7)
			w.run(10 * testHeartbeat)
			w.heal()
			w.run(10 * testHeartbeat)
			for _, other := range w.names {
				require.NotContains(t, w.routable(other), "n3", "at %s", other)
			}
			require.True(t, HasLeft(w.nodes["n3"].agent.LastDeparture(), "s", 7))
			require.True(t, w.nodes["n3"].agent.Met())
			w.serve("n3", "s", 8)
			w.run(5 * testHeartbeat)
			w.checkConverged(t)
		})
	}
}

// restart kills instances and starts them again at once.
func (w *world) restart(names ...string) {
	for _, name := range names {
		w.crash(name)
	}
	for _, name := range names {
		w.start(name, uint64(w.now.UnixMilli())+1)
	}
}

// TestDepartureIsToldAtOnce guards against a departure that waits for the gossip budget, or is told twice.
func TestDepartureIsToldAtOnce(t *testing.T) {
	w := newWorld(5, "x", "x", "x")
	w.serve("n2", "s", 7)
	w.run(10 * testHeartbeat)
	a := w.nodes["n2"].agent
	a.queue.budget, a.queue.refilledAt = -1, w.now
	actions := a.RecordDeparture(w.now, "s", 7)
	require.Len(t, actions, 2)
	for _, act := range actions {
		require.True(t, HasLeft(act.Departure(), "s", 7))
	}
	require.Empty(t, a.RecordDeparture(w.now, "s", 7))
	require.Empty(t, a.Announce(w.now, []*wire.Server{{Service: "quotes", Slots: 1, Epoch: 7, Name: "s", Leaving: true}}), "it has been announced")
}

// TestOnlyOlderNodesAreWitnesses guards against taking nodes that were killed together for nodes that know the past.
func TestOnlyOlderNodesAreWitnesses(t *testing.T) {
	for name, c := range map[string]struct {
		restarted []string
		met       bool
	}{
		"one":  {[]string{"n3"}, true},
		"half": {[]string{"n3", "n0", "n1", "n2"}, true},
		"all":  {[]string{"n3", "n0", "n1", "n2", "n4", "n5", "n6"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5, "x", "x", "x", "y", "y", "y", "z")
			w.run(20 * testHeartbeat)
			w.restart(c.restarted...)
			require.False(t, w.nodes["n3"].agent.Met())
			w.run(10 * testHeartbeat)
			w.checkConverged(t)
			require.Equal(t, c.met, w.nodes["n3"].agent.Met())
		})
	}
}

// TestNodeWithoutOthersHasMet guards against a lone node that waits for others, and one that takes a platform that is away for it.
func TestNodeWithoutOthersHasMet(t *testing.T) {
	self, other := &wire.Member{Name: "n0", Peer: "n0", Incarnation: 1_000_000}, &wire.Member{Name: "n1", Peer: "n1"}
	for name, c := range map[string]struct {
		points []*wire.Member
		met    bool
	}{
		"none yet":  {[]*wire.Member{}, true},
		"its own":   {[]*wire.Member{self}, true},
		"another's": {[]*wire.Member{self, other}, false},
		"not read":  {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			a := New(Config{Heartbeat: testHeartbeat, SuspicionTimeout: 3 * testHeartbeat, HasMeetingPoints: true}, self, now)
			require.False(t, a.Met())
			a.DiscoverDone(now, c.points)
			require.Equal(t, c.met, a.Met())
		})
	}
}
