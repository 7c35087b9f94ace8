package spread_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

// newRoot returns the state and the holder of a root node, with a table that it
// read from the platform, and the name of a node of lower rank.
func newRoot(t *testing.T, pushDelay time.Duration, now time.Time) (s *spread.State, h *revision.Holder, childName string) {
	tree := spread.Tree{Fanout: 16, ReadersPerDomain: 2}
	name, childName := "a", "b"
	if tree.RankOf(childName).Above(tree.RankOf(name)) {
		name, childName = childName, name
	}
	self := &wire.Member{Name: name, Peer: name, Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE}
	view := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: 3 * time.Second}, self, now).View()
	h = &revision.Holder{}
	s = spread.New(spread.Config{Tree: tree, Holder: h, HeartbeatInterval: time.Second, ExchangeInterval: time.Hour, PushDelay: pushDelay}, view, now)
	require.False(t, s.FloorKnown())
	s.SetFloor(5)
	require.True(t, s.FloorKnown(), "no peer need be asked")
	require.False(t, h.Ready(), "nothing older than what was read may be served")
	snapshot, err := revision.NewDocument(5, &wire.Document{})
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Snapshot: snapshot}))
	require.True(t, h.Ready())
	return s, h, childName
}

// countPushes returns the number of pushes among the pending actions of a state.
func countPushes(s *spread.State) int {
	n := 0
	for _, a := range s.Actions() {
		if a.Kind == spread.ActionPush {
			n++
		}
	}
	return n
}

// TestPatience guards against pushes to a child that could read the platform
// itself in time, and against a delayed push to a child without a table.
func TestPatience(t *testing.T) {
	const pushDelay = 1250 * time.Millisecond
	for name, c := range map[string]struct {
		revision uint64        // of the child's table
		after    time.Duration // until the push
	}{
		"behind":          {4, 2 * time.Second}, // the first heartbeat after the push delay
		"without a table": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			s, _, childName := newRoot(t, pushDelay, now)
			attach := func() {
				s.HandleAttach(&wire.AttachRequest{Name: childName, Peer: childName, Domain: "x", Incarnation: 1, Revision: c.revision}, now)
			}
			attach()
			for waited := time.Duration(0); waited < c.after; waited += time.Second {
				require.Zero(t, countPushes(s), waited)
				now = now.Add(time.Second)
				attach()
			}
			require.Equal(t, 1, countPushes(s))
		})
	}
}

// TestCaughtUpInTime guards against a push to a child that has caught up on its
// own.
func TestCaughtUpInTime(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s, _, childName := newRoot(t, 1250*time.Millisecond, now)
	for _, revision := range []uint64{4, 5, 5, 5} {
		s.HandleAttach(&wire.AttachRequest{Name: childName, Peer: childName, Domain: "x", Incarnation: 1, Revision: revision}, now)
		require.Zero(t, countPushes(s))
		now = now.Add(time.Second)
	}
}
