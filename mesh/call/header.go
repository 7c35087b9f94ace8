package call

// This file names the headers that nodes set on calls and answers. Nodes strip
// them from what callers and backend servers send.

import (
	"net/http"
	"strings"
)

// The headers of the system. Callers see Reason, Ran and ID on refusals.
const (
	HeaderPrefix   = "Caroblift-"
	HeaderID       = "Caroblift-Id"       // call ID, echoed on the answer
	HeaderService  = "Caroblift-Service"  // service that the entry node chose
	HeaderDeadline = "Caroblift-Deadline" // time left, in ms
	HeaderRefused  = "Caroblift-Refused"  // the call was not run, and why
	HeaderReason   = "Caroblift-Reason"   // machine-readable reason of a failure
	HeaderRan      = "Caroblift-Ran"      // yes, no or unknown
	HeaderLoad     = "Caroblift-Load"     // calls in progress at the backend server
	HeaderRevision = "Caroblift-Revision" // revision that the call was routed by
)

// Strip removes the system's headers, so that nobody outside can forge them.
func Strip(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(h, name)
		}
	}
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHop removes the headers that concern one connection only.
func StripHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
