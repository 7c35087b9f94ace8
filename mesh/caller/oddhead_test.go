package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/peer"
)

// requireOddAnswer requires that callers get a failure for an answer of a server that is none,
// and that the other calls on their connection are served.
func requireOddAnswer(t *testing.T, odd string) {
	for name, colocated := range map[string]bool{"own server": true, "other node's server": false} {
		for _, path := range []string{"/book", "/once"} {
			for _, limit := range []int64{0, 1 << 20} {
				for _, http2 := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s%s, buffer of %d, HTTP/2 %t", name, path, limit, http2), func(t *testing.T) {
						t.Parallel()
						s := newStackWith(t, 1, colocated, func(c *caller.Config) { c.BufferLimit = limit })
						arrived, release := make(chan struct{}), make(chan struct{})
						server := backendtest.ServeRaw(t, func(r *http.Request) string {
							switch {
							case strings.HasSuffix(r.URL.Path, "/odd"):
								return odd
							case strings.HasSuffix(r.URL.Path, "/slow"):
								close(arrived)
								<-release
							}
							return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
						})
						s.instances[0].gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: 3})
						var conns http.Protocols
						conns.SetHTTP1(!http2)
						conns.SetUnencryptedHTTP2(http2)
						entry := httptest.NewUnstartedServer(s.proxy)
						entry.Config.Protocols = peer.ServerProtocols()
						entry.Start()
						defer entry.Close()
						client := &http.Client{Transport: &http.Transport{Protocols: &conns, MaxConnsPerHost: 1}, Timeout: 10 * time.Second}
						defer client.CloseIdleConnections()
						get := func(call string) (*http.Response, error) { return client.Get(entry.URL + path + call) }
						slow := make(chan int, 1)
						if http2 { // it shares the connection with the others
							go func() {
								status := 0
								if resp, err := get("/slow"); err == nil {
									status = resp.StatusCode
									_ = resp.Body.Close()
								}
								slow <- status
							}()
							<-arrived
						}
						defer close(release)
						resp, err := get("/odd")
						require.NoError(t, err)
						require.NoError(t, resp.Body.Close())
						require.Equal(t, http.StatusBadGateway, resp.StatusCode)
						require.Equal(t, string(call.ReasonBroken), resp.Header.Get(call.HeaderReason))
						require.Equal(t, call.OutcomeUnknown.String(), resp.Header.Get(call.HeaderRan))
						resp, err = get("/good")
						require.NoError(t, err)
						require.NoError(t, resp.Body.Close())
						require.Equal(t, http.StatusOK, resp.StatusCode)
						if http2 {
							release <- struct{}{}
							require.Equal(t, http.StatusOK, <-slow)
						}
					})
				}
			}
		}
	}
}

// TestOddStatusIsBadGateway guards against a connection that ends without an answer where a server sent a status that can't be passed on.
func TestOddStatusIsBadGateway(t *testing.T) {
	requireOddAnswer(t, "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody")
}

// TestOddNameIsBadGateway guards against a success made of an answer with a header field that can't be passed on.
func TestOddNameIsBadGateway(t *testing.T) {
	for name, answer := range map[string]string{
		"field":   "HTTP/1.1 200 OK\r\nOdd Name: 1\r\nContent-Length: 4\r\n\r\nbody",
		"length":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nbody",
		"failure": "HTTP/1.1 500 Odd\r\nOdd Name: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { requireOddAnswer(t, answer) })
	}
}
