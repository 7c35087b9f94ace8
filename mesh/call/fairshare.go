package call

// This file shares a service that is short of capacity among workspaces. It handles a
// burst of one workspace inside its quota, which would otherwise take the capacity of the
// others: calls that compete alike are served in proportion to what is offered. Instead,
// capacity is shared max-min fairly: each workspace gets what it offers up to a level that
// is the same for all. Nothing is refused for it. Calls beyond the level go behind the
// others of their priority in a gate's queue, so that no slot stays free, and an error in
// the level costs little.

import (
	"math"
	"slices"
	"time"
)

// OfferedRates returns the rates of calls within the quotas that callers offer to all nodes
// together, by workspace, or nil while they are not known. Only their proportions matter. The map
// must not change afterwards.
type OfferedRates func(now time.Time) map[string]float64

// ShareClass says how a call stands in the fair shares of a service that is short.
type ShareClass int

// Classes of calls.
const (
	ShareOrdinary ShareClass = iota // within the share of its workspace, or the service is not short
	ShareFloor                      // within the part that each workspace gets whatever the priorities are
	ShareExcess                     // beyond the share of its workspace
)

// String returns the class for log lines.
func (c ShareClass) String() string {
	switch c {
	case ShareFloor:
		return "floor"
	case ShareExcess:
		return "excess"
	}
	return "ordinary"
}

const (
	// floorShare is the served share that each workspace is to get, as a part of that of
	// all calls together. At least a quarter is required; the rest allows for estimates
	// that are two seconds old.
	floorShare = 0.3
	// smallFloorShare is added for a workspace that offers no more than the average, and
	// less of it for a larger one: of few calls, chance may refuse more than their part.
	smallFloorShare = 0.2
	// shortRefusedShare is the share of refused calls from which a service counts as
	// short. Below it, single servers that are full for a moment refuse calls too.
	shortRefusedShare = 0.05
	// levelSteps is the number of bisections by which a level is found: to a part in a
	// million of the largest rate.
	levelSteps = 20
)

// FairShares holds the shares of the workspaces in one service at a time. It doesn't
// change. Nil stands for a service that is not short.
type FairShares struct {
	rates  map[string]float64
	served float64         // served share of all calls together
	mean   float64         // rate of a workspace
	levels map[int]float64 // rate up to which workspaces are served, by priority of the calls that are short
}

// NewFairShares returns the shares by the rates that the workspaces offer, by the sums of
// the tallies of the service's gates, and by the outcomes of this node's own calls. It
// returns nil if no priority is short of slots or no workspace has calls. The rates don't
// tell services and priorities apart; it is assumed that the workspaces use them in the
// same proportions.
func NewFairShares(rates map[string]float64, sums, own []Tally) *FairShares {
	total := totalOf(sums)
	if len(rates) == 0 || total.Served+total.Refused < minShortageCalls {
		return nil
	}
	f := &FairShares{rates: rates, served: 1 - total.RefusedShare(), levels: map[int]float64{}}
	for _, rate := range rates {
		f.mean += rate / float64(len(rates))
	}
	var offered []offeredRate
	for _, t := range sums {
		if t.Served+t.Refused < minShortageCalls {
			continue
		}
		if refused := max(t.RefusedShare(), ownRefusedShare(own, t.Priority)); refused >= shortRefusedShare {
			if offered == nil {
				offered = f.offered()
			}
			f.levels[t.Priority] = level(offered, 1-refused)
		}
	}
	if len(f.levels) == 0 {
		return nil
	}
	return f
}

// floor returns the part of the calls of a workspace that is ShareFloor.
func (f *FairShares) floor(rate float64) float64 {
	return f.served * (floorShare + smallFloorShare*min(1, f.mean/max(rate, math.SmallestNonzeroFloat64)))
}

func totalOf(sums []Tally) (total Tally) {
	for _, t := range sums {
		total.Served += t.Served
		total.Refused += t.Refused
	}
	return total
}

// minOwnCalls is the weight of the node's own calls from which their outcomes count. Fewer
// show a shortage where there is none.
const minOwnCalls = 20

// ownRefusedShare returns the share of the node's own calls of a priority that were
// refused, or 0 if they are too few. The gates' tallies lack the calls that ended after
// an attempt which was not the last one to be allowed. A share that is too large does
// little harm: calls that are put back get the slots that others leave. One that is too
// small leaves the others to compete with a burst.
func ownRefusedShare(own []Tally, priority int) float64 {
	for _, t := range own {
		if t.Priority == priority && t.Served+t.Refused >= minOwnCalls {
			return t.RefusedShare()
		}
	}
	return 0
}

