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

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15", "rapid.steps": "12", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine drives a stack through faults and checks every call against the
// counting backend servers.
type machine struct {
	*stack
	round int
}

func (m *machine) actions() map[string]func(*rapid.T) {
	draw := func(t *rapid.T) *side { return rapid.SampledFrom(m.sides).Draw(t, "side") }
	flip := func(t *rapid.T) bool { return rapid.Bool().Draw(t, "on") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for _, d := range m.sides {
				require.LessOrEqual(t, d.server.Peak(), testSlots)
			}
		},
		"calls": func(t *rapid.T) { m.burst(t) },
		"calls under cuts": func(t *rapid.T) {
			d := draw(t)
			every(rapid.SampledFrom([]func(){d.hops.Cut, d.server.Connections().Cut}).Draw(t, "cut"))
			m.burst(t)
		},
		"fault": func(t *rapid.T) {
			draw(t).server.Set(rapid.SampledFrom([]backendtest.Faults{
				{},
				{Slow: 5 * time.Millisecond},
				{Shed: true},
				{Fail: true},
				{Drop: true},
				{Cut: true},
				{Cold: true},
				{Slow: 3 * time.Millisecond, Drop: true},
			}).Draw(t, "faults"))
		},
		"server": func(t *rapid.T) {
			d := draw(t)
			d.target.Leaving, d.target.Cold = flip(t), flip(t)
			d.target.Slots = rapid.IntRange(1, testSlots).Draw(t, "slots")
			target := d.target
			d.gate.Serve(&target)
		},
		"server gone": func(t *rapid.T) { draw(t).gate.Serve(nil) },
		"view":        func(t *rapid.T) { m.announce(draw(t).name) },
		"view whole":  func(*rapid.T) { m.announce() },
	}
}

// burst sends calls of every kind at once and checks each answer.
func (m *machine) burst(t *rapid.T) {
	m.round++
	m.load(t, fmt.Sprint("round-", m.round), 4, 8)
}

// TestMachineCall checks, over random orders of faults, that each call that is
// not idempotent runs at most once, each caller gets its own whole answer, a
// refusal as not run is true, and slots are never exceeded.
func TestMachineCall(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &machine{stack: newStackAt(t, 3, rapid.Bool().Draw(r, "own"))}
		defer m.close()
		r.Repeat(m.actions())
	})
}
