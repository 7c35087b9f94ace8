package backend_test

import (
	"fmt"
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

// answerEnds are what follows the lines of a head that the tests vary.
var answerEnds = map[string]string{
	"length":    "Content-Length: 4\r\n\r\nbody",
	"no body":   "Content-Length: 0\r\n\r\n",
	"chunks":    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"close":     "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
	"no length": "\r\nbody",
}

// invalidServer returns a gate to a server that answers calls to /invalid by the given bytes, and all
// others in order.
func invalidServer(t *testing.T, answer string, slots int) *backend.Gate {
	gate := backend.NewGate(backend.GateConfig{
		Policy: func(string) record.Policy { return record.Policy{} }, Dialect: plainDialect{}, Warmup: -1, AbortGrace: time.Microsecond,
	})
	t.Cleanup(gate.Close)
	server := backendtest.ServeRaw(t, func(r *http.Request) string {
		if r.URL.Path == "/invalid" {
			return answer
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	})
	gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: slots})
	return gate
}

// gateAnswer is what a gate makes of an answer.
type gateAnswer struct {
	reason call.Reason // ReasonBroken also if the answer breaks off after its head
	ran    string
	header http.Header
	body   string
}

// sendCall sends a call through a gate and reads its answer.
func sendCall(gate *backend.Gate, path string) gateAnswer {
	r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
	r.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
	resp, _ := gate.RoundTrip(r)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return gateAnswer{reason: call.ReasonBroken, ran: call.OutcomeUnknown.String()}
	}
	return gateAnswer{call.Reason(resp.Header.Get(call.HeaderReason)), resp.Header.Get(call.HeaderRan), resp.Header, string(body)}
}

// requireBroken requires that an answer counts as broken off, and that its call ends.
func requireBroken(t *testing.T, invalid string) {
	gate := invalidServer(t, invalid, 1)
	answer := sendCall(gate, "/invalid")
	require.Equal(t, call.ReasonBroken, answer.reason)
	require.Equal(t, call.OutcomeUnknown.String(), answer.ran)
	require.Eventually(t, func() bool { return gate.InFlight() == 0 }, time.Second, time.Millisecond)
	require.Empty(t, sendCall(gate, "/good").reason)
}

// TestInvalidStatusIsNoAnswer guards against passing on an answer whose status no caller could be sent.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range backendtest.InvalidStatuses {
		for name, end := range answerEnds {
			t.Run(status+"/"+name, func(t *testing.T) {
				requireBroken(t, "HTTP/1.1 "+status+" Odd\r\n"+end)
			})
		}
	}
}

// TestInvalidNameIsNoAnswer guards against passing on an answer with a header field that no caller could be sent, or a body of another length than it says.
func TestInvalidNameIsNoAnswer(t *testing.T) {
	for name, line := range backendtest.InvalidFields {
		for endName, end := range answerEnds {
			for _, status := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 404 Odd", "HTTP/1.1 500 Odd", "HTTP/2.0 200 OK"} {
				for _, before := range []string{"", "Server: x\r\n"} {
					t.Run(fmt.Sprintf("%s/%s/%s/%d", name, endName, status, len(before)), func(t *testing.T) {
						t.Parallel()
						requireBroken(t, status+"\r\n"+before+line+end)
					})
				}
			}
		}
	}
}

// TestInvalidTrailerIsNoAnswer guards against passing on an answer without a part of its trailer.
func TestInvalidTrailerIsNoAnswer(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n4\r\nbody\r\n0\r\n"
	answers := map[string]string{"declared": head + "Trailer: Odd Name\r\n" + body + "\r\n"}
	for name, line := range backendtest.InvalidFields {
		answers[name] = head + body + "Sum: 1\r\n" + line + "\r\n"
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) { requireBroken(t, answer) })
	}
}

// TestInvalidInterimAnswerIsDropped checks that nothing of an interim answer reaches the caller.
func TestInvalidInterimAnswerIsDropped(t *testing.T) {
	for name, line := range backendtest.InvalidFields {
		t.Run(name, func(t *testing.T) {
			gate := invalidServer(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", 1)
			answer := sendCall(gate, "/invalid")
			if answer.reason == "" {
				require.Equal(t, "good", answer.body)
				require.NotContains(t, fmt.Sprint(answer.header), "Odd")
			}
		})
	}
}

// TestInvalidHeadEndsNoOtherCall guards against closing the connection of an answer without a body under the call that got it next.
func TestInvalidHeadEndsNoOtherCall(t *testing.T) {
	const concurrent = 16
	gate := invalidServer(t, "HTTP/1.1 600 Odd\r\nOdd Name: 1\r\nContent-Length: 0\r\n\r\n", 2*concurrent)
	var all sync.WaitGroup
	for range concurrent {
		all.Go(func() {
			for range 200 {
				sendCall(gate, "/invalid")
			}
		})
		all.Go(func() {
			for range 200 {
				if answer := sendCall(gate, "/good"); answer.reason != "" {
					t.Error("a good call failed: ", answer.reason)
				}
			}
		})
	}
	all.Wait()
}
