// Package pace decides how many calls a backend server that has started or recovered may
// run at a time. It handles servers that are slow while their caches are empty, that come
// back after a fault, or that are slowed down by others on their machine: with all slots
// in use from the first moment, most of their answers would be late.
//
// The limit follows the server's own responses. Each response in time for its route raises
// it, so that it doubles within the duration of a call. Each late one lowers it, and each
// rejection or broken connection halves it. Once the limit has been at the slots for some
// responses, the limiter is idle, until enough signs of trouble follow each other.
//
// The package opens no sockets and starts no goroutines.
//
// # Usage
//
//	var l pace.Limiter
//	l.SetSlots(9)
//	l.Begin(pace.ServerNew, now)
//	free := l.Limit(now) - inProgress
//	l.Record(pace.Response{Class: "search", Start: start, Left: left, Result: pace.Answered}, now)
package pace

import (
	"math"
	"time"
)

// Cause says why the concurrency of a server is limited.
type Cause string

// The causes of a limit.
const (
	ServerNew      Cause = "new"      // it has started or was replaced
	ServerBack     Cause = "back"     // it was lost and is there again
	ServerCold     Cause = "cold"     // it says so
	ServerSlow     Cause = "slow"     // its responses became late
	ServerRejects  Cause = "rejects"  // it rejected calls, or accepted no connections
	ServerFails    Cause = "fails"    // it broke off calls
	ServerReplaced Cause = "replaced" // ends a limit: another server follows, or none
	ServerWarm     Cause = "warm"     // ends a limit: the server handles all its slots in time
	PacingDisabled Cause = "disabled" // ends a limit: the policy no longer asks for one
)

const (
	// startDivisor is the part of the slots that a limit starts with and never falls below.
	// Entry nodes assume the same part for a server that announces itself as cold. From
	// there, all slots may be in use after two calls in a row.
	startDivisor = 4
	// inTimeGain is how much a response in time raises the limit while at least half of it
	// is in use: it doubles within the duration of a call.
	inTimeGain = 1
	// unusedGain is the gain while less than half of the limit is in use. Such a response
	// says little of more concurrency, but a server with few calls must become warm too.
	unusedGain = 0.25
	// returnGain is the gain up to the level that the limit had before calls were rejected or
	// broken off, or the server was lost. A server that is up again mostly runs as many
	// calls as before; one that does not is lowered by its late responses.
	returnGain = 3
	// lateLoss is how much a late response lowers the limit. The limit falls if more than
	// inTimeGain / (inTimeGain + lateLoss), a quarter, of the responses are late. A server
	// that counts as warm is limited if more than two fifths are: with the same loss,
	// servers that are slowed down for 600 ms at a time were limited for longer than that.
	lateLoss     = 3
	warmLateLoss = 1.5
	// failureFactor is multiplied with the limit for a rejected or broken call.
	failureFactor = 0.5
	// slowFactor is how much longer than the server's usual duration of a class a late
	// response of a warm server must take to count. A shorter one is late since its
	// route leaves too little time.
	slowFactor = 1.5
	// overdueFactor is the multiple of the usual duration from which a response counts as
	// late if its route has no objective.
	overdueFactor = 4
	// minOverdue is the shortest duration that counts as late for a route without an
	// objective. Shorter ones vary with the scheduling of the machine.
	minOverdue = 50 * time.Millisecond
	// floorHalving is the time in which the floor set by the demand falls to a half.
	floorHalving = 500 * time.Millisecond
)

// Result is the result of a call at the server.
type Result int

// The results of calls.
const (
	Answered  Result = iota // the server responded
	Rejected                // the server rejected the call or accepted no connection
	Broken                  // the server broke off the call or did not respond before the deadline
	Abandoned               // the caller gave up the call
)

// Response describes how a call at the server ended.
type Response struct {
	Class  string        // calls of a class have similar durations
	Start  time.Time     // when it got its slot
	Left   time.Duration // time to its objective when it arrived; zero when it has none
	Result Result
	Busy   int // most calls that were in progress at its start or end, itself included
}

// Change is the start or the end of a limit.
type Change struct {
	Active   bool // the limit starts
	Cause    Cause
	Slots    int
	Limit    int           // at the start of a limit, its first value; at its end, the lowest one
	Held     time.Duration // time between start and end; zero at the start
	InTime   int           // responses in time since the start
	Late     int           // late ones
	Failed   int           // calls that were rejected or broken off
	Demanded int           // calls that got a slot beyond the limit, since other servers had refused them
}

// Limiter limits the concurrency of one server. The zero value is idle. It is not safe for
// concurrent use.
type Limiter struct {
	slots   int
	active  bool
	level   float64 // the limit is its integer part; up to the slots again above them while responses are in time
	before  float64 // level before the server failed; zero if it has been late since
	halved  time.Time
	floor   float64 // set by the demand at floorAt
	floorAt time.Time
	classes classes
	started time.Time
	since   Change // counts since the start of the limit
	changes []Change
}

