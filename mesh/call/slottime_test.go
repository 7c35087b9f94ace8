package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// TestSlotTime checks that each second of a slot is counted once, by its use.
func TestSlotTime(t *testing.T) {
	var a call.Admission
	now := time.Unix(1000, 0)
	pass := func(d time.Duration) { now = now.Add(d) }
	a.SetLimits(call.Limits{Slots: 3, Warmup: -1}, now)
	inTime, late, failed := &call.Waiter{}, &call.Waiter{Demand: call.Demand{Objective: now.Add(time.Second)}}, &call.Waiter{}
	require.Zero(t, a.SlotTime(now))
	for _, w := range []*call.Waiter{inTime, late, failed} {
		require.Equal(t, call.Admitted, a.Enter(w, now))
	}
	pass(2 * time.Second)
	a.Finish(inTime, call.ResultSuccess, now)
	a.Finish(late, call.ResultSuccess, now)
	pass(3 * time.Second)
	a.Finish(failed, call.ResultFailure, now)
	a.Close(now)
	pass(time.Minute)
	a.Open(now)
	pass(time.Second)
	require.Equal(t, call.SlotTime{InTime: 2 * time.Second, Late: 2 * time.Second, Vain: 5 * time.Second, Idle: (2*3 + 3) * time.Second}, a.SlotTime(now))
}
