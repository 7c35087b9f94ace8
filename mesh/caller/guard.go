package caller

// This file draws the memory of connections and requests from an account of their port
// before they are read, and closes the connections that the account selects.

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/connlimit"
)

// Guard limits the connections of one port by its account. Listener and Serve must be used
// together.
type Guard struct {
	Account *connlimit.Account
	Refuse  http.HandlerFunc // answers a request for which there is no room
}

// Listener returns a listener whose connections are in the account.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return &guardedListener{Listener: l, account: g.Account}
}

// Scan closes the connections that make no progress. It must be called every
// connlimit.ScanInterval.
func (g *Guard) Scan(now time.Time) { stop(g.Account.Scan(now)) }

// stop closes connections that the account has selected.
func stop(conns []*connlimit.Conn) {
	for _, c := range conns {
		c.Stop()
	}
}

// connKey is the key of a connection in the context of its requests: the *guardedConn if
// it is guarded.
type connKey struct{}

// withConn adds a new connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if guarded := unwrap(c); guarded != nil {
		c = guarded
	}
	return context.WithValue(ctx, connKey{}, c)
}

// Serve makes a server use the guard. Its connections must come from Listener.
func (g *Guard) Serve(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	s.ConnContext = withConn
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded := unwrap(c); state == http.StateIdle && guarded != nil {
			guarded.state.Idle()
		}
	}
}

// unwrap returns the guarded connection that another one wraps, or nil.
func unwrap(c net.Conn) *guardedConn {
	for {
		switch wrapper := c.(type) {
		case *guardedConn:
			return wrapper
		case interface{ NetConn() net.Conn }:
			c = wrapper.NetConn()
		default:
			return nil
		}
	}
}

// connOf returns the connection of a request, or nil if it is not guarded.
func connOf(r *http.Request) *guardedConn {
	c, _ := r.Context().Value(connKey{}).(*guardedConn)
	return c
}

type guardedListener struct {
	net.Listener
	account *connlimit.Account
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := netip.Addr{}
		if tcp, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
			address = tcp.AddrPort().Addr().Unmap()
		}
		state, closed := l.account.Open(address, func() { abort(raw) }, time.Now())
		stop(closed)
		if state != nil {
			return &guardedConn{Conn: raw, state: state, ended: make(chan struct{})}, nil
		}
		abort(raw)
	}
}

// abort closes a connection with a reset, so that the kernel keeps nothing of it: neither
// its state for a minute nor the bytes that its client has not read.
func abort(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// guardedConn is a connection in the account.
type guardedConn struct {
	net.Conn
	state    *connlimit.Conn
	deadline atomic.Int64 // of reads, in Unix ns; zero means none
	closed   atomic.Bool
	ended    chan struct{} // closed when the connection is closed
}

// Read implements net.Conn. It waits until the account has room for what it reads.
func (c *guardedConn) Read(b []byte) (int, error) {
	size := c.state.BeforeRead(len(b))
	if size == 0 && len(b) > 0 {
		size = c.waitForRoom(len(b))
	}
	c.state.SetReading(true)
	n, err := c.Conn.Read(b[:size])
	c.state.SetReading(false)
	if n == 0 {
		return n, err
	}
	closed, reason := c.state.Received(b[:n])
	stop(closed)
	if reason == connlimit.ReasonNone {
		return n, err
	}
	if reason == connlimit.ReasonFlood || reason == connlimit.ReasonResets {
		c.pause(connlimit.FloodPause)
	}
	abort(c.Conn)
	return 0, net.ErrClosed
}

// waitForRoom waits until the account has room for a read, and returns how much may be
// read. After the deadline or the end of the connection, the read itself fails.
func (c *guardedConn) waitForRoom(size int) int {
	var late <-chan time.Time
	if deadline := c.deadline.Load(); deadline != 0 {
		timer := time.NewTimer(time.Until(time.Unix(0, deadline)))
		defer timer.Stop()
		late = timer.C
	}
	for {
		room := c.state.Wait()
		select {
		case <-room:
		case <-late:
			c.state.EndWait()
			return size
		}
		if n := c.state.BeforeRead(size); n > 0 {
			return n
		}
		if c.closed.Load() || c.state.Reason() != connlimit.ReasonNone {
			return size
		}
	}
}

// NetConn returns the connection itself.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// pause waits for some time or until the connection is closed.
func (c *guardedConn) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ended:
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.state.SetWriting(true)
	n, err := c.Conn.Write(b)
	c.state.SetWriting(false)
	c.state.Wrote(n)
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *guardedConn) SetReadDeadline(at time.Time) error {
	c.keepDeadline(at)
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(at time.Time) error {
	c.keepDeadline(at)
	return c.Conn.SetDeadline(at)
}

func (c *guardedConn) keepDeadline(at time.Time) {
	if at.IsZero() {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(at.UnixNano())
}

// CloseWrite closes the connection for writing if it is a TCP connection, as net/http does
// before it closes it.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	if !c.closed.Swap(true) {
		close(c.ended)
		c.state.Close()
	}
	return c.Conn.Close()
}

// handler returns a handler that takes requests into the account before h serves them.
func (g *Guard) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		g.serve(c, h, w, r)
	})
}

func (g *Guard) serve(c *guardedConn, h http.Handler, w http.ResponseWriter, r *http.Request) {
	request := connlimit.Request{Version: r.ProtoMajor, HasBody: r.Body != http.NoBody && r.ContentLength != 0}
	if request.Version == 2 {
		if r.Context().Err() != nil { // the client has reset the stream
			return
		}
		request.Header = connlimit.HeaderMemory(r.Header)
		w = &streamWriter{ResponseWriter: w, conn: c.state}
	}
	closed, ok := c.state.Begin(&request)
	defer c.state.End(&request)
	stop(closed)
	if !ok {
		if request.Version == 1 { // HTTP/2 would end all calls of the connection
			w.Header()["Connection"] = []string{"close"}
		}
		g.Refuse(w, r)
		return
	}
	if request.Pipelined {
		turn := c.state.AskTurn()
		defer c.state.EndTurn(turn)
		select {
		case <-turn.Granted():
			c.state.HasTurn()
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if request.HasBody {
		r.Body = &guardedBody{ReadCloser: r.Body, conn: c.state, version: request.Version, left: r.ContentLength}
	}
	h.ServeHTTP(w, r)
}

// guardedBody is the body of a request in the account.
type guardedBody struct {
	io.ReadCloser
	conn    *connlimit.Conn
	version int
	left    int64 // bytes; negative if not known
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.version == 2 {
		b.conn.BeginTurn()
		n, err := b.ReadCloser.Read(p)
		b.conn.EndClientTurn(n)
		return n, err
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if err == io.EOF || b.left == 0 {
		b.conn.BodyRead()
	}
	return n, err
}

// streamWriter is the response to a request of HTTP/2.
type streamWriter struct {
	http.ResponseWriter
	conn *connlimit.Conn
}

// Write implements io.Writer.
func (w *streamWriter) Write(p []byte) (int, error) {
	w.conn.BeginTurn()
	defer w.conn.EndClientTurn(0)
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *streamWriter) Flush() {
	w.conn.BeginTurn()
	defer w.conn.EndClientTurn(0)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
