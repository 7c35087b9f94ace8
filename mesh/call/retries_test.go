package call

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCondemnedRequestIsRetriedThriceAtMost guards against a deadly request that each node sends on by itself after the third end.
func TestCondemnedRequestIsRetriedThriceAtMost(t *testing.T) {
	const (
		size       = 11
		interval   = 5 * time.Second
		afterwards = 3 * time.Second // from the third end until sendings count
	)
	r, start := rand.New(rand.NewPCG(41, 1)), time.Now()
	var nodes []*Suspects
	for range size {
		nodes = append(nodes, NewSuspects(start))
	}
	ends, retries := 0, 0
	var thirdEnd time.Time
	for now := start; now.Sub(start) < 6*time.Hour; now = now.Add(interval) {
		entry := nodes[r.IntN(size)]
		f := printOf(1)
		standing := entry.Standing(f, now)
		if standing == Condemned {
			continue
		}
		weight := WeightCrowd
		if standing == Suspected {
			weight = WeightAlone
		}
		ends++
		entry.RecordEnd(f, End{Server: uint64(ends), Weight: weight, At: now})
		if ends == 3 {
			thirdEnd = now
		}
		if ends > 3 && now.Sub(thirdEnd) > afterwards {
			retries++
		}
		for _, to := range nodes {
			for _, from := range nodes {
				to.Merge(from.Strongest(maxEnds, now), now)
			}
		}
	}
	require.LessOrEqual(t, retries, 3, "sendings after three servers had ended")
}
