package call

// This file places calls where they are expected to finish first. It answers
// loads near and above the capacity of a service, with backend servers of
// different speed: slow, cold, failing or nearly full ones get fewer calls, and
// so do those behind a full link, which shows in the time that answers take on
// the way. The own failure domain is preferred while it is not the busier one.

import (
	"slices"
	"time"
)

const (
	// farCost and bulkCost are what a call to another failure domain costs, as
	// a share of the objective. It saves bytes between failure domains at the
	// price of a wait that leaves most of the objective. A large answer goes
	// there only to be spared a wait that would miss the objective.
	farCost  = 0.25
	bulkCost = 0.80
	// failedTime is what a failed attempt costs, in seconds: the time to notice
	// and the time of another attempt, in the middle of what was measured.
	failedTime = 0.5
	// crowdShare is by how much longer a call takes at a full server; some
	// servers slow down when they are nearly full.
	crowdShare = 0.3
	// unknownWork is the work that is assumed while no server of a service has
	// told its own, in seconds; it only has to be the same for all.
	unknownWork = 0.1
	// spread is the part of a cost that chance decides, so that nodes with the
	// same picture do not all pick the same server.
	spread = 0.15
)

// Place returns the instance that is not among those left out at which a call
// is expected to finish first, and its cost: the seconds until the answer, with
// what the way there costs. It returns nil when none is left. Ejected instances
// count as failing.
func (c *Choice) Place(bulk bool, objective time.Duration, out []*Instance, now time.Time, rand Rand) (*Instance, float64) {
	mean := c.meanWork()
	far := farCost * objective.Seconds()
	if bulk {
		far = bulkCost * objective.Seconds()
	}
	var best *Instance
	var least float64
	look := func(from []*Instance, extra float64) {
		for _, i := range from {
			if slices.Contains(out, i) {
				continue
			}
			way := i.way(bulk).faded(now)
			if bulk {
				way += i.turn(now)
			}
			cost := (i.finish(mean, now) + way + extra) * (1 + spread*float64(rand(1000))/1000)
			if best == nil || cost < least {
				best, least = i, cost
			}
		}
	}
	look(c.Near, 0)
	look(c.Far, far)
	return best, least
}

// finish returns how long a call is expected to take at an instance, the wait
// for a slot included, in seconds. mean is the work where the instance has told
// none.
func (i *Instance) finish(mean float64, now time.Time) float64 {
	work := i.work.value()
	if work <= 0 {
		work = mean
	}
	slots := float64(i.slots.Load())
	load := (i.InProgress(now) + 1) / slots
	wait := 0.0
	if load > 1 {
		wait = (load - 1) * work
	}
	failing := max(i.carried.faded(now), i.failures.faded(now))
	if i.Ejected(now) {
		failing = 1
	}
	return wait + work*(1+crowdShare*min(load*load, 1)) + failing*failedTime
}

// meanWork returns the average work of the instances that have told theirs.
func (c *Choice) meanWork() float64 {
	sum, n := 0.0, 0
	for _, from := range [][]*Instance{c.Near, c.Far} {
		for _, i := range from {
			if w := i.work.value(); w > 0 {
				sum += w
				n++
			}
		}
	}
	if n == 0 {
		return unknownWork
	}
	return sum / float64(n)
}
