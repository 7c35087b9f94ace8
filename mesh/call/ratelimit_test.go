package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// offerLimited offers calls to an admission for some time, as Poisson arrivals of the
// given rate, and returns when each was admitted. Each call takes 50 ms.
func offerLimited(a *call.Admission, random *rand.Rand, start time.Time, duration time.Duration, perSecond float64) []time.Time {
	var admitted, ends []time.Time
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(ends) > 0 && !ends[0].After(now) {
			a.Leave(50*time.Millisecond, ends[0])
			ends = ends[1:]
		}
		w := &call.Waiter{Demand: call.Demand{Priority: random.IntN(3), ShortWait: true, Objective: now.Add(time.Second)}}
		if a.Enter(w, now) == call.Admitted {
			admitted, ends = append(admitted, now), append(ends, now.Add(50*time.Millisecond))
		}
	}
	return admitted
}

// mostInWindow returns the largest number of times within four seconds.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitBoundsEveryWindow checks any four seconds against the platform's rule, and the use.
func TestLimitBoundsEveryWindow(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 0.2, 0.5, 1, 2.5, 6.4, 7, 20, 100} {
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1000, 0)
		a := &call.Admission{}
		a.SetLimits(call.Limits{Slots: 50}, now)
		_, _ = a.ObserveLimit(call.NamedLimit{Rate: limit, Named: true}, "a", now, now)
		admitted := offerLimited(a, random, now, time.Minute, 300)
		require.LessOrEqual(t, float64(mostInWindow(admitted)), 1.5*limit*4+5, "limit %g", limit)
		require.GreaterOrEqual(t, float64(len(admitted)), max(limit, 0.25)*60*0.95, "limit %g is not used", limit)
	}
}

// TestLimitHasNoEffectAboveTheLoad checks that a limit above the load refuses no call.
func TestLimitHasNoEffectAboveTheLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, limit := range []float64{1e4, 1e300} {
		a := &call.Admission{}
		a.SetLimits(call.Limits{Slots: 1000}, now)
		_, _ = a.ObserveLimit(call.NamedLimit{Rate: limit, Named: true}, "a", now, now)
		random := rand.New(rand.NewPCG(1, 2))
		require.Greater(t, len(offerLimited(a, random, now, 10*time.Second, 300)), 2800)
	}
}

// TestLimitFollowsEvidence checks which answers change the limit in force.
func TestLimitFollowsEvidence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	none := call.NamedLimit{}
	named := func(rate float64) call.NamedLimit { return call.NamedLimit{Rate: rate, Named: true} }
	type answer struct {
		says       call.NamedLimit
		sent, read float64 // seconds; sent 0 means that it is not known
	}
	for name, c := range map[string]struct {
		answers []answer
		want    call.NamedLimit
	}{
		"named":                           {[]answer{{named(6.4), 1, 2}}, named(6.4)},
		"named where no send is known":    {[]answer{{named(6.4), 0, 2}}, named(6.4)},
		"none named":                      {[]answer{{none, 1, 2}}, none},
		"ended":                           {[]answer{{named(6), 1, 2}, {none, 3, 4}, {none, 3, 5}}, none},
		"one answer without the limit":    {[]answer{{named(6), 1, 2}, {none, 3, 4}, {named(6), 3, 5}, {none, 6, 7}}, named(6)},
		"answers from before the naming":  {[]answer{{named(6), 1, 2}, {none, 1.5, 4}, {none, 1.5, 4}}, named(6)},
		"answer from before a repetition": {[]answer{{named(6), 1, 2}, {named(6), 1, 3}, {none, 2.5, 4}, {none, 2.5, 4}}, named(6)},
		"end where no send is known":      {[]answer{{named(6), 1, 2}, {none, 0, 4}, {none, 0, 4}}, named(6)},
		"raised":                          {[]answer{{named(6), 1, 2}, {named(7), 3, 4}}, named(7)},
		"raised before the naming":        {[]answer{{named(6), 1, 2}, {named(7), 1.5, 4}}, named(6)},
		"lowered":                         {[]answer{{named(6), 1, 2}, {named(2), 1.5, 4}}, named(2)},
		"lowered late, then corrected":    {[]answer{{named(6), 1, 2}, {named(2), 1, 4}, {named(6), 4.5, 5}}, named(6)},
		"zero, then ended":                {[]answer{{named(0), 1, 2}, {none, 4, 5}, {none, 7, 8}}, none},
		"named again":                     {[]answer{{named(6), 1, 2}, {none, 3, 4}, {none, 3, 4}, {named(3), 3, 5}}, named(3)},
	} {
		t.Run(name, func(t *testing.T) {
			var l call.RateLimit
			for _, answer := range c.answers {
				sent := time.Time{}
				if answer.sent > 0 {
					sent = at(answer.sent)
				}
				l.Observe(answer.says, "a", sent, at(answer.read))
			}
			require.Equal(t, c.want, l.State(at(9)).NamedLimit)
		})
	}
}

// TestLimitKeepsTokenForUrgentCalls checks that less urgent calls leave a token to others.
func TestLimitKeepsTokenForUrgentCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &call.Admission{}
	a.SetLimits(call.Limits{Slots: 50}, now)
	_, _ = a.ObserveLimit(call.NamedLimit{Rate: 1, Named: true}, "a", now, now)
	enter := func(priority int) call.WaiterState {
		return a.Enter(&call.Waiter{Demand: call.Demand{Priority: priority, ShortWait: true, Objective: now.Add(time.Second)}}, now)
	}
	require.Equal(t, call.Admitted, enter(1)) // one of two tokens
	require.Equal(t, call.Rejected, enter(2))
	require.Equal(t, call.Admitted, enter(1))
	now = now.Add(time.Second)
	require.Equal(t, call.Rejected, enter(2))
	now = now.Add(10 * time.Second)
	require.Equal(t, call.Admitted, enter(2))
	require.Equal(t, call.Admitted, enter(2))
	require.Equal(t, call.Rejected, enter(2))
}

// TestLimitEmptiesQueue checks that a limit refuses queued calls at once, least urgent first.
func TestLimitEmptiesQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &call.Admission{}
	a.SetLimits(call.Limits{Slots: 1}, now)
	var waiters []*call.Waiter
	for n := range 5 {
		w := &call.Waiter{Deadline: now.Add(time.Minute), Demand: call.Demand{Priority: 5 - n, Objective: now.Add(30 * time.Second)}}
		a.Enter(w, now)
		waiters = append(waiters, w)
	}
	require.Equal(t, call.Waiting, waiters[4].State())
	changed, rejected := a.ObserveLimit(call.NamedLimit{Rate: 1, Named: true}, "a", now, now)
	require.True(t, changed)
	require.Len(t, rejected, 2)
	for _, w := range waiters[1:3] {
		require.Equal(t, call.ReasonLimited, w.Reason())
	}
	require.Equal(t, call.Waiting, waiters[3].State())
	require.Equal(t, call.Waiting, waiters[4].State())
	w := &call.Waiter{Deadline: now.Add(time.Minute), Demand: call.Demand{Objective: now.Add(time.Second)}}
	require.Equal(t, call.Rejected, a.Enter(w, now))
	require.Positive(t, a.LimitWait(w, now))
}
