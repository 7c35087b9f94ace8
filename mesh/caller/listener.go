package caller

// This file bounds the headers of callers, and applies the header and idle timeouts
// of the current configuration to their connections.

import (
	"net"
	"net/http"
	"time"

	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/record"
)

// Timeouts that apply where the configuration sets no limit. SetReadDeadline
// takes a deadline further away than defaultHeaderTimeout for an idle timeout,
// so defaultIdleTimeout must be the longer one.
const (
	defaultHeaderTimeout = 10 * time.Second // to read a header, which a distant caller sends in a few round trips
	defaultIdleTimeout   = 24 * time.Hour   // to the next call; an idle connection costs only memory
)

// SetLimits sets the default timeouts of a server and the bound of a header, and lets a
// Proxy see the connections of its requests. A server that serves a listener returned by
// NewListener must have them.
func SetLimits(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	s.MaxHeaderBytes = hop.MaxHeaderBytes
	s.ConnContext = withConn
}

// NewListener returns a listener whose connections time out by the current
// limits: HeaderTimeout bounds the wait for a header, and IdleTimeout the wait
// for the next call. The limits are read when a wait begins, and apply to
// HTTP/1.1 only. The server must have the timeouts that SetLimits sets.
func NewListener(l net.Listener, limits func() record.CallerLimits) net.Listener {
	return &listener{Listener: l, limits: limits}
}

type listener struct {
	net.Listener
	limits func() record.CallerLimits
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

// limitedConn is a caller's connection to which the limits apply.
type limitedConn struct {
	net.Conn
	limits func() record.CallerLimits
}

// SetReadDeadline replaces a deadline that net/http derives from the server's
// timeouts by one that follows the limits. A zero deadline, which means none, and
// a past one, by which net/http interrupts a read, are passed on unchanged.
func (c *limitedConn) SetReadDeadline(at time.Time) error {
	now := time.Now()
	if !at.After(now) {
		return c.Conn.SetReadDeadline(at)
	}
	limit := c.limits().HeaderTimeout
	if at.Sub(now) > defaultHeaderTimeout {
		limit = c.limits().IdleTimeout
	}
	if limit > 0 {
		at = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(at)
}

// NetConn returns the connection itself.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
