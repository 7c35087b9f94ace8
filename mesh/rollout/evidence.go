package rollout

// This file counts the calls of one route at one gate.

import (
	"math"
	"time"
)

const (
	bucketsPerOctave = 8
	// bucketCount covers durations from 1 ms to 16 s.
	bucketCount = 14 * bucketsPerOctave
)

// Histogram counts durations by their logarithm.
type Histogram [bucketCount]uint32

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	ms := max(1, d.Seconds()*1000)
	return min(bucketCount-1, int(math.Log2(ms)*bucketsPerOctave))
}

func (h *Histogram) add(o *Histogram) {
	for i, n := range o {
		h[i] += n
	}
}

// sub subtracts an earlier state of the histogram. Counts of calls that still ran may have
// fallen since.
func (h *Histogram) sub(o *Histogram) {
	for i, n := range o {
		h[i] -= min(n, h[i])
	}
}

// from returns the number of durations in a bucket and those above.
func (h *Histogram) from(bucket int) (n int) {
	for i := max(bucket, 0); i < bucketCount; i++ {
		n += int(h[i])
	}
	return n
}

// median returns the bucket of the median, or false if the histogram is empty.
func (h *Histogram) median() (int, bool) {
	half, sum := (h.from(0)+1)/2, 0
	for i, n := range h {
		sum += int(n)
		if n > 0 && sum >= half {
			return i, true
		}
	}
	return 0, false
}

// Tally counts calls. Rejected ones are not among Calls. Pending holds the time so far of
// calls that run, and of those that were canceled, which shows only that they took longer.
type Tally struct {
	Calls     int // that were answered or have failed
	Failures  int
	Rejected  int // by the backend server, without being run
	Durations Histogram
	Pending   Histogram
}

func (t *Tally) sub(o *Tally) {
	t.Calls = max(0, t.Calls-o.Calls)
	t.Failures = max(0, t.Failures-o.Failures)
	t.Rejected = max(0, t.Rejected-o.Rejected)
	t.Durations.sub(&o.Durations)
	t.Pending.sub(&o.Pending)
}

// Tallies holds the counts of a server by route.
type Tallies map[string]*Tally

// calls returns the number of calls of all routes.
func (t Tallies) calls() (n int) {
	for _, r := range t {
		n += r.Calls
	}
	return n
}

// since returns the difference to an earlier state.
func (t Tallies) since(before Tallies) Tallies {
	out := make(Tallies, len(t))
	for route, now := range t {
		diff := *now
		if old := before[route]; old != nil {
			diff.sub(old)
		}
		out[route] = &diff
	}
	return out
}
