package call

// This file orders the calls that wait at a gate where routes name objectives,
// and decides which of them may wait at all. It answers loads above the
// capacity of a backend server for up to seconds: bursts, and the loss of
// others. A call that may wait is one that is expected to be answered; the
// others are refused at once, so that their callers can come back.

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Demand is what a call asks of a gate beyond a slot.
type Demand struct {
	Class     string    // route, whose calls take about the same time
	Priority  int       // 0 is the most urgent
	Objective time.Time // until which an answer earns its full credit; zero when the route names none
	Now       bool      // a slot at once or none: the entry node knows other gates
}

// Format returns a demand as HeaderDemand carries it.
func (d Demand) Format(now time.Time) string {
	when := "wait"
	if d.Now {
		when = "now"
	}
	left := d.Objective.Sub(now).Milliseconds()
	return strconv.Itoa(d.Priority) + "/" + strconv.FormatInt(left, 10) + "/" + when + "/" + d.Class
}

// ParseDemand reads what HeaderDemand carries. A text that cannot be read is no
// demand.
func ParseDemand(text string, now time.Time) Demand {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) != 4 {
		return Demand{}
	}
	priority, err := strconv.Atoi(parts[0])
	left, err2 := strconv.ParseInt(parts[1], 10, 32)
	if err != nil || err2 != nil {
		return Demand{}
	}
	return Demand{
		Class: parts[3], Priority: priority, Now: parts[2] == "now",
		Objective: now.Add(time.Duration(left) * time.Millisecond),
	}
}

// End says how an admitted call ended.
type End int

// The values of End.
const (
	Good   End = iota // answered
	Bad               // failed at the backend server
	Untold            // it tells nothing of the server: not run, or broken off by its caller
)

const (
	// queueSlots bounds the calls that wait, in times the slots: with more the
	// last would wait for four calls in a row, beyond every objective in use.
	queueSlots = 4
	// graceShare is the part of the time between objective and deadline that a
	// call may wait beyond what its objective allows, as one in graceShare. An
	// answer after the objective earns a third, so a late answer is worth a
	// short wait and not one to the end.
	graceShare = 6
	// workMargin is how much longer than the average of its class a call may
	// take that is still expected to meet its objective: durations spread, and a
	// call that starts with just the average left misses it as often as not.
	workMargin = 1.5
	// linkMargin is how much longer than expected a large answer may take to be
	// sent that is still expected in time: sizes spread, and small answers take
	// a part of the link that varies.
	linkMargin = 1.25
)

// Judge takes that the backend server did or did not answer a call whose
// duration tells nothing.
func (a *Admission) Judge(good bool, now time.Time) { a.failing.add(!good, now) }

// join puts a call with an objective in the queue if it is expected to get its
// slot in time, and refuses it otherwise.
func (a *Admission) join(w *Waiter, now time.Time) {
	slots := max(1, a.Slots(now))
	expected, work := a.expected(w, now), a.likely(w)
	allowed := a.allowed(w, now, work)
	until := now.Add(2 * allowed)
	if !w.Deadline.IsZero() {
		until = w.Deadline.Add(-work)
	}
	switch {
	case !now.Add(expected).Before(until):
		w.reject(Late)
	case len(a.queue) >= queueSlots*slots || expected > allowed:
		w.reject(Busy)
	default:
		w.until = until
		a.queue = append(a.queue, w)
	}
}

// allowed returns how long a call that takes some time may wait in all.
func (a *Admission) allowed(w *Waiter, now time.Time, work time.Duration) time.Duration {
	allowed := max(0, w.Objective.Sub(now)-work)
	if !w.Deadline.IsZero() {
		latest := w.Objective
		if latest.Before(now) {
			latest = now
		}
		allowed += max(0, w.Deadline.Sub(latest)) / graceShare
	}
	return allowed
}

