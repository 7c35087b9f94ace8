package backend_test

import (
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

// answerEnds are what follows the lines of a head that the tests vary.
var answerEnds = map[string]string{
	"length":    "Content-Length: 4\r\n\r\nbody",
	"no body":   "Content-Length: 0\r\n\r\n",
	"chunks":    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"close":     "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
	"no length": "\r\nbody",
}

// oddServer returns a gate to a server that answers calls to /odd by the given bytes, and all
// others in order.
func oddServer(t *testing.T, odd string, slots int) *backend.Gate {
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Dialect: plainDialect{}, Warmup: -1})
	t.Cleanup(gate.Close)
	server := backendtest.ServeRaw(t, func(r *http.Request) string {
		if r.URL.Path == "/odd" {
			return odd
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	})
	gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: slots})
	return gate
}

// reasonOf sends a call through a gate, and returns the reason and Caroblift-Ran of its answer.
func reasonOf(gate *backend.Gate, path string) (reason call.Reason, ran string) {
	r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
	r.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
	resp, _ := gate.RoundTrip(r)
	_ = resp.Body.Close()
	return call.Reason(resp.Header.Get(call.HeaderReason)), resp.Header.Get(call.HeaderRan)
}

// requireBroken requires that an answer counts as broken off, and that its call ends.
func requireBroken(t *testing.T, answer string) {
	gate := oddServer(t, answer, 1)
	reason, ran := reasonOf(gate, "/odd")
	require.Equal(t, call.ReasonBroken, reason)
	require.Equal(t, call.OutcomeUnknown.String(), ran)
	require.Eventually(t, func() bool { return gate.InFlight() == 0 }, time.Second, time.Millisecond)
	reason, _ = reasonOf(gate, "/good")
	require.Empty(t, reason)
}

// TestOddStatusIsNoAnswer guards against passing on an answer whose status no caller could be sent.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range backendtest.OddStatuses {
		for name, end := range answerEnds {
			t.Run(status+"/"+name, func(t *testing.T) {
				requireBroken(t, "HTTP/1.1 "+status+" Odd\r\n"+end)
			})
		}
	}
}

// TestOddHeadEndsNoOtherCall guards against closing the connection of an answer without a body under the call that got it next.
func TestOddHeadEndsNoOtherCall(t *testing.T) {
	const concurrent = 16
	gate := oddServer(t, "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", 2*concurrent)
	var all sync.WaitGroup
	for range concurrent {
		all.Go(func() {
			for range 50 {
				reasonOf(gate, "/odd")
			}
		})
		all.Go(func() {
			for range 50 {
				if reason, _ := reasonOf(gate, "/good"); reason != "" {
					t.Error("a good call failed: ", reason)
				}
			}
		})
	}
	all.Wait()
}
