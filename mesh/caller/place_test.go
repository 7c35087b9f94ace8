package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// TestPlaceLooksFurther checks that a call asks the other gates for a free slot
// before it is refused, and queues at one gate only. The gate that the entry node
// believes to be the least loaded has no free slot and then refuses to queue it,
// while the loads that the node knows of the other gates are out of date.
func TestPlaceLooksFurther(t *testing.T) {
	now := time.Now()
	near, far, farther := call.NewInstance("near", 9), call.NewInstance("far", 9), call.NewInstance("farther", 9)
	near.RecordLoad(call.LoadReport{InProgress: 9, Slots: 9, MeanDuration: 100 * time.Millisecond}, now)
	for _, i := range []*call.Instance{far, farther} {
		i.RecordLoad(call.LoadReport{InProgress: 90, Slots: 9, MeanDuration: 100 * time.Millisecond}, now) // out of date
	}
	x := &exchange{body: &hop.Body{}, placement: call.Placement{
		Balancer: &call.Balancer{Near: []*call.Instance{near}, Far: []*call.Instance{far, farther}}, Search: call.NewBudget(), Objective: 300 * time.Millisecond,
	}}
	type step struct {
		name      string
		now, last bool
	}
	var steps []step
	for {
		i := x.place()
		if i == nil {
			break
		}
		steps = append(steps, step{i.Name, x.demand.ShortWait, x.demand.Last})
		x.placement.RecordFailure(i, call.ReasonBusy, x.demand.ShortWait)
	}
	require.Equal(t, []step{{"near", true, false}, {"near", false, false}}, steps[:2])
	require.Len(t, steps, 4)
	require.ElementsMatch(t, []string{"far", "farther"}, []string{steps[2].name, steps[3].name})
	require.Equal(t, []bool{true, true, false, true}, []bool{steps[2].now, steps[3].now, steps[2].last, steps[3].last})
}

// TestRetryAfter checks that the retry delay of a refused caller leaves time for
// the retry, and that it is spread over a range.
func TestRetryAfter(t *testing.T) {
	const left = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		reason      call.Reason
		backlog     time.Duration
		least, most time.Duration
	}{
		"busy for a while": {call.ReasonBusy, 100 * time.Millisecond, 100 * time.Millisecond, left / 3},
		"busy for long":    {call.ReasonBusy, 5 * time.Second, left / 4, left / 3},
		"leaving":          {call.ReasonLeaving, 0, minRetryAfter, left / 4},
		"no server yet":    {call.ReasonNoServer, 0, left / 8, left / 3},
		"no route":         {call.ReasonNoRoute, 0, 0, 0},
		"lost":             {call.ReasonBroken, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			first, last := retryAfter(c.reason, c.backlog, left, 0), retryAfter(c.reason, c.backlog, left, 0.999)
			require.GreaterOrEqual(t, first, c.least)
			require.LessOrEqual(t, last, c.most)
			require.LessOrEqual(t, first, last)
		})
	}
}

// TestCallerTimeoutElapsed checks that the time since a caller's first attempt
// follows from the time it has left.
func TestCallerTimeoutElapsed(t *testing.T) {
	var p callerTimeout
	require.Zero(t, p.elapsed(4*time.Second))
	require.Equal(t, time.Second, p.elapsed(3*time.Second))
	require.Zero(t, p.elapsed(5*time.Second))
	require.Equal(t, 2*time.Second, p.elapsed(3*time.Second))
}
