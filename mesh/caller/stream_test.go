package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/revision"
)

// lockedBuffer is a buffer that may be written and read concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// refuseWhileReading returns a transport that refuses each call after it has read a
// number of times from the call's body, and reads on, as those of net/http do.
func refuseWhileReading(reads int) roundTripFunc {
	return func(r *http.Request) (*http.Response, error) {
		body := r.Body
		started := make(chan struct{})
		go func() {
			buffer := make([]byte, 512)
			for n := 0; ; n++ {
				if n == reads {
					close(started)
				}
				if _, err := body.Read(buffer); err != nil {
					if n < reads {
						close(started)
					}
					break
				}
			}
			_ = body.Close()
		}()
		<-started
		return refuseWith(call.NotRun(call.ReasonBusy, call.ProofNotSent))(r)
	}
}

// TestBodyOfRefusedCallIsNoRequest guards against reading the rest of the body of a
// refused call as the caller's next request, and against crashing on it.
func TestBodyOfRefusedCallIsNoRequest(t *testing.T) {
	const smuggled = "POST /book HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	long := strings.Repeat(smuggled, 2000)
	for name, c := range map[string]struct {
		head          string
		before, after string // parts of the body that are sent before and after the answer
		reads         int    // of the body before the refusal
	}{
		"chunked":                   {"Transfer-Encoding: chunked", chunk("slip") + "0\r\n\r\n", "", 0},
		"chunked, in two parts":     {"Transfer-Encoding: chunked", chunk("slip"), chunk(smuggled) + "0\r\n\r\n", 1},
		"chunked, split chunk":      {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\nslip", 4+len(smuggled)), smuggled + "\r\n0\r\n\r\n", 0},
		"chunked, long":             {"Transfer-Encoding: chunked", chunk(long[:5000]), chunk(long) + chunk(long) + chunk(long) + "0\r\n\r\n", 2},
		"chunked, never ends":       {"Transfer-Encoding: chunked", chunk("slip"), "5\r\nPOST", 1},
		"long":                      {fmt.Sprintf("Content-Length: %d", len(long)), long[:9000], long[9000:], 1},
		"longer than a drain reads": {fmt.Sprintf("Content-Length: %d", 4*len(long)), long, long + long + long, 1},
		"short":                     {"Content-Length: 4", "slip", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			table := *reasonsTable
			table.Limits.MaxBodyBytes = 1 << 30
			p := New(Config{
				Table: func() *revision.Table { return &table }, Ready: func() bool { return true }, View: reasonsView(t),
				ReportReachability: func(string, bool) {}, Timeout: time.Second, Remote: refuseWhileReading(c.reads),
			})
			errors := &lockedBuffer{}
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				p.ServeHTTP(w, r)
			}))
			server.Config.ErrorLog = log.New(errors, "", 0)
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: h\r\n"+c.head+"\r\n\r\n"+c.before) }()
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			go func() { _, _ = io.WriteString(conn, c.after) }()
			want := int64(1)
			if c.after != "" {
				require.True(t, resp.Close, "the connection is not usable and the answer does not say so")
			}
			if resp.Close {
				rest, _ := io.ReadAll(reader)
				require.Empty(t, string(rest))
			} else {
				_, err = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
				require.NoError(t, err)
				resp, err = http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				want = 2
			}
			require.Equal(t, want, calls.Load())
			require.NotContains(t, errors.String(), "panic")
		})
	}
}
