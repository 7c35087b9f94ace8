package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/call"
)

// admissionModel is a state machine for rapid that drives an Admission and
// compares it with a model of the running and waiting calls.
type admissionModel struct {
	admission call.Admission
	limits    call.Limits
	now       time.Time
	closed    bool
	running   []*call.Waiter
	waiting   []*call.Waiter
}

// resolve removes the waiters that the admission has admitted or rejected from
// the model's queue and records them. It checks that each was in the queue and
// that none was admitted ahead of an earlier one.
func (m *admissionModel) resolve(t *rapid.T, decided []*call.Waiter) {
	for _, w := range decided {
		at := -1
		for n, waiting := range m.waiting {
			if waiting == w {
				at = n
			}
		}
		require.GreaterOrEqual(t, at, 0, "a waiter was decided twice")
		for _, earlier := range m.waiting[:at] {
			overtook := w.State() == call.Admitted && earlier.State() == call.Waiting
			require.False(t, overtook, "a younger waiter was admitted first")
		}
		m.waiting = append(m.waiting[:at:at], m.waiting[at+1:]...)
		m.record(t, w)
	}
}

// record adds a waiter to the model by its state.
func (m *admissionModel) record(t *rapid.T, w *call.Waiter) {
	switch w.State() {
	case call.Admitted:
		require.False(t, m.closed, "admitted after the drain began")
		require.True(t, w.Deadline.IsZero() || m.now.Before(w.Deadline), "admitted after its deadline")
		m.running = append(m.running, w)
		require.LessOrEqual(t, len(m.running), m.limits.Slots)
	case call.Rejected:
		require.NotEmpty(t, w.Reason())
	case call.Waiting:
		m.waiting = append(m.waiting, w)
	}
}

// actions returns the state machine's actions; "" is the check after each.
func (m *admissionModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			require.Equal(t, len(m.running), m.admission.InProgress())
			require.Equal(t, len(m.running)+len(m.waiting), m.admission.Report(m.now).InProgress)
			if len(m.running) == 0 {
				require.Empty(t, m.waiting, "calls wait beside free slots")
			}
		},
		"pass": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
		},
		"enter": func(t *rapid.T) {
			w := &call.Waiter{}
			if rapid.Bool().Draw(t, "bounded") {
				w.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "left")) * time.Millisecond)
			}
			m.admission.Enter(w, m.now)
			m.record(t, w)
		},
		"leave": func(t *rapid.T) {
			if len(m.running) == 0 {
				t.Skip("nothing runs")
			}
			m.running = m.running[1:]
			m.resolve(t, m.admission.Leave(time.Duration(rapid.IntRange(0, 100).Draw(t, "took"))*time.Millisecond, m.now))
		},
		"abandon": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip("nothing waits")
			}
			w := rapid.SampledFrom(m.waiting).Draw(t, "waiter")
			require.Equal(t, call.Rejected, m.admission.Abandon(w, m.now))
			m.resolve(t, []*call.Waiter{w})
		},
		"cold":  func(t *rapid.T) { m.admission.SetCold(rapid.Bool().Draw(t, "cold"), m.now) },
		"close": func(t *rapid.T) { m.closed = true; m.resolve(t, m.admission.Close(m.now)); require.Empty(t, m.waiting) },
		"open":  func(*rapid.T) { m.closed = false; m.admission.Open(m.now) },
	}
}

// TestAdmission checks under random sequences of operations that no more calls
// run than there are slots, that the queue is first in, first out, that no call
// starts after its deadline, and that no waiter is admitted or rejected twice.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &admissionModel{now: time.Unix(1000, 0), limits: call.Limits{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 3).Draw(t, "queue"),
		}}
		require.Empty(t, m.admission.SetLimits(m.limits, m.now))
		t.Repeat(m.actions())
	})
}

// TestSlowStart checks that the slots of a cold backend server grow over the
// warmup, and that ending the slow start restores all of them.
func TestSlowStart(t *testing.T) {
	var a call.Admission
	now := time.Unix(1000, 0)
	a.SetLimits(call.Limits{Slots: 10, Warmup: 10 * time.Second}, now)
	a.SetCold(true, now)
	for seconds, slots := range map[int]int{0: 1, 1: 1, 3: 3, 9: 9, 10: 10, 60: 10} {
		require.Equal(t, slots, a.Slots(now.Add(time.Duration(seconds)*time.Second)))
	}
	a.SetCold(false, now)
	require.Equal(t, 10, a.Slots(now))
}

// TestQueueDeadline checks that a call that can't finish before its deadline is
// rejected at once rather than queued.
func TestQueueDeadline(t *testing.T) {
	var a call.Admission
	now := time.Unix(1000, 0)
	a.SetLimits(call.Limits{Slots: 1, Queue: 5, Wait: time.Second}, now)
	require.Equal(t, call.Admitted, a.Enter(&call.Waiter{}, now))
	a.Leave(50*time.Millisecond, now)
	require.Equal(t, call.Admitted, a.Enter(&call.Waiter{}, now))
	urgent := &call.Waiter{Deadline: now.Add(60 * time.Millisecond)}
	require.Equal(t, call.Rejected, a.Enter(urgent, now))
	require.Equal(t, call.ReasonLate, urgent.Reason())
	require.Equal(t, call.Waiting, a.Enter(&call.Waiter{Deadline: now.Add(200 * time.Millisecond)}, now))
}
