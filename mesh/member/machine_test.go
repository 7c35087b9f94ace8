package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaveBound is how long a leaving instance may get new work.
const leaveBound = 2 * time.Second

// machine drives a world by random steps. The oracle is the world itself: which
// instances are up, which leave, and which are gone.
type machine struct {
	w *world
}

func (m *machine) pick(t *rapid.T) string { return rapid.SampledFrom(m.w.names).Draw(t, "instance") }

func (m *machine) crash(t *rapid.T) {
	name := m.pick(t)
	if len(m.w.truth()) > 5 {
		m.w.crash(name)
	}
}

// restart begins an empty life, sometimes with a clock that is behind.
func (m *machine) restart(t *rapid.T) {
	behind := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 60}).Draw(t, "behind")) * time.Second
	m.w.start(m.pick(t), uint64(m.w.now.Add(-behind).UnixMilli()))
}

func (m *machine) pause(t *rapid.T) {
	m.w.pause(m.pick(t), time.Duration(rapid.SampledFrom([]int{1, 2, 4, 20}).Draw(t, "pause"))*testBeat)
}

func (m *machine) leave(t *rapid.T) {
	if len(m.w.truth()) > 5 {
		m.w.leave(m.pick(t))
	}
}

func (m *machine) part(t *rapid.T) {
	m.w.part(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
	m.run(t)
}

// asymmetric cuts one way between two instances.
func (m *machine) asymmetric(t *rapid.T) {
	a, b := m.pick(t), m.pick(t)
	m.w.cut = func(from, to string) bool { return from == a && to == b && a != b }
	m.run(t)
}

func (m *machine) disturb(t *rapid.T) {
	m.w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
	m.w.double = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
	m.w.reorder = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "reorder")
}

func (m *machine) run(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "beats")) * testBeat)
}

// TestMembershipMachine checks at each step that no dead incarnation returns,
// and after the last fault that every view equals the truth.
func TestMembershipMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{w: newWorld(rapid.Uint64().Draw(t, "seed"), "a", "a", "a", "b", "b", "b", "c", "c", "c")}
		t.Repeat(map[string]func(*rapid.T){
			"crash": m.crash, "restart": m.restart, "pause": m.pause, "leave": m.leave, "part": m.part,
			"asymmetric": m.asymmetric, "disturb": m.disturb, "run": m.run,
			"heal": func(*rapid.T) { m.w.heal() },
			"":     func(t *rapid.T) { m.w.safe(t) },
		})
		m.w.heal()
		m.w.run(120 * testBeat)
		m.w.check(t)
		m.w.safe(t)
	})
}

// TestLeavingIsKnownInTime checks that nobody routes to a leaving instance
// after the bound, with messages lost, doubled and reordered.
func TestLeavingIsKnownInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{w: newWorld(rapid.Uint64().Draw(t, "seed"), "a", "a", "a", "b", "b", "b", "c", "c", "c")}
		m.w.run(10 * testBeat)
		m.w.double, m.w.reorder = 0.3, 0.3
		m.w.leave(m.pick(t))
		m.w.run(leaveBound)
		m.w.check(t)
	})
}
