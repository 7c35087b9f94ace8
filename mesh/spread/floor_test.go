package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// TestPlatformHeadKeepsServing guards against a reader that stops serving its
// table when it learns of a newer revision on the platform, before that one is
// applied. A starting reader serves nothing below the platform's head.
func TestPlatformHeadKeepsServing(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, &wire.Member{Name: "a", State: wire.State_STATE_ALIVE}, now)
	holder := &revision.Holder{}
	s := New(Config{Holder: holder, ExchangeInterval: time.Second, HeartbeatInterval: time.Second}, agent.View(), now)
	require.True(t, s.HandlePlatformRevision(1, now))
	require.False(t, holder.Ready())
	rev, err := revision.Next(holder.Table(), revision.Result{}, "change", "a", 1)
	require.NoError(t, err)
	require.NoError(t, holder.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	require.True(t, holder.Ready())

	require.True(t, s.HandlePlatformRevision(2, now))
	require.True(t, holder.Ready(), "the table in force is served until the next one is applied")
}

// TestStartAfterRestore guards against a node that starts after the platform came
// back from an older copy and serves that although a peer holds a newer
// configuration.
func TestStartAfterRestore(t *testing.T) {
	const beat = time.Second
	const read, held = 10, 12 // on the platform, and by a peer
	const grace = floorGraceHeartbeats * beat
	for name, c := range map[string]struct {
		members, listed int                   // peers in the view, and those known from elsewhere
		answers         []*wire.FetchResponse // of the peers asked in each round, in order; nil for none
		after           time.Duration         // until the floor is known
		floor           uint64
	}{
		"a peer holds a newer one":         {3, 0, []*wire.FetchResponse{{Ready: true, Revision: read}, {Ready: true, Revision: held}, {}}, 0, held},
		"a peer knows what the node had":   {1, 0, []*wire.FetchResponse{{Ready: true, Revision: read, Floor: held}}, 0, held},
		"one of many runs on":              {8, 0, []*wire.FetchResponse{{}, {}, {}, {}, {}, {}, {}, {Ready: true, Revision: held}}, 0, held},
		"one that is no member yet":        {0, 2, []*wire.FetchResponse{{}, {Ready: true, Revision: held}}, 0, held},
		"all start":                        {1, 3, []*wire.FetchResponse{{}, {}, {}, {}}, (restoredRounds - 1) * beat / 8, read},
		"all members start":                {3, 0, []*wire.FetchResponse{{}, {}, {}}, grace, read},
		"the only one that runs is silent": {2, 1, []*wire.FetchResponse{{}, nil, {}}, grace, read},
		"nobody is known":                  {0, 0, nil, grace, read},
		"an answer beside a silent one":    {2, 0, []*wire.FetchResponse{{Ready: true, Revision: held}, nil}, grace, held},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			view := &member.View{Self: &wire.Member{Name: "self", State: wire.State_STATE_ALIVE}, Members: map[string]*wire.Member{}}
			for _, m := range append([]*wire.Member{view.Self}, peersNamed("member", c.members)...) {
				view.Names, view.Members[m.GetName()] = append(view.Names, m.GetName()), m
			}
			holder := &revision.Holder{}
			s := New(Config{
				Holder: holder, ExchangeInterval: time.Hour, HeartbeatInterval: beat, Rand: rand.New(rand.NewPCG(1, 1)),
				KnownNodes: func() []*wire.Member { return peersNamed("listed", c.listed) },
			}, view, start)
			s.Tick(start, view, 0)
			s.Actions() // of the round before the platform was read
			require.False(t, s.HandleRestorable(read, start))
			known := start
			for ; !s.FloorKnown(); known = known.Add(beat / 8) {
				require.False(t, known.After(start.Add(grace)), "the floor is not known")
				s.Tick(known, view, 1)
				asked := 0
				for _, a := range s.Actions() {
					if a.Kind == ActionFetch && c.answers[asked] != nil {
						s.HandleFetchResponse(a, c.answers[asked], known)
					}
					asked++
				}
				if s.FloorKnown() {
					break
				}
			}
			require.Equal(t, c.after, known.Sub(start))
			require.True(t, s.HandleRestorable(read, known))
			require.Equal(t, c.floor, holder.Floor())
		})
	}
}

// peersNamed returns live members.
func peersNamed(prefix string, count int) (out []*wire.Member) {
	for i := range count {
		name := fmt.Sprint(prefix, i)
		out = append(out, &wire.Member{Name: name, Peer: name, State: wire.State_STATE_ALIVE})
	}
	return out
}
