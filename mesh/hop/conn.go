package hop

// This file defines how connections end on which a body of HTTP/1 ends with its connection:
// those on which such answers are read, and those that must not seem to end in order.

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// errReset is the error of reading from a connection whose break was reported to a write.
var errReset = errors.New("connection broke off while it was written to")

// Dialer opens connections on which a read reports io.EOF only if the peer has closed its
// side of the connection in order (on Linux; elsewhere a reset may be reported so too).
type Dialer struct{ net.Dialer }

// DialContext opens a connection. Its errors are those of net.Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, ended: make(chan struct{})}, nil
}

// conn is a connection of a Dialer. The kernel reports the error that breaks a connection
// once: if a write is told of a reset, reads see an end of file as after a close.
type conn struct {
	net.Conn
	writing sync.Mutex // held by a write
	reset   bool       // a write was told that the connection broke; guarded by writing

	ended   chan struct{} // closed when a read has met the end, or the connection is closed
	endOnce sync.Once
}

// Write writes to the connection. That the connection is broken is reported once all that the
// peer sent has been read: net/http closes the connection then, and the peer may have answered
// before it stopped reading.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && broken(c.Conn) {
		<-c.ended
	}
	return n, err
}

func (c *conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && breaks(err) {
		c.reset = true
	}
	return n, err
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = errReset
	}
	if err != nil {
		c.end()
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

func (c *conn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// wasReset reports whether an end of file stands for a break that a write was told of. A
// write in progress may be: on a broken connection it returns at once, while one whose peer
// has closed only its own side may go on for long.
func (c *conn) wasReset() bool {
	if !broken(c.Conn) {
		return false
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset
}

// NetConn returns the connection of the net package.
func (c *conn) NetConn() net.Conn { return c.Conn }

// breaks reports whether the error of a write says that the connection broke before the peer
// had closed its side. EPIPE is what the kernel reports after that, or if it has reported
// the break already.
func breaks(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// ResetAtClose makes the close of a TCP connection a reset, so that the peer does not take it
// for an end in order. c may be a wrapper with a method NetConn.
func ResetAtClose(c net.Conn) {
	if tcp, ok := unwrap(c).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
}

// unwrap returns the connection within wrappers with a method NetConn.
func unwrap(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}
