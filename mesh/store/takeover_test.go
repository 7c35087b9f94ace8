package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
)

// leaseTime is the duration of the lease in the alternative design that ranks are
// compared with. The lease is renewed three times in this time.
const leaseTime = 3 * time.Second

// lease implements the alternative to ranks: the publisher is the node that holds a
// lease, which is stored as one object on the platform.
type lease struct {
	store store.Store
	name  string
	held  atomic.Bool
}

// run acquires and renews the lease until the context ends.
func (l *lease) run(ctx context.Context) {
	var seen store.Version
	var since time.Time
	for ctx.Err() == nil {
		body, _ := json.Marshal(l.name)
		o, err := l.store.Get(ctx, "lease", "publisher")
		own := string(o.Body) == string(body)
		if o.Version != seen {
			seen, since = o.Version, time.Now()
		}
		switch {
		case err != nil && o.Version.IsZero():
			o, err = l.store.Create(ctx, "lease", "publisher", body)
			l.held.Store(err == nil)
		case own || time.Since(since) >= leaseTime:
			o, err = l.store.Update(ctx, "lease", "publisher", o.Version, body)
			l.held.Store(err == nil)
		default:
			l.held.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaseTime / 3):
		}
	}
}

// takeover crashes the active publisher, writes a record through another node and
// returns how long it takes until the record is in force there. It also returns the
// number of writes during 30 idle seconds before that.
func takeover(outer *testing.T, leased bool, phase time.Duration) (took time.Duration, writes uint64) {
	synctest.Test(outer, func(*testing.T) {
		cl := newCluster()
		defer cl.close()
		cl.store.SetFaults(storetest.Faults{Latency: 3 * time.Millisecond})
		for i := range 3 {
			n := cl.start(fmt.Sprint("n", i), i, 0)
			if leased {
				l := &lease{store: &nodeStore{n, n.conn}, name: n.name}
				n.lease.Store(l)
				go l.run(n.ctx)
			}
			time.Sleep(50 * time.Millisecond)
		}
		cl.apply(cl.nodes[1], service("a", "first", 0))
		time.Sleep(10*time.Second + phase)
		before := cl.store.Calls()
		time.Sleep(30 * time.Second)
		after := cl.store.Calls()
		writes = after["update"] + after["create"] - before["update"] - before["create"]
		cl.nodes[0].crash()
		start := time.Now()
		key := record.KeyOf(service("a", "", 0))
		cl.apply(cl.nodes[1], service("a", "second", cl.version(key)))
		for tagOf(cl.nodes[1].holder.Table().Records[key]) != "second" && time.Since(start) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		took = time.Since(start)
	})
	return took, writes
}

// TestTakeover compares ranked publishers with a lease: the time for a change to
// come into force when the publisher has just crashed, and the writes that each
// design makes while idle. Run it with -v for the figures.
func TestTakeover(t *testing.T) {
	const runs = 20
	rng := rand.New(rand.NewPCG(1, 2))
	var ranks, leases []time.Duration
	var rankWrites, leaseWrites uint64
	for range runs {
		phase := time.Duration(rng.Int64N(int64(leaseTime)))
		took, writes := takeover(t, false, phase)
		ranks, rankWrites = append(ranks, took), rankWrites+writes
		took, writes = takeover(t, true, phase)
		leases, leaseWrites = append(leases, took), leaseWrites+writes
	}
	slices.Sort(ranks)
	slices.Sort(leases)
	t.Logf("ranks: median %s, max %s, %d writes in %d idle runs of 30 s", ranks[runs/2], ranks[runs-1], rankWrites, runs)
	t.Logf("lease: median %s, max %s, %d writes in %d idle runs of 30 s", leases[runs/2], leases[runs-1], leaseWrites, runs)
	require.Zero(t, rankWrites)
	require.LessOrEqual(t, ranks[runs-1], 3*time.Second)
	require.Less(t, ranks[runs/2], leases[runs/2])
}
