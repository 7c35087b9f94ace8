package call

// This file selects the instance at which a call is expected to finish first. It
// handles load near and above the capacity of a service whose backend servers
// differ in speed. Slow, cold, failing or nearly full ones get fewer calls, and so
// do those behind a saturated link, which shows in the time on the network. The
// node's own failure domain is preferred unless it is the busier one.

import (
	"slices"
	"time"
)

const (
	// farPenalty and largeFarPenalty (for large responses) are added to the cost
	// of an instance in another failure domain, as a share of the objective. They
	// reduce the traffic between failure domains: a call accepts a wait in its own
	// failure domain that leaves most of the objective, and one with a large
	// response avoids only a wait that would miss the objective.
	farPenalty      = 0.25
	largeFarPenalty = 0.80
	// failureCost is the cost of a failed attempt, in seconds: a typical time to
	// detect the failure and make another attempt.
	failureCost = 0.5
	// fullServerSlowdown is the relative increase of a call's duration at a full
	// backend server. Some slow down when they are nearly full.
	fullServerSlowdown = 0.3
	// defaultDuration is the duration of a call, in seconds, that is assumed while
	// no instance of a service has reported one. It only has to be the same for
	// all instances.
	defaultDuration = 0.1
	// refusalCost is the cost of a certain refusal, in multiples of the objective. The call
	// must be asked for elsewhere, and is refused in the end if that happens again.
	refusalCost = 6
	// costJitter is the maximum random increase of a cost, as a share of it. It
	// keeps nodes with the same information from all selecting the same instance.
	costJitter = 0.15
)

// PickLowestCost returns the instance with the lowest cost among those that are
// not excluded, and the cost. The cost is the expected number of seconds until
// the response, plus the penalties for another failure domain and for the share of calls
// that the instance's gate refused of late. bulk says that a
// large response is expected. An ejected instance counts as always failing.
// PickLowestCost returns nil if all instances are excluded.
func (b *Balancer) PickLowestCost(bulk bool, objective time.Duration, excluded []*Instance, now time.Time, rand Rand) (*Instance, float64) {
	mean := b.meanDuration()
	farCost := farPenalty * objective.Seconds()
	if bulk {
		farCost = largeFarPenalty * objective.Seconds()
	}
	var best *Instance
	var lowest float64
	consider := func(from []*Instance, penalty float64) {
		for _, i := range from {
			if slices.Contains(excluded, i) {
				continue
			}
			transit := i.transitAverage(bulk).decayed(now)
			if bulk {
				transit += i.expectedLinkWait(now)
			}
			refused := i.refusals[bulkIndex(bulk)].decayed(now) * refusalCost * objective.Seconds()
			cost := (i.expectedTime(mean, now) + transit + penalty + refused) * (1 + costJitter*float64(rand(1000))/1000)
			if best == nil || cost < lowest {
				best, lowest = i, cost
			}
		}
	}
	consider(b.Near, 0)
	consider(b.Far, farCost)
	return best, lowest
}

// expectedTime returns the expected time of a call at the instance, in seconds,
// including the wait for a slot or for a limit and the cost of failures. mean is the duration of
// a call to assume if the instance has not reported its own.
func (i *Instance) expectedTime(mean float64, now time.Time) float64 {
	duration := i.reportedDuration.value()
	if duration <= 0 {
		duration = mean
	}
	slots := float64(i.slots.Load())
	load := (i.InProgress(now) + 1) / slots
	wait := i.limitWait(now)
	if load > 1 {
		wait += (load - 1) * duration
	}
	failing := max(i.reportedFailures.decayed(now), i.failures.decayed(now))
	if i.Ejected(now) {
		failing = 1
	}
	return wait + duration*(1+fullServerSlowdown*min(load*load, 1)) + failing*failureCost
}

// meanDuration returns the mean duration of a call over the instances that have
// reported theirs, in seconds.
func (b *Balancer) meanDuration() float64 {
	sum, n := 0.0, 0
	for _, from := range [][]*Instance{b.Near, b.Far} {
		for _, i := range from {
			if d := i.reportedDuration.value(); d > 0 {
				sum += d
				n++
			}
		}
	}
	if n == 0 {
		return defaultDuration
	}
	return sum / float64(n)
}
