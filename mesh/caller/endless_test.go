package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/caller"
)

// TestEndlessRequestsTakeBoundedMemory guards against callers that end a node by bytes without end.
func TestEndlessRequestsTakeBoundedMemory(t *testing.T) {
	const (
		conns   = 20
		maxHeap = 1 << 20 // bytes a connection in all
	)
	requests := map[string]struct{ Begin, Repeat string }{
		"no head":      {"", "7"},
		"request line": {"GET /", "7"},
		"header line":  {"GET / HTTP/1.1\r\nHost: a\r\nA: ", "7"},
		"header lines": {"GET / HTTP/1.1\r\nHost: a\r\n", "A: 7\r\n"},
		"body":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\n", "7"},
	}
	for name, body := range backendtest.EndlessBodies {
		body.Begin = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body.Begin
		requests[name] = body
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, http.MaxBytesReader(nil, r.Body, 8<<20))
			}))
			caller.SetLimits(server.Config)
			server.Start()
			t.Cleanup(server.Close)
			got := backendtest.AllocatedDuring(func() {
				var all sync.WaitGroup
				for range conns {
					all.Go(func() { backendtest.SendEndlessly(server.Listener.Addr().String(), request.Begin, request.Repeat) })
				}
				all.Wait()
			})
			require.Less(t, got, uint64(conns*maxHeap))
		})
	}
}
