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
	ends, retries, claimed := 0, 0, 0
	var thirdEnd time.Time
	f := printOf(1)
	for now := start; now.Sub(start) < 6*time.Hour; now = now.Add(interval) {
		entry := nodes[r.IntN(size)]
		standing, trial := entry.Admit(f, now)
		for range takeDuties(entry, ClaimTrial) { // by a conditional write of the number of trials
			known, due := entry.TrialDue(f, now)
			own := due && known.Trials == claimed
			if own {
				claimed++
			}
			entry.RecordTrials(f, claimed, own, now)
		}
		if standing != Condemned || trial {
			weight := WeightCrowd
			if standing != Unsuspected {
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
		}
		news := entry.TakeNews(maxSuspectNews)
		for _, to := range nodes {
			to.Merge(news, now)
			to.Merge(entry.Strongest(maxEnds, now), now)
		}
	}
	require.Equal(t, len(trialDelays), claimed)
	require.LessOrEqual(t, retries, 3, "sendings after three servers had ended")
}
