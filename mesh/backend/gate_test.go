package backend_test

import (
	"io"
	"net"
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

// forgetful resets a connection that has rested for a while as soon as
// something is sent on it, as a backend server does that has forgotten it.
type forgetful struct {
	net.Listener
	rest time.Duration
}

func (l forgetful) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &forgotten{TCPConn: c.(*net.TCPConn), rest: l.rest}, nil
}

type forgotten struct {
	*net.TCPConn
	rest time.Duration
	mu   sync.Mutex
	used time.Time // when an answer was last written
}

func (c *forgotten) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = time.Now()
	return c.TCPConn.Write(b)
}

func (c *forgotten) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && !c.used.IsZero() && time.Since(c.used) > c.rest {
		_ = c.SetLinger(0)
		_ = c.Close()
		return 0, io.EOF
	}
	return n, err
}

// TestForgottenConnections sends calls that may run once to a server that
// forgets connections which have rested, after rests of all lengths: all of
// them are answered.
func TestForgottenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(forgetful{l, 300 * time.Millisecond}) }()
	defer server.Close()
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }})
	defer gate.Close()
	gate.Serve(&backend.Target{Service: "quotes", Address: l.Addr().String(), Slots: 5})
	for _, rest := range []time.Duration{0, 50, 150, 220, 320, 450, 800} {
		time.Sleep(rest * time.Millisecond)
		req := httptest.NewRequest(http.MethodPost, "/orders", nil)
		req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
		resp, err := gate.RoundTrip(req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Empty(t, resp.Header.Get(call.HeaderReason), "after a rest of %d ms", rest)
	}
}
