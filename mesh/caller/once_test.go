package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/peer"
)

// broken is a backend server that runs a call and closes the connection, once
// it has served one call on it. It is the case in which net/http sends a call
// again by itself.
type broken struct {
	mu   sync.Mutex
	runs map[string]int
}

func (b *broken) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go b.conn(conn)
	}
}

func (b *broken) conn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		key := req.Header.Get("Key")
		b.mu.Lock()
		b.runs[key]++
		b.mu.Unlock()
		if n > 0 {
			return
		}
		text := "quotes " + key + " " + string(body)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// TestReplayServer proves that a call that must run at most once is not sent
// again on the leg to the backend server, with and without a body, under the
// headers that make net/http send it again.
func TestReplayServer(t *testing.T) {
	for name, c := range map[string]struct{ method, path, body string }{
		"post":             {http.MethodPost, "/book", "slip"},
		"post, empty body": {http.MethodPost, "/book", ""},
		"get, once":        {http.MethodGet, "/once", ""},
		"delete, once":     {http.MethodDelete, "/once", ""},
		"put, once":        {http.MethodPut, "/once", "slip"},
		"put, empty, once": {http.MethodPut, "/once", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			b, l := &broken{runs: map[string]int{}}, listen(t)
			defer l.Close()
			go b.serve(l)
			s.sides[0].target.Address = l.Addr().String()
			s.sides[0].gate.Serve(&s.sides[0].target)
			first := s.do(t.Context(), c.method, c.path, "first", strings.NewReader(c.body))
			require.Equal(t, http.StatusOK, first.status, first.reason)
			second := s.do(t.Context(), c.method, c.path, "second", strings.NewReader(c.body))
			require.Equal(t, []string{string(call.Broken), "unknown"}, []string{second.reason, second.ran})
			b.mu.Lock()
			defer b.mu.Unlock()
			require.Equal(t, map[string]int{"first": 1, "second": 1}, b.runs)
		})
	}
}

// reset is a node that answers the first call on a connection and then counts
// each call before it resets its stream with a code, or says GOAWAY.
type reset struct {
	code   http2.ErrCode
	goaway bool

	mu   sync.Mutex
	runs int
}

func (r *reset) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.conn(conn)
	}
}

func (r *reset) conn(conn net.Conn) {
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = framer.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			r.mu.Lock()
			r.runs++
			r.mu.Unlock()
			if r.goaway {
				_ = framer.WriteGoAway(f.StreamID, r.code, nil)
				return
			}
			_ = framer.WriteRSTStream(f.StreamID, r.code)
		}
	}
}

// TestReplayNode proves that a call that must run at most once is not sent
// again on the leg between nodes after the other node has seen it and broken
// off, whatever the way.
func TestReplayNode(t *testing.T) {
	for name, r := range map[string]*reset{
		"protocol error": {code: http2.ErrCodeProtocol},
		"internal error": {code: http2.ErrCodeInternal},
		"cancel":         {code: http2.ErrCodeCancel},
		"goaway":         {code: http2.ErrCodeNo, goaway: true},
		"goaway, error":  {code: http2.ErrCodeInternal, goaway: true},
	} {
		for _, body := range []string{"", "slip"} {
			t.Run(name+"/"+body, func(t *testing.T) {
				s, l := newStack(t, 1), listen(t)
				defer l.Close()
				go r.serve(l)
				r.runs = 0
				s.redirect(l.Addr().String())
				a := s.do(context.Background(), http.MethodPost, "/book", "k", strings.NewReader(body))
				require.Equal(t, []string{string(call.Broken), "unknown"}, []string{a.reason, a.ran})
				r.mu.Lock()
				defer r.mu.Unlock()
				require.Equal(t, 1, r.runs)
			})
		}
	}
}

// TestRefusedStream sends a call to another instance when HTTP/2 says that the
// first did not take it.
func TestRefusedStream(t *testing.T) {
	r, s, l := &reset{code: http2.ErrCodeRefusedStream}, newStack(t, 1), listen(t)
	defer l.Close()
	go r.serve(l)
	s.redirect(l.Addr().String())
	a := s.do(context.Background(), http.MethodPost, "/book", "k", strings.NewReader("slip"))
	require.Equal(t, []string{string(call.Refused), "no"}, []string{a.reason, a.ran})
	require.Zero(t, s.runs("k"))
}

// TestCrossed never hands an answer that belongs to another call to a caller.
func TestCrossed(t *testing.T) {
	s, l := newStack(t, 1), listen(t)
	node := &http.Server{Protocols: peer.Protocols(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(call.HeaderID, "another")
		_, _ = io.WriteString(w, "quotes another slip")
	})}
	go func() { _ = node.Serve(l) }()
	defer node.Close()
	s.redirect(l.Addr().String())
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		a := s.do(t.Context(), method, "/book", "k", nil)
		require.Equal(t, []any{http.StatusBadGateway, string(call.Crossed), "unknown", ""}, []any{a.status, a.reason, a.ran, a.body})
	}
}
