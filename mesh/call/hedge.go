package call

// This file decides when a slow call gets a hedged request.

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	hedgeQuantile = 0.95 // quantile of the latency after which a call is hedged
	quantileStep  = 0.02 // relative change of the estimate per observation
	minHedgeDelay = time.Millisecond
)

// LatencyQuantile estimates the 95th percentile of a service's latency. Each
// observation moves the estimate by a small step up or down, with sizes such
// that it settles where one call in twenty is slower. The zero LatencyQuantile
// has no estimate. Its methods may be called concurrently; a lost update is
// harmless.
type LatencyQuantile struct {
	bits atomic.Uint64 // float64, in seconds
}

// Observe records the latency of a call that got a response.
func (q *LatencyQuantile) Observe(d time.Duration) {
	old := math.Float64frombits(q.bits.Load())
	next := old * (1 - quantileStep*(1-hedgeQuantile))
	switch {
	case old == 0:
		next = 2 * d.Seconds()
	case d.Seconds() > old:
		next = old * (1 + quantileStep*hedgeQuantile)
	}
	q.bits.Store(math.Float64bits(next))
}

// HedgeDelay returns how long a call waits before its hedged request: the delay
// of the policy, or else the estimate. It returns false if there is neither.
func (q *LatencyQuantile) HedgeDelay(policy time.Duration) (time.Duration, bool) {
	if policy > 0 {
		return policy, true
	}
	v := time.Duration(math.Float64frombits(q.bits.Load()) * float64(time.Second))
	return max(v, minHedgeDelay), v > 0
}
