package call

// This file admits calls to the backend server: exact slots, a short queue that
// knows deadlines, slow start and drain.

import (
	"slices"
	"time"
)

// Limits bound the calls at a backend server.
type Limits struct {
	Slots  int           // calls in progress
	Queue  int           // calls that wait; zero means as many as slots
	Wait   time.Duration // that a call waits at most; zero means DefaultWait
	Warmup time.Duration // of slow start; zero means DefaultWarmup, less means none
}

// The limits where a policy names none.
const (
	DefaultWait   = 100 * time.Millisecond
	DefaultWarmup = 10 * time.Second
)

// workShare is the part of a new duration in the average.
const workShare = 0.1

// Waiter is one call that asks for a slot.
type Waiter struct {
	Deadline time.Time     // zero for none
	Ready    chan struct{} // closed by whoever runs the admission, once it is decided
	Demand                 // the zero Demand waits in turn, as the limits say

	remote bool      // its answer leaves the instance
	bytes  float64   // that the link expects of its answer
	start  time.Time // when it was admitted
	until  time.Time
	state  Verdict
	reason Reason
}

// Verdict is what became of a waiter.
type Verdict int

// The values of Verdict.
const (
	Waiting  Verdict = iota
	Admitted         // it holds a slot until Leave
	Rejected         // it was not run
)

// Admission decides which calls run at the backend server. It is not safe for
// concurrent use. A waiter that is admitted holds a slot until Leave is called
// for it exactly once.
type Admission struct {
	limits   Limits
	progress int
	queue    []*Waiter
	closed   bool
	cold     time.Time // start of the slow start; zero when warm
	work     time.Duration
	classes  averages[time.Duration] // work
	failing  fading
	link     *Link
}

// Through sets the link that answers leave by; nil means that it never binds.
func (a *Admission) Through(l *Link) { a.link = l }

// Limit sets the limits and returns the waiters that they admit.
func (a *Admission) Limit(l Limits, now time.Time) []*Waiter {
	if a.limits == l {
		return nil
	}
	a.limits = l
	return a.admit(now)
}

// Cold starts or ends the slow start of the backend server.
func (a *Admission) Cold(cold bool, now time.Time) {
	switch {
	case !cold:
		a.cold = time.Time{}
	case a.cold.IsZero():
		a.cold = now
	}
}

// Slots returns the slots in use now: during slow start, a share that grows
// with time.
func (a *Admission) Slots(now time.Time) int {
	warmup := a.limits.Warmup
	if warmup <= 0 {
		warmup = DefaultWarmup
	}
	passed := now.Sub(a.cold)
	if a.cold.IsZero() || passed >= warmup || a.limits.Warmup < 0 {
		return a.limits.Slots
	}
	return max(1, int(int64(a.limits.Slots)*int64(passed)/int64(warmup)))
}

// Report returns the load as answers carry it.
func (a *Admission) Report(now time.Time) Report {
	return Report{Progress: a.progress + len(a.queue), Slots: a.Slots(now), Work: a.work, Failing: a.failing.at(now)}
}

// Progress returns the calls that hold a slot.
func (a *Admission) Progress() int { return a.progress }

// Enter asks for a slot. A rejected waiter's reason is given by Reason.
func (a *Admission) Enter(w *Waiter, now time.Time) Verdict {
	switch {
	case a.closed:
		w.reject(Leaving)
	case !w.Deadline.IsZero() && !now.Before(w.Deadline):
		w.reject(Late)
	case a.overLink(w, now):
		w.reject(Busy)
	case len(a.queue) == 0 && a.progress < a.Slots(now):
		a.begin(w, now)
	case w.Now:
		w.reject(Busy)
	case !w.Objective.IsZero():
		a.join(w, now)
	default:
		a.enqueue(w, now)
	}
	return w.state
}

