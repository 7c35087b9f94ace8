package call

// This file implements admission control for a backend server: a concurrency
// limit, a short deadline-aware queue, slow start and drain.

import (
	"slices"
	"time"

	"caroblift.dev/mesh/pace"
)

// Limits bounds the calls that a backend server runs and queues.
type Limits struct {
	Slots  int           // concurrent calls
	Queue  int           // length of the queue; zero means as many as Slots
	Wait   time.Duration // maximum time in the queue; zero means DefaultWait
	Warmup time.Duration // duration of slow start; zero means DefaultWarmup, negative disables it
	Pace   bool          // the server's responses limit the concurrency after its start or a fault, in place of slow start
}

// Limits used where a policy sets none.
const (
	DefaultWait   = 100 * time.Millisecond
	DefaultWarmup = 10 * time.Second
)

// durationWeight is the weight of a new sample in the moving averages of call
// durations.
const durationWeight = 0.1

// nestedSlotsWeight is the weight of a new sample in the average of the slots that
// nested calls hold. There is a sample for each call that enters.
const nestedSlotsWeight = 0.05

// Waiter is a call that requests a slot.
type Waiter struct {
	Deadline time.Time     // zero for none
	Ready    chan struct{} // closed by the owner of the Admission once the waiter is admitted or rejected
	Demand                 // the zero Demand waits first in, first out, within the Limits
	Outside  bool          // the call entered the mesh at an instance of another service
	Repeated bool          // another gate has refused the call before
	Suspect  bool          // the request is suspected of ending backend servers: it gets a slot at once, and alone among suspects, or none

	// YieldShare is the share of calls like this one to refuse for more urgent ones at a
	// service that the backend server calls, as the function YieldShare returns it.
	YieldShare float64

	arrivedAt     time.Time // at the gate
	nested        bool      // a backend server makes the call while it runs another
	remote        bool      // the response is sent to another instance
	expectedBytes float64   // response size that the link was told to expect
	admittedAt    time.Time // time of admission
	startedWith   int       // calls in progress then, itself included
	abandonAt     time.Time // end of the wait in the queue
	state         WaiterState
	reason        Reason
}

// WaiterState is the state of a waiter.
type WaiterState int

// States of a waiter.
const (
	Waiting  WaiterState = iota // it is in the queue
	Admitted                    // it holds a slot until Leave or Finish
	Rejected                    // it got no slot; Reason says why
)

// Admission decides which calls run at the backend server. It is not safe for
// concurrent use. An admitted waiter holds a slot until Leave or Finish is
// called for it, exactly once.
type Admission struct {
	limits         Limits
	inProgress     int
	queue          []*Waiter
	closed         bool
	coldSince      time.Time                    // start of slow start; zero when warm
	meanDuration   time.Duration                // moving average over all calls
	classDurations classAverages[time.Duration] // moving average by class
	failureRate    decayingRate
	link           *Link
	origins        origins
	ownShare       float64 // share of instances that run the service
	nestedSlots    float64 // moving average of the slots that nested calls hold
	nestedProgress int     // nested calls that hold a slot
	suspects       int     // suspects that hold a slot
	tallies        tallyMeter
	yieldCarry     map[int]float64 // by priority: sum of the yield shares since the last call that yielded
	rateLimit      RateLimit       // that the server names
	slotTime       slotMeter
	pace           pace.Limiter
}

// SetLink sets the network link that responses are sent over; nil means a link
// of unlimited rate.
func (a *Admission) SetLink(l *Link) { a.link = l }

// SetLimits sets the limits. It returns the waiters that are admitted or
// rejected as a result.
func (a *Admission) SetLimits(l Limits, now time.Time) []*Waiter {
	if a.limits == l {
		return nil
	}
	a.advanceSlotTime(now)
	a.limits = l
	a.pace.SetSlots(l.Slots)
	if !l.Pace {
		a.pace.End(pace.PacingDisabled, now)
	}
	return a.admitWaiting(now)
}

// SetCold starts or ends the slow start of the backend server. A slow start
// that is in progress isn't restarted.
func (a *Admission) SetCold(cold bool, now time.Time) {
	switch {
	case !cold:
		a.coldSince = time.Time{}
	case a.coldSince.IsZero():
		a.coldSince = now
	}
}

