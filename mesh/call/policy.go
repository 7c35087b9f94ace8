package call

// This file defines the load balancing policies.

import (
	"math"
	"sync/atomic"
	"time"
)

// Rand returns a random number in [0, n), as math/rand/v2.IntN does.
type Rand func(n int) int

// Policy selects one of several instances. from holds at least one. Its methods
// may be called concurrently.
type Policy interface {
	Pick(from []*Instance, now time.Time, rand Rand) *Instance
}

// RoundRobin selects the instances in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements Policy.
func (p *RoundRobin) Pick(from []*Instance, _ time.Time, _ Rand) *Instance {
	return from[(p.next.Add(1)-1)%uint64(len(from))]
}

// Random selects an instance uniformly at random.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(from []*Instance, _ time.Time, rand Rand) *Instance {
	return from[rand(len(from))]
}

// LoadEstimator estimates the cost of a call at an instance. Lower is better.
type LoadEstimator interface {
	Of(i *Instance, now time.Time) float64
}

// TwoChoices selects the less loaded of two random instances (power of two
// choices).
type TwoChoices[L LoadEstimator] struct {
	Load L
}

// Pick implements Policy.
func (p TwoChoices[L]) Pick(from []*Instance, now time.Time, rand Rand) *Instance {
	if len(from) == 1 {
		return from[0]
	}
	i := rand(len(from))
	j := rand(len(from) - 1)
	if j >= i {
		j++
	}
	if p.Load.Of(from[j], now) < p.Load.Of(from[i], now) {
		return from[j]
	}
	return from[i]
}

// LocalLoad estimates the utilization from this node's own calls in progress.
type LocalLoad struct{}

// Of implements LoadEstimator.
func (LocalLoad) Of(i *Instance, _ time.Time) float64 {
	return float64(i.outstanding.Load()+1) / float64(i.slots.Load())
}

// ReportedLoad estimates the utilization from the load that responses report,
// as Instance.InProgress does.
type ReportedLoad struct{}

// Of implements LoadEstimator.
func (ReportedLoad) Of(i *Instance, now time.Time) float64 {
	return (i.InProgress(now) + 1) / float64(i.slots.Load())
}

// LatencyLoad multiplies the utilization from reported loads by the average
// latency. The latency is increased by the failure rate times failureLatency,
// since failures are often fast. An instance without samples costs 0, so it is
// tried first.
type LatencyLoad struct{}

// failureLatency is added to the latency of an instance that always fails, in
// seconds.
const failureLatency = 1.0

// Of implements LoadEstimator.
func (LatencyLoad) Of(i *Instance, now time.Time) float64 {
	return ReportedLoad{}.Of(i, now) * (i.Latency(now) + failureLatency*i.FailureRate(now))
}

// SquaredLatencyLoad multiplies the utilization from reported loads by the
// square of the same latency, so that a slow instance gets calls only when the
// others are very busy.
type SquaredLatencyLoad struct{}

// Of implements LoadEstimator.
func (SquaredLatencyLoad) Of(i *Instance, now time.Time) float64 {
	latency := i.Latency(now) + failureLatency*i.FailureRate(now)
	return ReportedLoad{}.Of(i, now) * latency * latency
}

// OverloadRisk combines the utilization from reported loads with the
// probability that the load exceeds the slots, which follows from the mean and
// the standard deviation of the reported load. KEP-357 of the Kubernetes
// scheduler plugins does the same for overcommitted machines, but with a Beta
// distribution in place of the normal distribution used here.
type OverloadRisk struct{}

const (
	overloadWeight = 0.5  // weight of the probability of overload
	minDeviation   = 0.05 // minimum standard deviation
)

// Of implements LoadEstimator.
func (OverloadRisk) Of(i *Instance, now time.Time) float64 {
	mean := i.load.value()
	deviation := max(minDeviation, math.Sqrt(max(0, i.squaredLoad.value()-mean*mean)))
	excess := math.Erfc((1-mean)/(deviation*math.Sqrt2)) / 2
	return (1-overloadWeight)*ReportedLoad{}.Of(i, now) + overloadWeight*excess
}

// Policies returns a new instance of each policy that carobbench compares, by
// name.
func Policies() map[string]Policy {
	return map[string]Policy{
		"roundrobin": &RoundRobin{},
		"random":     Random{},
		"local":      TwoChoices[LocalLoad]{},
		"carried":    TwoChoices[ReportedLoad]{},
		"latency":    TwoChoices[LatencyLoad]{},
		"tail":       TwoChoices[SquaredLatencyLoad]{},
		"risk":       TwoChoices[OverloadRisk]{},
	}
}
