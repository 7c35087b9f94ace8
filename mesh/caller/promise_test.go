package caller

// This file checks that a call is answered as not run only with a proof: which answers
// and errors of other nodes count as one, and which statuses promise it.

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
)

// secondsDialect states neither IDs nor times, and writes retry delays in seconds.
type secondsDialect struct{}

func (secondsDialect) ID(http.Header) string                      { return "" }
func (secondsDialect) TimeLeft(http.Header) (time.Duration, bool) { return 0, false }
func (secondsDialect) WriteRetryAfter(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set("Retry-After", d.String())
	}
}

// promiseProxy returns a proxy with one instance, whose calls must run once.
func promiseProxy(t *testing.T, remote http.RoundTripper, dialect Dialect, log io.Writer) *Proxy {
	return New(Config{
		Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true }, View: reasonsView(t),
		Remote: remote, ReportReachability: func(string, bool) {}, Timeout: time.Second, Dialect: dialect, BufferLimit: 1 << 10,
		Sinks: telemetry.Sinks{Log: slog.New(slog.NewJSONHandler(log, nil))},
	})
}

// TestStatusPromisesOnlyWhatIsProven guards against a status that promises that a call was
// not run although its outcome is another, for any reason that a node may give.
func TestStatusPromisesOnlyWhatIsProven(t *testing.T) {
	known := reasons(t)
	for name, dialect := range map[string]Dialect{"own headers": nil, "dialect": secondsDialect{}} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				reason := call.Reason(rapid.OneOf(rapid.StringMatching(`[a-z-]{1,12}`), rapid.Map(rapid.SampledFrom(known), func(k call.Reason) string { return string(k) })).Draw(r, "reason"))
				ran := rapid.SampledFrom([]string{"yes", "unknown", "", "No", "no"}).Draw(r, "ran")
				status := rapid.SampledFrom([]int{200, 429, 502, 503}).Draw(r, "status")
				hop := roundTripFunc(func(req *http.Request) (*http.Response, error) {
					return &http.Response{StatusCode: status, Body: http.NoBody, Header: http.Header{
						call.HeaderID: req.Header[call.HeaderID], call.HeaderReason: {string(reason)}, call.HeaderRan: {ran},
					}}, nil
				})
				w := httptest.NewRecorder()
				promiseProxy(t, hop, dialect, io.Discard).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
				if call.Promises(w.Code) {
					require.Equal(r, "no", ran, "status %d for reason %q", w.Code, reason)
					require.Equal(r, "no", w.Header().Get(call.HeaderRan))
				}
			})
		})
	}
}

// TestAnswerThatBreaksOffIsNoPromise guards against taking an error for a proof after the
// answer has begun, which shows that the call ran.
func TestAnswerThatBreaksOffIsNoPromise(t *testing.T) {
	for name, broken := range map[string]error{
		"stream refused": http2.StreamError{StreamID: 1, Code: http2.ErrCodeRefusedStream},
		"goaway":         errors.New("http2: Transport received Server's graceful shutdown GOAWAY"),
		"dial":           &net.OpError{Op: "dial", Err: errors.New("refused")},
		"reset":          &net.OpError{Op: "read", Err: errors.New("reset")},
	} {
		t.Run(name, func(t *testing.T) {
			hop := roundTripFunc(func(r *http.Request) (*http.Response, error) {
				body := io.NopCloser(io.MultiReader(strings.NewReader("part"), errorReader{broken}))
				return &http.Response{StatusCode: http.StatusOK, ContentLength: 9, Body: body, Header: http.Header{call.HeaderID: r.Header[call.HeaderID]}}, nil
			})
			w := httptest.NewRecorder()
			promiseProxy(t, hop, nil, io.Discard).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
			require.NotEqual(t, "no", w.Header().Get(call.HeaderRan))
			require.False(t, call.Promises(w.Code), "status %d", w.Code)
		})
	}
}

// errorReader is a reader that fails.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestErrorTextIsNoProof guards against taking words of a caller or of a server for what
// the HTTP/2 connection to the other node states about the call.
func TestErrorTextIsNoProof(t *testing.T) {
	for name, err := range map[string]error{
		"reset by the caller": http2.StreamError{StreamID: 1, Code: http2.ErrCodeRefusedStream},
		"bytes of the peer":   errors.Errorf("malformed HTTP response %q", "REFUSED_STREAM"),
		"debug data":          fmt.Errorf("http2: server sent GOAWAY and closed the connection; LastStreamID=1, ErrCode=NO_ERROR, debug=%q", "Server's graceful shutdown GOAWAY"),
	} {
		t.Run(name, func(t *testing.T) {
			hop := roundTripFunc(func(r *http.Request) (*http.Response, error) {
				if _, readErr := io.Copy(io.Discard, r.Body); readErr != nil {
					return nil, readErr // as net/http does when the body fails while it is sent
				}
				return nil, err
			})
			r := httptest.NewRequest(http.MethodPost, "/book", http.NoBody)
			if name == "reset by the caller" {
				r.Body, r.ContentLength = io.NopCloser(io.MultiReader(strings.NewReader("part"), errorReader{err})), -1
			}
			var out bytes.Buffer
			w := httptest.NewRecorder()
			promiseProxy(t, hop, nil, &out).ServeHTTP(w, r)
			require.NotContains(t, out.String(), `"ran":"no"`)
			require.False(t, call.Promises(w.Code), "status %d", w.Code)
		})
	}
}
