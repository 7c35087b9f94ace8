package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// newLargeChain returns the simulation of newChain with as many nodes as a large fleet has,
// each of which knows only of its own calls. Some servers of the second service are slow.
func newLargeChain(quoteServers, dispatchServers, slow int) (s *sim, quote, book class) {
	s, quote, book = newChain(1)
	s.separate = true
	s.addService("quotes", 12, largeSpeeds(quoteServers, 0)...)
	s.addService("dispatch", 12, largeSpeeds(dispatchServers, slow)...)
	s.shareInstances()
	return s, quote, book
}

// largeSpeeds returns the speeds of servers, the first of which are slow.
func largeSpeeds(n, slow int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = []float64{0.7, 0.7, 1.6}[i%3]
		if i < slow {
			speeds[i] *= 5.5
		}
	}
	return speeds
}

// TestFullServersAreNoShortageOfTheirService guards against quotes refused for a few full servers.
func TestFullServersAreNoShortageOfTheirService(t *testing.T) {
	s, quote, book := newLargeChain(34, 27, 4)
	s.offer(quote, 1300, 0, 10*time.Second)
	s.offer(book, 620, 0, 10*time.Second)
	s.advance(15 * time.Second)
	quotes, books := s.stats["quote"], s.stats["book"]
	require.Greater(t, books.served(), 0.5)
	require.Zero(t, quotes.yielded, "%+v %+v", quotes, books)
}

// TestYieldShare checks that calls are refused for more urgent ones only until both are
// served alike, but for the tolerance.
func TestYieldShare(t *testing.T) {
	shortages := []call.Shortage{{Priority: 1, Refused: 0.75}, {Priority: 3, Refused: 0.9}}
	for name, c := range map[string]struct {
		priority int
		own      []call.Tally
		served   float64 // share of all calls
	}{
		"none refused otherwise":     {2, nil, 0.4},
		"some refused otherwise":     {2, []call.Tally{{Priority: 2, Served: 50, Refused: 50}}, 0.4},
		"yielded calls don't count":  {2, []call.Tally{{Priority: 2, Served: 50, Refused: 50, Yielded: 200}}, 0.4},
		"most refused otherwise":     {2, []call.Tally{{Priority: 2, Served: 30, Refused: 70}}, 0.3},
		"all refused otherwise":      {2, []call.Tally{{Priority: 2, Refused: 70}}, 0},
		"others refused":             {2, []call.Tally{{Priority: 1, Refused: 70}}, 0.4},
		"equally urgent":             {1, nil, 1},
		"less urgent than both":      {4, nil, 0.25},
		"more urgent than the calls": {0, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			refused := 0.0
			for _, o := range c.own {
				if o.Priority == c.priority {
					refused = o.RefusedShare()
				}
			}
			yield := call.YieldShare(c.priority, shortages, c.own)
			require.InDelta(t, c.served, (1-yield)*(1-refused), 1e-9)
		})
	}
}
