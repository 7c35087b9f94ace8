package call

// This file names the headers that nodes set on requests and responses. Nodes
// remove them from what callers and backend servers send.

import (
	"net/http"
	"strings"
)

// Headers set by nodes. Callers receive ID, Revision, Reason, Ran and After. A
// backend server receives ID, Deadline and Attempt, and is expected to send
// Deadline and Attempt with the calls that it makes on behalf of this one.
const (
	HeaderPrefix   = "Caroblift-"
	HeaderID       = "Caroblift-Id"       // call ID, repeated on the response
	HeaderService  = "Caroblift-Service"  // service that the entry node selected
	HeaderDeadline = "Caroblift-Deadline" // remaining time, in ms
	HeaderAttempt  = "Caroblift-Attempt"  // number of the attempt, from 1
	HeaderRepeat   = "Caroblift-Repeat"   // Yes when the call may run more than once
	HeaderRepeated = "Caroblift-Repeated" // Yes when an earlier attempt of the call may have reached a backend server
	HeaderNested   = "Caroblift-Nested"   // Yes in the answer to a call that a backend server made while it ran another
	HeaderEmpty    = "Caroblift-Empty"    // Yes when the call has no body
	HeaderRefused  = "Caroblift-Refused"  // the Reason for which the call was not run
	HeaderProof    = "Caroblift-Proof"    // the Proof that the call was not run; between nodes only
	HeaderReason   = "Caroblift-Reason"   // the Reason of a failure
	HeaderRan      = "Caroblift-Ran"      // the Outcome: yes, no or unknown
	HeaderLoad     = "Caroblift-Load"     // load report of the backend server
	HeaderSpent    = "Caroblift-Spent"    // ms from the arrival at the gate to the start of the backend server's response
	HeaderQueued   = "Caroblift-Queued"   // ms of HeaderSpent that the call waited for a slot; absent when 0
	HeaderLink     = "Caroblift-Link"     // ms that another large response would wait for the instance's link; absent when 0
	HeaderDemand   = "Caroblift-Demand"   // how the gate is to queue the call, as Demand formats it
	HeaderCaller   = "Caroblift-Caller"   // service of the instance at which the call entered the mesh
	HeaderAfter    = "Caroblift-After"    // ms after which the caller of a refused call may retry
	HeaderStated   = "Caroblift-Stated"   // what the backend server has stated, as Stated formats it; between nodes in both directions, absent when nothing
	HeaderTally    = "Caroblift-Tally"    // calls that the gate has served and refused, as FormatTallies formats them; absent when none
	// HeaderFingerprint is the Fingerprint of the call's request. A gate answers a call that
	// has it with HeaderEnded as a trailer if the backend server ends in the middle of its answer.
	HeaderFingerprint = "Caroblift-Fingerprint"

	HeaderSuspect  = "Caroblift-Suspect"  // what the entry node knows of a request suspected of ending backend servers, as FormatSuspicion formats it
	HeaderTrial    = "Caroblift-Trial"    // Yes when the call is the trial of a condemned request
	HeaderEnded    = "Caroblift-Ended"    // the end of the backend server that ran the call, as End formats it; with ReasonEnded, or as a trailer of an answer that is not complete
	HeaderRevision = "Caroblift-Revision" // configuration revision by which the call was routed

	HeaderWorkspace = "Caroblift-Workspace" // name of the workspace that makes the call; between nodes only, absent when none
)

// Yes is the value of a boolean header. The header is absent when false.
const Yes = "yes"

// StripMeshHeaders removes the headers set by nodes, so that callers and
// backend servers can't forge them.
func StripMeshHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(h, name)
		}
	}
}

// hopByHop lists the headers that apply to a single connection. Expect is
// included because the server at each hop handles it.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the hop-by-hop headers, including those that Connection
// lists.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// idempotencyHeaders maps the headers for which net/http resends a request on
// its own when a connection breaks to their lower-case names.
var idempotencyHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// HideIdempotencyKeys prevents net/http from resending a request because of an
// idempotency key: it changes the header name to lower case, which net/http
// doesn't look up. Header names are case-insensitive, so the backend server
// still reads the key.
func HideIdempotencyKeys(h http.Header) {
	for name, lower := range idempotencyHeaders {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[lower] = v
		}
	}
}
