package caller

// This file chooses instances for the calls of routes with a latency objective:
// a free slot first, in any failure domain, and else the shortest wait.

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
)

// maxImmediateAttempts bounds the attempts of a call that ask a gate for a free
// slot and may not be queued. Each costs a few ms and reports the gate's load,
// which a node that sends the gate few calls rarely learns from answers.
const maxImmediateAttempts = 3

// maxQueuedAttempts bounds the attempts of a call that a gate may queue. After a gate
// refuses to queue the call, only a free slot elsewhere helps, and that may be at
// an instance whose reported load is out of date.
const maxQueuedAttempts = 1

// place chooses the instance for the next attempt of a call with an objective,
// or returns nil. It asks an untried gate for a free slot unless it expects the
// call to finish sooner in the queue of a gate that had none. Once the immediate
// attempts are used up or no instance is untried, and if the service has only one
// instance, a gate may queue the call.
func (x *exchange) place() *call.Instance {
	now := time.Now()
	balancer, bulk, objective := x.service.balancer, x.route.Bulk, x.route.LatencyObjective
	// The call may queue at a gate that had no free slot, but not at one that
	// failed or refused to queue it.
	chosen, queuedCost := balancer.PickLowestCost(bulk, objective, x.excluded, now, rand.IntN)
	if chosen == nil {
		return nil
	}
	untried, immediateCost := balancer.PickLowestCost(bulk, objective, x.tried, now, rand.IntN)
	mayAskNow := untried != nil && x.immediateAttempts < maxImmediateAttempts && balancer.Len() > 1
	switch {
	case mayAskNow && (immediateCost <= queuedCost || untried == chosen || x.queuedAttempts == maxQueuedAttempts):
		x.immediateAttempts++
		x.demand.NoWait = true
		chosen = untried
	case x.queuedAttempts < maxQueuedAttempts:
		x.queuedAttempts++
		x.demand.NoWait = false
	default:
		return nil
	}
	x.tried = append(x.tried, chosen)
	x.demand.Last = x.body.Streamed() || x.queuedAttempts == maxQueuedAttempts && !x.mayAskMore(now)
	return chosen
}

// mayAskMore reports whether another gate may be asked for a free slot.
func (x *exchange) mayAskMore(now time.Time) bool {
	if x.immediateAttempts == maxImmediateAttempts || x.service.balancer.Len() == 1 {
		return false
	}
	untried, _ := x.service.balancer.PickLowestCost(x.route.Bulk, x.route.LatencyObjective, x.tried, now, rand.IntN)
	return untried != nil
}

// excludeFailed excludes the instance of a failed attempt from further attempts.
// A gate that only had no free slot may still queue the call.
func (x *exchange) excludeFailed(res *result) {
	if res.verdict.Reason() == call.ReasonBusy && x.demand.NoWait {
		return
	}
	x.excluded = append(x.excluded, res.instance)
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
