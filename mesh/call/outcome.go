package call

// This file defines the outcomes of attempts and the reasons of failures, and
// decides whether a call may be retried.

import (
	"net/http"
	"time"
)

// Outcome says whether an attempt ran at the backend server, as far as known.
type Outcome int

// Outcomes of an attempt.
const (
	Unknown  Outcome = iota // it may have run
	NotRun                  // it didn't run and will not
	Answered                // the backend server responded
)

// String returns the value of HeaderRan: "no", "yes" or "unknown".
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "no"
	case Answered:
		return "yes"
	}
	return "unknown"
}

// Worst returns the outcome of a call with two attempts. The call counts as not
// run only if neither attempt ran, and as answered only if no attempt's outcome
// is unknown.
func (o Outcome) Worst(other Outcome) Outcome {
	switch {
	case o == NotRun:
		return other
	case other == NotRun:
		return o
	}
	return min(o, other)
}

// ParseOutcome parses the value of HeaderRan. Any value other than "no" and "yes"
// counts as unknown.
func ParseOutcome(ran string) Outcome {
	switch ran {
	case "no":
		return NotRun
	case "yes":
		return Answered
	}
	return Unknown
}

// Reason says why a call failed. The values are part of the API for callers.
type Reason string

// Reasons of failures.
const (
	NotReady  Reason = "not-ready"   // the node has no configuration yet
	NoRoute   Reason = "no-route"    // no route matches
	NoServer  Reason = "no-server"   // no backend server offers the service
	Busy      Reason = "busy"        // all slots are in use and the call can't be queued
	Late      Reason = "late"        // the call could not start before its deadline
	Leaving   Reason = "leaving"     // the node or the backend server is stopping
	Dial      Reason = "dial"        // no connection could be established
	Refused   Reason = "refused"     // the connection closed before the call was accepted
	Broken    Reason = "broken"      // the connection broke before the response
	Crossed   Reason = "crossed"     // the response belonged to another call
	Deadline  Reason = "deadline"    // the deadline passed
	Canceled  Reason = "canceled"    // the caller canceled the call or disconnected
	Shed      Reason = "shed"        // the backend server itself refused with 503
	Moved     Reason = "moved"       // the address belongs to another backend server than expected
	ShortBody Reason = "short-body"  // the caller's body ended early
	LongHead  Reason = "long-header" // the header is longer than the configuration allows
	LongBody  Reason = "long-body"   // the body is longer than the configuration allows
	Upgrade   Reason = "upgrade"     // protocol upgrades are not forwarded
)

// Status returns the HTTP status code of a response that reports the reason.
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

// Retry delays for callers of refused calls, by what must happen before a call
// can be served.
const (
	retryAfterStart = 2 * time.Second // a configuration or a backend server must appear
	retryAfterBusy  = time.Second     // calls in progress must end, or others must learn of a change
)

// After returns the delay after which the caller may retry, for Retry-After, or 0
// if a retry doesn't help.
func (r Reason) After() time.Duration {
	switch r {
	case NotReady, NoServer:
		return retryAfterStart
	case Busy, Late, Leaving, Dial, Refused, Shed, Moved:
		return retryAfterBusy
	}
	return 0
}

// Arrived reports whether an attempt that failed for this reason may have reached
// the backend server. An attempt that a gate refused has not.
func (r Reason) Arrived() bool {
	switch r {
	case Busy, Late, Leaving, NoServer, Dial, Refused:
		return false
	}
	return true
}

// Free reports whether a retry after this reason is exempt from the retry budget:
// the instance is stopping or unreachable, so retries can't overload it.
func (r Reason) Free() bool {
	return r == Leaving || r == NoServer || r == Dial || r == Refused
}

// Repeatable reports whether a call may be retried after an outcome. A call that
// is not idempotent is retried only if it didn't run. A call that belongs to an
// extra attempt (a retry or hedged request) upstream is not retried either if it
// may have run, so that only one layer of a call chain repeats work.
func Repeatable(o Outcome, idempotent, extra bool) bool {
	if o == NotRun {
		return true
	}
	return idempotent && !extra
}
