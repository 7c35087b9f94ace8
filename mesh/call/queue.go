package call

// This file queues the calls at a gate whose routes set a latency objective. It
// handles overload of a backend server that lasts up to seconds, as in a burst
// or after the loss of other backend servers. A call is queued only if it is
// expected to complete in time. Other calls are refused at once, so that their
// callers can retry.

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Demand tells a gate how to queue a call.
type Demand struct {
	Class     string    // name of the route; calls of a class have similar durations and sizes
	Priority  int       // 0 is the most urgent
	Objective time.Time // time by which a response has its full value; zero when the route sets none
	ShortWait bool      // queue only for a short wait, since the entry node can try other gates
	Last      bool      // no other gate is asked if this one refuses the call

	Share ShareClass // how the call stands in the fair shares of workspaces
}

// Modes of a demand: whether the call may wait, and whether it is the last attempt.
// Nodes of earlier versions know the first two, and take all others for the first.
const (
	modeWait      = "wait"
	modeShort     = "now"
	modeLastWait  = "last"
	modeLastShort = "lastnow"
)

// Endings of a mode that state a call's ShareClass; none for ShareOrdinary.
const (
	modeFloor  = "+floor"
	modeExcess = "+excess"
)

// Format returns the value of HeaderDemand: priority, ms until the objective, mode and
// class, separated by slashes.
func (d Demand) Format(now time.Time) string {
	mode := modeWait
	switch {
	case d.ShortWait && d.Last:
		mode = modeLastShort
	case d.ShortWait:
		mode = modeShort
	case d.Last:
		mode = modeLastWait
	}
	switch d.Share {
	case ShareFloor:
		mode += modeFloor
	case ShareExcess:
		mode += modeExcess
	}
	left := d.Objective.Sub(now).Milliseconds()
	return strconv.Itoa(d.Priority) + "/" + strconv.FormatInt(left, 10) + "/" + mode + "/" + d.Class
}

// ParseDemand parses the value of HeaderDemand. It returns the zero Demand when
// the value is invalid.
func ParseDemand(text string, now time.Time) Demand {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) != 4 {
		return Demand{}
	}
	priority, err := strconv.Atoi(parts[0])
	left, leftErr := strconv.ParseInt(parts[1], 10, 32)
	if err != nil || leftErr != nil {
		return Demand{}
	}
	mode, share := cutShare(parts[2])
	return Demand{
		Class: parts[3], Priority: priority, ShortWait: mode == modeShort || mode == modeLastShort, Last: mode == modeLastWait || mode == modeLastShort,
		Objective: now.Add(time.Duration(left) * time.Millisecond), Share: share,
	}
}

// cutShare splits a mode from the class that its ending states.
func cutShare(mode string) (string, ShareClass) {
	if mode, ok := strings.CutSuffix(mode, modeFloor); ok {
		return mode, ShareFloor
	}
	if mode, ok := strings.CutSuffix(mode, modeExcess); ok {
		return mode, ShareExcess
	}
	return mode, ShareOrdinary
}

// Result is the result of an admitted call, as a sample for the duration and
// the failure rate of the backend server.
type Result int

// Results of admitted calls.
const (
	ResultSuccess      Result = iota // the backend server responded
	ResultFailure                    // the backend server failed
	ResultInconclusive               // not a sample: the call didn't run, or its caller aborted it
)

const (
	// queuePerSlot is the maximum queue length per slot. In a longer queue, the
	// last call would wait for more than four others in a row, which exceeds
	// every objective in use.
	queuePerSlot = 4
	// shortWaitDivisor is the part of the time to the objective that a call with ShortWait
	// may be expected to wait. A longer wait could be shorter at another gate.
	shortWaitDivisor = 3
	// graceDivisor limits the wait beyond what the objective allows to
	// 1/graceDivisor of the time between objective and deadline. An answer after the
	// objective still has some value, which justifies a short wait but not one up to
	// the deadline.
	graceDivisor = 6
	// durationMargin is multiplied with the average duration of a class to
	// predict whether a call meets its objective. Durations vary, and a call that
	// starts with only the average left misses its objective half of the time.
	durationMargin = 1.5
	// sendMargin is multiplied with the expected send time of a large response to
	// predict whether it is sent in time. Sizes vary, and so does the share of the
	// link that small responses take.
	sendMargin = 1.25
)

