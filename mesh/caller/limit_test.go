package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// TestLimits checks that exactly the calls larger than a configured limit are
// refused.
func TestLimits(t *testing.T) {
	limits := record.CallerLimits{MaxHeaderBytes: 200, MaxBodyBytes: 10}
	for name, c := range map[string]struct {
		limits record.CallerLimits
		header string
		body   string
		want   call.Reason
	}{
		"within":      {limits, "a", "0123456789", ""},
		"long body":   {limits, "a", "0123456789x", call.ReasonLongBody},
		"long header": {limits, strings.Repeat("a", 200), "", call.ReasonLongHeader},
		"no limits":   {record.CallerLimits{}, strings.Repeat("a", 2000), strings.Repeat("a", 2000), ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(c.body))
			r.Header.Set("Long", c.header)
			require.Equal(t, c.want, exceededLimit(c.limits, r))
		})
	}
}
