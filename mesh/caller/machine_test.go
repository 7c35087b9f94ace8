package caller_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/backendtest"
)

// TestMain sets rapid's seed and bounds, so that every run draws the same values.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15", "rapid.steps": "12", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine is a rapid state machine that injects faults into a stack and checks
// every call against the runs that the backend servers counted.
type machine struct {
	*stack
	round int
}

func (m *machine) actions() map[string]func(*rapid.T) {
	drawInstance := func(t *rapid.T) *testInstance { return rapid.SampledFrom(m.instances).Draw(t, "instance") }
	drawBool := func(t *rapid.T) bool { return rapid.Bool().Draw(t, "on") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for _, i := range m.instances {
				require.LessOrEqual(t, i.server.PeakInFlight(), testSlots)
			}
		},
		"calls": func(t *rapid.T) { m.burst(t) },
		"calls under cuts": func(t *rapid.T) {
			i := drawInstance(t)
			repeatedly(rapid.SampledFrom([]func(){i.hopListener.CloseOpen, i.server.Connections().CloseOpen}).Draw(t, "cut"))
			m.burst(t)
		},
		"fault": func(t *rapid.T) {
			drawInstance(t).server.SetFaults(rapid.SampledFrom([]backendtest.Faults{
				{},
				{Slow: 5 * time.Millisecond},
				{Shed: true},
				{Fail: true},
				{Drop: true},
				{Truncate: true},
				{Cold: true},
				{Slow: 3 * time.Millisecond, Drop: true},
			}).Draw(t, "faults"))
		},
		"server": func(t *rapid.T) {
			i := drawInstance(t)
			i.target.Leaving, i.target.Cold = drawBool(t), drawBool(t)
			i.target.Slots = rapid.IntRange(1, testSlots).Draw(t, "slots")
			target := i.target
			i.gate.SetTarget(&target)
		},
		"server gone": func(t *rapid.T) { drawInstance(t).gate.SetTarget(nil) },
		"view":        func(t *rapid.T) { m.announce(drawInstance(t).name) },
		"view whole":  func(*rapid.T) { m.announce() },
	}
}

// burst sends calls of every kind concurrently and checks each answer.
func (m *machine) burst(t *rapid.T) {
	m.round++
	m.load(t, fmt.Sprint("round-", m.round), 4, 8)
}

// TestMachineCall checks over random sequences of faults that a call that is not
// idempotent runs at most once, each caller gets its own complete answer, a call
// that is refused as not run has not run, and slots are never exceeded.
func TestMachineCall(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &machine{stack: newStackAt(t, 3, rapid.Bool().Draw(r, "own"))}
		defer m.close()
		r.Repeat(m.actions())
	})
}
