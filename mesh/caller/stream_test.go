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

// refuseWhileReading returns a transport that refuses each call while it still reads
// the call's body, as those of net/http do.
func refuseWhileReading(reads int) roundTripFunc {
	return func(r *http.Request) (*http.Response, error) {
		started := make(chan struct{})
		go func() {
			buffer := make([]byte, 512)
			for n := 0; ; n++ {
				if n == reads {
					close(started)
				}
				if _, err := r.Body.Read(buffer); err != nil {
					break
				}
			}
			_ = r.Body.Close()
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
		head   string
		parts  []string // of the body, sent one after the other
		reads  int      // of the body before the refusal
		closes bool     // the answer must announce that the connection closes
	}{
		"chunked":                   {"Transfer-Encoding: chunked", []string{chunk("slip") + "0\r\n\r\n"}, 0, true},
		"chunked, in two parts":     {"Transfer-Encoding: chunked", []string{chunk("slip"), chunk(smuggled) + "0\r\n\r\n"}, 1, true},
		"chunked, long":             {"Transfer-Encoding: chunked", []string{chunk(long[:5000]), chunk(long), chunk(long), chunk(long) + "0\r\n\r\n"}, 2, true},
		"chunked, never ends":       {"Transfer-Encoding: chunked", []string{chunk("slip"), "5\r\nPOST"}, 1, true},
		"long":                      {fmt.Sprintf("Content-Length: %d", len(long)), []string{long[:9000], long[9000:]}, 1, true},
		"longer than a drain reads": {fmt.Sprintf("Content-Length: %d", 4*len(long)), []string{long, long, long, long}, 1, true},
		"short":                     {"Content-Length: 4", []string{"slip"}, 0, false},
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
			go func() {
				_, _ = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: h\r\n"+c.head+"\r\n\r\n")
				for _, part := range c.parts {
					time.Sleep(5 * time.Millisecond)
					_, _ = io.WriteString(conn, part)
				}
			}()
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, c.closes, resp.Close)
			if c.closes {
				rest, _ := io.ReadAll(reader)
				require.Empty(t, string(rest))
			}
			require.EqualValues(t, 1, calls.Load())
			require.NotContains(t, errors.String(), "panic")
		})
	}
}
