package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// TestLimits refuses what is larger than a configuration allows, and nothing
// else.
func TestLimits(t *testing.T) {
	limits := record.Limits{Header: 200, Body: 10}
	for name, c := range map[string]struct {
		limits record.Limits
		header string
		body   string
		want   call.Reason
	}{
		"within":      {limits, "a", "0123456789", ""},
		"long body":   {limits, "a", "0123456789x", call.LongBody},
		"long header": {limits, strings.Repeat("a", 200), "", call.LongHead},
		"no limits":   {record.Limits{}, strings.Repeat("a", 2000), strings.Repeat("a", 2000), ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(c.body))
			r.Header.Set("Long", c.header)
			require.Equal(t, c.want, exceeds(c.limits, r))
		})
	}
}

// TestComeBack tells refused callers a time that leaves room for their return,
// and that spreads them.
func TestComeBack(t *testing.T) {
	const left = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		reason      call.Reason
		backlog     time.Duration
		least, most time.Duration
	}{
		"busy for a while": {call.Busy, 100 * time.Millisecond, 100 * time.Millisecond, left / 3},
		"busy for long":    {call.Busy, 5 * time.Second, left / 4, left / 3},
		"leaving":          {call.Leaving, 0, leastAfter, left / 4},
		"no server yet":    {call.NoServer, 0, left / 8, left / 3},
		"no route":         {call.NoRoute, 0, 0, 0},
		"lost":             {call.Broken, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			first, last := comeBack(c.reason, c.backlog, left, 0), comeBack(c.reason, c.backlog, left, 0.999)
			require.GreaterOrEqual(t, first, c.least)
			require.LessOrEqual(t, last, c.most)
			require.LessOrEqual(t, first, last)
		})
	}
}

// TestElapsed learns how long ago callers first came from what they have left.
func TestElapsed(t *testing.T) {
	var p patience
	require.Zero(t, p.elapsed(4*time.Second))
	require.Equal(t, time.Second, p.elapsed(3*time.Second))
	require.Zero(t, p.elapsed(5*time.Second))
	require.Equal(t, 2*time.Second, p.elapsed(3*time.Second))
}
