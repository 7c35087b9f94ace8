package backend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// endingServer returns a server that ends when it runs a request for /deadly.
func endingServer(t *testing.T) *httptest.Server {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/deadly" {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// TestGateRefusesWhatEndedItsServer guards against a suspected request that moves on to the next server, since
// the nodes where it enters have not heard of its last end.
func TestGateRefusesWhatEndedItsServer(t *testing.T) {
	now := time.Now()
	f := call.FingerprintOf("quotes", "h.example", http.MethodGet, "/deadly", nil)
	known := call.Suspicion{Request: f, Ends: []call.End{{Server: 1, Weight: call.WeightCrowd, At: now}, {Server: 2, Weight: call.WeightCrowd, At: now}}}
	send := func(gate *backend.Gate, path string, header http.Header) call.Verdict {
		req := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		header.Set(call.HeaderID, "id")
		header.Set(call.HeaderService, "quotes")
		req.Header = header
		resp, err := gate.RoundTrip(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		return call.ParseVerdict(resp.Header)
	}
	suspect := func() http.Header { return http.Header{call.HeaderSuspect: {call.FormatSuspicion(known, now)}} }
	trial := func() http.Header { h := suspect(); h.Set(call.HeaderTrial, call.Yes); return h }

	suspects := call.NewSuspects(now)
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Address: endingServer(t).Listener.Addr().String(), Slots: 10})
	require.Equal(t, call.ReasonEnded, send(gate, "/deadly", suspect()).Reason())
	require.Equal(t, call.Condemned, suspects.Standing(f, time.Now()))
	require.Equal(t, call.ReasonCondemned, send(gate, "/deadly", suspect()).Reason(), "from a node that has not heard of it")

	gate.SetTarget(&backend.Target{Service: "quotes", Server: "b", Address: endingServer(t).Listener.Addr().String(), Slots: 10})
	verdict := send(gate, "/deadly", suspect())
	require.Equal(t, call.ReasonCondemned, verdict.Reason())
	require.Equal(t, call.OutcomeNotRun, verdict.Outcome())
	require.Empty(t, send(gate, "/other", http.Header{}).Reason(), "other requests run")
	require.Eventually(t, func() bool { return send(gate, "/deadly", trial()).Reason() == call.ReasonEnded }, time.Second, 5*time.Millisecond)
	require.NotEqual(t, call.ReasonCondemned, send(gate, "/other", http.Header{call.HeaderSuspect: {"!"}}).Reason(), "what can't be read condemns nothing")
}

// TestCanceledSuspectIsHeldToItsEnd guards against a suspected request whose caller leaves before the server ends under it.
func TestCanceledSuspectIsHeldToItsEnd(t *testing.T) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		if r.URL.Path == "/deadly" {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	now := time.Now()
	f := call.FingerprintOf("quotes", "h.example", http.MethodGet, "/deadly", nil)
	known := call.Suspicion{Request: f, Ends: []call.End{{Server: 1, Weight: call.WeightCrowd, At: now}, {Server: 2, Weight: call.WeightCrowd, At: now}}}
	suspects := call.NewSuspects(now)
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Address: server.Listener.Addr().String(), Slots: 10})
	send := func(ctx context.Context, path, suspicion string) {
		req := httptest.NewRequest(http.MethodGet, path, http.NoBody).WithContext(ctx)
		req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}}
		if suspicion != "" {
			req.Header.Set(call.HeaderSuspect, suspicion)
		}
		resp, err := gate.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() { send(t.Context(), "/other", "") })
	calls.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		send(ctx, "/deadly", call.FormatSuspicion(known, now))
	})
	calls.Wait()
	require.Equal(t, call.Condemned, suspects.Standing(f, time.Now()))
}
