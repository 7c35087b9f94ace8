package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
