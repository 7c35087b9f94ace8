package backend

// This file records what is known of the answer to an attempt: the connection that
// it came on and the call that it names.

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
)

// serverConn is a connection to the backend server.
type serverConn struct {
	net.Conn
	number  uint64        // from 1, in the order in which the gate opened them
	answers atomic.Uint64 // read from it so far

	gate       *Gate
	target     *Target      // that it was opened to
	answeredAt atomic.Int64 // time of the last whole answer to a call, in Unix ns; zero if the server closes the connection after it
	closedAt   atomic.Int64 // when the server closed it, in Unix ns
}

// Read reads from the connection, and notices that the server closes it.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.closedAt.Store(time.Now().UnixNano())
		c.checkClose()
	}
	return n, err
}

// answered notes that a whole answer has come on the connection.
func (c *serverConn) answered(closes bool) {
	if closes {
		c.answeredAt.Store(0)
		return
	}
	c.answeredAt.Store(time.Now().UnixNano())
	c.checkClose()
}

// checkClose finds out whether the server has ended if it closed the connection just after
// an answer that did not say so.
func (c *serverConn) checkClose() {
	answered, closed := c.answeredAt.Load(), c.closedAt.Load()
	if answered != 0 && closed != 0 && time.Duration(closed-answered) < call.SurvivalTime {
		c.gate.findEnd(c.target, false)
	}
}

// dialServer wraps a dial function for connections to the backend server.
func (g *Gate) dialServer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := &serverConn{Conn: conn, number: g.connections.Add(1), gate: g, target: g.target.Load()}
		if e, ok := ctx.Value(evidenceKey{}).(*evidence); ok {
			opened.target = e.target
		}
		return opened, nil
	}
}

// evidence is what an attempt leaves behind for the log. The context of the attempt holds
// it, since a transport calls back with the context only. conn may be set by a goroutine
// of the transport; the other fields belong to the goroutine that sends the call.
type evidence struct {
	call   string // ID
	target *Target
	sentAt time.Time

	conn    atomic.Pointer[serverConn] // that the call was last sent on; nil if none
	carried uint64                     // answers that the connection had carried before this one
	status  int                        // of the answer; 0 if there is none
	answer  string                     // ID of the call that the answer names; empty if it names none
}

// evidenceKey is the context key of an attempt's evidence.
type evidenceKey struct{}

// withEvidence returns a context whose attempts record their evidence in e.
func withEvidence(ctx context.Context, e *evidence) context.Context {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*serverConn); ok {
			e.conn.Store(c)
		}
	}})
	return context.WithValue(ctx, evidenceKey{}, e)
}

// recordAnswer records an answer in the evidence of its attempt.
func (g *Gate) recordAnswer(ctx context.Context, resp *http.Response) {
	e, ok := ctx.Value(evidenceKey{}).(*evidence)
	if !ok {
		return
	}
	e.status = resp.StatusCode
	if d := g.config.Dialect; d != nil {
		e.answer = d.CallID(resp.Header)
	}
	if c := e.conn.Load(); c != nil {
		e.carried = c.answers.Add(1) - 1
	}
}

// recordStatement records what the server states about itself in an answer that is its own:
// it names the call, and does not come from another server at the same address.
func (g *Gate) recordStatement(ctx context.Context, v call.Verdict, resp *http.Response) {
	e, ok := ctx.Value(evidenceKey{}).(*evidence)
	if ok && e.answer != "" && (v.Reason() == "" || v.Reason() == call.ReasonShed) {
		g.observe(e, g.config.Dialect.Statement(resp.Header))
	}
}

// gotConn reports whether an attempt of the context was given a connection to send
// the call on.
func gotConn(ctx context.Context) bool {
	e, ok := ctx.Value(evidenceKey{}).(*evidence)
	return ok && e.conn.Load() != nil
}

// closeConn closes the connection of the last attempt. One that delivered an answer
// to another call has the answer to this call still to come, and net/http keeps it
// for other calls if the answer had no body.
func closeConn(ctx context.Context) {
	if e, ok := ctx.Value(evidenceKey{}).(*evidence); ok {
		if c := e.conn.Load(); c != nil {
			_ = c.Close()
		}
	}
}

// attributes returns the evidence for a log line.
func (e *evidence) attributes() []any {
	if e == nil {
		return nil
	}
	var args []any
	if c := e.conn.Load(); c != nil {
		args = append(args, "conn", c.number, "carried", e.carried)
	}
	if e.status != 0 {
		args = append(args, "status", e.status, "answer", e.answer)
	}
	return args
}
