package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// fault is one fault of the matrix. It begins before the step, on the instance
// that the step is about, and ends after it.
type fault struct {
	begin    func(w *world, name string)
	end      func(w *world, name string)
	endsLife bool // the process of the instance ends
}

// membershipFaults holds the faults by name.
var membershipFaults = map[string]fault{
	"none": {},
	"crash": {
		begin: func(w *world, name string) { w.crash(name) },
		end:   func(w *world, name string) { w.start(name, uint64(w.now.UnixMilli())) }, endsLife: true,
	},
	"restart empty": {
		begin: func(w *world, name string) { w.start(name, uint64(w.now.UnixMilli())) }, endsLife: true,
	},
	"restart with the clock behind": {
		begin: func(w *world, name string) { w.start(name, 1) }, endsLife: true,
	},
	"pause past every timeout": {
		begin: func(w *world, name string) { w.nodes[name].paused = true },
		end:   func(w *world, name string) { w.nodes[name].paused = false },
	},
	"platform down": {
		begin: func(w *world, _ string) { w.platformDown = true },
		end:   func(w *world, _ string) { w.platformDown = false },
	},
	"seeds gone": {
		begin: func(w *world, _ string) {
			w.crash("n0")
			w.crash("n1")
		},
		end: func(w *world, _ string) {
			w.start("n0", uint64(w.now.UnixMilli()))
			w.start("n1", uint64(w.now.UnixMilli()))
		},
	},
	"slow and lossy": {begin: func(w *world, _ string) { w.loss = 0.3 }},
	"duplicate":      {begin: func(w *world, _ string) { w.duplicate = 1 }},
	"reorder":        {begin: func(w *world, _ string) { w.reorder = 1 }},
	"cut connection": {
		begin: func(w *world, name string) {
			w.cut = func(from, to string) bool { return (from == name) != (to == name) && w.now.UnixMilli()%1000 < 300 }
		},
	},
	"silent connection": {
		begin: func(w *world, name string) {
			w.cut = func(from, to string) bool { return from == name && to == "n3" || from == "n3" && to == name }
		},
	},
	"partition": {begin: func(w *world, name string) { w.partition(w.nodes[name].domain) }},
	"asymmetric loss": {
		begin: func(w *world, name string) { w.cut = func(from, _ string) bool { return from == name } },
	},
}

// membershipSteps holds the steps by name. Each acts on one instance.
var membershipSteps = map[string]func(w *world, name string){
	"announce": func(w *world, name string) {
		if n := w.nodes[name]; n.up && !n.paused {
			w.perform(name, n.agent.Announce(w.now, []*wire.Server{{Service: "quotes", Slots: 2, Epoch: 9}}))
		}
	},
	"suspect": func(w *world, name string) {
		w.nodes["n4"].agent.table.Declare(name, wire.State_STATE_SUSPECT, w.now)
	},
	"refute": func(w *world, name string) {
		w.nodes["n4"].agent.table.Declare(name, wire.State_STATE_DEAD, w.now)
	},
	"join": func(w *world, name string) { w.start(name, uint64(w.now.UnixMilli())) },
	"leave": func(w *world, name string) {
		w.leave(name)
	},
	"part": func(w *world, name string) { w.partition(w.nodes[name].domain) },
	"heal": func(w *world, name string) {
		w.partition(w.nodes[name].domain)
		w.run(20 * testHeartbeat)
		w.heal()
	},
}

// TestFaultMatrixMembership combines every fault with every step. It checks that
// no dead incarnation returns during the fault, and that afterwards every node
// routes to the instances that are up and to no others.
func TestFaultMatrixMembership(t *testing.T) {
	for stepName, step := range membershipSteps {
		for faultName, f := range membershipFaults {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				w := newWorld(7, "a", "a", "a", "b", "b", "b", "c", "c", "c")
				w.run(10 * testHeartbeat)
				runFaultCase(t, w, "n7", step, f)
			})
		}
	}
}

