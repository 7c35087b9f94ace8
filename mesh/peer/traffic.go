package peer

// This file counts the bytes of control messages: per connection, including
// framing, and per kind of message, without framing.

import (
	"io"
	"net"
	"net/http"
	"path"
	"sync/atomic"

	"caroblift.dev/wire/wireconnect"
)

// ByteCounter counts the bytes received and sent.
type ByteCounter struct {
	In, Out atomic.Int64
}

// Total returns the total of both directions.
func (c *ByteCounter) Total() int64 { return c.In.Load() + c.Out.Load() }

// MessageCounters holds the byte counters of message bodies by procedure. The
// map itself never changes after its creation, so it needs no lock.
type MessageCounters map[string]*ByteCounter

// NewMessageCounters returns a counter for each procedure of the Peer service.
func NewMessageCounters() MessageCounters {
	return MessageCounters{
		wireconnect.PeerAttachProcedure: {}, wireconnect.PeerPushProcedure: {}, wireconnect.PeerFetchProcedure: {},
		wireconnect.PeerFleetProcedure: {}, wireconnect.PeerProbeProcedure: {}, wireconnect.PeerSyncProcedure: {},
		wireconnect.PeerJoinProcedure: {},
	}
}

// Each calls f with the total bytes of each kind of message: attach, push, fetch,
// fleet, probe, sync and join.
func (m MessageCounters) Each(f func(kind string, bytes int64)) {
	for procedure, c := range m {
		name := []byte(path.Base(procedure))
		name[0] |= 'a' - 'A'
		f(string(name), c.Total())
	}
}

// WrapHandler wraps h to count the bodies of requests and responses. It also
// suppresses the Date header, which would be most of a small response.
func (m MessageCounters) WrapHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		if c := m[r.URL.Path]; c != nil {
			r.Body = &countedBody{ReadCloser: r.Body, bytes: &c.In}
			w = &countedWriter{ResponseWriter: w, bytes: &c.Out}
		}
		h.ServeHTTP(w, r)
	})
}

// countedRoundTripper counts the bodies of requests and responses of a client.
type countedRoundTripper struct {
	http.RoundTripper
	counters MessageCounters
}

func (t countedRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	c := t.counters[r.URL.Path]
	if c != nil {
		c.Out.Add(max(r.ContentLength, 0))
	}
	resp, err := t.RoundTripper.RoundTrip(r)
	if c != nil && err == nil {
		resp.Body = &countedBody{ReadCloser: resp.Body, bytes: &c.In}
	}
	return resp, err
}

// countedBody counts the bytes read from a body.
type countedBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

// countedWriter counts the bytes written to a response body.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countedConn adds the bytes of a connection to a counter.
type countedConn struct {
	net.Conn
	counter *ByteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.In.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Out.Add(int64(n))
	return n, err
}

// NetConn returns the connection itself.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// CountedListener adds the bytes of all connections that it accepts to a
// counter.
type CountedListener struct {
	net.Listener
	Counter *ByteCounter
}

// Accept implements net.Listener.
func (l *CountedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.Counter}, nil
}
