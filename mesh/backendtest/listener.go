package backendtest

// This file defines a listener that injects connection faults.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections and tracks the open ones, so that faults can be
// injected into them. It is safe for concurrent use.
type Listener struct {
	net.Listener
	delay    atomic.Int64 // added before each write, in ns
	accepted atomic.Int64
	frozen   atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener returns a Listener that accepts connections from l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]bool{}}
}

// Accept returns the next connection. On a frozen listener the connection is
// silent from the start.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	tracked := &conn{Conn: c, listener: l}
	tracked.silent.Store(l.frozen.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tracked] = true
	return tracked, nil
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int { return int(l.accepted.Load()) }

// DelayWrites makes every later write on every connection wait for d first.
func (l *Listener) DelayWrites(d time.Duration) { l.delay.Store(int64(d)) }

// SilenceOpen makes the open connections drop all data in both directions, as when
// a NAT or firewall on the path has lost their state. New connections work.
func (l *Listener) SilenceOpen() {
	l.forEach(func(c *conn) { c.silent.Store(true) })
}

// SilenceAll makes the open connections and all new ones drop all data in both
// directions, as when the server process is suspended.
func (l *Listener) SilenceAll() {
	l.frozen.Store(true)
	l.SilenceOpen()
}

// CloseOpen closes the open connections.
func (l *Listener) CloseOpen() {
	l.forEach(func(c *conn) { _ = c.Close() })
}

func (l *Listener) forEach(f func(*conn)) {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// conn is an accepted connection that can be silenced.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read blocks on a silent connection and discards the data that arrives.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write reports success on a silent connection without sending anything.
func (c *conn) Write(b []byte) (int, error) {
	if d := c.listener.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