// Slots returns the current number of slots. During slow start it grows linearly
// from 1 to the limit. With Limits.Pace it follows the responses of the server.
func (a *Admission) Slots(now time.Time) int {
	if a.limits.Pace {
		return a.pace.Limit(now)
	}
	warmup := a.limits.Warmup
	if warmup <= 0 {
		warmup = DefaultWarmup
	}
	passed := now.Sub(a.coldSince)
	if a.coldSince.IsZero() || passed >= warmup || a.limits.Warmup < 0 {
		return a.limits.Slots
	}
	return max(1, int(int64(a.limits.Slots)*int64(passed)/int64(warmup)))
}

// Report returns the load to be sent with responses.
func (a *Admission) Report(now time.Time) LoadReport {
	return LoadReport{InProgress: a.inProgress + len(a.queue), Slots: a.Slots(now), MeanDuration: a.meanDuration, FailureRate: a.failureRate.value(now)}
}

// InProgress returns the number of calls that hold a slot.
func (a *Admission) InProgress() int { return a.inProgress }

// Idle reports whether no call is in progress or waits.
func (a *Admission) Idle() bool { return a.inProgress == 0 && len(a.queue) == 0 }

// Enter requests a slot for a waiter. It returns Admitted, Rejected, or Waiting
// when the waiter was queued.
func (a *Admission) Enter(w *Waiter, now time.Time) WaiterState {
	w.arrivedAt = now
	w.nested = a.origins.observe(w.Class, w.Outside, a.ownShare)
	a.nestedSlots += nestedSlotsWeight * (float64(a.nestedProgress) - a.nestedSlots)
	switch {
	case a.closed:
		w.reject(ReasonLeaving)
	case !w.Deadline.IsZero() && !now.Before(w.Deadline):
		w.reject(ReasonLate)
	case a.yields(w, now):
		w.reject(ReasonOverload)
	case a.linkTooSlow(w, now), a.keepsOut(w, now):
		w.reject(ReasonBusy)
	case a.limited(w, now):
		a.refuse(w, ReasonLimited, now)
	case len(a.queue) == 0 && a.inProgress < a.Slots(now):
		a.grantSlot(w, now)
	case a.demandsSlot(w, now):
		a.pace.Demand(a.inProgress+1, now)
		a.grantSlot(w, now)
	case a.exceedsShortWait(w, now):
		a.refuse(w, ReasonBusy, now)
	default:
		a.enqueue(w, now)
	}
	return w.state
}

// keepsOut reports whether a suspect gets no slot: another one holds a slot, or it would
// have to wait.
func (a *Admission) keepsOut(w *Waiter, now time.Time) bool {
	return w.Suspect && (a.suspects > 0 || len(a.queue) > 0 || a.inProgress >= a.Slots(now))
}

// enqueue queues a waiter, or rejects it.
func (a *Admission) enqueue(w *Waiter, now time.Time) {
	switch {
	case w.nested && !w.Deadline.IsZero():
		a.enqueueNested(w, now)
	case !w.Objective.IsZero():
		a.enqueueByObjective(w, now)
	default:
		a.enqueueInOrder(w, now)
	}
}

// grantSlot gives a slot to a waiter.
func (a *Admission) grantSlot(w *Waiter, now time.Time) {
	a.advanceSlotTime(now)
	a.inProgress++
	a.rateLimit.take(now)
	if w.nested {
		a.nestedProgress++
	}
	if w.Suspect {
		a.suspects++
	}
	w.state, w.admittedAt, w.startedWith = Admitted, now, a.inProgress
	if w.counts() {
		if t := a.tallies.of(w.Priority, now); t != nil {
			t.Served++
		}
	}
	if w.remote {
		w.expectedBytes = a.link.Begin(w.Class)
	}
}

// enqueueInOrder appends a waiter without an objective to the queue. It rejects
// the waiter when the queue is full, or when the expected wait exceeds the limit
// or the deadline.
func (a *Admission) enqueueInOrder(w *Waiter, now time.Time) {
	length, wait := a.limits.Queue, a.limits.Wait
	if length <= 0 {
		length = a.limits.Slots
	}
	if wait <= 0 {
		wait = DefaultWait
	}
	expected := a.meanDuration * time.Duration(len(a.queue)+1) / time.Duration(max(1, a.Slots(now)))
	switch {
	case len(a.queue) >= length || expected > wait:
		w.reject(ReasonBusy)
	case !w.Deadline.IsZero() && now.Add(expected+a.meanDuration).After(w.Deadline):
		w.reject(ReasonLate)
	default:
		w.abandonAt = now.Add(wait)
		if !w.Deadline.IsZero() && w.Deadline.Before(w.abandonAt) {
			w.abandonAt = w.Deadline
		}
		a.queue = append(a.queue, w)
	}
}

