package spread_test

// This file injects every fault at every step of the distribution of a change.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultDuration is the duration of the faults that end by themselves.
const faultDuration = 12 * heartbeat

// faults inject a fault at the instance that reached a step.
var faults = map[string]func(f *fleet, i *instance){
	"crash": func(f *fleet, i *instance) {
		i.up = false
		f.schedule(3*heartbeat, f.refreshViews) // the other instances detect the crash
	},
	"pause": func(f *fleet, i *instance) { i.pausedUntil = f.now.Add(faultDuration) },
	"restart empty": func(f *fleet, i *instance) {
		i.up = false
		f.schedule(heartbeat, func() { f.start(i) })
	},
	"platform down": func(f *fleet, _ *instance) {
		f.platformDown = true
		f.schedule(faultDuration, func() { f.platformDown = false })
	},
	"slow": func(f *fleet, i *instance) {
		f.extraDelay = func(o *instance) time.Duration {
			if o == i {
				return 3 * heartbeat / 2
			}
			return 0
		}
	},
	"duplicate": func(f *fleet, _ *instance) { f.duplicates = 100 },
	"reorder":   func(f *fleet, _ *instance) { f.maxDelay = 2 * heartbeat },
	"stale read": func(f *fleet, _ *instance) {
		f.staleHead = uint64(len(f.history) - 1)
		f.schedule(faultDuration, func() { f.staleHead = 0 })
	},
	"cut connection": func(f *fleet, i *instance) {
		f.dropped = func(from, to string) bool { return from == i.name || to == i.name }
		f.schedule(heartbeat/2, func() { f.dropped = func(string, string) bool { return false } })
	},
	"silent connection": func(f *fleet, i *instance) {
		parent := i.state.Parent()
		f.dropped = func(from, to string) bool {
			return from == i.name && to == parent || from == parent && to == i.name
		}
	},
	"partition": func(f *fleet, i *instance) {
		f.dropped = func(from, to string) bool {
			return (f.byName[from].domain == i.domain) != (f.byName[to].domain == i.domain)
		}
	},
}

// changeSteps are the steps of a change; each reports whether a fault may be
// injected at an instance.
var changeSteps = map[string]func(f *fleet, i *instance) bool{
	"read":  func(*fleet, *instance) bool { return true },
	"push":  func(_ *fleet, i *instance) bool { return i.state.Parent() != "" },
	"apply": func(_ *fleet, i *instance) bool { return i.state.Parent() != "" },
	"swap":  func(*fleet, *instance) bool { return true },
	"report": func(f *fleet, i *instance) bool {
		return i.state.Parent() != "" && i.holder.Table().Number == uint64(len(f.history))
	},
}

// TestFaultMatrixSpread injects each fault at each step of a change, publishes
// two more changes while the fault lasts, and then ends it. It guards against an
// invariant that breaks at any event, an instance that is not at the head
// within inForceBound of the end of the fault, and a root that does not report
// on all instances.
func TestFaultMatrixSpread(t *testing.T) {
	for fault, inject := range faults {
		for step, applies := range changeSteps {
			t.Run(fault+"/"+step, func(t *testing.T) {
				f := newFleet(uint64(len(fault)*31+len(step)), 16, 3)
				f.publish()
				f.advance(20 * heartbeat)
				require.Empty(t, f.lagging())
				injected := false
				f.hook = func(at string, i *instance) {
					if at == step && applies(f, i) && !injected {
						injected = true
						inject(f, i)
					}
				}
				f.publish()
				for range 2 {
					f.advance(faultDuration / 3)
					f.publish()
				}
				f.advance(faultDuration / 3)
				require.True(t, injected, "the fault was not injected")
				require.NoError(t, f.violation)
				f.heal()
				f.advance(inForceBound)
				require.NoError(t, f.violation)
				require.Empty(t, f.lagging())
				f.advance(20 * heartbeat)
				f.requireReport(t)
				f.publish()
				f.advance(inForceBound)
				require.NoError(t, f.violation)
				require.Empty(t, f.lagging())
			})
		}
	}
}

// TestCrashesAreQuick crashes one reader of each failure domain, the root
// included, just before a change, while the views still show them as alive. It
// guards against a change that is in force late on the others because they still
// rely on the crashed nodes.
func TestCrashesAreQuick(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 24, 3)
		f.publish()
		f.advance(20 * heartbeat)
		gone := map[string]bool{}
		for _, i := range f.instances {
			if i.up && !gone[i.domain] && (i.state.Parent() == "" || i.state.ReadsPlatform(f.now)) {
				i.up, gone[i.domain] = false, true
			}
		}
		require.Len(t, gone, 3)
		f.publish()
		f.advance(inForceBound)
		require.NoError(t, f.violation)
		require.Empty(t, f.lagging(), "seed %d", seed)
	}
}

// TestDomainReturns restarts all instances of a failure domain at once while the
// platform is down. It guards against an instance that does not learn its floor
// from its peers, and so goes back or stays unready.
func TestDomainReturns(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 24, 3)
		for range 3 {
			f.publish()
			f.advance(10 * heartbeat)
		}
		f.platformDown = true
		for _, i := range f.instances {
			if i.domain == "d1" {
				f.start(i)
			}
		}
		f.advance(20 * heartbeat)
		require.NoError(t, f.violation)
		require.Empty(t, f.lagging(), "seed %d", seed)
	}
}