// overLink tells whether the answer to a call would be sent too late. There is
// no grace beyond the objective: downloads above what the link carries keep its
// queue as long as it may be, and with a grace all of them would be late. A call
// that is late already is let through where it holds up nearly nobody.
func (a *Admission) overLink(w *Waiter, now time.Time) bool {
	if !w.remote || w.Objective.IsZero() {
		return false
	}
	expected := a.link.Expected(w.Class, now)
	if expected == 0 {
		return false
	}
	if left := w.Objective.Sub(now) - a.likely(w); left > 0 {
		return time.Duration(linkMargin*float64(expected)) > left
	}
	return a.link.Backlog(now) > expected/2
}

// expected returns how long a call would wait for a slot now.
func (a *Admission) expected(w *Waiter, now time.Time) time.Duration {
	ahead := 0
	for _, o := range a.queue {
		if !a.before(w, o, now) {
			ahead++
		}
	}
	return a.work * time.Duration(ahead+1) / time.Duration(max(1, a.Slots(now)))
}

// Backlog returns how long a new call would wait behind all others.
func (a *Admission) Backlog(now time.Time) time.Duration {
	return a.work * time.Duration(len(a.queue)+1) / time.Duration(max(1, a.Slots(now)))
}

// before tells whether a waiter goes before one that came earlier: it can still
// meet its objective and the other cannot, or it is more urgent.
func (a *Admission) before(w, earlier *Waiter, now time.Time) bool {
	if late := a.late(w, now); late != a.late(earlier, now) {
		return !late
	}
	return w.Priority < earlier.Priority
}

// hopeless tells whether calls that miss their objective would get no slot
// soon: those that can still meet theirs fill the server for a whole round.
// Holding the late ones on would only take the time in which their callers can
// come back.
func (a *Admission) hopeless(now time.Time) bool {
	inTime := 0
	for _, w := range a.queue {
		if !w.Objective.IsZero() && !a.late(w, now) {
			inTime++
		}
	}
	return inTime >= max(1, a.Slots(now))
}

// late tells whether a call that starts now would miss its objective.
func (a *Admission) late(w *Waiter, now time.Time) bool {
	return !w.Objective.IsZero() && now.Add(a.likely(w)).After(w.Objective)
}

// likely returns the time in which most calls of a waiter's class are answered.
func (a *Admission) likely(w *Waiter) time.Duration {
	return time.Duration(workMargin * float64(a.classes.of(w.Class, a.work)))
}

// first returns the place of the waiter that gets the next slot.
func (a *Admission) first(now time.Time) int {
	best := 0
	for i := 1; i < len(a.queue); i++ {
		if a.before(a.queue[i], a.queue[best], now) {
			best = i
		}
	}
	return best
}

// maxClasses bounds the classes whose averages are known by themselves.
const maxClasses = 64

// averages holds one average for each class of calls. The zero averages hold
// none.
type averages[T ~int64 | ~float64] struct {
	names  []string
	values []T
}

// of returns the average of a class, or another value while none is known.
func (s *averages[T]) of(class string, otherwise T) T {
	if i := slices.Index(s.names, class); i >= 0 {
		return s.values[i]
	}
	return otherwise
}

// add takes a value of a class, which gets a share of the average. Calls without
// a class are not told apart.
func (s *averages[T]) add(class string, v T, share float64) {
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
	s.values[i] += T(share * float64(v-s.values[i]))
}

const (
	failingShare = 0.1             // of a new result in the share of failures
	failingHalf  = 2 * time.Second // in which a share that is not renewed counts for half
)

// fading is a share of failures that counts for less as time passes, so that a
// server that gets no calls because of it is tried again.
type fading struct {
	share float64
	seen  time.Time
}

func (f *fading) add(failed bool, now time.Time) {
	result := 0.0
	if failed {
		result = 1
	}
	share := f.at(now)
	f.share, f.seen = share+failingShare*(result-share), now
}

func (f *fading) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	halves := float64(now.Sub(f.seen)) / float64(failingHalf)
	return f.share / (1 + halves)
}
