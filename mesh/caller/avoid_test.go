package caller_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBrokenConnectionIsAvoided sends bookings one after another while the
// connections to one of two instances are silent. After the first booking with
// an unknown outcome the next ten must go elsewhere, though the connection that
// broke was an old one.
func TestBrokenConnectionIsAvoided(t *testing.T) {
	s := newStack(t, 2)
	allServed(t, s, s.load(t, "before", 2, 8))
	s.sides[0].hops.Silence()
	for i := range 1000 {
		a := s.do(t.Context(), http.MethodPost, "/book", "k"+strconv.Itoa(i), strings.NewReader("x"))
		require.NoError(t, a.err)
		if a.status != http.StatusOK {
			require.Equal(t, "unknown", a.ran)
			break
		}
	}
	for i := range 10 {
		a := s.do(t.Context(), http.MethodPost, "/book", "n"+strconv.Itoa(i), strings.NewReader("x"))
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, "%s %s", a.reason, a.ran)
	}
}
