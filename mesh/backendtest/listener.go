package backendtest

// This file defines a listener whose connections can be cut or fall silent.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections and keeps them at hand for faults.
type Listener struct {
	net.Listener
	delay    atomic.Int64 // ns added to each write
	accepted atomic.Int64
	frozen   atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps a listener.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]bool{}}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	fc := &conn{Conn: c, listener: l}
	fc.silent.Store(l.frozen.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[fc] = true
	return fc, nil
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int { return int(l.accepted.Load()) }

// Delay adds a time to each write from now on.
func (l *Listener) Delay(d time.Duration) { l.delay.Store(int64(d)) }

// Silence makes the open connections lose everything in both directions, as
// when something between the two ends has forgotten them. New ones work.
func (l *Listener) Silence() {
	l.each(func(c *conn) { c.silent.Store(true) })
}

// Freeze makes the open connections and all new ones lose everything, as a
// process does that is stopped.
func (l *Listener) Freeze() {
	l.frozen.Store(true)
	l.Silence()
}

// Cut closes the open connections.
func (l *Listener) Cut() {
	l.each(func(c *conn) { _ = c.Close() })
}

func (l *Listener) each(f func(*conn)) {
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

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read discards what arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to succeed on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if d := c.listener.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
