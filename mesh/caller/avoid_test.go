package caller_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// TestFrozenInstanceIsAvoided checks that calls avoid a frozen instance after the
// first call there ends with an unknown outcome, although the connection that
// broke had carried earlier calls and so is no failure of the instance.
func TestFrozenInstanceIsAvoided(t *testing.T) {
	s := newStack(t, 2)
	s.proxy.SetPolicy(&call.RoundRobin{}) // picks the frozen instance in turn, whatever its latency
	allServed(t, s, s.load(t, "before", 2, 8))
	book := func(key string) answer {
		a := s.do(t.Context(), http.MethodPost, "/book", key, strings.NewReader("x"))
		require.NoError(t, a.err)
		return a
	}
	s.instances[0].hopListener.SilenceAll()
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
