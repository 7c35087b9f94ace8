package call

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLinkTurns checks that large responses are scheduled one after the other
// below the link capacity, that unsent bytes can be returned, and that an idle
// link accumulates no credit.
func TestLinkTurns(t *testing.T) {
	now := time.Now()
	l := NewLink(800_000 / maxLinkShare)
	first, each := l.Reserve(80_000, now)
	require.Equal(t, now, first)
	require.InDelta(t, 1.0/800_000, each, 1e-12)
	second, _ := l.Reserve(80_000, now)
	require.Equal(t, now.Add(100*time.Millisecond), second)
	require.Equal(t, 200*time.Millisecond, l.QueueDelay(now))
	l.Unreserve(40_000) // the second was aborted halfway
	require.Equal(t, 150*time.Millisecond, l.QueueDelay(now))
	require.Zero(t, l.QueueDelay(now.Add(time.Second)))
	later, _ := l.Reserve(80_000, now.Add(time.Second))
	require.Equal(t, now.Add(time.Second), later, "an idle link accumulates no credit")
}

// TestLinkLeavesRoom checks that large responses get the capacity that other
// traffic leaves, and at least minLargeShare.
func TestLinkLeavesRoom(t *testing.T) {
	const rate = 1e6
	for name, c := range map[string]struct{ rest, want float64 }{
		"nothing else": {0, maxLinkShare * rate},
		"some":         {400_000, maxLinkShare*rate - 400_000},
		"too much":     {2 * rate, minLargeShare * rate},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := NewLink(rate), time.Now()
			total := int64(0)
			for range 40 {
				total += int64(c.rest / 4)
				l.RecordLargeSent(30_000)
				total += 30_000
				now = now.Add(otherRateInterval)
				l.RecordSent(total, now)
			}
			start, each := l.Reserve(1000, now)
			require.Equal(t, now, start)
			require.InEpsilon(t, c.want, 1/each, 0.01)
		})
	}
}

// TestLinkUnknown checks that a link of unknown rate never delays a response.
func TestLinkUnknown(t *testing.T) {
	now := time.Now()
	l := NewLink(0)
	l.RecordSize("bulk", 1<<20)
	l.End(l.Begin("bulk"))
	l.RecordSent(1<<20, now)
	l.RecordLargeSent(1 << 20)
	start, perByte := l.Reserve(1<<20, now)
	require.Equal(t, now, start)
	require.Zero(t, perByte)
	l.Unreserve(1 << 20)
	require.Zero(t, l.ExpectedSendTime("bulk", now))
	require.Zero(t, l.QueueDelay(now))
}

// TestLinkOverload guards against large responses that delay small ones and all
// miss their objective. It simulates downloads at 1.5 times the link capacity
// beside small responses, on a backend server with free slots. All small calls
// and only downloads that meet their objective are admitted, and the link is
// used up to its share.
func TestLinkOverload(t *testing.T) {
	const (
		large     = 800_000.0 // bytes/s available to large responses
		size      = 80_000
		each      = 67 * time.Millisecond // between downloads, which is 1.5 times that rate
		work      = 20 * time.Millisecond
		objective = time.Second
		patience  = 2 * time.Second
		length    = 30 * time.Second
	)
	var a Admission
	link := NewLink(large / maxLinkShare)
	a.SetLink(link)
	start := time.Now()
	a.SetLimits(Limits{Slots: 20}, start)
	for range 10 {
		link.RecordSize("bulk", size)
		link.RecordSize("small", 1000)
		a.classDurations.add("bulk", work, durationWeight)
	}
	type running struct {
		w    *Waiter
		ends time.Time
	}
	var now time.Time
	var busy []running
	sent, refused, late := 0, 0, 0
	finish := func() {
		for len(busy) > 0 && !busy[0].ends.After(now) {
			r := busy[0]
			busy = busy[1:]
			a.Finish(r.w, ResultSuccess, r.ends)
			from, _ := link.Reserve(size, r.ends)
			sent++
			if from.Add(time.Duration(size / large * float64(time.Second))).After(r.w.Objective) {
				late++
			}
		}
	}
	for at := time.Duration(0); at < length; at += each {
		now = start.Add(at)
		finish()
		w := &Waiter{Deadline: now.Add(patience), Demand: Demand{Class: "bulk", Objective: now.Add(objective)}}
		w.MarkRemote()
		if a.Enter(w, now) == Admitted {
			busy = append(busy, running{w, now.Add(work)})
		} else {
			require.Equal(t, ReasonBusy, w.Reason())
			refused++
		}
		small := &Waiter{Deadline: now.Add(patience), Demand: Demand{Class: "small", Objective: now.Add(objective)}}
		small.MarkRemote()
		require.Equal(t, Admitted, a.Enter(small, now), "a small response doesn't wait for a large one")
		a.Finish(small, ResultSuccess, now)
	}
	capacity := length.Seconds() * large / size
	require.InDelta(t, capacity, sent, 0.1*capacity, "the link is used")
	require.InDelta(t, 0.5*capacity, refused, 0.15*capacity)
	require.Zero(t, late)
	require.LessOrEqual(t, link.QueueDelay(now), objective)
}

// TestLinkIgnoresLocalCalls checks that a saturated link doesn't lead to the
// rejection of calls from the same instance, whose responses don't use the link.
func TestLinkIgnoresLocalCalls(t *testing.T) {
	var a Admission
	link := NewLink(1e6)
	a.SetLink(link)
	now := time.Now()
	a.SetLimits(Limits{Slots: 2}, now)
	link.RecordSize("bulk", 1<<20)
	link.Reserve(10<<20, now)
	demand := Demand{Class: "bulk", Objective: now.Add(time.Second)}
	far := &Waiter{Demand: demand, Deadline: now.Add(2 * time.Second)}
	far.MarkRemote()
	require.Equal(t, Rejected, a.Enter(far, now))
	require.Equal(t, Admitted, a.Enter(&Waiter{Demand: demand, Deadline: now.Add(2 * time.Second)}, now))
}

// TestPlaceByLink checks that the wait for a link determines the instance for a
// download but not for a small call, and that a reported wait expires.
func TestPlaceByLink(t *testing.T) {
	now := time.Now()
	busy, free := NewInstance("busy", 9), NewInstance("free", 9)
	for _, i := range []*Instance{busy, free} {
		i.RecordLoad(LoadReport{Slots: 9, MeanDuration: 100 * time.Millisecond}, now)
	}
	free.RecordLoad(LoadReport{InProgress: 4, Slots: 9, MeanDuration: 100 * time.Millisecond}, now)
	busy.RecordLinkWait(700*time.Millisecond, now)
	c := &Balancer{Near: []*Instance{busy, free}}
	none := func(int) int { return 0 }
	i, _ := c.PickLowestCost(true, time.Second, nil, now, none)
	require.Equal(t, "free", i.Name)
	i, _ = c.PickLowestCost(false, time.Second, nil, now, none)
	require.Equal(t, "busy", i.Name)
	free.RecordLoad(LoadReport{InProgress: 4, Slots: 9, MeanDuration: 100 * time.Millisecond}, now.Add(time.Second))
	i, _ = c.PickLowestCost(true, time.Second, nil, now.Add(time.Second), none)
	require.Equal(t, "busy", i.Name, "the reported wait has passed since")
}
