package backend_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// TestGateHeaders checks what a backend server sees, and that neither it nor a
// caller can forge a header of the system.
func TestGateHeaders(t *testing.T) {
	seen := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set(call.HeaderRefused, "busy")
		w.Header().Set(call.HeaderRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }})
	defer gate.Close()
	gate.Serve(&backend.Target{Service: "quotes", Address: server.Listener.Addr().String(), Slots: 1000})
	req := httptest.NewRequest(http.MethodPost, "/orders", nil)
	req.Header = http.Header{
		call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}, call.HeaderAttempt: {"2"},
		"Connection": {"X-Own"}, "X-Own": {"1"}, "Idempotency-Key": {"k"},
	}
	resp, err := gate.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, "k", req.Header.Get("Idempotency-Key"), "the caller's header is left as it is")
	require.Equal(t, "id", resp.Header.Get(call.HeaderID))
	require.Empty(t, resp.Header.Get(call.HeaderRefused))
	require.Empty(t, resp.Header.Get(call.HeaderRan))
	require.Equal(t, call.Report{Progress: 1, Slots: 100}.String(), resp.Header.Get(call.HeaderLoad))
	got := <-seen
	require.Equal(t, []string{"5000"}, got[call.HeaderDeadline])
	require.Equal(t, []string{"2"}, got[call.HeaderAttempt])
	require.Equal(t, []string{"k"}, got["Idempotency-Key"])
	require.Empty(t, got[call.HeaderService])
	require.Empty(t, got["X-Own"])
}
