package caller

// This file ends the connection of a caller whose answer can't be completed.

import (
	"net"

	"caroblift.dev/mesh/hop"
)

// resetAtClose makes the end of the caller's connection a reset where only that end tells
// whether the answer is whole: HTTP/1.0 has no chunks, so an answer without a length ends with
// its connection.
func (x *exchange) resetAtClose() {
	if x.r.ProtoAtLeast(1, 1) || len(x.w.Header()["Content-Length"]) > 0 {
		return
	}
	if c, ok := x.r.Context().Value(connKey{}).(net.Conn); ok {
		hop.ResetAtClose(c)
	}
}
