package store_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
)

// pauseTime is longer than every timeout, in virtual time.
const pauseTime = 3 * time.Minute

// faults maps the name of each fault to what happens to the node that is at a
// step. Faults of the platform last for a while.
var faults = map[string]func(n *node){
	"crash":         func(n *node) { n.crash() },
	"restart empty": func(n *node) { n.restart() },
	"pause": func(n *node) {
		n.pause()
		n.w.until(pauseTime)
		time.AfterFunc(pauseTime, n.resume)
	},
	"platform down":      func(n *node) { n.w.disturb(storetest.Faults{Down: true}, 10*time.Minute) },
	"platform slow":      func(n *node) { n.w.disturb(storetest.Faults{Slow: 1500 * time.Millisecond}, time.Minute) },
	"platform too slow":  func(n *node) { n.w.disturb(storetest.Faults{Slow: 3 * time.Second}, time.Minute) },
	"answer lost":        func(n *node) { n.w.disturb(storetest.Faults{Lose: true}, 10*time.Second) },
	"cut connection":     func(n *node) { n.w.disturb(storetest.Faults{Drop: true}, 10*time.Second) },
	"duplicate":          func(n *node) { n.w.disturb(storetest.Faults{Twice: true, Mixed: true}, 10*time.Second) },
	"reorder":            func(n *node) { n.w.disturb(storetest.Faults{Late: 3 * time.Second, Mixed: true}, 10*time.Second) },
	"stale read":         func(n *node) { n.w.disturb(storetest.Faults{Stale: true}, 30*time.Second) },
	"silent watch":       func(n *node) { n.w.disturb(storetest.Faults{Silent: true}, time.Minute) },
	"history gone":       func(n *node) { n.w.store.Forget() },
	"silent connection":  func(n *node) { n.conn.Silence() },
	"silent connections": func(n *node) { n.conn.Silence(); n.poll.Silence() },
	"two operators": func(n *node) {
		k := record.KeyOf(service("a", "", 0))
		other := n.w.apply(n.w.nodes[2], service("a", "rival", n.w.version(k)))
		n.w.hook("end", func(*node) { n.w.checkOutcome(other) })
	},
	"two publishers": func(n *node) {
		n.w.mu.Lock()
		defer n.w.mu.Unlock()
		n.w.allFirst = true
	},
}

// until notes how long a fault lasts.
func (w *world) until(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = time.Now().Add(d)
}

// disturb sets faults of the platform for a while.
func (w *world) disturb(f storetest.Faults, d time.Duration) {
	w.store.Set(f)
	w.until(d)
	time.AfterFunc(d, func() { w.store.Set(storetest.Faults{}) })
}

// steps are the steps of a change of configuration, from the operator to the
// table in force, and the moments after their calls were answered.
var steps = []string{
	"record write", "after record write", "compose", "after compose", "append", "after append",
	"read", "after read", "apply", "swap", "snapshot", "after snapshot", "load",
}

// TestFaultMatrixConfiguration causes each fault at each step and checks every
// promise along the way and after the fault.
func TestFaultMatrixConfiguration(t *testing.T) {
	for _, fault := range slices.Sorted(maps.Keys(faults)) {
		for _, step := range steps {
			t.Run(fault+" at "+step, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { cell(t, fault, step) })
			})
		}
	}
}

// cell runs changes by two operators while one fault happens at one step.
func cell(t *testing.T, fault, step string) {
	w := newWorld()
	defer w.close()
	for i := range 3 {
		w.start(fmt.Sprintf("n%d", i), i, 0)
	}
	var outcomes []outcome
	outcomes = append(outcomes, w.apply(w.nodes[1], service("a", "first", 0)), w.apply(w.nodes[1], route("r", "a", "second", 0)))
	time.Sleep(5 * time.Second)
	require.Equal(t, 1, len(w.nodes[0].holder.Table().Routes))

	w.hook(step, faults[fault])
	var wg sync.WaitGroup
	results := make(chan outcome, 64)
	for i := range 2 {
		wg.Go(func() { w.operate(fmt.Sprintf("op%d", i), w.nodes[i], results) })
	}
	wg.Wait()
	close(results)
	for o := range results {
		outcomes = append(outcomes, o)
	}
	time.Sleep(time.Until(w.quiet) + time.Second)
	w.end(t)
	for _, o := range outcomes {
		w.checkOutcome(o)
	}
	w.nodes[0].at("end")
	require.True(t, w.fired[step], "the fault happened")
	require.Empty(t, w.broken)
	checkKept(t, w)
}

// operate writes one record over and over through a node, as operators do that
// see each other's writes late: it reads, thinks and writes. While one operator
// hangs, the other writes enough for revisions to be removed.
func (w *world) operate(name string, n *node, results chan<- outcome) {
	for i := range 4 * snapshots {
		tag := fmt.Sprintf("%s-%d", name, i)
		r := service("a", tag, 0)
		r.Version = w.version(record.KeyOf(r))
		time.Sleep(700 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		results <- w.applyIn(ctx, n, r)
		cancel()
	}
}

// checkKept checks that removal left what a joiner and a slow reader need.
func checkKept(t *testing.T, w *world) {
	joiner := w.start("joiner", 9, 0)
	time.Sleep(settleTime)
	require.Equal(t, w.alive().holder.Table().Digest, joiner.holder.Table().Digest)
	require.LessOrEqual(t, len(w.store.PeekAll(store.KindRevision)), 4*snapshots, "old revisions are removed")
	require.LessOrEqual(t, len(w.store.PeekAll(store.KindSnapshot)), 4, "old pieces are removed")
}