// RecordResult records whether the backend server responded to a call, for the
// failure rate only. It is for calls whose duration isn't a valid sample.
func (a *Admission) RecordResult(good bool, now time.Time) { a.failureRate.add(!good, now) }

// enqueueByObjective queues a waiter with an objective if it is expected to get
// a slot in time, and rejects it otherwise.
func (a *Admission) enqueueByObjective(w *Waiter, now time.Time) {
	slots := max(1, a.Slots(now))
	expected, duration := a.expectedWaitOf(w, now), a.likelyDuration(w)
	latest := latestStart(w, now, duration)
	switch {
	case !w.Deadline.IsZero() && !now.Add(expected+duration).Before(w.Deadline):
		a.refuse(w, ReasonLate, now)
	case len(a.queue) >= queuePerSlot*slots || now.Add(expected).After(latest):
		a.refuse(w, ReasonBusy, now)
	default:
		w.abandonAt = latest
		a.queue = append(a.queue, w)
	}
}

// exceedsShortWait reports whether a call with ShortWait would wait for too long.
func (a *Admission) exceedsShortWait(w *Waiter, now time.Time) bool {
	return w.ShortWait && a.expectedWaitOf(w, now) > w.Objective.Sub(now)/shortWaitDivisor
}

// latestStart returns until when a call of the given duration may wait for a slot:
// until it would miss its objective, plus a grace period if it has a deadline.
func latestStart(w *Waiter, now time.Time, duration time.Duration) time.Time {
	latest := later(w.Objective.Add(-duration), now)
	if w.Deadline.IsZero() {
		return latest
	}
	return latest.Add(max(0, w.Deadline.Sub(later(w.Objective, now))) / graceDivisor)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// enqueueNested queues a nested call unless it can't get a slot in time for its
// deadline. It may wait beyond its objective: a refusal would waste the work of the
// call that it belongs to. The slots of the calling servers bound how many wait.
func (a *Admission) enqueueNested(w *Waiter, now time.Time) {
	w.abandonAt = w.Deadline.Add(-a.classDurations.get(w.Class, a.meanDuration))
	if !now.Add(a.expectedWaitOf(w, now)).Before(w.abandonAt) {
		w.reject(ReasonLate)
		return
	}
	a.queue = append(a.queue, w)
}

// linkTooSlow reports whether the link would send the response to a call too
// late. There is no grace period beyond the objective: downloads that exceed the
// capacity of the link keep its queue at the permitted maximum, so with a grace
// period all of them would be late. A call that misses its objective anyway is
// admitted while the backlog is at most half of the expected time for its
// response, since it then delays hardly any others.
func (a *Admission) linkTooSlow(w *Waiter, now time.Time) bool {
	if !w.remote || w.Objective.IsZero() {
		return false
	}
	expected := a.link.ExpectedSendTime(w.Class, now)
	if expected == 0 {
		return false
	}
	if left := w.Objective.Sub(now) - a.likelyDuration(w); left > 0 {
		return time.Duration(sendMargin*float64(expected)) > left
	}
	return a.link.QueueDelay(now) > expected/2
}

// expectedWaitOf returns how long a new waiter would wait for a slot. The slots that
// nested calls hold on average are not there for others.
func (a *Admission) expectedWaitOf(w *Waiter, now time.Time) time.Duration {
	ahead := 0
	for _, other := range a.queue {
		if !a.precedes(w, other, now) {
			ahead++
		}
	}
	slots := float64(a.Slots(now))
	if !w.nested {
		slots -= a.nestedSlots
	}
	return time.Duration(float64(a.meanDuration) * float64(ahead+1) / max(1, slots))
}

// ExpectedWait returns how long a new call would wait for a slot if all queued
// calls went first.
func (a *Admission) ExpectedWait(now time.Time) time.Duration {
	return a.meanDuration * time.Duration(len(a.queue)+1) / time.Duration(max(1, a.Slots(now)))
}

// precedes reports whether a waiter gets a slot before one that arrived earlier:
// only it is a nested call, or both are equal in this and only it can still meet its
// objective, or both are equal in this too and only it is within the floor of its
// workspace, or else it is more urgent, or as urgent and only the other one is beyond the
// share of its workspace.
func (a *Admission) precedes(w, earlier *Waiter, now time.Time) bool {
	if w.nested != earlier.nested {
		return w.nested
	}
	if late := a.missesObjective(w, now); late != a.missesObjective(earlier, now) {
		return !late
	}
	if floor := w.Share == ShareFloor; floor != (earlier.Share == ShareFloor) {
		return floor
	}
	if w.Priority != earlier.Priority {
		return w.Priority < earlier.Priority
	}
	return w.Share != ShareExcess && earlier.Share == ShareExcess
}

// onTimeFillSlots reports whether the queued calls that can still meet their
// objective fill all slots. The late ones then get no slot soon, and keeping them
// in the queue would only use up the time in which their callers can retry.
func (a *Admission) onTimeFillSlots(now time.Time) bool {
	inTime := 0
	for _, w := range a.queue {
		if !w.Objective.IsZero() && !a.missesObjective(w, now) {
			inTime++
		}
	}
	return inTime >= max(1, a.Slots(now))
}

// missesObjective reports whether a call that started now would miss its
// objective.
func (a *Admission) missesObjective(w *Waiter, now time.Time) bool {
	return !w.Objective.IsZero() && now.Add(a.likelyDuration(w)).After(w.Objective)
}

// likelyDuration returns the duration that most calls of a waiter's class don't
// exceed.
func (a *Admission) likelyDuration(w *Waiter) time.Duration {
	return time.Duration(durationMargin * float64(a.classDurations.get(w.Class, a.meanDuration)))
}

// nextIndex returns the queue index of the waiter that gets the next slot.
func (a *Admission) nextIndex(now time.Time) int {
	best := 0
	for i := 1; i < len(a.queue); i++ {
		if a.precedes(a.queue[i], a.queue[best], now) {
			best = i
		}
	}
	return best
}

// maxClasses bounds the classes that are tracked. When it is exceeded, all
// averages are reset.
const maxClasses = 64

// classAverages holds a moving average for each class of calls. The zero value
// is empty.
type classAverages[T ~int64 | ~float64] struct {
	names  []string
	values []T
}

// get returns the average of a class, or the fallback if the class has none.
func (s *classAverages[T]) get(class string, fallback T) T {
	if i := slices.Index(s.names, class); i >= 0 {
		return s.values[i]
	}
	return fallback
}

// add adds a sample for a class with the given weight. A sample without a class
// is ignored.
func (s *classAverages[T]) add(class string, v T, weight float64) {
	if class == "" {
		return
	}
	i := slices.Index(s.names, class)
	if i < 0 {
		if len(s.names) == maxClasses {
			s.names, s.values = nil, nil
		}
		s.names, s.values = append(s.names, class), append(s.values, v)
		return
	}
	s.values[i] += T(weight * float64(v-s.values[i]))
}

const (
	reportedFailureWeight  = 0.1             // weight of a new result in the failure rate
	reportedFailureHalving = 2 * time.Second // time in which a rate without new results falls to a half
)

// decayingRate is a moving average of failures that decays over time. Without
// the decay, a backend server that gets no calls because of its failure rate
// would never be tried again.
type decayingRate struct {
	rate    float64
	updated time.Time
}

func (f *decayingRate) add(failed bool, now time.Time) {
	result := 0.0
	if failed {
		result = 1
	}
	rate := f.value(now)
	f.rate, f.updated = rate+reportedFailureWeight*(result-rate), now
}

// value returns the rate, divided by 1 + age/reportedFailureHalving.
func (f *decayingRate) value(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	halves := float64(now.Sub(f.updated)) / float64(reportedFailureHalving)
	return f.rate / (1 + halves)
}
