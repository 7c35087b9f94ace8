package caller

// This file checks a caller's connection after a call was answered before its streamed
// body had been read.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
)

// earlyAnswer is a transport that refuses the first call without reading its body, and
// reads the bodies of later ones as net/http does, in a goroutine of its own.
type earlyAnswer struct {
	calls chan string // method and path of each call
	ends  chan error  // of reading the body of each later call
}

func newEarlyAnswer() *earlyAnswer {
	return &earlyAnswer{calls: make(chan string, 9), ends: make(chan error, 9)}
}

func (e *earlyAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	e.calls <- r.Method + " " + r.URL.Path
	if r.URL.Path == "/book/first" {
		return refuseWith(call.NotRun(call.ReasonBusy, call.ProofNotSent))(r)
	}
	end := make(chan error)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				end <- errors.Errorf("panic in a goroutine of the transport: %v", p)
			}
		}()
		_, err := io.Copy(io.Discard, r.Body)
		end <- err
	}()
	err := <-end
	e.ends <- err
	if err != nil {
		return nil, err
	}
	return respondWith(http.StatusOK)(r)
}

// dialEntry starts an entry node that allows long bodies and returns a connection to it, on
// which reads fail after a while.
func dialEntry(t *testing.T, remote http.RoundTripper) (net.Conn, *bufio.Reader) {
	table, route := *reasonsTable, *reasonsTable.Routes[0]
	table.Limits.MaxBodyBytes, route.Timeout = 1<<20, time.Minute
	table.Routes = []*record.Route{&route}
	p := promiseProxy(t, remote, nil, io.Discard)
	p.config.Table = func() *revision.Table { return &table }
	entry := httptest.NewServer(p)
	t.Cleanup(entry.Close)
	conn, err := net.Dial("tcp", entry.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	return conn, bufio.NewReader(conn)
}

// write writes text to a connection, which the node may have closed.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// TestRestOfBodyIsNoRequest guards against reading the rest of a long body as the next
// request when the call was answered before the body had been read.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	const readByServer = 256 << 10 // what net/http reads of a body after its answer
	smuggled := "POST /book/smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for name, head := range map[string]string{
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", readByServer+len(smuggled)),
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", readByServer+len(smuggled)),
	} {
		t.Run(name, func(t *testing.T) {
			remote := newEarlyAnswer()
			conn, reader := dialEntry(t, remote)
			write(conn, "POST /book/first HTTP/1.1\r\nHost: h\r\n"+head)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			write(conn, strings.Repeat("x", readByServer)+smuggled)
			if name == "chunks" {
				write(conn, "\r\n0\r\n\r\n")
			}
			_, err = http.ReadResponse(reader, nil)
			require.Error(t, err, "the rest of the body was answered")
			require.Equal(t, "POST /book/first", <-remote.calls)
			require.Empty(t, remote.calls)
		})
	}
}

// TestNextBodyAfterEarlyAnswer guards against a panic that ends the process: net/http starts
// to watch the connection when it has read the rest of an answered call's body.
func TestNextBodyAfterEarlyAnswer(t *testing.T) {
	const length = 16<<10 + 1 // bodies up to 16 KB are buffered
	head := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
	}
	for range 10 { // the watch does not always win
		remote := newEarlyAnswer()
		conn, reader := dialEntry(t, remote)
		write(conn, head("/book/first")+strings.Repeat("x", length-10))
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "POST /book/first", <-remote.calls)
		write(conn, strings.Repeat("x", 10)+head("/book/second"))
		go func() {
			<-remote.calls
			time.Sleep(20 * time.Millisecond)
			write(conn, strings.Repeat("x", length))
		}()
		resp, err = http.ReadResponse(reader, nil)
		if err != nil {
			continue // the node has closed the connection
		}
		require.NoError(t, <-remote.ends)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}
