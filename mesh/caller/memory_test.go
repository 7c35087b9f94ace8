package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// TestMemoryOutlivesNode guards against forgetting a statement when the node starts again.
func TestMemoryOutlivesNode(t *testing.T) {
	now := time.Now()
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, &wire.Member{Name: "entry", Domain: "xitun", State: wire.State_STATE_ALIVE}, now)
	join := func(incarnation uint64) {
		agent.HandleProbe(now, &wire.ProbeRequest{Events: []*wire.Member{{
			Name: "quotes-0", Peer: "127.0.0.1:1", Hop: "127.0.0.1:2", Domain: "xitun", State: wire.State_STATE_ALIVE, Incarnation: incarnation,
			Servers: []*wire.Server{{Service: "quotes", Slots: 3}},
		}}})
		now = now.Add(time.Second / 2)
		agent.Tick(now)
	}
	stated := call.Stated{Server: "a", Epoch: 1, Limit: call.NamedLimit{Rate: 2, Named: true}}.Format()
	var got, answer []string
	p := New(Config{
		Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true }, View: agent.View,
		ReportReachability: func(string, bool) {}, Timeout: time.Second,
		Remote: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			got = r.Header[call.HeaderStated]
			header := http.Header{call.HeaderID: r.Header[call.HeaderID]}
			if answer != nil {
				header[call.HeaderStated] = answer
			}
			return &http.Response{StatusCode: http.StatusOK, Header: header, Body: http.NoBody}, nil
		}),
	})
	serve := func(reply ...string) []string {
		answer = reply
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
		require.Equal(t, http.StatusOK, w.Code)
		require.Empty(t, w.Header()[call.HeaderStated], "it concerns nodes only")
		return got
	}
	join(1)
	require.Empty(t, serve(stated))
	require.Equal(t, []string{stated}, serve(stated))
	join(2)
	require.Equal(t, []string{stated}, serve())
	require.Empty(t, serve(), "the server states nothing any more")
}
