package caller

// This file holds the connections of callers against the time limits of the
// configuration in force.

import (
	"net"
	"net/http"
	"time"

	"caroblift.dev/mesh/record"
)

// How long a server waits where no configuration sets a limit. A deadline that
// is further away than headerPatience is one of an unused connection.
const (
	headerPatience = 10 * time.Second // for a header; a caller elsewhere sends one in a few round trips
	idlePatience   = 24 * time.Hour   // for the next call; a kept connection costs memory only
)

// Bound sets the time-outs of a server whose connections Listen accepts.
func Bound(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout = headerPatience, idlePatience
}

// Listen returns a listener whose connections obey the limits that hold when
// they begin to wait: Begin for a header, and Idle for the next call. They hold
// for HTTP/1.1. The server must be one that Bound has set.
func Listen(l net.Listener, limits func() record.Limits) net.Listener {
	return &listener{Listener: l, limits: limits}
}

type listener struct {
	net.Listener
	limits func() record.Limits
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &bounded{Conn: c, limits: l.limits}, nil
}

// bounded is a connection of a caller.
type bounded struct {
	net.Conn
	limits func() record.Limits
}

// SetReadDeadline replaces the deadlines that net/http sets by its server's
// time-outs. It leaves those that have passed, by which net/http ends a read,
// and none at all.
func (c *bounded) SetReadDeadline(at time.Time) error {
	now := time.Now()
	if !at.After(now) {
		return c.Conn.SetReadDeadline(at)
	}
	limit := c.limits().Begin
	if at.Sub(now) > headerPatience {
		limit = c.limits().Idle
	}
	if limit > 0 {
		at = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(at)
}
