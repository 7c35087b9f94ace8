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
	for name, c := range map[string]struct {
		peers   int
		answers []*wire.FetchResponse // of the peers, in order; nil for none
		after   time.Duration         // until the floor is known
		floor   uint64
	}{
		"a peer holds a newer one":         {3, []*wire.FetchResponse{{Ready: true, Revision: read}, {Ready: true, Revision: held}, {}}, 0, held},
		"a peer knows what the node had":   {1, []*wire.FetchResponse{{Ready: true, Revision: read, Floor: held}}, 0, held},
		"all start":                        {3, []*wire.FetchResponse{{}, {}, {}}, 0, read},
		"one of many runs on":              {8, []*wire.FetchResponse{{}, {}, {}, {}, {}, {}, {}, {Ready: true, Revision: held}}, 0, held},
		"the only one that runs is silent": {2, []*wire.FetchResponse{{}, nil}, floorGraceHeartbeats * beat, read},
		"nobody is known":                  {0, nil, floorGraceHeartbeats * beat, read},
		"an answer beside a silent one":    {2, []*wire.FetchResponse{{Ready: true, Revision: held}, nil}, floorGraceHeartbeats * beat, held},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			view := &member.View{Self: &wire.Member{Name: "self", State: wire.State_STATE_ALIVE}, Members: map[string]*wire.Member{}}
			for _, m := range append([]*wire.Member{view.Self}, peerMembers(c.peers)...) {
				view.Names, view.Members[m.GetName()] = append(view.Names, m.GetName()), m
			}
			holder := &revision.Holder{}
			s := New(Config{Holder: holder, ExchangeInterval: time.Hour, HeartbeatInterval: beat, Rand: rand.New(rand.NewPCG(1, 1))}, view, now)
			s.Tick(now, view, 0)
			require.False(t, s.HandleRestorable(read, now))
			s.Actions() // of the round before the platform was read
			s.Tick(now, view, 1)
			asked := 0
			for _, a := range s.Actions() {
				if a.Kind == ActionFetch && c.answers[asked] != nil {
					s.HandleFetchResponse(a, c.answers[asked], now)
				}
				asked++
			}
			require.Equal(t, c.peers, asked)
			require.Equal(t, c.after == 0, s.FloorKnown())
			s.Tick(now.Add(c.after), view, 1)
			require.True(t, s.FloorKnown())
			require.True(t, s.HandleRestorable(read, now))
			require.Equal(t, c.floor, holder.Floor())
		})
	}
}

// peerMembers returns live members.
func peerMembers(count int) (out []*wire.Member) {
	for i := range count {
		name := fmt.Sprint("peer", i)
		out = append(out, &wire.Member{Name: name, Peer: name, State: wire.State_STATE_ALIVE})
	}
	return out
}
