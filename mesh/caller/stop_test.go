package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/revision"
)

// TestRefuseBeyond checks that a stopping node refuses, as not run, a call that
// could still be in progress when the node cuts its calls, and accepts a call that
// ends before that.
func TestRefuseBeyond(t *testing.T) {
	sent := 0
	p := New(Config{
		Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true }, View: reasonsView(t),
		Remote: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			sent++
			return respondWith(http.StatusOK)(r)
		}),
		ReportReachability: func(string, bool) {}, Timeout: time.Second,
	})
	book := func(stopAt time.Time) *httptest.ResponseRecorder {
		p.RefuseBeyond(stopAt)
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
		return w
	}
	require.Equal(t, http.StatusOK, book(time.Now().Add(time.Hour)).Code)
	require.Equal(t, 1, sent)
	refused := book(time.Now().Add(reasonsTable.Routes[0].Timeout / 2))
	require.Equal(t, []string{string(call.ReasonLeaving), "no"}, []string{refused.Header().Get(call.HeaderReason), refused.Header().Get(call.HeaderRan)})
	require.Equal(t, 1, sent)
}

// TestCutCallsAreAnswered guards against calls that a planned stop ends without an answer.
func TestCutCallsAreAnswered(t *testing.T) {
	sent := make(chan struct{})
	p := New(Config{
		Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true }, View: reasonsView(t),
		Remote: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			close(sent)
			return hang(r)
		}),
		ReportReachability: func(string, bool) {}, Timeout: time.Minute,
	})
	w, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
	}()
	<-sent
	p.Cut(t.Context())
	require.Zero(t, p.InProgress())
	<-done
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Equal(t, []string{string(call.ReasonLeaving), "unknown"}, []string{w.Header().Get(call.HeaderReason), w.Header().Get(call.HeaderRan)})
}