// SetSlots sets the slots of the server, the highest limit.
func (l *Limiter) SetSlots(slots int) {
	if slots == l.slots {
		return
	}
	if !l.active {
		l.level = ceiling(slots)
	}
	l.slots = slots
	l.level = min(l.level, ceiling(slots))
}

// lowest returns the lowest level, with which a limit starts.
func (l *Limiter) lowest() float64 { return max(1, float64(l.slots/startDivisor)) }

// lateLoss returns how much a late response lowers the limit.
func (l *Limiter) lateLoss() float64 {
	if l.active {
		return lateLoss
	}
	return warmLateLoss
}

// ceiling returns the highest level for a number of slots. Between the slots and it, late
// responses leave the limit as it is, so that a warm server is not limited for the usual
// spread of durations.
func ceiling(slots int) float64 { return 2 * float64(slots) }

// Active reports whether the server's concurrency is limited or has been of late.
func (l *Limiter) Active() bool { return l.active }

// Limit returns how many calls the server may run at a time.
func (l *Limiter) Limit(now time.Time) int {
	if !l.active {
		return l.slots
	}
	return max(1, min(l.slots, int(max(l.level, l.demand(now)))))
}

// Begin starts a limit, or continues one that has not ended, at a small value. It forgets
// how long calls usually take if another server may answer them.
func (l *Limiter) Begin(cause Cause, now time.Time) {
	switch cause {
	case ServerNew:
		l.classes, l.before = classes{}, 0
	case ServerBack:
		l.before = max(l.before, min(l.level, float64(l.slots)))
	}
	l.level = min(l.level, l.lowest())
	l.floor = 0
	l.start(cause, now)
}

// End ends the limit, if there is one.
func (l *Limiter) End(cause Cause, now time.Time) {
	l.level, l.floor, l.before = ceiling(l.slots), 0, 0
	if !l.active {
		return
	}
	l.active = false
	ended := l.since
	ended.Active, ended.Cause, ended.Slots, ended.Held = false, cause, l.slots, now.Sub(l.started)
	l.changes = append(l.changes, ended)
}

func (l *Limiter) start(cause Cause, now time.Time) {
	if l.active {
		return
	}
	l.active, l.started = true, now
	l.since = Change{Active: true, Cause: cause, Slots: l.slots, Limit: l.Limit(now)}
	l.changes = append(l.changes, l.since)
}

// Changes returns the starts and ends since the last call of Changes.
func (l *Limiter) Changes() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// Demand records that a call which other servers have refused gets a slot beyond the
// limit, and that busy calls are then in progress. The limit stays there for some time: if
// all servers of a service are new, refusing calls at all of them would lose capacity.
func (l *Limiter) Demand(busy int, now time.Time) {
	if !l.active {
		return
	}
	l.since.Demanded++
	l.floor, l.floorAt = max(l.demand(now), float64(busy)), now
}

// demand returns the floor that is set by the demand.
func (l *Limiter) demand(now time.Time) float64 {
	if l.floor == 0 {
		return 0
	}
	return l.floor * math.Exp2(-float64(now.Sub(l.floorAt))/float64(floorHalving))
}

// Record records the end of a call.
func (l *Limiter) Record(r Response, now time.Time) {
	c := l.classes.get(r.Class)
	c.observeLeft(r.Left)
	held := now.Sub(r.Start)
	switch {
	case r.Result == Rejected:
		l.fail(ServerRejects, r.Start, now)
	case r.Result == Broken:
		l.fail(ServerFails, r.Start, now)
	case c.late(held):
		if l.active || c.slow(held) {
			l.since.Late++
			l.before = 0
			l.lower(l.lateLoss(), ServerSlow, now)
		}
	case r.Result == Answered:
		l.raise(r.Busy, now)
	}
	if r.Result == Answered {
		c.observeDuration(held)
	}
}

// raise raises the limit after a response in time, and ends it at the ceiling.
func (l *Limiter) raise(busy int, now time.Time) {
	if !l.active {
		l.level = min(l.level+inTimeGain, ceiling(l.slots))
		return
	}
	l.since.InTime++
	gain := float64(inTimeGain)
	if l.level < l.before {
		gain = returnGain
	} else if 2*busy < min(l.slots, int(l.level)) {
		gain = unusedGain
	}
	l.level += gain
	if l.level >= ceiling(l.slots) {
		l.End(ServerWarm, now)
	}
}

// lower lowers the limit.
func (l *Limiter) lower(loss float64, cause Cause, now time.Time) {
	l.level = max(l.lowest(), l.level-loss)
	if l.level < float64(l.slots) {
		l.start(cause, now)
	}
	l.since.Limit = min(l.since.Limit, max(1, int(l.level)))
}

// fail lowers the limit after a rejected or broken call that started at a time. Calls that
// started before the limit was last halved say nothing of the new limit.
func (l *Limiter) fail(cause Cause, start, now time.Time) {
	l.since.Failed++
	l.before = max(l.before, min(l.level, float64(l.slots)))
	switch {
	case l.level > float64(l.slots):
		l.lower(l.lateLoss(), cause, now)
	case !start.Before(l.halved):
		l.lower(l.level*(1-failureFactor), cause, now)
		l.halved = now
	}
}
