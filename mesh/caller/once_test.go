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

// closingServer is a backend server that answers the first call on a connection,
// and runs the second but closes the connection without an answer. In this case
// net/http may resend a request by itself.
type closingServer struct {
	mu   sync.Mutex
	runs map[string]int
}

func (b *closingServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

func (b *closingServer) serveConn(conn net.Conn) {
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

// TestReplayServer checks that a call that must run at most once, with or without
// a body, is not resent to the backend server when a reused connection breaks.
// net/http resends requests that have an idempotent method or an idempotency key.
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
			b, l := &closingServer{runs: map[string]int{}}, listen(t)
			defer l.Close()
			go b.serve(l)
			s.instances[0].target.Address = l.Addr().String()
			s.instances[0].gate.SetTarget(&s.instances[0].target)
			first := s.do(t.Context(), c.method, c.path, "first", strings.NewReader(c.body))
			require.Equal(t, http.StatusOK, first.status, first.reason)
			second := s.do(t.Context(), c.method, c.path, "second", strings.NewReader(c.body))
			require.Equal(t, []string{string(call.ReasonBroken), "unknown"}, []string{second.reason, second.ran})
			b.mu.Lock()
			defer b.mu.Unlock()
			require.Equal(t, map[string]int{"first": 1, "second": 1}, b.runs)
		})
	}
}

// resettingNode is a node that counts each call and then resets its stream with an
// error code, or sends GOAWAY and closes the connection.
type resettingNode struct {
	code   http2.ErrCode
	goaway bool

	mu   sync.Mutex
	runs int
}

func (r *resettingNode) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *resettingNode) serveConn(conn net.Conn) {
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

// TestReplayNode checks that a call that must run at most once is not resent to
// another node after that node has received it and reset the stream or the
// connection.
func TestReplayNode(t *testing.T) {
	for name, r := range map[string]*resettingNode{
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
				require.Equal(t, []string{string(call.ReasonBroken), "unknown"}, []string{a.reason, a.ran})
				r.mu.Lock()
				defer r.mu.Unlock()
				require.Equal(t, 1, r.runs)
			})
		}
	}
}

// TestRefusedStream checks that a call whose stream is refused by REFUSED_STREAM
// is reported as not run, so that another attempt may follow.
func TestRefusedStream(t *testing.T) {
	r, s, l := &resettingNode{code: http2.ErrCodeRefusedStream}, newStack(t, 1), listen(t)
	defer l.Close()
	go r.serve(l)
	s.redirect(l.Addr().String())
	a := s.do(context.Background(), http.MethodPost, "/book", "k", strings.NewReader("slip"))
	require.Equal(t, []string{string(call.ReasonRefused), "no"}, []string{a.reason, a.ran})
	require.Zero(t, s.runs("k"))
}

// TestCrossed checks that an answer with the ID of another call does not reach
// the caller.
func TestCrossed(t *testing.T) {
	s, l := newStack(t, 1), listen(t)
	node := &http.Server{Protocols: peer.ServerProtocols(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(call.HeaderID, "another")
		_, _ = io.WriteString(w, "quotes another slip")
	})}
	go func() { _ = node.Serve(l) }()
	defer node.Close()
	s.redirect(l.Addr().String())
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		a := s.do(t.Context(), method, "/book", "k", nil)
		require.Equal(t, []any{http.StatusBadGateway, string(call.ReasonCrossed), "unknown", ""}, []any{a.status, a.reason, a.ran, a.body})
	}
}

// lastListener accepts one connection and then stops listening.
type lastListener struct {
	net.Listener
	once sync.Once
}

func (l *lastListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.once.Do(func() { _ = l.Close() })
	return conn, err
}

// TestDialAfterResendIsNoPromise guards against taking a failed dial for a proof when
// net/http sent the call before, on a connection that broke after the call had run.
func TestDialAfterResendIsNoPromise(t *testing.T) {
	t.Run("to a node", func(t *testing.T) {
		r, s, l := &resettingNode{code: http2.ErrCodeProtocol}, newStack(t, 1), listen(t)
		defer l.Close()
		go r.serve(&lastListener{Listener: l})
		s.redirect(l.Addr().String())
		a := s.do(t.Context(), http.MethodGet, "/book", "k", nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		require.Equal(t, 1, r.runs)
		require.NotEqual(t, "no", a.ran, "status %d, reason %q", a.status, a.reason)
	})
	t.Run("to a server", func(t *testing.T) {
		s, l := newStack(t, 1), listen(t)
		defer l.Close()
		b := &closingServer{runs: map[string]int{}}
		go b.serve(&lastListener{Listener: l})
		s.instances[0].target.Address = l.Addr().String()
		s.instances[0].gate.SetTarget(&s.instances[0].target)
		require.Equal(t, http.StatusOK, s.do(t.Context(), http.MethodGet, "/book", "first", nil).status)
		a := s.do(t.Context(), http.MethodGet, "/book", "second", nil)
		b.mu.Lock()
		defer b.mu.Unlock()
		require.Equal(t, 1, b.runs["second"])
		require.NotEqual(t, "no", a.ran, "status %d, reason %q", a.status, a.reason)
	})
}
