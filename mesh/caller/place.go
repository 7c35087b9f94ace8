package caller

// This file places the calls of routes that name an objective: a free slot
// first, wherever it is, and else the shortest wait.

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
)

// maxLooks bounds the gates that are asked for a slot at once before one is
// asked to let the call wait. Each look costs a few ms and tells the load of one
// gate, which its answers tell too seldom when a node sends it few calls.
const maxLooks = 3

// maxWaits bounds the gates that are asked to let a call wait. When that one
// refuses, only a free slot elsewhere helps, which a node may not know of.
const maxWaits = 1

// place chooses the instance for the next attempt. A gate that was not asked yet
// is asked for a slot at once, as long as waiting at one that had none is not
// expected to be better; the last one may let the call wait.
func (x *exchange) place() *call.Instance {
	now := time.Now()
	choice, bulk, objective := x.service.choice, x.route.Bulk, x.route.Objective
	// Those that had no free slot may be waited at, those that failed may not.
	known, wait := choice.Place(bulk, objective, x.spent, now, rand.IntN)
	if known == nil {
		return nil
	}
	fresh, look := choice.Place(bulk, objective, x.tried, now, rand.IntN)
	canLook := fresh != nil && x.looks < maxLooks && choice.Len() > 1
	switch {
	case canLook && (look <= wait || fresh == known || x.waits == maxWaits):
		x.looks++
		x.demand.Now = true
		known = fresh
	case x.waits < maxWaits:
		x.waits++
		x.demand.Now = false
	default:
		return nil
	}
	x.tried = append(x.tried, known)
	return known
}

// turned takes that a gate turned the call away, or that an attempt failed.
// One that had no slot at once may still be waited at.
func (x *exchange) turned(res *result) {
	if res.reason == call.Busy && x.demand.Now {
		return
	}
	x.spent = append(x.spent, res.instance)
}

// patience is the longest time that callers of a route have said they will
// wait, in ms. A caller that came back has less left, which tells how long ago
// it first came.
type patience struct{ most atomic.Int64 }

// elapsed returns how long ago a caller with some time left first came.
func (p *patience) elapsed(left time.Duration) time.Duration {
	for {
		most := p.most.Load()
		if left.Milliseconds() <= most {
			return time.Duration(most)*time.Millisecond - left
		}
		if p.most.CompareAndSwap(most, left.Milliseconds()) {
			return 0
		}
	}
}

// ask fills in what the call asks of gates.
func (x *exchange) ask(now time.Time, left time.Duration, known bool) {
	x.demand = call.Demand{Class: x.route.Name, Priority: x.route.Priority, Objective: now.Add(x.route.Objective)}
	if known {
		x.demand.Objective = x.demand.Objective.Add(-x.directory.patience(x.proxy, x.route.Name).elapsed(left))
	}
}

const (
	// leastAfter is the shortest time after which a refused caller is told to
	// come back: less is a repeat at once.
	leastAfter = 60 * time.Millisecond
	// partOfLeft is the part of a caller's time that it waits at most before it
	// comes back, as one in partOfLeft; callers honour a third, and some is left
	// for the way.
	partOfLeft = 3.2
)

// comeBack returns when the caller of a refused call may come back. A backlog
// that clears soon is waited for; else returns are spread over the time that a
// caller has, so that they do not come back together.
func comeBack(reason call.Reason, backlog, left time.Duration, random float64) time.Duration {
	after := reason.After()
	if after <= 0 {
		return 0
	}
	longest := time.Duration(float64(left) / partOfLeft)
	switch reason {
	case call.Busy, call.Late, call.Shed:
		after = backlog + time.Duration(random*float64(max(longest-backlog, 0)))
	case call.Leaving, call.Dial, call.Refused, call.Moved:
		after = leastAfter + time.Duration(random*float64(longest)/2)
	default:
		after = min(after, longest/2+time.Duration(random*float64(longest)/2))
	}
	return min(max(after, leastAfter), max(longest, leastAfter))
}

// backlog returns how long a gate said that a new call would wait there.
func backlog(h http.Header) time.Duration {
	v, err := strconv.ParseInt(h.Get(call.HeaderAfter), 10, 32)
	if err != nil || v < 0 {
		return 0
	}
	return time.Duration(v) * time.Millisecond
}
