package call

// This file defines the policies that pick one instance out of several.

import (
	"math"
	"sync/atomic"
	"time"
)

// Rand returns a random number from 0 up to n.
type Rand func(n int) int

// Policy picks one of several instances; there is at least one. Its methods
// may be called concurrently.
type Policy interface {
	Pick(from []*Instance, now time.Time, rand Rand) *Instance
}

// RoundRobin picks one after another.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements Policy.
func (p *RoundRobin) Pick(from []*Instance, _ time.Time, _ Rand) *Instance {
	return from[(p.next.Add(1)-1)%uint64(len(from))]
}

// Random picks any.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(from []*Instance, _ time.Time, rand Rand) *Instance {
	return from[rand(len(from))]
}

// Load estimates what a call would cost at an instance; lower is better.
type Load interface {
	Of(i *Instance, now time.Time) float64
}

// TwoChoices picks the less loaded of two random instances.
type TwoChoices[L Load] struct {
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

// Local counts the node's own calls in progress.
type Local struct{}

// Of implements Load.
func (Local) Of(i *Instance, _ time.Time) float64 {
	return float64(i.outstanding.Load()+1) / float64(i.slots.Load())
}

// Carried counts the calls in progress as carried on answers, aged, and the
// node's own since.
type Carried struct{}

// Of implements Load.
func (Carried) Of(i *Instance, now time.Time) float64 {
	return (i.InProgress(now) + 1) / float64(i.slots.Load())
}

// Latency weighs the carried count by the average latency, to which each share
// of failures adds, since failing is quick. An instance that is not known goes
// first.
type Latency struct{}

// failureLatency is what failing each time adds to a latency, in seconds.
const failureLatency = 1.0

// Of implements Load.
func (Latency) Of(i *Instance, now time.Time) float64 {
	return Carried{}.Of(i, now) * (i.Latency(now) + failureLatency*i.Failing(now))
}

// Tail is Latency with the latency squared, so that a slow instance gets calls
// only when the others are very busy.
type Tail struct{}

// Of implements Load.
func (Tail) Of(i *Instance, now time.Time) float64 {
	latency := i.Latency(now) + failureLatency*i.Failing(now)
	return Carried{}.Of(i, now) * latency * latency
}

// Risk weighs the carried count by the chance that the load exceeds the slots,
// taken from the mean and the deviation of the carried load, as KEP-357 of the
// Kubernetes scheduler plugins does for overcommitted machines. A normal tail
// takes the place of its Beta distribution.
type Risk struct{}

const (
	riskShare     = 0.5  // of the load risk in the sum
	riskDeviation = 0.05 // least deviation
)

// Of implements Load.
func (Risk) Of(i *Instance, now time.Time) float64 {
	mean := i.load.value()
	deviation := max(riskDeviation, math.Sqrt(max(0, i.square.value()-mean*mean)))
	excess := math.Erfc((1-mean)/(deviation*math.Sqrt2)) / 2
	return (1-riskShare)*Carried{}.Of(i, now) + riskShare*excess
}

// Policies returns a new policy for each name that carobbench compares.
func Policies() map[string]Policy {
	return map[string]Policy{
		"roundrobin": &RoundRobin{},
		"random":     Random{},
		"local":      TwoChoices[Local]{},
		"carried":    TwoChoices[Carried]{},
		"latency":    TwoChoices[Latency]{},
		"tail":       TwoChoices[Tail]{},
		"risk":       TwoChoices[Risk]{},
	}
}
