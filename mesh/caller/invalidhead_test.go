package caller_test

import (
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

// badGatewayCase is a way for a call to reach a server whose answer is invalid.
type badGatewayCase struct {
	colocated   bool // the server is the entry node's own
	path        string
	bufferLimit int64
	http2       bool // the caller speaks HTTP/2
}

// requireBadGateway requires that callers get a failure for an invalid answer, whichever way
// their call takes, and that the other calls on their connection are served.
func requireBadGateway(t *testing.T, invalid string) {
	for name, c := range map[string]badGatewayCase{
		"own server":              {true, "/once", 0, false},
		"own, repeatable":         {true, "/book", 0, false},
		"own, buffered":           {true, "/once", 1 << 20, false},
		"own, HTTP/2":             {true, "/once", 0, true},
		"own, HTTP/2, buffered":   {true, "/book", 1 << 20, true},
		"other node's":            {false, "/once", 0, false},
		"other, repeatable":       {false, "/book", 0, false},
		"other, buffered":         {false, "/once", 1 << 20, false},
		"other, HTTP/2":           {false, "/once", 0, true},
		"other, HTTP/2, buffered": {false, "/book", 1 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t, invalid)
		})
	}
}

func (c badGatewayCase) check(t *testing.T, invalid string) {
	s := newStackWith(t, 1, c.colocated, func(config *caller.Config) { config.BufferLimit = c.bufferLimit })
	arrived, release := make(chan struct{}), make(chan struct{})
	server := backendtest.ServeRaw(t, func(r *http.Request) string {
		switch {
		case strings.HasSuffix(r.URL.Path, "/invalid"):
			return invalid
		case strings.HasSuffix(r.URL.Path, "/slow"):
			close(arrived)
			<-release
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	})
	s.instances[0].gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: 3})
	entry := httptest.NewUnstartedServer(s.proxy)
	entry.Config.Protocols = peer.ServerProtocols()
	entry.Start()
	defer entry.Close()
	defer close(release)
	var protocols http.Protocols
	protocols.SetHTTP1(!c.http2)
	protocols.SetUnencryptedHTTP2(c.http2)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols, MaxConnsPerHost: 1}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	get := func(name string) (status int, header http.Header) {
		resp, err := client.Get(entry.URL + c.path + name)
		if err != nil {
			return 0, nil
		}
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Header
	}
	slow := make(chan int, 1)
	if c.http2 { // it shares the connection with the calls that follow
		go func() {
			status, _ := get("/slow")
			slow <- status
		}()
		<-arrived
	}
	status, header := get("/invalid")
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, string(call.ReasonBroken), header.Get(call.HeaderReason))
	require.Equal(t, call.OutcomeUnknown.String(), header.Get(call.HeaderRan))
	status, _ = get("/good")
	require.Equal(t, http.StatusOK, status)
	if c.http2 {
		release <- struct{}{}
		require.Equal(t, http.StatusOK, <-slow)
	}
}

// TestInvalidStatusIsBadGateway guards against a connection that ends without an answer where a server sent a status that can't be passed on.
func TestInvalidStatusIsBadGateway(t *testing.T) {
	requireBadGateway(t, "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody")
}

// TestInvalidNameIsBadGateway guards against a success made of an answer with a header field that can't be passed on.
func TestInvalidNameIsBadGateway(t *testing.T) {
	for name, answer := range map[string]string{
		"field":   "HTTP/1.1 200 OK\r\nOdd Name: 1\r\nContent-Length: 4\r\n\r\nbody",
		"length":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nbody",
		"failure": "HTTP/1.1 500 Odd\r\nOdd Name: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { requireBadGateway(t, answer) })
	}
}
