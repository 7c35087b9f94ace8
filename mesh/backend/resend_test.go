package backend_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// plainDialect passes headers on and takes every answer for the server's own.
type plainDialect struct{}

func (plainDialect) RewriteHeader(http.Header, backend.Attempt) {}

func (plainDialect) CallID(header http.Header) string { return header.Get(call.HeaderID) }

func (plainDialect) Answer(*http.Response) backend.Answer { return backend.Answer{} }

func (plainDialect) Statement(http.Header) backend.Statement { return backend.Statement{} }

// TestCrashIsTriedOnce plays a backend server that crashes in every call while the gate
// holds idle connections to it. Only the entry node, which counts them, may send a
// call again, so that a call that may be repeated reaches the server once as well.
func TestCrashIsTriedOnce(t *testing.T) {
	var arrivals atomic.Int64
	var crash atomic.Bool
	var warm sync.WaitGroup
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrivals.Add(1)
		if crash.Load() {
			panic(http.ErrAbortHandler)
		}
		warm.Done()
		warm.Wait()
	}))
	defer server.Close()
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Dialect: plainDialect{}})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Address: server.Listener.Addr().String(), Slots: 9})
	get := func() string {
		req := httptest.NewRequest(http.MethodGet, "/quotes/7", nil)
		req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}, call.HeaderRepeat: {call.Yes}}
		resp, err := gate.RoundTrip(req)
		if err != nil {
			return err.Error()
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Header.Get(call.HeaderReason)
	}
	const idle = 6
	warm.Add(idle) // each call waits for the others, so that each has a connection
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() { get() })
	}
	calls.Wait()
	crash.Store(true)
	arrivals.Store(0)
	require.Equal(t, string(call.ReasonBroken), get())
	require.EqualValues(t, 1, arrivals.Load())
}
