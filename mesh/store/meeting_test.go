package store_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// TestMeeting checks that each failure domain has the wanted number of meeting
// points and no more, that a node updates its point when its address changes, and
// that points of dead nodes are deleted and replaced.
func TestMeeting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		alive := map[string]bool{}
		const perDomain = 3
		ctx, cancel := context.WithCancel(t.Context())
		stop := map[string]context.CancelFunc{}
		start := func(name, domain, peer string) *store.MeetingPoints {
			alive[name] = true
			m := store.NewMeetingPoints(store.MeetingPointsConfig{
				Store: platform, Self: func() *wire.Member { return &wire.Member{Name: name, Domain: domain, Peer: peer} },
				IsAlive: func(name string) bool { return alive[name] }, MembersKnown: func() bool { return true }, PointsPerDomain: perDomain,
			})
			if stop[name] != nil {
				stop[name]()
			}
			var nodeCtx context.Context
			nodeCtx, stop[name] = context.WithCancel(ctx)
			go func() { _ = m.Run(nodeCtx) }()
			time.Sleep(10 * time.Millisecond)
			return m
		}
		var meetings []*store.MeetingPoints
		for i := range 10 {
			meetings = append(meetings, start(fmt.Sprint("n", i), fmt.Sprint("d", i%2), fmt.Sprint("10.0.0.", i, ":1")))
		}
		members, err := meetings[9].Read(ctx)
		require.NoError(t, err)
		require.Len(t, members, 2*perDomain)
		require.Equal(t, "10.0.0.0:1", members[0].GetPeer())

		start("n0", "d0", "10.0.0.99:1") // restarts at another address
		members, err = meetings[9].Read(ctx)
		require.NoError(t, err)
		require.Equal(t, "10.0.0.99:1", members[0].GetPeer())

		for _, name := range []string{"n1", "n2"} {
			alive[name] = false
			stop[name]()
		}
		writes := func() uint64 { c := platform.Calls(); return c["create"] + c["update"] }
		before := writes()
		time.Sleep(10 * time.Minute)
		members, err = meetings[9].Read(ctx)
		require.NoError(t, err)
		for _, m := range members {
			require.True(t, alive[m.GetName()], m.GetName())
		}
		require.Len(t, members, 2*perDomain, "other nodes of the domain replace the points")
		require.LessOrEqual(t, writes()-before, uint64(4), "points are not renewed")
		cancel()
		synctest.Wait()
	})
}

// staleStore lists objects at less cost, as they were when it was last told to copy them.
type staleStore struct {
	store.Store
	copied []store.Object
	stale  int // lists of the copy
}

func (s *staleStore) ListStale(context.Context, string, string) ([]store.Object, bool, error) {
	s.stale++
	return s.copied, false, nil
}

// TestMeetingPointsAreReadOnceAStart checks how often a node lists the meeting points: once
// at its start for its own point and the search for others, once at less cost when it looks
// for other fleets, and not again for the first check after that.
func TestMeetingPointsAreReadOnceAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		cheap := &staleStore{Store: platform}
		ctx, cancel := context.WithCancel(t.Context())
		m := store.NewMeetingPoints(store.MeetingPointsConfig{
			Store: cheap, Self: func() *wire.Member { return &wire.Member{Name: "a", Domain: "d", Peer: "10.0.0.1:1"} },
			IsAlive: func(string) bool { return true }, MembersKnown: func() bool { return true }, PointsPerDomain: 1,
		})
		go func() { _ = m.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		_, err := m.ReadShared(ctx)
		require.NoError(t, err)
		require.EqualValues(t, 1, platform.Calls()["list"])
		time.Sleep(time.Second)
		members, err := m.ReadShared(ctx)
		require.NoError(t, err)
		require.Len(t, members, 1, "a later search sees what was written since")
		require.EqualValues(t, 2, platform.Calls()["list"])

		cheap.copied, _, err = store.ListAll(ctx, platform, store.KindMember, "")
		require.NoError(t, err)
		lists := platform.Calls()["list"]
		time.Sleep(2 * time.Second)
		members, err = m.ReadStale(ctx)
		require.NoError(t, err)
		require.Len(t, members, 1)
		require.Equal(t, 1, cheap.stale)
		time.Sleep(45 * time.Second)
		require.EqualValues(t, lists, platform.Calls()["list"], "the first check uses what was read")
		time.Sleep(4 * time.Minute)
		require.Greater(t, platform.Calls()["list"], lists, "later ones read anew")
		cancel()
		synctest.Wait()
	})
}

// TestOddMeetingPointNamesNobody guards against joiners that dial what another writer left among the meeting points.
func TestOddMeetingPointNamesNobody(t *testing.T) {
	for name, body := range map[string]string{
		"port out of range": `{"name":"b","domain":"d","peer":"10.0.0.1:99999999"}`,
		"port 0":            `{"name":"b","domain":"d","peer":"10.0.0.1:0"}`,
		"host name":         `{"name":"b","domain":"d","peer":"example:80"}`,
		"no name":           `{"domain":"d","peer":"10.0.0.1:80"}`,
		"number as address": `{"name":"b","domain":"d","peer":1e999}`,
		"large":             `{"name":"` + strings.Repeat("b", 64<<10) + `","domain":"d","peer":"10.0.0.1:80"}`,
		"deep":              strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"text":              `"x"`,
	} {
		t.Run(name, func(t *testing.T) {
			platform := storetest.New()
			for object, body := range map[string]string{"a": `{"name":"a","domain":"d","peer":"10.0.0.1:80"}`, "b": body, "c": `{"name":"c","domain":"d","peer":"10.0.0.2:80"}`} {
				_, err := platform.Create(t.Context(), store.KindMember, object, []byte(body))
				require.NoError(t, err)
			}
			m := store.NewMeetingPoints(store.MeetingPointsConfig{Store: platform})
			members, err := m.Read(t.Context())
			require.NoError(t, err)
			require.Len(t, members, 2)
			require.Equal(t, []string{"a", "c"}, []string{members[0].GetName(), members[1].GetName()})
		})
	}
}
