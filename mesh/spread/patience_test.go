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

// top returns the state of a node that ranks above others, with a table that it
// read from the platform, and the name of a node below it.
func top(t *testing.T, patience time.Duration, now time.Time) (s *spread.State, h *revision.Holder, below string) {
	tree := spread.Tree{Fanout: 16, Readers: 2}
	name, below := "a", "b"
	if tree.RankOf(below).Above(tree.RankOf(name)) {
		name, below = below, name
	}
	self := &wire.Member{Name: name, Peer: name, Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE}
	view := member.New(member.Config{Beat: time.Second, Suspect: 3 * time.Second}, self, now).View()
	h = &revision.Holder{}
	s = spread.New(spread.Config{Tree: tree, Holder: h, Beat: time.Second, Exchange: time.Hour, Patience: patience}, view, now)
	require.False(t, s.Settled())
	s.Current(5)
	require.True(t, s.Settled(), "nobody need be asked")
	require.False(t, h.Ready(), "nothing older than what was read may be served")
	snapshot, err := revision.NewDocument(5, &wire.Document{})
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Snapshot: snapshot}))
	require.True(t, h.Ready())
	return s, h, below
}

// pushes counts the pushes that a state asks for.
func pushes(s *spread.State) int {
	n := 0
	for _, a := range s.Actions() {
		if a.Kind == spread.ActionPush {
			n++
		}
	}
	return n
}

// TestPatience gives children that read the platform by themselves the time to
// do so, and helps those at once that hold nothing.
func TestPatience(t *testing.T) {
	const patience = 1250 * time.Millisecond
	for name, c := range map[string]struct {
		revision uint64        // of the child
		after    time.Duration // until the push
	}{
		"behind":          {4, 2 * time.Second}, // the first beat after the patience
		"without a table": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			s, _, below := top(t, patience, now)
			attach := func() {
				s.Attach(&wire.AttachRequest{Name: below, Peer: below, Domain: "x", Incarnation: 1, Revision: c.revision}, now)
			}
			attach()
			for waited := time.Duration(0); waited < c.after; waited += time.Second {
				require.Zero(t, pushes(s), waited)
				now = now.Add(time.Second)
				attach()
			}
			require.Equal(t, 1, pushes(s))
		})
	}
}

// TestCaughtUpInTime sends nothing to a child that got the table by itself.
func TestCaughtUpInTime(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s, _, below := top(t, 1250*time.Millisecond, now)
	for _, revision := range []uint64{4, 5, 5, 5} {
		s.Attach(&wire.AttachRequest{Name: below, Peer: below, Domain: "x", Incarnation: 1, Revision: revision}, now)
		require.Zero(t, pushes(s))
		now = now.Add(time.Second)
	}
}
