package call

// This file decides when a slow call gets a second attempt.

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	hedgeQuantile = 0.95 // of latency, after which a call counts as slow
	quantileStep  = 0.02 // relative change by one observation
	hedgeFloor    = time.Millisecond
)

// Slow estimates the latency that a call of a service seldom exceeds. Each
// observation moves the estimate by a small step, weighed so that it settles
// where one call in twenty is slower. The zero Slow has no estimate. Its
// methods may be called concurrently; a lost step does no harm.
type Slow struct {
	bits atomic.Uint64 // float64, in seconds
}

// Add takes the latency of one answered call.
func (s *Slow) Add(d time.Duration) {
	old := math.Float64frombits(s.bits.Load())
	next := old * (1 - quantileStep*(1-hedgeQuantile))
	switch {
	case old == 0:
		next = 2 * d.Seconds()
	case d.Seconds() > old:
		next = old * (1 + quantileStep*hedgeQuantile)
	}
	s.bits.Store(math.Float64bits(next))
}

// Delay returns how long a call waits before its hedge: the time that the
// policy names, or else the estimate. It returns false when neither is known.
func (s *Slow) Delay(policy time.Duration) (time.Duration, bool) {
	if policy > 0 {
		return policy, true
	}
	v := time.Duration(math.Float64frombits(s.bits.Load()) * float64(time.Second))
	return max(v, hedgeFloor), v > 0
}
