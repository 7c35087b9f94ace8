package spread_test

// This file causes every fault at every step of a change's way through the
// tree.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultTime is how long a fault lasts that ends by itself.
const faultTime = 12 * beat

// spreadFaults cause a fault on the instance at which a step happens.
var spreadFaults = map[string]func(w *world, i *instance){
	"crash": func(w *world, i *instance) {
		i.up = false
		w.after(3*beat, w.look) // the others learn of it
	},
	"pause": func(w *world, i *instance) { i.paused = w.now.Add(faultTime) },
	"restart empty": func(w *world, i *instance) {
		i.up = false
		w.after(beat, func() { w.start(i) })
	},
	"platform down": func(w *world, _ *instance) {
		w.down = true
		w.after(faultTime, func() { w.down = false })
	},
	"slow": func(w *world, i *instance) {
		w.slow = func(o *instance) time.Duration {
			if o == i {
				return 3 * beat / 2
			}
			return 0
		}
	},
	"duplicate": func(w *world, _ *instance) { w.double = 100 },
	"reorder":   func(w *world, _ *instance) { w.delay = 2 * beat },
	"stale read": func(w *world, _ *instance) {
		w.stale = uint64(len(w.history) - 1)
		w.after(faultTime, func() { w.stale = 0 })
	},
	"cut connection": func(w *world, i *instance) {
		w.cut = func(from, to string) bool { return from == i.name || to == i.name }
		w.after(beat/2, func() { w.cut = func(string, string) bool { return false } })
	},
	"silent connection": func(w *world, i *instance) {
		parent := i.state.Parent()
		w.cut = func(from, to string) bool {
			return from == i.name && to == parent || from == parent && to == i.name
		}
	},
	"partition": func(w *world, i *instance) {
		w.cut = func(from, to string) bool {
			return (w.byName[from].domain == i.domain) != (w.byName[to].domain == i.domain)
		}
	},
}

// spreadSteps are the steps of a change; each names the instances at which the
// fault may strike.
var spreadSteps = map[string]func(w *world, i *instance) bool{
	"read":  func(*world, *instance) bool { return true },
	"push":  func(_ *world, i *instance) bool { return i.state.Parent() != "" },
	"apply": func(_ *world, i *instance) bool { return i.state.Parent() != "" },
	"swap":  func(*world, *instance) bool { return true },
	"report": func(w *world, i *instance) bool {
		return i.state.Parent() != "" && i.holder.Table().Number == uint64(len(w.history))
	},
}

// TestFaultMatrixSpread causes each fault at each step of one change. The
// promises hold after every event. Two more changes follow while the fault
// lasts; once it has ended, all instances that are up hold the head within the
// bound of a change, and the top reports on all of them.
func TestFaultMatrixSpread(t *testing.T) {
	for fault, cause := range spreadFaults {
		for step, where := range spreadSteps {
			t.Run(fault+"/"+step, func(t *testing.T) {
				w := newWorld(uint64(len(fault)*31+len(step)), 16, 3)
				w.publish()
				w.run(20 * beat)
				require.Empty(t, w.behind())
				struck := false
				w.hook = func(at string, i *instance) {
					if at == step && where(w, i) && !struck {
						struck = true
						cause(w, i)
					}
				}
				w.publish()
				for range 2 {
					w.run(faultTime / 3)
					w.publish()
				}
				w.run(faultTime / 3)
				require.True(t, struck, "the fault was not caused")
				require.NoError(t, w.broken)
				w.heal()
				w.run(inForceBound)
				require.NoError(t, w.broken)
				require.Empty(t, w.behind())
				w.run(20 * beat)
				w.requireReport(t)
				w.publish()
				w.run(inForceBound)
				require.NoError(t, w.broken)
				require.Empty(t, w.behind())
			})
		}
	}
}

// TestCrashesAreQuick crashes the first reader of each failure domain, the top
// included, at the moment of a change, with views that still show them: the
// change is in force on all others within its bound.
func TestCrashesAreQuick(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 24, 3)
		w.publish()
		w.run(20 * beat)
		gone := map[string]bool{}
		for _, i := range w.instances {
			if i.up && !gone[i.domain] && (i.state.Parent() == "" || i.state.Reader(w.now)) {
				i.up, gone[i.domain] = false, true
			}
		}
		require.Len(t, gone, 3)
		w.publish()
		w.run(inForceBound)
		require.NoError(t, w.broken)
		require.Empty(t, w.behind(), "seed %d", seed)
	}
}

// TestDomainReturns restarts a whole failure domain at once while the platform
// is down: every instance learns its floor from its peers and serves again, and
// none goes back.
func TestDomainReturns(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 24, 3)
		for range 3 {
			w.publish()
			w.run(10 * beat)
		}
		w.down = true
		for _, i := range w.instances {
			if i.domain == "d1" {
				w.start(i)
			}
		}
		w.run(20 * beat)
		require.NoError(t, w.broken)
		require.Empty(t, w.behind(), "seed %d", seed)
	}
}
