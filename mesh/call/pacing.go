package call

// This file connects the admission to package pace, which limits the concurrency of a
// backend server that has started or recovered.

import (
	"time"

	"caroblift.dev/mesh/pace"
)

// BeginPacing limits the concurrency of the backend server to a small value, from which it
// grows by the server's responses, if the limits ask for it.
func (a *Admission) BeginPacing(cause pace.Cause, now time.Time) {
	if a.limits.Pace {
		a.advanceSlotTime(now)
		a.pace.Begin(cause, now)
	}
}

// EndPacing ends a limit of the concurrency.
func (a *Admission) EndPacing(cause pace.Cause, now time.Time) {
	a.advanceSlotTime(now)
	a.pace.End(cause, now)
}

// PacingChanges returns the starts and ends of limits since the last call.
func (a *Admission) PacingChanges() []pace.Change { return a.pace.Changes() }

// Paced reports whether the concurrency is limited, and to which value.
func (a *Admission) Paced(now time.Time) (limit int, active bool) {
	return a.Slots(now), a.limits.Pace && a.pace.Active()
}

// demandMargin is how much longer than the time to its objective the calls of a class may take
// on average, so that one still gets a slot beyond the limit. Durations vary, so some
// of these calls are in time: with 1, all servers new and four times slower lost 0.007 of
// all calls in time against no limit (24 seeds of TestPacing), with 1.5 none.
const demandMargin = 1.5

// demandsSlot reports whether a waiter gets a slot beyond the limit of the concurrency: the
// backend server has it, other gates have refused the call or none will be asked, and the
// call may be in time.
func (a *Admission) demandsSlot(w *Waiter, now time.Time) bool {
	if !a.limits.Pace || !a.pace.Active() || !w.Repeated && !w.Last || a.inProgress < a.Slots(now) || a.inProgress >= a.limits.Slots {
		return false
	}
	left := demandMargin * float64(w.Objective.Sub(now))
	return w.Objective.IsZero() || float64(a.classDurations.get(w.Class, a.meanDuration)) <= left
}

// RecordRejection records that the backend server rejected an admitted call, or accepted no
// connection for it.
func (a *Admission) RecordRejection(w *Waiter, now time.Time) {
	if a.limits.Pace {
		a.pace.Record(pace.Response{Class: w.Class, Start: w.admittedAt, Left: w.left(), Result: pace.Rejected}, now)
	}
}

// recordPace records the end of an admitted call for the limit of the concurrency.
func (a *Admission) recordPace(w *Waiter, result Result, now time.Time) {
	if !a.limits.Pace {
		return
	}
	ended := [...]pace.Result{ResultSuccess: pace.Answered, ResultFailure: pace.Broken, ResultInconclusive: pace.Abandoned}[result]
	a.pace.Record(pace.Response{Class: w.Class, Start: w.admittedAt, Left: w.left(), Result: ended, Busy: max(w.startedWith, a.inProgress)}, now)
}

// left returns the time to the objective at the arrival of the call; zero when it has none.
func (w *Waiter) left() time.Duration {
	if w.Objective.IsZero() {
		return 0
	}
	return max(0, w.Objective.Sub(w.arrivedAt))
}
