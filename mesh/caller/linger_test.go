package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/revision"
)

// TestCallerThatStillSendsIsNotReset guards against resetting the connection of a caller
// that sends the rest of its body after an early answer.
func TestCallerThatStillSendsIsNotReset(t *testing.T) {
	for name, c := range map[string]struct{ head, first, rest string }{
		"length":  {"Content-Length: 40000", string(make([]byte, 20000)), string(make([]byte, 20000))},
		"chunked": {"Transfer-Encoding: chunked", "4\r\nslip\r\n", "4\r\nslip\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			table := *reasonsTable
			table.Limits.MaxBodyBytes = 1 << 30
			p := New(Config{
				Table: func() *revision.Table { return &table }, Ready: func() bool { return true }, View: reasonsView(t),
				ReportReachability: func(string, bool) {}, Timeout: time.Minute, Remote: refuseWhileReading(1),
			})
			server := httptest.NewServer(p)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: h\r\n"+c.head+"\r\n\r\n"+c.first)
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			for range 10 {
				_, err = io.WriteString(conn, c.rest[:1])
				require.NoError(t, err)
				c.rest = c.rest[1:]
				time.Sleep(time.Millisecond)
			}
			_, err = io.WriteString(conn, c.rest)
			require.NoError(t, err)
			_, err = reader.ReadByte()
			require.Equal(t, io.EOF, err)
		})
	}
}
