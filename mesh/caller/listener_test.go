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

// pipes is a listener of connections in memory, which obey a paused clock.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// TestLimitsOfTime plays callers that are slow with their header or keep an
// unused connection, under limits that change while the listener is open.
func TestLimitsOfTime(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	limits := record.Limits{Begin: 3 * time.Second, Idle: 15 * time.Second}
	for name, c := range map[string]struct {
		limits record.Limits
		head   string        // sent after the connection was made
		wait   time.Duration // before the rest is sent
		rest   string
		served int // calls
	}{
		"prompt":                {limits: limits, head: whole, served: 1},
		"slow within the limit": {limits: limits, head: whole[:10], wait: 2 * time.Second, rest: whole[10:], served: 1},
		"too slow":              {limits: limits, head: whole[:10], wait: 4 * time.Second, rest: whole[10:]},
		"idle within the limit": {limits: limits, head: whole, wait: 12 * time.Second, rest: whole, served: 2},
		"idle too long":         {limits: limits, head: whole, wait: 16 * time.Second, rest: whole, served: 1},
		"without limits":        {head: whole, wait: 8 * time.Minute, rest: whole, served: 2},
		"slow without limits":   {head: whole[:10], wait: 9 * time.Second, rest: whole[10:], served: 1},
		"longer than usual":     {limits: record.Limits{Begin: time.Minute}, head: whole[:10], wait: 40 * time.Second, rest: whole[10:], served: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := record.Limits{Idle: time.Nanosecond} // replaced before the first connection
				p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
				caller.Bound(server)
				go func() { _ = server.Serve(caller.Listen(p, func() record.Limits { return now })) }()
				synctest.Wait()
				now = c.limits
				near, far := net.Pipe()
				p.conns <- far
				served := make(chan int)
				go func() { served <- answers(near) }()
				_, err := io.WriteString(near, c.head)
				require.NoError(t, err)
				time.Sleep(c.wait)
				_, _ = io.WriteString(near, c.rest) // fails where the connection is closed
				synctest.Wait()
				require.NoError(t, near.Close())
				require.NoError(t, server.Close())
				require.Equal(t, c.served, <-served)
			})
		})
	}
}

// answers counts the successful answers on a connection until it ends.
func answers(c net.Conn) int {
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
