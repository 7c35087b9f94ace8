package caller_test

// This file checks that the calls of callers that have closed their connections do not
// reach backend servers.

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/caller"
)

// leaveBound is the time after which no call may reach a server whose caller has left.
const leaveBound = 500 * time.Millisecond

// leavingForms are the requests of callers that leave, with a place for the key.
var leavingForms = map[string]string{
	"no body":    "GET /book HTTP/1.1\r\nHost: h\r\nKey: %s\r\n\r\n",
	"length":     "POST /book HTTP/1.1\r\nHost: h\r\nKey: %s\r\nContent-Length: 4\r\n\r\nbody",
	"chunked":    "POST /book HTTP/1.1\r\nHost: h\r\nKey: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"long":       "POST /book HTTP/1.1\r\nHost: h\r\nKey: %s\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000),
	"unfinished": "POST /book HTTP/1.1\r\nHost: h\r\nKey: %s\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 19999),
}

// sendAndStay sends a request on a new connection to an address.
func sendAndStay(t *testing.T, addr net.Addr, form, key string) *net.TCPConn {
	conn, err := net.Dial("tcp", addr.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, form, key)
	require.NoError(t, err)
	return conn.(*net.TCPConn)
}

// TestCallLeftUnreadIsNotSent guards against sending a call that its caller left before it was served.
func TestCallLeftUnreadIsNotSent(t *testing.T) {
	for name, form := range leavingForms {
		for _, colocated := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", own ", colocated), func(t *testing.T) {
				t.Parallel()
				s, reached, goOn, done := newStackAt(t, 1, colocated), make(chan struct{}), make(chan struct{}), make(chan struct{})
				behind := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer close(done)
					close(reached)
					<-goOn
					s.proxy.ServeHTTP(w, r)
				}))
				caller.SetLimits(behind.Config)
				behind.Start()
				defer behind.Close()
				conn := sendAndStay(t, behind.Listener.Addr(), form, "k")
				<-reached
				require.NoError(t, conn.Close())
				time.Sleep(20 * time.Millisecond) // until the close is there
				close(goOn)
				<-done
				time.Sleep(50 * time.Millisecond)
				require.Zero(t, s.runs("k"))
			})
		}
	}
}

// TestCallLeftInQueueIsNotSent guards against sending a call that its caller left in the queue for a slot.
func TestCallLeftInQueueIsNotSent(t *testing.T) {
	for name, form := range leavingForms {
		for _, colocated := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", own ", colocated), func(t *testing.T) {
				t.Parallel()
				s, hold := newStackAt(t, 1, colocated), make(chan struct{})
				s.table.Policies["p"].Queue.MaxWait = longTimeout
				s.instances[0].server.SetFaults(backendtest.Faults{Hold: hold})
				for n := range testSlots {
					sendAndStay(t, s.entry.Listener.Addr(), leavingForms["no body"], fmt.Sprint("held-", n))
				}
				waitFor(t, func() bool { return s.instances[0].gate.InFlight() == testSlots })
				conn := sendAndStay(t, s.entry.Listener.Addr(), form, "k")
				waitFor(t, func() bool { return s.proxy.InProgress() == testSlots+1 })
				time.Sleep(20 * time.Millisecond) // until the call waits
				require.NoError(t, conn.Close())
				time.Sleep(leaveBound)
				close(hold)
				waitFor(t, func() bool { return s.instances[0].gate.InFlight() == 0 })
				require.Zero(t, s.runs("k"))
			})
		}
	}
}

// TestCallLeftBeforeItsTurnIsNotSent guards against sending a call that its caller left while it waited for an upload turn.
func TestCallLeftBeforeItsTurnIsNotSent(t *testing.T) {
	for _, name := range []string{"chunked", "long", "unfinished"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStackWith(t, 1, false, func(c *caller.Config) { c.LimitUploads = true })
			var uploads []*net.TCPConn
			for n := range testSlots {
				uploads = append(uploads, sendAndStay(t, s.entry.Listener.Addr(), leavingForms["unfinished"], fmt.Sprint("upload-", n)))
			}
			waitFor(t, func() bool { return s.proxy.InProgress() == testSlots })
			conn := sendAndStay(t, s.entry.Listener.Addr(), leavingForms[name], "k")
			waitFor(t, func() bool { return s.proxy.InProgress() == testSlots+1 })
			require.NoError(t, conn.Close())
			time.Sleep(leaveBound)
			for _, u := range uploads {
				_, err := u.Write([]byte("b"))
				require.NoError(t, err)
			}
			waitFor(t, func() bool { return s.proxy.InProgress() == 0 })
			require.Zero(t, s.runs("k"))
			require.Equal(t, 1, s.runs("upload-0"))
		})
	}
}
