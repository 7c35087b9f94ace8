package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// healthDialect is a plainDialect that can read health answers.
type healthDialect struct{ plainDialect }

func (healthDialect) Life(*http.Response) (string, bool) { return "", true }

// TestEndlessAnswersTakeBoundedMemory guards against a server that ends the node beside it by bytes without end.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const (
		calls   = 20
		maxHeap = 2 << 20 // bytes a call in all, as much as buffering an answer of 1 MB takes
	)
	for name, answer := range backendtest.Endless {
		address := func(t *testing.T) string { return backendtest.ServeEndless(t, answer.Begin, answer.Repeat) }
		gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Dialect: healthDialect{}})
		t.Cleanup(gate.Close)
		t.Run("call/"+name, func(t *testing.T) {
			gate.SetTarget(&backend.Target{Service: "quotes", Address: address(t), Slots: calls})
			got := backendtest.AllocatedDuring(func() {
				var all sync.WaitGroup
				for range calls {
					all.Go(func() {
						req := httptest.NewRequest(http.MethodGet, "/quotes/7", nil)
						req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"1000"}}
						resp, err := gate.RoundTrip(req)
						if err == nil {
							_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
							_ = resp.Body.Close()
						}
					})
				}
				all.Wait()
			})
			require.Less(t, got, uint64(calls*maxHeap))
		})
		t.Run("health/"+name, func(t *testing.T) {
			server := address(t)
			got := backendtest.AllocatedDuring(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				gate.RequestHealth(ctx, server, "/health")
			})
			require.Less(t, got, uint64(maxHeap))
		})
	}
}