// begin gives a slot to a waiter.
func (a *Admission) begin(w *Waiter, now time.Time) {
	a.progress++
	w.state, w.start = Admitted, now
	if w.remote {
		w.bytes = a.link.Begin(w.Class)
	}
}

// enqueue puts a waiter in the queue unless that is full or it could not start
// in time.
func (a *Admission) enqueue(w *Waiter, now time.Time) {
	length, wait := a.limits.Queue, a.limits.Wait
	if length <= 0 {
		length = a.limits.Slots
	}
	if wait <= 0 {
		wait = DefaultWait
	}
	expected := a.work * time.Duration(len(a.queue)+1) / time.Duration(max(1, a.Slots(now)))
	switch {
	case len(a.queue) >= length || expected > wait:
		w.reject(Busy)
	case !w.Deadline.IsZero() && now.Add(expected+a.work).After(w.Deadline):
		w.reject(Late)
	default:
		w.until = now.Add(wait)
		if !w.Deadline.IsZero() && w.Deadline.Before(w.until) {
			w.until = w.Deadline
		}
		a.queue = append(a.queue, w)
	}
}

// Remote marks a call whose answer leaves the instance.
func (w *Waiter) Remote() { w.remote = true }

func (w *Waiter) reject(r Reason) { w.state, w.reason = Rejected, r }

// Until returns when a waiting waiter must be abandoned.
func (w *Waiter) Until() time.Time { return w.until }

// Reason returns why a waiter was rejected.
func (w *Waiter) Reason() Reason { return w.reason }

// Verdict returns what became of a waiter.
func (w *Waiter) Verdict() Verdict { return w.state }

// Leave gives back the slot of a call that took some time, and returns the
// waiters that are admitted in its place.
func (a *Admission) Leave(took time.Duration, now time.Time) []*Waiter {
	a.progress--
	if a.work == 0 {
		a.work = took
	}
	a.work += time.Duration(workShare * float64(took-a.work))
	return a.admit(now)
}

// Finish is Leave for a waiter, and learns from how its call ended.
func (a *Admission) Finish(w *Waiter, end End, now time.Time) []*Waiter {
	a.link.End(w.bytes)
	if end == Untold {
		a.progress--
		return a.admit(now)
	}
	a.failing.add(end == Bad, now)
	took := now.Sub(w.start)
	a.classes.add(w.Class, took, workShare)
	return a.Leave(took, now)
}

// admit gives free slots to waiters in the order of before. Those that are too
// late are rejected.
func (a *Admission) admit(now time.Time) []*Waiter {
	var decided []*Waiter
	hopeless := a.hopeless(now)
	a.queue = slices.DeleteFunc(a.queue, func(w *Waiter) bool {
		if now.Before(w.until) && !(hopeless && a.late(w, now)) {
			return false
		}
		w.reject(a.lateReason(w, now))
		decided = append(decided, w)
		return true
	})
	for len(a.queue) > 0 && a.progress < a.Slots(now) {
		i := a.first(now)
		w := a.queue[i]
		a.queue = slices.Delete(a.queue, i, i+1)
		a.begin(w, now)
		decided = append(decided, w)
	}
	return decided
}

func (a *Admission) lateReason(w *Waiter, now time.Time) Reason {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return Late
	}
	return Busy
}

// Abandon takes a waiter out of the queue, because its caller went away or its
// time is over. It returns the verdict, which is Admitted when a slot was given
// in the same moment.
func (a *Admission) Abandon(w *Waiter, now time.Time) Verdict {
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		w.reject(a.lateReason(w, now))
	}
	return w.state
}

// Work returns the average duration of a call.
func (a *Admission) Work() time.Duration { return a.work }

// Open admits calls again after Close.
func (a *Admission) Open() { a.closed = false }

// Close rejects every call until Open and returns the waiters, all rejected.
func (a *Admission) Close() []*Waiter {
	a.closed = true
	waiters := a.queue
	a.queue = nil
	for _, w := range waiters {
		w.reject(Leaving)
	}
	return waiters
}