// OutcomeMeter counts the outcomes of a node's own calls to a service by priority. The
// zero value is ready for use. It is not safe for concurrent use.
type OutcomeMeter struct{ meter tallyMeter }

// Add counts a call that was served, or refused for want of capacity.
func (m *OutcomeMeter) Add(priority int, served bool, now time.Time) {
	t := m.meter.of(priority, now)
	switch {
	case t == nil:
	case served:
		t.Served++
	default:
		t.Refused++
	}
}

// Tallies returns the counts at a time.
func (m *OutcomeMeter) Tallies(now time.Time) []Tally { return slices.Clone(m.meter.current(now)) }

// offeredRate is the rate of a workspace and the part of it that is ShareFloor.
type offeredRate struct{ rate, floor float64 }

// offered returns the rates of all workspaces.
func (f *FairShares) offered() []offeredRate {
	out := make([]offeredRate, 0, len(f.rates))
	for _, rate := range f.rates {
		out = append(out, offeredRate{rate, rate * f.floor(rate)})
	}
	return out
}

// level returns the rate up to which each workspace is served if a share of all offered
// calls is.
func level(offered []offeredRate, served float64) float64 {
	capacity, low, high := 0.0, 0.0, 0.0
	for _, o := range offered {
		capacity += served * o.rate
		high = max(high, o.rate)
	}
	for range levelSteps {
		middle, sum := (low+high)/2, 0.0
		for _, o := range offered {
			sum += min(o.rate, max(middle, o.floor))
		}
		if sum < capacity {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// Class returns the class of a call of a workspace, by a random number in [0, 1) that
// decides which of the workspace's calls are beyond its share.
func (f *FairShares) Class(workspace string, priority int, random float64) ShareClass {
	if f == nil || workspace == "" {
		return ShareOrdinary
	}
	level, short := f.levels[priority]
	rate := f.rates[workspace]
	switch {
	case random < f.floor(rate):
		return ShareFloor
	case short && random*rate >= level:
		return ShareExcess
	}
	return ShareOrdinary
}

// Short reports the number of priorities that are short.
func (f *FairShares) Short() int {
	if f == nil {
		return 0
	}
	return len(f.levels)
}

const (
	// maxMeteredWorkspaces bounds the workspaces whose calls a RateMeter tells apart.
	maxMeteredWorkspaces = 2048
	// meterTime is the time constant with which calls lose weight in a RateMeter. It is
	// shorter than a burst of some seconds, and long enough for some tens of calls.
	meterTime = 2 * time.Second
	// minMeteredRate is the rate below which a workspace is forgotten, in calls a second.
	minMeteredRate = 0.01
)

// RateMeter measures the rates of calls by workspace at one node, while those of all nodes
// are not known. Callers of a workspace use many nodes, so that the rates of one are a
// sample. The zero value is ready for use. It is not safe for concurrent use.
type RateMeter struct {
	weights map[string]float64 // decayed calls, as of at
	at      time.Time
}

// Add counts a call.
func (m *RateMeter) Add(workspace string, now time.Time) {
	if m.weights == nil {
		m.weights, m.at = map[string]float64{}, now
	}
	if _, ok := m.weights[workspace]; ok || len(m.weights) < maxMeteredWorkspaces {
		// A later call weighs more, instead of all earlier ones less.
		m.weights[workspace] += math.Exp(float64(now.Sub(m.at)) / float64(meterTime))
	}
	if now.Sub(m.at) > maxMeterAge {
		m.Rates(now)
	}
}

// maxMeterAge bounds the time after which the weights are brought up to date.
const maxMeterAge = 10 * meterTime

// Rates returns the rates at a time, in calls a second.
func (m *RateMeter) Rates(now time.Time) map[string]float64 {
	factor := math.Exp(-float64(max(0, now.Sub(m.at))) / float64(meterTime))
	rates := make(map[string]float64, len(m.weights))
	for workspace, weight := range m.weights {
		weight *= factor
		if rate := weight / meterTime.Seconds(); rate >= minMeteredRate {
			rates[workspace] = rate
			m.weights[workspace] = weight
		} else {
			delete(m.weights, workspace)
		}
	}
	m.at = now
	return rates
}
