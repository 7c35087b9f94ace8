package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
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
	attempts := 0
	p := New(Config{
		Table: func() *revision.Table { return &table }, Ready: func() bool { return true }, View: viewOf(t, "quotes-0", "quotes-1"),
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
