package call

// This file names the headers that nodes set on calls and answers. Nodes strip
// them from what callers and backend servers send.

import (
	"net/http"
	"strings"
)

// The headers of the system. Callers see ID, Revision, Reason, Ran and After.
// A backend server sees ID, Deadline and Attempt, and passes the last two on
// with the calls that it makes on behalf of this one.
const (
	HeaderPrefix   = "Caroblift-"
	HeaderID       = "Caroblift-Id"       // call ID, echoed on the answer
	HeaderService  = "Caroblift-Service"  // service that the entry node chose
	HeaderDeadline = "Caroblift-Deadline" // time left, in ms
	HeaderAttempt  = "Caroblift-Attempt"  // number of the attempt, from 1
	HeaderRepeat   = "Caroblift-Repeat"   // yes when the call may run more than once
	HeaderEmpty    = "Caroblift-Empty"    // yes when the call has no body
	HeaderRefused  = "Caroblift-Refused"  // the call was not run, and why
	HeaderReason   = "Caroblift-Reason"   // machine-readable reason of a failure
	HeaderRan      = "Caroblift-Ran"      // yes, no or unknown
	HeaderLoad     = "Caroblift-Load"     // calls in progress or waiting, and slots, at the backend server
	HeaderSpent    = "Caroblift-Spent"    // ms that the call spent at the gate and the backend server, until the answer began
	HeaderQueued   = "Caroblift-Queued"   // ms of it that the call waited for a slot; left out when none
	HeaderLink     = "Caroblift-Link"     // ms that another large answer would wait for the instance's link; left out when none
	HeaderDemand   = "Caroblift-Demand"   // what the call asks of a gate, as Demand formats it
	HeaderCaller   = "Caroblift-Caller"   // service on the instance where the call entered
	HeaderAfter    = "Caroblift-After"    // ms after which a refused caller may come back
	HeaderRevision = "Caroblift-Revision" // revision that the call was routed by
)

// Yes is the value of a header that is set or absent.
const Yes = "yes"

// Strip removes the system's headers, so that nobody outside can forge them.
func Strip(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(h, name)
		}
	}
}

// hopByHop lists the headers that concern one connection only. Expect is among
// them: each hop's own server answers it.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHop removes the headers that concern one connection only.
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// replayKeys are the headers that make net/http send a call again by itself
// when a connection breaks.
var replayKeys = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// SendOnce keeps net/http from sending a call again by itself: it renames the
// headers by which net/http takes a call for idempotent. Header names compare
// without case, so a backend server reads them as before.
func SendOnce(h http.Header) {
	for name, lower := range replayKeys {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[lower] = v
		}
	}
}
