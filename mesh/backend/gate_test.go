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

// TestGateHeaders checks the headers that a backend server receives, and that
// neither the server nor a caller can forge the headers between nodes.
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
	gate.SetTarget(&backend.Target{Service: "quotes", Address: server.Listener.Addr().String(), Slots: 1000})
	req := httptest.NewRequest(http.MethodPost, "/orders", nil)
	req.Header = http.Header{
		call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}, call.HeaderAttempt: {"2"},
		"Connection": {"X-Own"}, "X-Own": {"1"}, "Idempotency-Key": {"k"},
	}
	resp, err := gate.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, "k", req.Header.Get("Idempotency-Key"), "the caller's header is not changed")
	require.Equal(t, "id", resp.Header.Get(call.HeaderID))
	require.Empty(t, resp.Header.Get(call.HeaderRefused))
	require.Empty(t, resp.Header.Get(call.HeaderRan))
	require.Equal(t, call.LoadReport{InProgress: 1, Slots: 100}.String(), resp.Header.Get(call.HeaderLoad))
	got := <-seen
	require.Equal(t, []string{"5000"}, got[call.HeaderDeadline])
	require.Equal(t, []string{"2"}, got[call.HeaderAttempt])
	require.Equal(t, []string{"k"}, got["Idempotency-Key"])
	require.Empty(t, got[call.HeaderService])
	require.Empty(t, got["X-Own"])
}

// droppingListener accepts connections that are reset by the next request after
// they were idle for longer than maxIdle, as by a backend server that has dropped
// them without closing them.
type droppingListener struct {
	net.Listener
	maxIdle time.Duration
}

func (l droppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &droppingConn{TCPConn: c.(*net.TCPConn), maxIdle: l.maxIdle}, nil
}

// droppingConn is a connection of a droppingListener.
type droppingConn struct {
	*net.TCPConn
	maxIdle time.Duration
	mu      sync.Mutex
	usedAt  time.Time // when an answer was last written
}

func (c *droppingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
	return c.TCPConn.Write(b)
}

func (c *droppingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && !c.usedAt.IsZero() && time.Since(c.usedAt) > c.maxIdle {
		_ = c.SetLinger(0)
		_ = c.Close()
		return 0, io.EOF
	}
	return n, err
}

// TestForgottenConnections guards against a failure of calls that may run only
// once: they can't be sent again when the server has silently dropped an idle
// connection and the gate reuses it. Calls sent after idle times shorter and
// longer than the server's limit must all be answered.
func TestForgottenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(droppingListener{l, 300 * time.Millisecond}) }()
	defer server.Close()
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Address: l.Addr().String(), Slots: 5})
	for _, idle := range []time.Duration{0, 50, 150, 220, 320, 450, 800} {
		time.Sleep(idle * time.Millisecond)
		req := httptest.NewRequest(http.MethodPost, "/orders", nil)
		req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
		resp, err := gate.RoundTrip(req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Empty(t, resp.Header.Get(call.HeaderReason), "after an idle time of %d ms", idle)
	}
}

// callees is a backend.Callees with a number of repeats left.
type callees struct{ runs, left int }

func (c *callees) AddRun() { c.runs++ }

func (c *callees) TakeRepeat() (func(), bool) {
	if c.left == 0 {
		return nil, false
	}
	c.left--
	return func() { c.left++ }, true
}

func (c *callees) YieldShare(int) float64 { return 0 }

// TestRepeatNeedsBudgetOfCalledServices checks who takes from that budget and gives it back.
func TestRepeatNeedsBudgetOfCalledServices(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	budget := &callees{left: 1}
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Calls: budget})
	defer gate.Close()
	target := &backend.Target{Service: "quotes", Address: server.Listener.Addr().String(), Slots: 9}
	send := func(repeated bool) call.Reason {
		r := httptest.NewRequest(http.MethodPost, "/orders", http.NoBody)
		r.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
		if repeated {
			r.Header[call.HeaderRepeated] = []string{call.Yes}
		}
		resp, err := gate.RoundTrip(r)
		require.NoError(t, err)
		defer resp.Body.Close()
		return call.Reason(resp.Header.Get(call.HeaderReason))
	}
	leaving := *target
	leaving.Leaving = true
	gate.SetTarget(&leaving)
	require.Equal(t, call.ReasonLeaving, send(true))
	require.Equal(t, callees{left: 1}, *budget, "it did not run")
	gate.SetTarget(target)
	require.Empty(t, send(true))
	require.Equal(t, callees{runs: 1}, *budget)
	require.Equal(t, call.ReasonBudget, send(true))
	require.Empty(t, send(false))
	require.Equal(t, callees{runs: 2}, *budget)
}

// TestConnectionsOfServiceAreKept guards against more calls at a server than connections.
func TestConnectionsOfServiceAreKept(t *testing.T) {
	for name, c := range map[string]struct{ conns, slots int }{
		"unknown": {0, 30}, "usual": {110, 30}, "few": {22, 20}, "very few": {3, 2}, "one": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gate := backend.NewGate(backend.GateConfig{
				Policy: func(string) record.Policy { return record.Policy{} }, MaxConns: func(string) int { return c.conns }, Warmup: -1,
			})
			defer gate.Close()
			gate.SetTarget(&backend.Target{Service: "quotes", Address: "127.0.0.1:1", Slots: 30})
			r := httptest.NewRequest(http.MethodPost, "/orders", http.NoBody)
			r.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
			resp, err := gate.RoundTrip(r)
			require.NoError(t, err)
			defer resp.Body.Close()
			load, ok := call.ParseLoadReport(resp.Header.Get(call.HeaderLoad))
			require.True(t, ok)
			require.Equal(t, c.slots, load.Slots)
		})
	}
}
