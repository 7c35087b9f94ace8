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

// machine is one case of the state machine.
type machine struct {
	w        *world
	writes   int
	results  chan outcome
	outcomes []outcome
	busy     int // writes whose outcome is awaited
}

// TestConfigurationMachine draws writes, faults and restarts, several at one
// time, and checks the promises at every table and that in the end everything
// is in force.
func TestConfigurationMachine(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := &machine{w: newWorld(), results: make(chan outcome, 100)}
			defer m.w.close()
			for i := range 3 {
				m.w.start(fmt.Sprintf("n%d", i), i, 0)
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

func (m *machine) node(t *rapid.T) *node {
	alive := []*node{}
	for _, n := range m.w.nodes {
		if !n.isDead() {
			alive = append(alive, n)
		}
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "node")]
}

// write starts a write by an operator who has seen the present version, or an
// older one.
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
	r.Version = m.w.version(record.KeyOf(r))
	if rapid.IntRange(0, 4).Draw(t, "late") == 0 && r.Version > 0 {
		r.Version--
	}
	n := m.node(t)
	m.busy++
	go func() { m.results <- m.w.apply(n, r) }()
}

func (m *machine) remove(t *rapid.T) {
	n := m.node(t)
	kind := rapid.SampledFrom([]wire.Kind{wire.Kind_KIND_SERVICE, wire.Kind_KIND_ROUTE}).Draw(t, "kind")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	go func() {
		service := operator.New(operator.Config{Store: &tap{n, n.conn}, Holder: n.holder})
		_, _ = service.Delete(context.Background(), connect.NewRequest(&wire.DeleteRequest{Kind: kind, Name: name}))
	}()
}

func (m *machine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 2500, 30_000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) fault(t *rapid.T) {
	f := storetest.Faults{
		Down: rapid.IntRange(0, 3).Draw(t, "down") == 0, Lose: rapid.Bool().Draw(t, "lose"), Twice: rapid.Bool().Draw(t, "twice"),
		Stale: rapid.Bool().Draw(t, "stale"), Silent: rapid.Bool().Draw(t, "silent"), Mixed: rapid.Bool().Draw(t, "mixed"),
		Slow: time.Duration(rapid.SampledFrom([]int{0, 0, 300, 2500}).Draw(t, "slow")) * time.Millisecond,
	}
	switch rapid.IntRange(0, 3).Draw(t, "lost") {
	case 0:
		f.Drop = true
	case 1:
		f.Late = 5 * time.Second
	}
	m.w.store.Set(f)
}

func (m *machine) heal(*rapid.T)     { m.w.store.Set(storetest.Faults{}) }
func (m *machine) pause(t *rapid.T)  { m.node(t).pause() }
func (m *machine) resume(t *rapid.T) { m.node(t).resume() }
func (m *machine) forget(*rapid.T)   { m.w.store.Forget() }

func (m *machine) restart(t *rapid.T) {
	if len(m.w.nodes) > 12 {
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
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.w.allFirst = !m.w.allFirst
}

// check checks what holds at any time.
func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	require.Empty(t, m.w.broken)
}

// finish ends every fault and checks what must hold then.
func (m *machine) finish(t *rapid.T) {
	m.w.store.Set(storetest.Faults{})
	for _, n := range m.w.nodes {
		n.resume()
	}
	for ; m.busy > 0; m.busy-- {
		m.outcomes = append(m.outcomes, <-m.results)
	}
	time.Sleep(time.Minute) // for writes that are late
	m.w.end(t)
	for _, o := range m.outcomes {
		m.w.checkOutcome(o)
	}
	m.check(t)
}
