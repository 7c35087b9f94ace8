package store_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// totalCalls returns the number of calls of all kinds.
func totalCalls(cl *cluster) (total uint64) {
	for _, count := range cl.store.Calls() {
		total += count
	}
	return total
}

// TestOutageWithoutStorm guards against a retry storm: three nodes that read and
// publish meet an outage of hours, and their calls are counted during the outage
// and in the second after it.
func TestOutageWithoutStorm(t *testing.T) {
	const (
		loops    = 3 * 4 // on each node, a watch and a poll of the reader and of the publisher
		perLoop  = 3     // calls of one attempt: watch, list, get
		minPause = 2     // seconds between two attempts of a loop, from the longest backoff
		outage   = 3 * time.Hour
	)
	for name, f := range map[string]storetest.Faults{
		"down":                {Down: true},
		"slower than timeout": {Latency: 10 * time.Second},
		"stale after forget":  {StaleReads: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster()
				defer cl.close()
				for i := range 3 {
					cl.start(fmt.Sprint("n", i), i, 0)
				}
				cl.apply(cl.nodes[0], service("a", "first", 0))
				time.Sleep(5 * time.Second)
				require.True(t, cl.nodes[2].holder.Ready())
				cl.store.SetFaults(f)
				cl.store.DropHistory()
				before := totalCalls(cl)
				time.Sleep(outage)
				require.LessOrEqual(t, totalCalls(cl)-before, uint64(loops*perLoop*int(outage/time.Second)/minPause))
				require.True(t, cl.nodes[2].holder.Ready(), "the table stays in force")
				cl.store.SetFaults(storetest.Faults{})
				before = totalCalls(cl)
				time.Sleep(time.Second)
				require.LessOrEqual(t, totalCalls(cl)-before, uint64(2*loops*perLoop))
				cl.apply(cl.nodes[1], service("a", "second", cl.version(record.KeyOf(service("a", "", 0)))))
				cl.checkConvergence(t)
				require.Equal(t, "second", tagOf(cl.nodes[2].holder.Table().Records[record.KeyOf(service("a", "", 0))]))
			})
		})
	}
}

// TestIdleCalls checks the number of calls of a reader and a candidate when nothing
// changes: each makes one poll per second and one watch per 20 s.
func TestIdleCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		n := cl.start("n0", 0, 0)
		cl.apply(n, service("a", "first", 0))
		time.Sleep(time.Minute + time.Second/2) // the loops call at whole seconds, so that no call is at an edge of the interval
		before := cl.store.Calls()
		time.Sleep(100 * time.Second)
		after := cl.store.Calls()
		require.LessOrEqual(t, after["list"]-before["list"], uint64(100))
		require.LessOrEqual(t, after["watch"]-before["watch"], uint64(100+2*100/20))
		for _, kind := range []string{"get", "create", "update", "delete"} {
			require.Equal(t, before[kind], after[kind], kind)
		}
	})
}

// TestSilentWatch checks that a change comes into force within seconds although no
// watch responds, because of the polls on other connections.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		for i := range 3 {
			cl.start(fmt.Sprint("n", i), i, 0)
		}
		cl.apply(cl.nodes[0], service("a", "first", 0))
		time.Sleep(5 * time.Second)
		for _, n := range cl.nodes {
			n.conn.Silence()
		}
		fresh := cl.start("operator", 9, 0)
		cl.apply(fresh, service("b", "second", 0))
		time.Sleep(5 * time.Second) // time for two polls and one call that times out
		for _, n := range cl.nodes {
			require.Len(t, n.holder.Table().Services, 2, n.name)
		}
		cl.checkConvergence(t)
	})
}

// TestLoad checks that a node without peers gets its table from the platform in a
// bounded number of calls.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		n := cl.start("n0", 0, 0)
		for i := range 20 {
			cl.apply(n, service("a", fmt.Sprint("w", i), cl.version(record.KeyOf(service("a", "", 0)))))
			time.Sleep(2 * time.Second)
		}
		n.crash()
		cold := cl.start("cold", 9, n.holder.Floor())
		cold.pause() // stops its loops, so that only the Load below reads
		reader := store.NewReader(store.ReaderConfig{
			Store: cl.store, PollStore: cl.store, Active: func() bool { return false }, Holder: cold.holder,
			Deliver: func(u *wire.Update) { _ = cold.holder.Apply(u) },
		})
		before := cl.store.Calls()
		require.NoError(t, reader.Load(t.Context()))
		after := cl.store.Calls()
		require.Equal(t, n.holder.Table().Digest, cold.holder.Table().Digest)
		require.Equal(t, uint64(20), cold.holder.Table().Number)
		require.Equal(t, uint64(2), after["get"]-before["get"], "the pointer and one piece")
		require.Equal(t, uint64(1), after["list"]-before["list"])
		require.True(t, reader.Reachable())
		cl.store.SetFaults(storetest.Faults{Down: true})
		require.ErrorIs(t, reader.Load(t.Context()), store.ErrUnavailable)
		require.False(t, reader.Reachable())
	})
}

// TestRemovalUnderRate checks that old objects are deleted although the platform
// allows only one write per second: deletions that are refused are retried and do
// not fall behind.
func TestRemovalUnderRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		cl.start("n0", 0, 0)
		cl.store.Writes = rate.NewLimiter(1, 1)
		written := uint64(0)
		for i := range 10 * snapshots {
			o := cl.apply(cl.nodes[0], service("a", fmt.Sprint("w", i), cl.version(record.KeyOf(service("a", "", 0)))))
			if o.written {
				written++
			}
			time.Sleep(10 * time.Second)
		}
		cl.checkConvergence(t)
		require.Greater(t, written, uint64(8*snapshots), "few writes are refused")
		require.Equal(t, written, cl.nodes[0].holder.Table().Number)
		require.LessOrEqual(t, len(cl.store.PeekAll(store.KindRevision)), 3*snapshots)
		require.LessOrEqual(t, len(cl.store.PeekAll(store.KindSnapshot)), 3)
	})
}
