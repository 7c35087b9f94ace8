package call_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// smallNodes is the processor time of calls at nodes that have a sixth of a core.
var smallNodes = processorCosts{entry: 300 * time.Microsecond * 6, ask: 200 * time.Microsecond * 6, forward: 300 * time.Microsecond * 6}

// TestRefusalsLeaveProcessorTimeForServedCalls guards against quotes that come too late since the refused calls take the nodes' time.
func TestRefusalsLeaveProcessorTimeForServedCalls(t *testing.T) {
	play := func(load float64, costs processorCosts) (quotes *callerStats, worth float64) {
		s, quote, book := newLargeChain(34, 27, 0)
		s.processor = costs
		s.offer(quote, load*1500, 0, 10*time.Second)
		s.offer(book, load*700, 0, 10*time.Second)
		s.advance(15 * time.Second)
		quotes, books := s.stats["quote"], s.stats["book"]
		return quotes, float64(quotes.inTime + 2*books.inTime)
	}
	for _, load := range []float64{0.8, 1, 1.25} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			_, spare := play(load, processorCosts{})
			quotes, worth := play(load, smallNodes)
			require.Greater(t, float64(quotes.inTime), 0.33*float64(quotes.asked), "%+v", quotes)
			require.Greater(t, worth, 0.9*spare, "in time, of what nodes with time to spare serve")
		})
	}
}

// TestSlowServersWorkInAShortage guards against calls refused by full servers while slower ones of the service are idle.
func TestSlowServersWorkInAShortage(t *testing.T) {
	s, quote, book := newLargeChain(34, 27, 0)
	s.processor = smallNodes
	s.placeInThreeDomains()
	s.offer(quote, 1500, 0, 10*time.Second)
	s.offer(book, 700, 0, 10*time.Second)
	s.advance(10 * time.Second)
	quotes, books := s.stats["quote"], s.stats["book"]
	require.Greater(t, quotes.refused, quotes.asked/20, "there is a shortage")
	for name, service := range s.services {
		var idle, all time.Duration
		for _, g := range service.gates {
			if g.speed > 1 {
				used := g.admission.SlotTime(s.time())
				idle, all = idle+used.Idle, all+used.Idle+used.InTime+used.Late+used.Vain
			}
		}
		require.Less(t, idle.Seconds(), all.Seconds()/2, "%s: idle, of all slot time of slow servers; %+v %+v", name, quotes, books)
	}
}

// TestRefusedDownloadsLeaveGateToOthers guards against quick calls that avoid a gate since its link is full.
func TestRefusedDownloadsLeaveGateToOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := call.NewInstance("a", 9), call.NewInstance("b", 9)
	balancer := &call.Balancer{Near: []*call.Instance{a, b}}
	for range 20 {
		a.RecordRoom(false, true, now)
	}
	b.RecordLoad(call.LoadReport{InProgress: 6, Slots: 9, MeanDuration: 100 * time.Millisecond}, now)
	random := rand.New(rand.NewPCG(1, 2))
	bulk, _ := balancer.PickLowestCost(true, time.Second, nil, now, random.IntN)
	quick, _ := balancer.PickLowestCost(false, time.Second, nil, now, random.IntN)
	require.Equal(t, []*call.Instance{b, a}, []*call.Instance{bulk, quick})
}

// TestLastShortAttemptCountsAsRefused guards against a shortage that is not seen since calls end at an attempt with a short wait.
func TestLastShortAttemptCountsAsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		last    bool
		refused float64
	}{"another gate is asked": {false, 0}, "the last one": {true, 1}} {
		t.Run(name, func(t *testing.T) {
			var a call.Admission
			now := time.Unix(1000, 0)
			a.SetLimits(call.Limits{Slots: 1, Warmup: -1}, now)
			demand := call.Demand{Class: "book", Priority: 1, Objective: now.Add(time.Second), ShortWait: true, Last: c.last}
			require.Equal(t, call.Admitted, a.Enter(&call.Waiter{Demand: demand}, now))
			a.Leave(2*time.Second, now) // a call takes longer than a short wait
			require.Equal(t, call.Admitted, a.Enter(&call.Waiter{Demand: demand}, now))
			require.Equal(t, call.Rejected, a.Enter(&call.Waiter{Demand: demand}, now))
			require.InDelta(t, c.refused, call.ParseTallies(a.Tallies(now))[0].Refused, 1e-9)
		})
	}
}