// MarkRemote marks a call whose response is sent to another instance.
func (w *Waiter) MarkRemote() { w.remote = true }

func (w *Waiter) reject(r Reason) { w.state, w.reason = Rejected, r }

// AbandonAt returns the time at which a queued waiter must be abandoned.
func (w *Waiter) AbandonAt() time.Time { return w.abandonAt }

// Reason returns why a waiter was rejected.
func (w *Waiter) Reason() Reason { return w.reason }

// State returns the state of the waiter.
func (w *Waiter) State() WaiterState { return w.state }

// Leave releases the slot of a call and records the call's duration. It returns
// the waiters that are admitted or rejected as a result.
func (a *Admission) Leave(duration time.Duration, now time.Time) []*Waiter {
	a.inProgress--
	if a.meanDuration == 0 {
		a.meanDuration = duration
	}
	a.meanDuration += time.Duration(durationWeight * float64(duration-a.meanDuration))
	return a.admitWaiting(now)
}

// Finish releases the slot of an admitted waiter. Unless the result of the call is
// inconclusive, it records the call's duration and whether it failed. It returns
// the waiters that are admitted or rejected as a result.
func (a *Admission) Finish(w *Waiter, result Result, now time.Time) []*Waiter {
	a.link.End(w.expectedBytes)
	a.advanceSlotTime(now)
	a.slotTime.use(w, result, now)
	if w.nested {
		a.nestedProgress--
	}
	if w.Suspect {
		a.suspects--
	}
	a.recordPace(w, result, now)
	if result == ResultInconclusive {
		a.inProgress--
		return a.admitWaiting(now)
	}
	a.failureRate.add(result == ResultFailure, now)
	duration := now.Sub(w.admittedAt)
	a.classDurations.add(w.Class, duration, durationWeight)
	return a.Leave(duration, now)
}

// admitWaiting gives free slots to queued waiters in the order of precedes, and
// rejects those that have waited too long. It returns the waiters that it
// admitted or rejected.
func (a *Admission) admitWaiting(now time.Time) []*Waiter {
	var decided []*Waiter
	rejectLate := a.onTimeFillSlots(now)
	a.queue = slices.DeleteFunc(a.queue, func(w *Waiter) bool {
		if now.Before(w.abandonAt) && !(rejectLate && !w.nested && a.missesObjective(w, now)) {
			return false
		}
		a.refuse(w, a.expiryReason(w, now), now)
		decided = append(decided, w)
		return true
	})
	for len(a.queue) > 0 && a.inProgress < a.Slots(now) {
		i := a.nextIndex(now)
		w := a.queue[i]
		a.queue = slices.Delete(a.queue, i, i+1)
		a.grantSlot(w, now)
		decided = append(decided, w)
	}
	return decided
}

// expiryReason returns the reason for a waiter that leaves the queue without a
// slot.
func (a *Admission) expiryReason(w *Waiter, now time.Time) Reason {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return ReasonLate
	}
	return ReasonBusy
}

// Abandon removes a waiter from the queue because its caller disconnected or its
// wait is over. It returns Admitted when the waiter got a slot before Abandon was
// called.
func (a *Admission) Abandon(w *Waiter, now time.Time) WaiterState {
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		a.refuse(w, a.expiryReason(w, now), now)
	}
	return w.state
}

// MeanDuration returns the moving average of call durations.
func (a *Admission) MeanDuration() time.Duration { return a.meanDuration }

// Open admits calls again after Close.
func (a *Admission) Open(now time.Time) {
	a.advanceSlotTime(now)
	a.closed = false
}

// Close rejects every call until Open is called. It empties the queue and
// returns the waiters that were in it, all rejected.
func (a *Admission) Close(now time.Time) []*Waiter {
	a.advanceSlotTime(now)
	a.closed = true
	waiters := a.queue
	a.queue = nil
	for _, w := range waiters {
		w.reject(ReasonLeaving)
	}
	return waiters
}
