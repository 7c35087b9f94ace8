package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/backendtest"
)

// TestCutAnswerIsNotWholeOverHTTP10 guards against an end in order of an answer that broke off, where only the end of the connection tells the caller that it is whole.
func TestCutAnswerIsNotWholeOverHTTP10(t *testing.T) {
	for name, colocated := range map[string]bool{"own server": true, "other node's server": false} {
		for _, cut := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cut %t", name, cut), func(t *testing.T) {
				s := newStackAt(t, 1, colocated)
				part := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
				if !cut {
					part += "0\r\n\r\n"
				}
				server := backendtest.ServeEarly(t, part, func(*net.TCPConn) { time.Sleep(20 * time.Millisecond) })
				s.instances[0].gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: 3})
				conn, err := net.Dial("tcp", strings.TrimPrefix(s.entry.URL, "http://"))
				require.NoError(t, err)
				defer conn.Close()
				_, err = io.WriteString(conn, "GET /once/1 HTTP/1.0\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				if cut {
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "part", string(got))
			})
		}
	}
}
