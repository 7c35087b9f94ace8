package store_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
)

// keeper is a node that keeps condemned requests.
type keeper struct {
	suspects *call.Suspects
	stop     context.CancelFunc
}

// startKeepers starts nodes, of which the first one removes what is out of date. They
// don't hear of each other.
func startKeepers(ctx context.Context, platform *storetest.Store, count int) []keeper {
	var out []keeper
	for n := range count {
		nodeCtx, stop := context.WithCancel(ctx)
		k := keeper{call.NewSuspects(time.Now()), stop}
		c := store.NewCondemned(store.CondemnedConfig{Store: platform, Suspects: k.suspects, IsFirst: func() bool { return n == 0 }})
		go func() { _ = c.Run(nodeCtx) }()
		out = append(out, k)
	}
	synctest.Wait()
	return out
}

func fingerprint(n int) call.Fingerprint {
	return call.FingerprintOf("quotes", "h.example", "GET", fmt.Sprint("/quotes/", n), nil)
}

// condemn records two ends of servers that a request was alone to explain.
func (k keeper) condemn(f call.Fingerprint) {
	for server := range uint64(2) {
		k.suspects.RecordEnd(f, call.End{Server: server, Weight: call.WeightAlone, At: time.Now()})
	}
	synctest.Wait()
}

// standings returns how each node treats a request.
func standings(nodes []keeper, f call.Fingerprint) (out []call.Standing) {
	for _, k := range nodes {
		out = append(out, k.suspects.Standing(f, time.Now()))
	}
	return out
}

// TestCondemnedRequestOutlivesNodes checks that nodes that start after all others have
// ended know what was condemned, and that nothing is left of a request that was answered.
func TestCondemnedRequestOutlivesNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		f := fingerprint(1)
		nodes := startKeepers(ctx, platform, 3)
		nodes[0].condemn(f)
		nodes[1].condemn(f) // it is written once
		require.Len(t, platform.PeekAll(store.KindCondemned), 1)
		for _, k := range nodes {
			k.stop()
		}
		time.Sleep(time.Minute)

		nodes = startKeepers(ctx, platform, 3)
		require.Equal(t, []call.Standing{call.Condemned, call.Condemned, call.Condemned}, standings(nodes, f))
		require.Empty(t, nodes[0].suspects.TakeNews(10), "each node reads it for itself")
		nodes[2].suspects.RecordAnswer(f, time.Now().Add(time.Millisecond))
		synctest.Wait()
		require.Empty(t, platform.PeekAll(store.KindCondemned))
	})
}

// TestTrialIsClaimedOnceForAllNodes checks that many nodes at which a condemned request is
// refused, and which don't hear of each other, make each trial once, also while nodes start
// again, and none while the platform is away.
func TestTrialIsClaimedOnceForAllNodes(t *testing.T) {
	for name, away := range map[string]bool{"platform there": false, "platform away": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := storetest.New()
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); synctest.Wait() }()
				f := fingerprint(1)
				nodes := startKeepers(ctx, platform, 1)
				nodes[0].condemn(f)
				nodes = append(nodes, startKeepers(ctx, platform, 20)...)
				platform.SetFaults(storetest.Faults{Down: away})
				trials := 0
				for step := range 4 * 60 * 60 {
					for _, k := range nodes {
						if _, trial := k.suspects.Admit(f, time.Now()); trial {
							trials++
						}
					}
					if step%1000 == 999 {
						last := len(nodes) - 1
						nodes[last].stop()
						nodes = append(nodes[:last], startKeepers(ctx, platform, 1)...)
					}
					time.Sleep(time.Second)
				}
				if away {
					require.Zero(t, trials)
					return
				}
				require.Equal(t, 2, trials)
			})
		})
	}
}

// TestForgottenRequestIsDeleted checks that the objects of requests that nobody asks for
// any more, and objects that can't be read, are deleted, and no others.
func TestForgottenRequestIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		require.NoError(t, platform.Overwrite(store.KindCondemned, "not-a-fingerprint", []byte("{")))
		nodes := startKeepers(ctx, platform, 2)
		forgotten, asked := fingerprint(1), fingerprint(2)
		for _, k := range nodes {
			k.condemn(forgotten)
			k.condemn(asked)
		}
		for range 70 {
			time.Sleep(time.Minute)
			nodes[0].suspects.Admit(asked, time.Now())
			nodes[0].suspects.Strongest(10, time.Now())
		}
		left := platform.PeekAll(store.KindCondemned)
		require.Equal(t, []string{asked.String()}, objectNames(left))
	})
}

// TestKeptRequestsAreBounded checks that requests without end take a bounded number of
// objects and calls of a node.
func TestKeptRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		nodes := startKeepers(ctx, platform, 1)
		before := platform.Calls()["create"]
		for n := range 2000 {
			nodes[0].condemn(fingerprint(n))
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, platform.Calls()["create"]-before, uint64(16+4), "16 at once, one a minute")
	})
}

func objectNames(objs []store.Object) (out []string) {
	for _, o := range objs {
		if !o.Deleted {
			out = append(out, o.Name)
		}
	}
	slices.Sort(out)
	return out
}
