package caller_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// TestFrozenInstanceIsAvoided sends bookings one after another while one of two
// instances is frozen. After the first booking with an unknown outcome the next
// ten must go elsewhere, though the connection that broke was an old one.
func TestFrozenInstanceIsAvoided(t *testing.T) {
	s := newStack(t, 2)
	s.proxy.Use(&call.RoundRobin{}) // takes the frozen instance in turn, whatever it knows of its latency
	allServed(t, s, s.load(t, "before", 2, 8))
	book := func(key string) answer {
		a := s.do(t.Context(), http.MethodPost, "/book", key, strings.NewReader("x"))
		require.NoError(t, a.err)
		return a
	}
	s.sides[0].hops.Freeze()
	for i := 0; ; i++ {
		if a := book("k" + strconv.Itoa(i)); a.status != http.StatusOK {
			require.Equal(t, "unknown", a.ran)
			break
		}
	}
	for i := range 10 {
		a := book("n" + strconv.Itoa(i))
		require.Equal(t, http.StatusOK, a.status, "%s %s", a.reason, a.ran)
	}
}
