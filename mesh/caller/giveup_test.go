package caller_test

// This file checks the answers to calls that are given up, by their callers or because
// their time is over.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
)

// TestHalfClosedCallerGetsNoPromise guards against a promise to a caller that has closed its
// side of the connection while its call runs, which ends the call's context.
func TestHalfClosedCallerGetsNoPromise(t *testing.T) {
	for name, colocated := range map[string]bool{"elsewhere": false, "own": true} {
		t.Run(name, func(t *testing.T) {
			s, hold := newStackAt(t, 1, colocated), make(chan struct{})
			defer close(hold)
			s.instances[0].server.SetFaults(backendtest.Faults{Hold: hold})
			conn, err := net.Dial("tcp", s.entry.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprint(conn, "POST /book HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			waitFor(t, func() bool { return s.runs("k") == 1 })
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // a closed connection promises nothing
			}
			defer resp.Body.Close()
			require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
			require.Equal(t, "unknown", resp.Header.Get("Caroblift-Ran"))
		})
	}
}

// TestGivenUpCallsKeepThePromise ends calls at any moment, on their way, in the queue and
// while they run, by their callers or by their deadline, as gates close and open.
func TestGivenUpCallsKeepThePromise(t *testing.T) {
	for name, colocated := range map[string]bool{"elsewhere": false, "own": true} {
		t.Run(name, func(t *testing.T) {
			s, stop := newStackAt(t, 2, colocated), make(chan struct{})
			for _, i := range s.instances {
				i.server.SetFaults(backendtest.Faults{Slow: 40 * time.Millisecond})
			}
			var toggler, callers sync.WaitGroup
			toggler.Go(func() { s.toggleGates(stop) })
			var mu sync.Mutex
			checks := []func(){}
			for c := range 12 {
				callers.Go(func() {
					for n := range 20 {
						key, path, cancelAfter := fmt.Sprint(c, "-", n), "/short", time.Minute
						if n%2 == 0 {
							path, cancelAfter = "/book", time.Duration(n*3)*time.Millisecond
						}
						ctx, cancel := context.WithTimeout(t.Context(), cancelAfter)
						a := s.do(ctx, http.MethodPost, path, key, strings.NewReader(""))
						cancel()
						mu.Lock()
						checks = append(checks, func() {
							s.check(t, http.MethodPost, path, key, "", a)
							require.False(t, a.status == http.StatusServiceUnavailable && s.runs(key) > 0, "call %s ran and was answered 503", key)
						})
						mu.Unlock()
					}
				})
			}
			callers.Wait()
			close(stop)
			toggler.Wait()
			for _, i := range s.instances {
				require.NoError(t, i.gate.Drain(t.Context()))
			}
			waitFor(t, func() bool { return s.instances[0].server.InFlight()+s.instances[1].server.InFlight() == 0 })
			for _, check := range checks {
				check()
			}
		})
	}
}

// toggleGates closes and opens the gates in turn until stop is closed.
func (s *stack) toggleGates(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		i := s.instances[n%2]
		target := i.target
		target.Leaving = n%3 == 0
		i.gate.SetTarget(&target)
	}
}