// runFaultCase runs one step during one fault.
func runFaultCase(t *testing.T, w *world, name string, step func(*world, string), f fault) {
	if f.begin != nil {
		f.begin(w, name)
	}
	step(w, name)
	for range 20 {
		w.run(testHeartbeat)
		w.checkInvariants(t)
	}
	if f.end != nil {
		f.end(w, name)
	}
	w.heal()
	w.run(60 * testHeartbeat)
	w.checkInvariants(t)
	w.checkConverged(t)
}

// TestPartedRegionIsKept partitions a failure domain for an hour. It checks that no
// member is declared dead, that no node routes across the partition, and that
// the reconnection does not flood the fleet with messages.
func TestPartedRegionIsKept(t *testing.T) {
	var domains []string
	for i := range 24 {
		domains = append(domains, []string{"a", "b", "c"}[i%3])
	}
	w := newWorld(3, domains...)
	w.run(20 * testHeartbeat)
	w.sent = 0
	w.run(60 * testHeartbeat)
	idle := w.sent
	w.partition("b")
	w.run(time.Hour)
	for _, name := range w.names {
		n := w.nodes[name]
		require.Len(t, n.agent.View().Names, 24, "%s forgot members", name)
		for _, to := range w.routable(name) {
			require.Equal(t, n.domain == "b", w.nodes[to].domain == "b", "%s routes to %s across the partition", name, to)
		}
	}
	w.heal()
	w.sent = 0
	w.run(60 * testHeartbeat)
	require.LessOrEqual(t, w.sent, 2*idle, "messages in the minute after healing against an idle minute")
	w.checkConverged(t)
}

// TestPausedNodeActsOnNothing checks that a node that was paused does not act on
// its outdated table: until it has caught up it offers only its own server, and
// it declares no member dead for answers that it missed.
func TestPausedNodeActsOnNothing(t *testing.T) {
	w := newWorld(5, "a", "a", "a", "b", "b", "b")
	w.run(10 * testHeartbeat)
	w.pause("n5", 20*testHeartbeat)
	w.crash("n2")
	a := w.nodes["n5"].agent
	a.detectPause(w.now.Add(testHeartbeat / beatTicks))
	require.True(t, a.View().Stale)
	require.False(t, a.Joined())
	require.Equal(t, []string{"n5"}, w.routable("n5"))
	for _, name := range w.names {
		require.NotEqual(t, wire.State_STATE_DEAD, a.table.State(name))
	}
	w.run(60 * testHeartbeat)
	w.checkConverged(t)
}

// TestPartsMeetAgain checks that two parts of a fleet that declared each other dead,
// one member after another, merge again without joining through a seed.
func TestPartsMeetAgain(t *testing.T) {
	w := newWorld(0, "a", "a", "a", "b", "b", "b", "c", "c", "c")
	w.crash("n0")
	w.partition("a")
	w.run(9 * testHeartbeat)
	w.crash("n2")
	w.heal()
	w.run(7 * testHeartbeat)
	w.crash("n5")
	w.leave("n4")
	w.run(4 * testHeartbeat)
	w.partition("c")
	w.run(7 * testHeartbeat)
	w.heal()
	w.run(120 * testHeartbeat)
	w.checkConverged(t)
}

// TestSimultaneousStartConverges starts all instances of a fleet at once, without
// state. It checks that all know each other within settleHeartbeats, after which
// a node trusts its table and may read or publish for the fleet even if no
// neighbour's table matches.
func TestSimultaneousStartConverges(t *testing.T) {
	w := newWorld(7)
	for i := range 150 {
		name := fmt.Sprintf("n%d", i)
		w.names = append(w.names, name)
		w.nodes[name] = &host{domain: fmt.Sprintf("d%d", i%7)}
	}
	for _, name := range w.names {
		w.start(name, uint64(w.now.UnixMilli()))
	}
	w.run(settleHeartbeats * testHeartbeat)
	w.checkConverged(t)
}
