package call

// This file defines what became of an attempt and whether another may follow.

import (
	"net/http"
	"time"
)

// Outcome is what is known of one attempt.
type Outcome int

// The values of Outcome.
const (
	Unknown  Outcome = iota // it may have run
	NotRun                  // it has not run and will not
	Answered                // the backend server answered
)

// String returns the outcome as HeaderRan carries it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "no"
	case Answered:
		return "yes"
	}
	return "unknown"
}

// Worst returns what is known of a call of which one attempt ended as o and
// another as other: it counts as not run only if neither may have run.
func (o Outcome) Worst(other Outcome) Outcome {
	switch {
	case o == NotRun:
		return other
	case other == NotRun:
		return o
	}
	return min(o, other)
}

// ParseOutcome returns the outcome that HeaderRan carries. Anything that is not
// known to be true counts as unknown.
func ParseOutcome(ran string) Outcome {
	switch ran {
	case "no":
		return NotRun
	case "yes":
		return Answered
	}
	return Unknown
}

// Reason says why a call has failed. It is part of what callers rely on.
type Reason string

// The values of Reason.
const (
	NotReady  Reason = "not-ready"   // the node holds no configuration yet
	NoRoute   Reason = "no-route"    // no route matches
	NoServer  Reason = "no-server"   // no backend server serves the service
	Busy      Reason = "busy"        // every slot and the queue are taken
	Late      Reason = "late"        // it could not start before its deadline
	Leaving   Reason = "leaving"     // the node or the backend server is stopping
	Dial      Reason = "dial"        // no connection was made
	Refused   Reason = "refused"     // the connection ended before the call was taken
	Broken    Reason = "broken"      // the connection broke before the answer
	Crossed   Reason = "crossed"     // the answer belonged to another call
	Deadline  Reason = "deadline"    // the deadline passed
	Canceled  Reason = "canceled"    // the caller went away
	Shed      Reason = "shed"        // the backend server itself refused with 503
	Moved     Reason = "moved"       // another server than the expected one has the address
	ShortBody Reason = "short-body"  // the caller's body ended early
	LongHead  Reason = "long-header" // the header is longer than the configuration allows
	LongBody  Reason = "long-body"   // the body is longer than the configuration allows
	Upgrade   Reason = "upgrade"     // protocol upgrades are not forwarded
)

// Status returns the HTTP status of an answer that reports a reason.
func (r Reason) Status() int {
	switch r {
	case NoRoute:
		return http.StatusNotFound
	case ShortBody:
		return http.StatusBadRequest
	case LongHead:
		return http.StatusRequestHeaderFieldsTooLarge
	case LongBody:
		return http.StatusRequestEntityTooLarge
	case Upgrade:
		return http.StatusNotImplemented
	case Deadline:
		return http.StatusGatewayTimeout
	case Broken, Crossed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Delays that refused callers are told, by what must happen before a call can
// be served.
const (
	afterStart = 2 * time.Second // a configuration or a backend server must appear
	afterBusy  = time.Second     // calls in progress must end, or others must learn of a change
)

// After returns when a caller may come back, for Retry-After, or 0 when coming
// back does not help.
func (r Reason) After() time.Duration {
	switch r {
	case NotReady, NoServer:
		return afterStart
	case Busy, Late, Leaving, Dial, Refused, Shed, Moved:
		return afterBusy
	}
	return 0
}

// Arrived tells whether an attempt that ended for this reason may have reached
// the backend server. One that a gate turned away has not.
func (r Reason) Arrived() bool {
	switch r {
	case Busy, Late, Leaving, NoServer, Dial, Refused:
		return false
	}
	return true
}

// Free tells whether another attempt after this reason costs no budget: the
// instance is going away, so the attempts cannot pile up on it.
func (r Reason) Free() bool {
	return r == Leaving || r == NoServer || r == Dial || r == Refused
}

// Repeatable tells whether another attempt may follow an outcome. A call that
// is not idempotent is sent again only if it has not run. A call that is itself
// part of an extra attempt upstream is not run again after an unknown outcome,
// so that only one layer of a chain repeats work.
func Repeatable(o Outcome, idempotent, extra bool) bool {
	if o == NotRun {
		return true
	}
	return idempotent && !extra
}
