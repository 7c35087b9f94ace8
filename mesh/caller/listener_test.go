package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/record"
)

// pipeListener is a listener of in-memory connections, whose deadlines follow the
// clock of a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestConnectionTimeouts checks the header and idle timeouts of connections from
// callers that send their header slowly or leave a connection idle. The limits
// change while the listener is open.
func TestConnectionTimeouts(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	limits := record.CallerLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for name, c := range map[string]struct {
		limits record.CallerLimits
		first  string        // sent when the connection opens
		wait   time.Duration // before the rest is sent
		rest   string
		served int // calls
	}{
		"prompt":                {limits: limits, first: request, served: 1},
		"slow within the limit": {limits: limits, first: request[:10], wait: 2 * time.Second, rest: request[10:], served: 1},
		"too slow":              {limits: limits, first: request[:10], wait: 4 * time.Second, rest: request[10:]},
		"idle within the limit": {limits: limits, first: request, wait: 12 * time.Second, rest: request, served: 2},
		"idle too long":         {limits: limits, first: request, wait: 16 * time.Second, rest: request, served: 1},
		"without limits":        {first: request, wait: 8 * time.Minute, rest: request, served: 2},
		"slow without limits":   {first: request[:10], wait: 9 * time.Second, rest: request[10:], served: 1},
		"longer than usual":     {limits: record.CallerLimits{HeaderTimeout: time.Minute}, first: request[:10], wait: 40 * time.Second, rest: request[10:], served: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				current := record.CallerLimits{IdleTimeout: time.Nanosecond} // replaced before the first connection
				p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
				caller.SetLimits(server)
				go func() { _ = server.Serve(caller.NewListener(p, func() record.CallerLimits { return current })) }()
				synctest.Wait()
				current = c.limits
				clientConn, serverConn := net.Pipe()
				p.conns <- serverConn
				served := make(chan int)
				go func() { served <- countAnswers(clientConn) }()
				_, err := io.WriteString(clientConn, c.first)
				require.NoError(t, err)
				time.Sleep(c.wait)
				_, _ = io.WriteString(clientConn, c.rest) // fails where the connection is closed
				synctest.Wait()
				require.NoError(t, clientConn.Close())
				require.NoError(t, server.Close())
				require.Equal(t, c.served, <-served)
			})
		})
	}
}

// countAnswers counts the successful answers on a connection until it ends.
func countAnswers(c net.Conn) int {
	in, n := bufio.NewReader(c), 0
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return n
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode == http.StatusOK {
			n++
		}
	}
}
