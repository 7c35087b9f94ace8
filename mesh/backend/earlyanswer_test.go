package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// earlyHeads are heads of answers that end with their connection.
var earlyHeads = map[string]string{
	"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
	"close":    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}

// earlyBodies are bodies of such answers.
var earlyBodies = map[string]string{"no byte": "", "one byte": "x", "some": strings.Repeat("x", 3000)}

// uploads are ways to send a long request.
var uploads = map[string]struct {
	length int64 // that it states; -1 for chunks
	pause  time.Duration
}{
	"fast, length": {backendtest.UploadLength, 0},
	"fast, chunks": {-1, 0},
	"slow, length": {backendtest.UploadLength, time.Millisecond},
	"slow, chunks": {-1, time.Millisecond},
}

// uploadCalls is the number of calls that countWhole sends.
const uploadCalls = 40

// countWhole sends long requests to a server of backendtest.ServeEarly through a gate, several
// at once, and returns how many were answered by a success that came to its end. Their bodies
// must be the given one.
func countWhole(t *testing.T, server, body string, length int64, pause time.Duration) int64 {
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Dialect: plainDialect{}, Warmup: -1})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: uploadCalls})
	const concurrent = 8
	var whole atomic.Int64
	var all sync.WaitGroup
	for range concurrent {
		all.Go(func() {
			for range uploadCalls / concurrent {
				r := httptest.NewRequest(http.MethodPost, "/orders", backendtest.NewUpload(pause))
				r.ContentLength = length
				r.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderDeadline: {"5000"}}
				resp, _ := gate.RoundTrip(r)
				text, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.Header.Get(call.HeaderReason) != "" {
					continue
				}
				whole.Add(1)
				if string(text) != body {
					t.Errorf("%d bytes of %d passed for the whole", len(text), len(body))
				}
			}
		})
	}
	all.Wait()
	return whole.Load()
}

// TestResetDuringUploadIsNoEnd guards against taking the part of an answer that was reset while its request was still sent for the whole.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for headName, head := range earlyHeads {
		for bodyName, body := range earlyBodies {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
				for name, u := range uploads {
					t.Run(fmt.Sprintf("%s/%s/%s/%s", headName, bodyName, pause, name), func(t *testing.T) {
						t.Parallel()
						server := backendtest.ServeEarly(t, head+body, backendtest.ResetAfter(pause))
						require.Zero(t, countWhole(t, server, body, u.length, u.pause), "of %d answers", uploadCalls)
					})
				}
			}
		}
	}
}

// TestEarlyAnswerClosedInOrderIsWhole guards against the loss of an answer that a server sent before it had read the request, and ended in order.
func TestEarlyAnswerClosedInOrderIsWhole(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"reads on": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
	}
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		ends["resets after "+pause.String()] = func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(pause)
		}
	}
	for headName, head := range earlyHeads {
		for bodyName, body := range earlyBodies {
			for endName, end := range ends {
				for name, u := range uploads {
					t.Run(fmt.Sprintf("%s/%s/%s/%s", headName, bodyName, endName, name), func(t *testing.T) {
						t.Parallel()
						require.EqualValues(t, uploadCalls, countWhole(t, backendtest.ServeEarly(t, head+body, end), body, u.length, u.pause))
					})
				}
			}
		}
	}
}
