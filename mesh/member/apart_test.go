package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// newSplitWorld starts nodes without seeds at once, in two halves that do not reach each
// other. The meeting points name nodes of both, whether or not they have joined.
func newSplitWorld(seed uint64, size, domains int) *world {
	w := newWorld(seed)
	w.seeds, w.hasMeetingPoints = nil, true
	half := map[string]bool{}
	for i := range size {
		name := fmt.Sprintf("n%03d", i)
		w.names = append(w.names, name)
		w.nodes[name] = &host{domain: fmt.Sprintf("d%d", i%domains)}
		half[name] = w.rand.IntN(2) == 0
		w.start(name, uint64(w.now.UnixMilli()))
	}
	for _, name := range w.names[:min(size, 16*domains)] {
		w.points = append(w.points, pointOf(name))
	}
	w.cut = func(from, to string) bool { return half[from] != half[to] }
	return w
}

// pointOf returns the meeting point of a node.
func pointOf(name string) *wire.Member { return &wire.Member{Name: name, Peer: name} }

// TestFleetsThatFormedApartMeet guards against fleets that stay apart because no member of one knows a member of the other.
func TestFleetsThatFormedApartMeet(t *testing.T) {
	for size, seeds := range map[int]uint64{8: 20, 70: 3, 295: 1} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			for seed := range seeds {
				w := newSplitWorld(seed, size, 5)
				w.run(3 * testHeartbeat)
				w.heal()
				w.run(20 * testHeartbeat)
				w.checkConverged(t)
			}
		})
	}
}

// TestLookingForOtherFleetsIsBounded checks that a node reads the meeting points once more
// after it has joined, contacts none of the members that it knows, and spends a bounded
// number of messages on points of nodes that are gone.
func TestLookingForOtherFleetsIsBounded(t *testing.T) {
	w := newSplitWorld(1, 100, 5)
	w.heal()
	reads := 0
	w.onDiscover = func(name string) {
		if name == "n007" {
			reads++
		}
	}
	w.run(15 * testHeartbeat)
	w.checkConverged(t)
	require.Equal(t, 2, reads)
	a := w.nodes["n007"].agent
	for i := range 80 {
		w.points = append(w.points, pointOf(fmt.Sprintf("gone-%d", i)))
	}
	a.DiscoverDone(w.now, w.points)
	asked := map[string]int{}
	for range 60 * beatTicks {
		w.now = w.now.Add(testHeartbeat / beatTicks)
		for _, act := range a.Tick(w.now) {
			require.NotContains(t, []ActionKind{Discover, DiscoverFleets, Join}, act.Kind, "the meeting points are read once more only")
			if act.Kind == Sync && act.Name == "" {
				asked[act.Addr]++
				a.SyncDone(w.now, act, nil)
			}
		}
	}
	require.Len(t, asked, 8)
	for addr, times := range asked {
		require.Contains(t, addr, "gone-")
		require.Equal(t, 1, times)
	}
}

// TestPausedNodeLooksForOtherFleets checks that a node that was paused for long looks for
// another fleet as one that has started does.
func TestPausedNodeLooksForOtherFleets(t *testing.T) {
	w := newSplitWorld(2, 12, 3)
	w.heal()
	w.run(15 * testHeartbeat)
	reads := 0
	w.onDiscover = func(name string) {
		if name == "n005" {
			reads++
		}
	}
	w.pause("n005", 10*testHeartbeat)
	w.run(20 * testHeartbeat)
	w.checkConverged(t)
	require.Equal(t, 1, reads)
}
