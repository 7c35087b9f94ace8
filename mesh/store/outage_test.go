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

// sum adds up the calls of every kind.
func sum(w *world) (n uint64) {
	for _, one := range w.store.Calls() {
		n += one
	}
	return n
}

// TestOutageWithoutStorm takes the platform away for hours, in each manner, and
// counts the calls of three nodes that read and publish meanwhile and in the
// second after it is back.
func TestOutageWithoutStorm(t *testing.T) {
	const (
		loops      = 3 * 4 // a watch and a poll of the reader, and of the publisher, on each node
		perLoop    = 3     // calls of one try: watch, list, get
		leastPause = 2     // seconds between two tries of a loop, from the longest backoff
		outage     = 3 * time.Hour
	)
	for name, f := range map[string]storetest.Faults{
		"down":                {Down: true},
		"slower than timeout": {Slow: 10 * time.Second},
		"stale after forget":  {Stale: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				defer w.close()
				for i := range 3 {
					w.start(fmt.Sprint("n", i), i, 0)
				}
				w.apply(w.nodes[0], service("a", "first", 0))
				time.Sleep(5 * time.Second)
				require.True(t, w.nodes[2].holder.Ready())
				w.store.Set(f)
				w.store.Forget()
				before := sum(w)
				time.Sleep(outage)
				require.LessOrEqual(t, sum(w)-before, uint64(loops*perLoop*int(outage/time.Second)/leastPause))
				require.True(t, w.nodes[2].holder.Ready(), "calls go on by the table in force")
				w.store.Set(storetest.Faults{})
				before = sum(w)
				time.Sleep(time.Second)
				require.LessOrEqual(t, sum(w)-before, uint64(2*loops*perLoop))
				w.apply(w.nodes[1], service("a", "second", w.version(record.KeyOf(service("a", "", 0)))))
				w.end(t)
				require.Equal(t, "second", tagOf(w.nodes[2].holder.Table().Records[record.KeyOf(service("a", "", 0))]))
			})
		})
	}
}

// TestIdleCalls counts the calls of a reader and a candidate when nothing
// changes: one poll a second and one watch in 20 s each.
func TestIdleCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		n := w.start("n0", 0, 0)
		w.apply(n, service("a", "first", 0))
		time.Sleep(time.Minute)
		before := w.store.Calls()
		time.Sleep(100 * time.Second)
		after := w.store.Calls()
		require.LessOrEqual(t, after["list"]-before["list"], uint64(100+1), "both ends of the time may see a poll")
		require.LessOrEqual(t, after["watch"]-before["watch"], uint64(100+2*100/20+2))
		for _, kind := range []string{"get", "create", "update", "delete"} {
			require.Equal(t, before[kind], after[kind], kind)
		}
	})
}

// TestSilentWatch shows that a change comes into force within seconds while
// every watch is silent, by the polls on other connections.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		for i := range 3 {
			w.start(fmt.Sprint("n", i), i, 0)
		}
		w.apply(w.nodes[0], service("a", "first", 0))
		time.Sleep(5 * time.Second)
		for _, n := range w.nodes {
			n.conn.Silence()
		}
		fresh := w.start("operator", 9, 0)
		w.apply(fresh, service("b", "second", 0))
		time.Sleep(5 * time.Second) // two polls and one call that times out
		for _, n := range w.nodes {
			require.Len(t, n.holder.Table().Services, 2, n.name)
		}
		w.end(t)
	})
}

// TestLoad gives a node that knows no peer its table, in a bounded number of
// calls.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		n := w.start("n0", 0, 0)
		for i := range 20 {
			w.apply(n, service("a", fmt.Sprint("w", i), w.version(record.KeyOf(service("a", "", 0)))))
			time.Sleep(2 * time.Second)
		}
		n.crash()
		cold := w.start("cold", 9, n.holder.Floor())
		cold.pause() // its loops stand still; Load is called by hand
		reader := store.NewReader(store.ReaderConfig{
			Store: w.store, Poll: w.store, Active: func() bool { return false }, Holder: cold.holder,
			Deliver: func(u *wire.Update) { _ = cold.holder.Apply(u) },
		})
		before := w.store.Calls()
		require.NoError(t, reader.Load(t.Context()))
		after := w.store.Calls()
		require.Equal(t, n.holder.Table().Digest, cold.holder.Table().Digest)
		require.Equal(t, uint64(20), cold.holder.Table().Number)
		require.Equal(t, uint64(2), after["get"]-before["get"], "the pointer and one piece")
		require.Equal(t, uint64(1), after["list"]-before["list"])
		require.True(t, reader.Working())
		w.store.Set(storetest.Faults{Down: true})
		require.ErrorIs(t, reader.Load(t.Context()), store.ErrDown)
		require.False(t, reader.Working())
	})
}

// TestRemovalUnderRate leaves the platform one write a second: removals wait
// for their turn, go on after a refusal, and keep up.
func TestRemovalUnderRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		w.start("n0", 0, 0)
		w.store.Writes = rate.NewLimiter(1, 1)
		written := uint64(0)
		for i := range 10 * snapshots {
			o := w.apply(w.nodes[0], service("a", fmt.Sprint("w", i), w.version(record.KeyOf(service("a", "", 0)))))
			if o.written {
				written++
			}
			time.Sleep(10 * time.Second)
		}
		w.end(t)
		require.Greater(t, written, uint64(8*snapshots), "few writes are refused")
		require.Equal(t, written, w.nodes[0].holder.Table().Number)
		require.LessOrEqual(t, len(w.store.PeekAll(store.KindRevision)), 3*snapshots)
		require.LessOrEqual(t, len(w.store.PeekAll(store.KindSnapshot)), 3)
	})
}
