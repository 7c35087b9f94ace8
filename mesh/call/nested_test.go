package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// newChain returns a simulation of two services. Quotes run at the first and make two
// checks at the second, which also runs bookings. Callers enter at all instances.
func newChain(servers int) (s *sim, quote, book class) {
	s = newSim(1)
	delete(s.services, "")
	s.addService("quotes", 12, 0.7, 0.7, 1, 1.6)
	s.addService("dispatch", 12, []float64{0.7, 1, 1.6}[:servers]...)
	s.shareInstances()
	check := class{name: "check", priority: 1, work: 55 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 600 * time.Millisecond, service: "dispatch"}
	quote = class{
		name: "quote", priority: 2, work: 220 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 1200 * time.Millisecond, service: "quotes",
		nested: &check, nestedCalls: 2,
	}
	book = class{name: "book", priority: 1, work: 290 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 1500 * time.Millisecond, service: "dispatch"}
	return s, quote, book
}

// TestNestedCallsFirst plays a loss of backend servers at a service that bookings and
// the checks of quotes share. Quotes that have begun must be answered, since their
// work is done; the bookings that find no room must be refused without being held.
func TestNestedCallsFirst(t *testing.T) {
	s, quote, book := newChain(1)
	s.offer(quote, 100, 0, 10*time.Second)
	s.offer(book, 60, 0, 10*time.Second)
	s.advance(15 * time.Second)
	quotes, books, checks := s.stats["quote"], s.stats["book"], s.stats["check"]
	require.Less(t, quotes.failed, quotes.asked/20, "run in vain: %+v %+v %+v", quotes, books, checks)
	require.Less(t, checks.refused, checks.asked/20)
	require.Less(t, books.heldRefused, books.asked/20)
	require.Positive(t, books.refused)
}

// TestShortageIsShared plays the same loss for a minute, with less urgent quotes at the
// load of a busy day. The bookings are the more urgent calls, so that quotes must be
// refused, before they run, while most bookings are. Without it, the nested calls of
// the quotes starve the bookings.
func TestShortageIsShared(t *testing.T) {
	play := func(ignoreShortages bool) (quotes, books *callerStats) {
		s, quote, book := newChain(1)
		s.ignoreShortages = ignoreShortages
		s.offer(quote, 140, 0, time.Minute)
		s.offer(book, 70, 0, time.Minute)
		s.advance(65 * time.Second)
		return s.stats["quote"], s.stats["book"]
	}
	_, starved := play(true)
	quotes, books := play(false)
	require.Less(t, starved.served(), 0.2)
	require.Greater(t, books.served(), 0.3, "%+v %+v", quotes, books)
	require.Greater(t, quotes.served(), books.served())
	require.Less(t, quotes.failed, quotes.asked/20, "run in vain: %+v %+v", quotes, books)
}

// TestTalliesFormat checks that ParseTallies reverses FormatTallies and skips what it
// can't read, among it what nodes of earlier versions sent.
func TestTalliesFormat(t *testing.T) {
	tallies := []call.Tally{{Priority: 1, Served: 38.5, Refused: 2.1}, {Priority: 0, Served: 5, Yielded: 0.3}}
	require.Equal(t, tallies, call.ParseTallies(call.FormatTallies(tallies)))
	require.Equal(t, tallies[:1], call.ParseTallies("x:1:2,1:38.5:2.1,2,3:-4:1,4:39,5:NaN:1,6:1:Inf,7:1:2:3:4"))
	require.Empty(t, call.ParseTallies(""))
}
