package caller

// This file notices callers that have closed their connections while nothing reads from
// them. net/http ends the context of a request of HTTP/1 for a close only when the body has
// been read to its end and a goroutine of its own has run since.

import (
	"net"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// leftCheckInterval is the time between two checks whether the caller of a streamed body has
// left: a tenth of the half second in which servers are to hear of it.
const leftCheckInterval = 50 * time.Millisecond

// watchCaller ends the call if the caller has left, and checks again at intervals until a
// streamed body has been read to its end or the call has ended.
func (x *exchange) watchCaller() {
	switch {
	case x.ctx.Err() != nil:
	case x.callerLeft():
		x.left.Store(true)
		x.proxy.metrics.countLeft(x.body.Streamed())
		x.cancel()
	case x.r.ProtoMajor == 1 && x.body.Streamed() && !x.stream.complete.Load():
		time.AfterFunc(leftCheckInterval, x.watchCaller)
	}
}

// endedEarly returns the reason for which the context of a call that has not been sent ended.
func (x *exchange) endedEarly() call.Reason {
	if x.left.Load() || x.r.Context().Err() != nil {
		return call.ReasonCanceled
	}
	return call.ReasonLate
}

// callerLeft reports whether the caller has closed its connection. It knows only of
// connections of HTTP/1; with HTTP/2 the context of the call ends.
func (x *exchange) callerLeft() bool {
	if x.r.ProtoMajor != 1 {
		return false
	}
	c, ok := x.r.Context().Value(connKey{}).(net.Conn)
	return ok && hop.ClosedByPeer(c)
}
