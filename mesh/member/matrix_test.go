package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// fault is one fault of the matrix. It acts on the instance that the step is
// about, before the step, and ends afterwards.
type fault struct {
	begin func(w *world, name string)
	end   func(w *world, name string)
	gone  bool // the fault ends the life of the instance
}

// membershipFaults are the faults by name.
var membershipFaults = map[string]fault{
	"none": {},
	"crash": {
		begin: func(w *world, name string) { w.crash(name) },
		end:   func(w *world, name string) { w.start(name, uint64(w.now.UnixMilli())) }, gone: true,
	},
	"restart empty": {
		begin: func(w *world, name string) { w.start(name, uint64(w.now.UnixMilli())) }, gone: true,
	},
	"restart with the clock behind": {
		begin: func(w *world, name string) { w.start(name, 1) }, gone: true,
	},
	"pause past every timeout": {
		begin: func(w *world, name string) { w.nodes[name].paused = true },
		end:   func(w *world, name string) { w.nodes[name].paused = false },
	},
	"platform down": {
		begin: func(w *world, _ string) { w.down = true },
		end:   func(w *world, _ string) { w.down = false },
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
	"duplicate":      {begin: func(w *world, _ string) { w.double = 1 }},
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
	"partition": {begin: func(w *world, name string) { w.part(w.nodes[name].domain) }},
	"asymmetric loss": {
		begin: func(w *world, name string) { w.cut = func(from, _ string) bool { return from == name } },
	},
}

// membershipSteps are the steps by name, about one instance.
var membershipSteps = map[string]func(w *world, name string){
	"announce": func(w *world, name string) {
		if n := w.nodes[name]; n.up && !n.paused {
			w.perform(name, n.agent.Announce(w.now, []*wire.Server{{Service: "quotes", Slots: 2, Epoch: 9}}))
		}
	},
	"suspect": func(w *world, name string) {
		w.nodes["n4"].agent.table.Judge(name, wire.State_STATE_SUSPECT, w.now)
	},
	"refute": func(w *world, name string) {
		w.nodes["n4"].agent.table.Judge(name, wire.State_STATE_DEAD, w.now)
	},
	"join": func(w *world, name string) { w.start(name, uint64(w.now.UnixMilli())) },
	"leave": func(w *world, name string) {
		w.leave(name)
	},
	"part": func(w *world, name string) { w.part(w.nodes[name].domain) },
	"heal": func(w *world, name string) {
		w.part(w.nodes[name].domain)
		w.run(20 * testBeat)
		w.heal()
	},
}

// TestFaultMatrixMembership causes every fault at every step and checks, while
// it lasts, that no dead incarnation returns, and afterwards that every node
// routes to the instances that are up and to no other.
func TestFaultMatrixMembership(t *testing.T) {
	for stepName, step := range membershipSteps {
		for faultName, f := range membershipFaults {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				w := newWorld(7, "a", "a", "a", "b", "b", "b", "c", "c", "c")
				w.run(10 * testBeat)
				cell(t, w, "n7", step, f)
			})
		}
	}
}

func cell(t *testing.T, w *world, name string, step func(*world, string), f fault) {
	if f.begin != nil {
		f.begin(w, name)
	}
	step(w, name)
	for range 20 {
		w.run(testBeat)
		w.safe(t)
	}
	if f.end != nil {
		f.end(w, name)
	}
	w.heal()
	w.run(60 * testBeat)
	w.safe(t)
	w.check(t)
}

// TestPartedRegionIsKept checks that an hour's partition of a failure domain
// forgets nobody, keeps calls near, and heals without a storm.
func TestPartedRegionIsKept(t *testing.T) {
	var domains []string
	for i := range 24 {
		domains = append(domains, []string{"a", "b", "c"}[i%3])
	}
	w := newWorld(3, domains...)
	w.run(20 * testBeat)
	w.sent = 0
	w.run(60 * testBeat)
	idle := w.sent
	w.part("b")
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
	w.run(60 * testBeat)
	require.LessOrEqual(t, w.sent, 2*idle, "messages in the minute after healing against an idle minute")
	w.check(t)
}

// TestPausedNodeActsOnNothing checks that a node that was stopped offers its own
// server only until it has caught up, and suspects nobody.
func TestPausedNodeActsOnNothing(t *testing.T) {
	w := newWorld(5, "a", "a", "a", "b", "b", "b")
	w.run(10 * testBeat)
	w.pause("n5", 20*testBeat)
	w.crash("n2")
	a := w.nodes["n5"].agent
	a.wake(w.now.Add(testBeat / ticksPerBeat))
	require.True(t, a.View().Stale)
	require.False(t, a.Joined())
	require.Equal(t, []string{"n5"}, w.routable("n5"))
	for _, name := range w.names {
		require.NotEqual(t, wire.State_STATE_DEAD, a.table.State(name))
	}
	w.run(60 * testBeat)
	w.check(t)
}

// TestPartsMeetAgain checks that two parts of a fleet that took each other for
// dead, one member after another, find back to each other without a seed.
func TestPartsMeetAgain(t *testing.T) {
	w := newWorld(0, "a", "a", "a", "b", "b", "b", "c", "c", "c")
	w.crash("n0")
	w.part("a")
	w.run(9 * testBeat)
	w.crash("n2")
	w.heal()
	w.run(7 * testBeat)
	w.crash("n5")
	w.leave("n4")
	w.run(4 * testBeat)
	w.part("c")
	w.run(7 * testBeat)
	w.heal()
	w.run(120 * testBeat)
	w.check(t)
}

// TestHerdKnowsItself starts every instance of a fleet at one moment, empty, and
// checks that all know all and agree before duties would be taken on trust.
func TestHerdKnowsItself(t *testing.T) {
	w := newWorld(7)
	for i := range 150 {
		name := fmt.Sprintf("n%d", i)
		w.names = append(w.names, name)
		w.nodes[name] = &host{domain: fmt.Sprintf("d%d", i%7)}
	}
	for _, name := range w.names {
		w.start(name, uint64(w.now.UnixMilli()))
	}
	w.run(settleBeats * testBeat)
	w.check(t)
}
