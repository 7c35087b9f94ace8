package peer

// This file counts the bytes of control messages: by connection, framing
// included, and by kind of message, framing left out.

import (
	"io"
	"net"
	"net/http"
	"path"
	"sync/atomic"

	"caroblift.dev/wire/wireconnect"
)

// Counter counts bytes in both directions.
type Counter struct {
	In, Out atomic.Int64
}

// Sum returns the bytes of both directions.
func (c *Counter) Sum() int64 { return c.In.Load() + c.Out.Load() }

// Kinds counts the bytes of message bodies by kind. It is read-only after
// NewKinds but for the counters.
type Kinds map[string]*Counter

// NewKinds returns counters for every kind of message, named for the
// procedures of the Peer service in lower case.
func NewKinds() Kinds {
	return Kinds{
		wireconnect.PeerAttachProcedure: {}, wireconnect.PeerPushProcedure: {}, wireconnect.PeerFetchProcedure: {},
		wireconnect.PeerFleetProcedure: {}, wireconnect.PeerProbeProcedure: {}, wireconnect.PeerSyncProcedure: {},
		wireconnect.PeerJoinProcedure: {},
	}
}

// Each calls f for every kind, named attach, push, fetch, fleet, probe, sync
// and join, with its bytes of both directions.
func (k Kinds) Each(f func(kind string, bytes int64)) {
	for procedure, c := range k {
		name := []byte(path.Base(procedure))
		name[0] |= 'a' - 'A'
		f(string(name), c.Sum())
	}
}

// Handler counts the messages that a handler serves. It leaves the date out of
// the answers, which would be most of a small one.
func (k Kinds) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		if c := k[r.URL.Path]; c != nil {
			r.Body = &countedBody{ReadCloser: r.Body, bytes: &c.In}
			w = &countedWriter{ResponseWriter: w, bytes: &c.Out}
		}
		h.ServeHTTP(w, r)
	})
}

// roundTripper counts the messages that a client sends.
type roundTripper struct {
	http.RoundTripper
	kinds Kinds
}

func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	c := t.kinds[r.URL.Path]
	if c != nil {
		c.Out.Add(max(r.ContentLength, 0))
	}
	resp, err := t.RoundTripper.RoundTrip(r)
	if c != nil && err == nil {
		resp.Body = &countedBody{ReadCloser: resp.Body, bytes: &c.In}
	}
	return resp, err
}

// countedBody counts what is read.
type countedBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

// countedWriter counts what is written.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController reach the writer beneath.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counter *Counter
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

// Listener counts the bytes of every connection that it accepts.
type Listener struct {
	net.Listener
	Counter *Counter
}

// Accept returns the next connection, counted.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.Counter}, nil
}
