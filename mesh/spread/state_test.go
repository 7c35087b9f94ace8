package spread_test

// This file tests a simulated fleet under random faults.

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/spread"
)

// inForceBound is the time within which a change must be in force on every
// instance.
const inForceBound = 3 * time.Second

// TestSpreadUnderFaults runs a fleet through random faults. It guards against an
// instance that goes back, also across a restart, against one that holds a table
// that was not accepted, and against parents that form a cycle. Once the faults
// end, every instance that is up reaches the head, the root reports on all of
// them, and a change is in force within inForceBound.
func TestSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 24).Draw(t, "nodes"), rapid.IntRange(1, 4).Draw(t, "domains"))
		f.publish()
		f.advance(20 * heartbeat)
		require.NoError(t, f.violation)
		require.Empty(t, f.lagging())
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			f.step(t)
			require.NoError(t, f.violation)
		}
		f.heal()
		f.advance(45 * heartbeat)
		require.NoError(t, f.violation)
		require.Empty(t, f.lagging(), "after the faults")
		f.requireReport(t)
		f.publish()
		f.advance(inForceBound)
		require.NoError(t, f.violation)
		require.Empty(t, f.lagging(), "a change after the faults")
	})
}

// requireReport checks that there is a single root and that its report counts
// every instance at the head.
func (f *fleet) requireReport(t require.TestingT) {
	roots := f.roots()
	require.Len(t, roots, 1)
	r := roots[0].state.Report(f.now)
	spread.FillUnknown(r, roots[0].view)
	require.Empty(t, r.GetUnknown())
	require.Empty(t, r.GetLaggards())
	counted := 0
	for _, c := range r.GetCounts() {
		require.Equal(t, uint64(len(f.history)), c.GetRevision())
		counted += int(c.GetNodes())
	}
	require.Equal(t, f.upCount(), counted)
}

// floorsKnown reports whether every instance that is up knows its floor. An
// instance that starts while the platform is stale or down depends on what the
// peers that it reaches have recorded, and may not learn its floor.
func (f *fleet) floorsKnown() bool {
	for _, i := range f.instances {
		if i.up && !i.state.FloorKnown() {
			return false
		}
	}
	return true
}

// fuzzSteps are the faults, changes and repairs by name. The order of the names
// determines which step a seed draws.
var fuzzSteps = map[string]func(*fleet, *instance, *rapid.T){
	"publish": func(f *fleet, _ *instance, _ *rapid.T) {
		if !f.platformDown {
			f.publish()
		}
	},
	"crash": func(f *fleet, i *instance, _ *rapid.T) { i.up = i.up && f.upCount() == 1 },
	"start": func(f *fleet, i *instance, _ *rapid.T) {
		if !i.up && !f.platformDown && f.staleHead == 0 {
			f.start(i)
		}
	},
	"restart": func(f *fleet, i *instance, _ *rapid.T) {
		if !f.platformDown && f.staleHead == 0 {
			f.start(i)
		}
	},
	"pause": func(f *fleet, i *instance, t *rapid.T) {
		i.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "beats")) * heartbeat)
	},
	"view": func(f *fleet, i *instance, t *rapid.T) {
		gone := rapid.SliceOfN(rapid.Bool(), len(f.instances), len(f.instances)).Draw(t, "gone")
		i.view = f.viewWithout(i, func(o *instance) bool { return gone[slices.Index(f.instances, o)] })
	},
	"look": func(f *fleet, _ *instance, _ *rapid.T) { f.refreshViews() },
	"loss": func(f *fleet, _ *instance, t *rapid.T) { f.loss = rapid.IntRange(0, 60).Draw(t, "percent") },
	"double": func(f *fleet, _ *instance, t *rapid.T) {
		f.duplicates = rapid.IntRange(0, 60).Draw(t, "percent")
	},
	"slow": func(f *fleet, _ *instance, t *rapid.T) {
		f.maxDelay = time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
	},
	"platform": func(f *fleet, _ *instance, _ *rapid.T) { f.platformDown = !f.platformDown && f.floorsKnown() },
	"stale": func(f *fleet, _ *instance, t *rapid.T) {
		if f.floorsKnown() {
			f.staleHead = uint64(rapid.IntRange(0, len(f.history)).Draw(t, "stale"))
		}
	},
	"partition": func(f *fleet, _ *instance, _ *rapid.T) {
		f.dropped = func(from, to string) bool { return f.byName[from].domain != f.byName[to].domain }
	},
	"silent": func(f *fleet, i *instance, _ *rapid.T) {
		f.dropped = func(from, to string) bool { return from == i.name || to == i.name }
	},
	"heal": func(f *fleet, _ *instance, _ *rapid.T) { f.heal() },
}

// step performs a random fault, change or repair and advances the clock.
func (f *fleet) step(t *rapid.T) {
	i := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")]
	fuzzSteps[rapid.SampledFrom(slices.Sorted(maps.Keys(fuzzSteps))).Draw(t, "step")](f, i, t)
	f.advance(time.Duration(rapid.IntRange(0, 8000).Draw(t, "run")) * time.Millisecond)
}
