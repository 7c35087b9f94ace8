package caller

// This file places the calls of routes with a latency objective, and tells refused callers
// when to return.

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
)

// place chooses the instance for the next attempt of a call with an objective, or returns
// nil.
func (x *exchange) place() *call.Instance {
	now := time.Now()
	chosen, shortWait := x.placement.Next(now, rand.IntN)
	if chosen == nil {
		return nil
	}
	x.demand.ShortWait = shortWait
	x.demand.Last = x.body.Streamed() || x.placement.Last(now, rand.IntN)
	return chosen
}

// callerTimeout estimates the full timeout of a route's callers as the longest
// time left, in ms, that any of them has sent. A caller that retries a call has
// less time left, and the difference is the time since its first attempt.
type callerTimeout struct{ longest atomic.Int64 }

// elapsed returns the time since the first attempt of a caller that has the given
// time left, and raises the estimate if that is longer.
func (t *callerTimeout) elapsed(left time.Duration) time.Duration {
	for {
		longest := t.longest.Load()
		if left.Milliseconds() <= longest {
			return time.Duration(longest)*time.Millisecond - left
		}
		if t.longest.CompareAndSwap(longest, left.Milliseconds()) {
			return 0
		}
	}
}

// setDemand sets the demand that the call sends to gates. If the caller stated the
// time it has left, the objective counts from the caller's first attempt.
func (x *exchange) setDemand(now time.Time, left time.Duration, known bool) {
	x.demand = call.Demand{Class: x.route.Name, Priority: x.route.Priority, Objective: now.Add(x.route.LatencyObjective)}
	if known {
		x.demand.Objective = x.demand.Objective.Add(-x.directory.callerTimeout(x.proxy, x.route.Name).elapsed(left))
	}
}

const (
	// minRetryAfter is the shortest delay that a refused caller is told to wait.
	// A shorter one would amount to an immediate retry.
	minRetryAfter = 60 * time.Millisecond
	// retryAfterDivisor divides the time that a caller has left to give the
	// longest retry delay. Callers honour delays of up to a third of their time;
	// the margin below a third allows for the network.
	retryAfterDivisor = 3.2
)

// retryAfter returns the delay after which the caller of a refused call may
// retry, or 0 if a retry does not help. The delay covers the backlog where the
// caller has the time, and random jitter in [0, 1) spreads retries over the time
// that callers have left, so that they do not arrive together.
func retryAfter(reason call.Reason, backlog, left time.Duration, random float64) time.Duration {
	after := reason.RetryAfter()
	if after <= 0 {
		return 0
	}
	longest := time.Duration(float64(left) / retryAfterDivisor)
	switch reason {
	case call.ReasonBusy, call.ReasonLimited, call.ReasonBudget, call.ReasonOverload, call.ReasonLate, call.ReasonShed:
		after = backlog + time.Duration(random*float64(max(longest-backlog, 0)))
	case call.ReasonLeaving, call.ReasonDial, call.ReasonRefused, call.ReasonMoved:
		after = minRetryAfter + time.Duration(random*float64(longest)/2)
	default:
		after = min(after, longest/2+time.Duration(random*float64(longest)/2))
	}
	return min(max(after, minRetryAfter), max(longest, minRetryAfter))
}

// parseBacklog returns the time that a new call would wait at a gate, as the
// gate's answer reports it, or 0 if it does not.
func parseBacklog(h http.Header) time.Duration {
	v, err := strconv.ParseInt(h.Get(call.HeaderAfter), 10, 32)
	if err != nil || v < 0 {
		return 0
	}
	return time.Duration(v) * time.Millisecond
}
