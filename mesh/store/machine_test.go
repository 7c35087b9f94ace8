package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// machine is the state of one run of the state machine.
type machine struct {
	cluster       *cluster
	writes        int
	results       chan outcome
	outcomes      []outcome
	pendingWrites int // writes without an outcome yet
}

// TestConfigurationMachine runs random sequences of overlapping writes, faults and
// restarts. It checks the invariants at every table and after every action, and
// that all nodes converge after the last fault.
func TestConfigurationMachine(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := &machine{cluster: newCluster(), results: make(chan outcome, 100)}
			defer m.cluster.close()
			for i := range 3 {
				m.cluster.start(fmt.Sprintf("n%d", i), i, 0)
			}
			t.Repeat(map[string]func(*rapid.T){
				"write": m.write, "write again": m.write, "delete": m.remove, "wait": m.wait, "fault": m.fault, "heal": m.heal,
				"pause": m.pause, "resume": m.resume, "restart": m.restart, "silence": m.silence, "forget": m.forget,
				"publishers": m.publishers, "": m.check,
			})
			m.finish(t)
		})
	})
}

// node draws a live node.
func (m *machine) node(t *rapid.T) *node {
	alive := []*node{}
	for _, n := range m.cluster.nodes {
		if !n.isDead() {
			alive = append(alive, n)
		}
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "node")]
}

// write starts a write by an operator who has read the present version of the
// record or an older one.
func (m *machine) write(t *rapid.T) {
	if m.writes == 90 {
		t.Skip()
	}
	m.writes++
	tag := fmt.Sprintf("t%d", m.writes)
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	r := service(name, tag, 0)
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0, 1:
		r = route(name, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to"), tag, 0)
	case 2:
		r.Schema, r.Body = 2, fmt.Appendf(nil, `{"contact":{"team":%q},"tag":%q}`, tag, tag)
	}
	r.Version = m.cluster.version(record.KeyOf(r))
	if rapid.IntRange(0, 4).Draw(t, "late") == 0 && r.Version > 0 {
		r.Version--
	}
	n := m.node(t)
	m.pendingWrites++
	go func() { m.results <- m.cluster.apply(n, r) }()
}

func (m *machine) remove(t *rapid.T) {
	n := m.node(t)
	kind := rapid.SampledFrom([]wire.Kind{wire.Kind_KIND_SERVICE, wire.Kind_KIND_ROUTE}).Draw(t, "kind")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	go func() {
		service := operator.New(operator.Config{Store: &nodeStore{n, n.conn}, Holder: n.holder})
		_, _ = service.Delete(context.Background(), connect.NewRequest(&wire.DeleteRequest{Kind: kind, Name: name}))
	}()
}

func (m *machine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 2500, 30_000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) fault(t *rapid.T) {
	f := storetest.Faults{
		Down: rapid.IntRange(0, 3).Draw(t, "down") == 0, LoseResponses: rapid.Bool().Draw(t, "lose"), DuplicateWrites: rapid.Bool().Draw(t, "twice"),
		StaleReads: rapid.Bool().Draw(t, "stale"), SilentWatches: rapid.Bool().Draw(t, "silent"), ReorderEvents: rapid.Bool().Draw(t, "mixed"),
		Latency: time.Duration(rapid.SampledFrom([]int{0, 0, 300, 2500}).Draw(t, "slow")) * time.Millisecond,
	}
	switch rapid.IntRange(0, 3).Draw(t, "lost") {
	case 0:
		f.DropWrites = true
	case 1:
		f.DelayWrites = 5 * time.Second
	}
	m.cluster.store.SetFaults(f)
}

func (m *machine) heal(*rapid.T)     { m.cluster.store.SetFaults(storetest.Faults{}) }
func (m *machine) pause(t *rapid.T)  { m.node(t).pause() }
func (m *machine) resume(t *rapid.T) { m.node(t).resume() }
func (m *machine) forget(*rapid.T)   { m.cluster.store.DropHistory() }

func (m *machine) restart(t *rapid.T) {
	if len(m.cluster.nodes) > 12 {
		t.Skip()
	}
	m.node(t).restart()
}

func (m *machine) silence(t *rapid.T) {
	n := m.node(t)
	n.conn.Silence()
	if rapid.Bool().Draw(t, "both") {
		n.poll.Silence()
	}
}

func (m *machine) publishers(*rapid.T) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.cluster.allRankZero = !m.cluster.allRankZero
}

// check checks that no invariant has been violated.
func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	require.Empty(t, m.cluster.violations)
}

// finish ends every fault, waits for all outcomes and checks convergence.
func (m *machine) finish(t *rapid.T) {
	m.cluster.store.SetFaults(storetest.Faults{})
	for _, n := range m.cluster.nodes {
		n.resume()
	}
	for ; m.pendingWrites > 0; m.pendingWrites-- {
		m.outcomes = append(m.outcomes, <-m.results)
	}
	time.Sleep(time.Minute) // for delayed writes to take effect
	m.cluster.checkConvergence(t)
	for _, o := range m.outcomes {
		m.cluster.checkOutcome(o)
	}
	m.check(t)
}
