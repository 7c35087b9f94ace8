package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
)

// TestRefusalAfterAnUnknownAttemptIsNoPromise guards against a promising status for
// a call whose first attempt may have run and whose last was refused.
func TestRefusalAfterAnUnknownAttemptIsNoPromise(t *testing.T) {
	route := *reasonsTable.Routes[0]
	route.Repeat, route.MaxAttempts, route.Timeout = record.RepeatAlways, 3, time.Second
	table := *reasonsTable
	table.Routes = []*record.Route{&route}
	attempts, view := 0, viewOf(t, 2)
	p := New(Config{
		Table: func() *revision.Table { return &table }, Ready: func() bool { return true }, View: func() *member.View { return view },
		ReportReachability: func(string, bool) {}, Timeout: time.Second,
		Remote: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			attempts++
			if attempts == 1 {
				return refuseWith(call.MayHaveRun(call.ReasonCrossed))(r)
			}
			return refuseWith(call.NotRun(call.ReasonBusy, call.ProofNotSent))(r)
		}),
	})
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
	require.Greater(t, attempts, 1)
	require.Equal(t, string(call.ReasonBusy), w.Header().Get(call.HeaderReason))
	require.Equal(t, "unknown", w.Header().Get(call.HeaderRan))
	require.Equal(t, http.StatusBadGateway, w.Code)
}

// TestOwnPromiseOfServerIsNotPassedOn guards against passing on a backend server's
// status that callers take for a promise, for a call that the server may have run.
func TestOwnPromiseOfServerIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		dialect Dialect
		want    int
		reason  call.Reason
	}{
		"timeout":                  {http.StatusRequestTimeout, secondsDialect{}, http.StatusBadGateway, call.ReasonUnproven},
		"misdirected":              {http.StatusMisdirectedRequest, secondsDialect{}, http.StatusBadGateway, call.ReasonUnproven},
		"too many":                 {http.StatusTooManyRequests, secondsDialect{}, http.StatusBadGateway, call.ReasonUnproven},
		"unavailable":              {http.StatusServiceUnavailable, secondsDialect{}, http.StatusBadGateway, call.ReasonUnproven},
		"failure":                  {http.StatusInternalServerError, secondsDialect{}, http.StatusInternalServerError, ""},
		"not found":                {http.StatusNotFound, secondsDialect{}, http.StatusNotFound, ""},
		"unavailable, own headers": {http.StatusServiceUnavailable, nil, http.StatusServiceUnavailable, call.ReasonShed},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{
				Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true }, View: reasonsView(t),
				ReportReachability: func(string, bool) {}, Timeout: time.Second, Dialect: c.dialect, Remote: respondWith(c.status),
			})
			w := httptest.NewRecorder()
			p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
			require.Equal(t, c.want, w.Code)
			require.Equal(t, string(c.reason), w.Header().Get(call.HeaderReason))
			require.Empty(t, w.Header().Get("Retry-After"))
		})
	}
}
