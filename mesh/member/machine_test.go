package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaveBound is the longest time for which a leaving instance may get new work.
const leaveBound = 2 * time.Second

// machine is a random state machine over a world. The oracle is the world itself:
// which instances are up, which are leaving, and which are down.
type machine struct {
	w *world
}

func (m *machine) pick(t *rapid.T) string { return rapid.SampledFrom(m.w.names).Draw(t, "instance") }

func (m *machine) crash(t *rapid.T) {
	name := m.pick(t)
	if len(m.w.expectedRoutable()) > 5 {
		m.w.crash(name)
	}
}

// restart starts an instance without its state, sometimes with a clock that is
// behind.
func (m *machine) restart(t *rapid.T) {
	behind := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 60}).Draw(t, "behind")) * time.Second
	m.w.start(m.pick(t), uint64(m.w.now.Add(-behind).UnixMilli()))
}

func (m *machine) pause(t *rapid.T) {
	m.w.pause(m.pick(t), time.Duration(rapid.SampledFrom([]int{1, 2, 4, 20}).Draw(t, "pause"))*testHeartbeat)
}

func (m *machine) leave(t *rapid.T) {
	if len(m.w.expectedRoutable()) > 5 {
		m.w.leave(m.pick(t))
	}
}

func (m *machine) partition(t *rapid.T) {
	m.w.partition(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
	m.run(t)
}

// cutOneWay drops the messages from one instance to another, but not back.
func (m *machine) cutOneWay(t *rapid.T) {
	a, b := m.pick(t), m.pick(t)
	m.w.cut = func(from, to string) bool { return from == a && to == b && a != b }
	m.run(t)
}

func (m *machine) disturb(t *rapid.T) {
	m.w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
	m.w.duplicate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
	m.w.reorder = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "reorder")
}

func (m *machine) run(t *rapid.T) {
	m.w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "beats")) * testHeartbeat)
}

// TestMembershipMachine applies random faults. It checks after each step that no
// dead incarnation returns, and after the last fault that every view converges to
// the instances that are up.
func TestMembershipMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{w: newWorld(rapid.Uint64().Draw(t, "seed"), "a", "a", "a", "b", "b", "b", "c", "c", "c")}
		t.Repeat(map[string]func(*rapid.T){
			"crash": m.crash, "restart": m.restart, "pause": m.pause, "leave": m.leave, "part": m.partition,
			"asymmetric": m.cutOneWay, "disturb": m.disturb, "run": m.run,
			"heal": func(*rapid.T) { m.w.heal() },
			"":     func(t *rapid.T) { m.w.checkInvariants(t) },
		})
		m.w.heal()
		m.w.run(120 * testHeartbeat)
		m.w.checkConverged(t)
		m.w.checkInvariants(t)
	})
}

// TestLeavingIsKnownInTime checks that no instance routes to a leaving one after
// leaveBound, while messages are duplicated and reordered.
func TestLeavingIsKnownInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{w: newWorld(rapid.Uint64().Draw(t, "seed"), "a", "a", "a", "b", "b", "b", "c", "c", "c")}
		m.w.run(10 * testHeartbeat)
		m.w.duplicate, m.w.reorder = 0.3, 0.3
		m.w.leave(m.pick(t))
		m.w.run(leaveBound)
		m.w.checkConverged(t)
	})
}
