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

// pauseTime is the virtual duration of a pause, longer than every timeout.
const pauseTime = 3 * time.Minute

// faults maps the name of each fault to a function that injects it when node n
// reaches a step. Faults of the platform end after some time.
var faults = map[string]func(n *node){
	"crash":         func(n *node) { n.crash() },
	"restart empty": func(n *node) { n.restart() },
	"pause": func(n *node) {
		n.pause()
		n.cluster.setFaultEnd(pauseTime)
		time.AfterFunc(pauseTime, n.resume)
	},
	"platform down":     func(n *node) { n.cluster.inject(storetest.Faults{Down: true}, 10*time.Minute) },
	"platform slow":     func(n *node) { n.cluster.inject(storetest.Faults{Latency: 1500 * time.Millisecond}, time.Minute) },
	"platform too slow": func(n *node) { n.cluster.inject(storetest.Faults{Latency: 3 * time.Second}, time.Minute) },
	"answer lost":       func(n *node) { n.cluster.inject(storetest.Faults{LoseResponses: true}, 10*time.Second) },
	"cut connection":    func(n *node) { n.cluster.inject(storetest.Faults{DropWrites: true}, 10*time.Second) },
	"duplicate": func(n *node) {
		n.cluster.inject(storetest.Faults{DuplicateWrites: true, ReorderEvents: true}, 10*time.Second)
	},
	"reorder": func(n *node) {
		n.cluster.inject(storetest.Faults{DelayWrites: 3 * time.Second, ReorderEvents: true}, 10*time.Second)
	},
	"stale read":         func(n *node) { n.cluster.inject(storetest.Faults{StaleReads: true}, 30*time.Second) },
	"silent watch":       func(n *node) { n.cluster.inject(storetest.Faults{SilentWatches: true}, time.Minute) },
	"history gone":       func(n *node) { n.cluster.store.DropHistory() },
	"silent connection":  func(n *node) { n.conn.Silence() },
	"silent connections": func(n *node) { n.conn.Silence(); n.poll.Silence() },
	"two operators": func(n *node) {
		k := record.KeyOf(service("a", "", 0))
		other := n.cluster.apply(n.cluster.nodes[2], service("a", "rival", n.cluster.version(k)))
		n.cluster.hook("end", func(*node) { n.cluster.checkOutcome(other) })
	},
	"two publishers": func(n *node) {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		n.cluster.allRankZero = true
	},
}

// setFaultEnd records that a fault ends after d.
func (cl *cluster) setFaultEnd(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.faultEnd = time.Now().Add(d)
}

// inject sets faults of the platform for the duration d.
func (cl *cluster) inject(f storetest.Faults, d time.Duration) {
	cl.store.SetFaults(f)
	cl.setFaultEnd(d)
	time.AfterFunc(d, func() { cl.store.SetFaults(storetest.Faults{}) })
}

// steps are the steps of a configuration change, from the operator's write to the
// table in force, and the points right after the responses to their calls.
var steps = []string{
	"record write", "after record write", "compose", "after compose", "append", "after append",
	"read", "after read", "apply", "swap", "snapshot", "after snapshot", "load",
}

// TestFaultMatrixConfiguration injects each fault at each step and checks every
// invariant during and after the fault.
func TestFaultMatrixConfiguration(t *testing.T) {
	for _, fault := range slices.Sorted(maps.Keys(faults)) {
		for _, step := range steps {
			t.Run(fault+" at "+step, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runMatrixCase(t, fault, step) })
			})
		}
	}
}

// runMatrixCase runs writes by two operators while one fault is injected at one
// step.
func runMatrixCase(t *testing.T, fault, step string) {
	cl := newCluster()
	defer cl.close()
	for i := range 3 {
		cl.start(fmt.Sprintf("n%d", i), i, 0)
	}
	var outcomes []outcome
	outcomes = append(outcomes, cl.apply(cl.nodes[1], service("a", "first", 0)), cl.apply(cl.nodes[1], route("r", "a", "second", 0)))
	time.Sleep(5 * time.Second)
	require.Equal(t, 1, len(cl.nodes[0].holder.Table().Routes))

	cl.hook(step, faults[fault])
	var wg sync.WaitGroup
	results := make(chan outcome, 64)
	for i := range 2 {
		wg.Go(func() { cl.runOperator(fmt.Sprintf("op%d", i), cl.nodes[i], results) })
	}
	wg.Wait()
	close(results)
	for o := range results {
		outcomes = append(outcomes, o)
	}
	time.Sleep(time.Until(cl.faultEnd) + time.Second)
	cl.checkConvergence(t)
	for _, o := range outcomes {
		cl.checkOutcome(o)
	}
	cl.nodes[0].runHook("end")
	require.True(t, cl.fired[step], "the fault was injected")
	require.Empty(t, cl.violations)
	checkRetention(t, cl)
}

// runOperator writes one record repeatedly through a node. It pauses between
// reading the version and writing, so that two operators conflict. It writes often
// enough for revisions to be deleted while the other operator is blocked.
func (cl *cluster) runOperator(name string, n *node, results chan<- outcome) {
	for i := range 4 * snapshots {
		tag := fmt.Sprintf("%s-%d", name, i)
		r := service("a", tag, 0)
		r.Version = cl.version(record.KeyOf(r))
		time.Sleep(700 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		results <- cl.applyIn(ctx, n, r)
		cancel()
	}
}

// checkRetention checks that a node that joins can still load the table, and that
// old objects have been deleted.
func checkRetention(t *testing.T, cl *cluster) {
	joiner := cl.start("joiner", 9, 0)
	time.Sleep(settleTime)
	require.Equal(t, cl.liveNode().holder.Table().Digest, joiner.holder.Table().Digest)
	require.LessOrEqual(t, len(cl.store.PeekAll(store.KindRevision)), 4*snapshots, "old revisions are deleted")
	require.LessOrEqual(t, len(cl.store.PeekAll(store.KindSnapshot)), 4, "old pieces are deleted")
}
