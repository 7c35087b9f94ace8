package rollout

// This file converts states and counts to and from messages, in which times are ages, since
// clocks differ.

import (
	"math"
	"time"

	"caroblift.dev/wire"
)

func encodeState(s State, now time.Time) *wire.Rollout {
	return &wire.Rollout{
		Service: s.Service, Version: s.Version, Number: s.Number, Order: s.Order, Phase: uint32(s.Phase), Canaries: s.Canaries, Reason: s.Reason, Leader: s.Leader,
		Duration: toMS(s.Duration), Ordered: ageMS(s.Ordered, now), Entered: ageMS(s.Entered, now), Heard: ageMS(s.Heard, now), Halted: s.Halted, Rate: float32(s.Rate), Load: float32(s.Load),
	}
}

// maxCanaryNames bounds the canaries that are taken of a message.
const maxCanaryNames = 64

func decodeState(m *wire.Rollout, now time.Time) (State, bool) {
	if m.GetService() == "" || m.GetNumber() == 0 || m.GetPhase() > uint32(PhaseRolledBack) || len(m.GetCanaries()) > maxCanaryNames {
		return State{}, false
	}
	return State{
		Service: m.GetService(), Version: m.GetVersion(), Number: m.GetNumber(), Order: m.GetOrder(), Phase: Phase(m.GetPhase()), Canaries: m.GetCanaries(),
		Reason: m.GetReason(), Leader: m.GetLeader(), Duration: fromMS(m.GetDuration()), Ordered: now.Add(-fromMS(m.GetOrdered())),
		Entered: now.Add(-fromMS(m.GetEntered())), Heard: now.Add(-fromMS(m.GetHeard())), Halted: m.GetHalted(), Rate: toRate(m.GetRate()), Load: toRate(m.GetLoad()),
	}, true
}

// toRate returns a rate in a message, or 0 if it is not valid.
func toRate(v float32) float64 {
	if rate := float64(v); rate > 0 && !math.IsInf(rate, 0) {
		return rate
	}
	return 0
}

func toMS(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), math.MaxInt32)) }

func fromMS(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func ageMS(at, now time.Time) uint32 { return toMS(now.Sub(at)) }

// encodeHistogram returns the pairs of an index and a count of the buckets that are not empty.
func encodeHistogram(h *Histogram) (out []uint32) {
	for i, n := range h {
		if n > 0 {
			out = append(out, uint32(i), n)
		}
	}
	return out
}

func decodeHistogram(pairs []uint32) (h Histogram) {
	for ; len(pairs) >= 2; pairs = pairs[2:] {
		if pairs[0] < bucketCount {
			h[pairs[0]] = pairs[1]
		}
	}
	return h
}

func encodeTally(route string, t *Tally) *wire.RouteEvidence {
	return &wire.RouteEvidence{
		Route: route, Calls: uint64(t.Calls), Failures: uint64(t.Failures), Rejected: uint64(t.Rejected),
		Durations: encodeHistogram(&t.Durations), Pending: encodeHistogram(&t.Pending),
	}
}

func decodeTally(m *wire.RouteEvidence) Tally {
	return Tally{
		Calls: int(m.GetCalls()), Failures: int(m.GetFailures()), Rejected: int(m.GetRejected()),
		Durations: decodeHistogram(m.GetDurations()), Pending: decodeHistogram(m.GetPending()),
	}
}
