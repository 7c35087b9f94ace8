package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// TestMeeting lets nodes of two failure domains write their meeting points, of
// which each domain keeps a few, and removes those of nodes that are gone.
func TestMeeting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		alive := map[string]bool{}
		const places = 3
		ctx, cancel := context.WithCancel(t.Context())
		kill := map[string]context.CancelFunc{}
		start := func(name, domain, peer string) *store.Meeting {
			alive[name] = true
			m := store.NewMeeting(store.MeetingConfig{
				Store: platform, Self: func() *wire.Member { return &wire.Member{Name: name, Domain: domain, Peer: peer} },
				Alive: func(name string) bool { return alive[name] }, Known: func() bool { return true }, Places: places,
			})
			if kill[name] != nil {
				kill[name]()
			}
			var life context.Context
			life, kill[name] = context.WithCancel(ctx)
			go func() { _ = m.Run(life) }()
			time.Sleep(10 * time.Millisecond)
			return m
		}
		var meetings []*store.Meeting
		for i := range 10 {
			meetings = append(meetings, start(fmt.Sprint("n", i), fmt.Sprint("d", i%2), fmt.Sprint("10.0.0.", i, ":1")))
		}
		members, err := meetings[9].Read(ctx)
		require.NoError(t, err)
		require.Len(t, members, 2*places)
		require.Equal(t, "10.0.0.0:1", members[0].GetPeer())

		start("n0", "d0", "10.0.0.99:1") // again, at another address
		members, err = meetings[9].Read(ctx)
		require.NoError(t, err)
		require.Equal(t, "10.0.0.99:1", members[0].GetPeer())

		for _, name := range []string{"n1", "n2"} {
			alive[name] = false
			kill[name]()
		}
		writes := func() uint64 { c := platform.Calls(); return c["create"] + c["update"] }
		before := writes()
		time.Sleep(10 * time.Minute)
		members, err = meetings[9].Read(ctx)
		require.NoError(t, err)
		for _, m := range members {
			require.True(t, alive[m.GetName()], m.GetName())
		}
		require.Len(t, members, 2*places, "others of the domain take the places")
		require.LessOrEqual(t, writes()-before, uint64(4), "nothing is renewed")
		cancel()
		synctest.Wait()
	})
}
