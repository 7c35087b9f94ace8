package caller

// This file places the calls of routes with a latency objective, which counts from the
// caller's first attempt.

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
)

// place chooses the instance for the next attempt of a call with an objective, or returns
// nil.
func (x *exchange) place() *call.Instance {
	now := time.Now()
	balancer, other := x.chooseVersion(now)
	x.placement.Balancer = balancer
	chosen, shortWait := x.placement.Next(now, rand.IntN)
	if chosen == nil && other != nil {
		x.placement.Balancer = other
		chosen, shortWait = x.placement.Next(now, rand.IntN)
	}
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
	if x.directory.router.Table.NeedsKeys() {
		x.demand.Priority = call.CombinePriorities(x.workspace, x.route)
	}
	x.demand.Share = x.shareClass(now)
	if known {
		x.demand.Objective = x.demand.Objective.Add(-x.directory.callerTimeout(x.proxy, x.route.Name).elapsed(left))
	}
}
