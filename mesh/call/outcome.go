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
	OutcomeUnknown  Outcome = iota // it may have run
	OutcomeNotRun                  // it didn't run and will not
	OutcomeAnswered                // the backend server responded
)

// String returns the value of HeaderRan: "no", "yes" or "unknown".
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "no"
	case OutcomeAnswered:
		return "yes"
	}
	return "unknown"
}

// Combine returns the outcome of a call with two attempts. The call counts as
// not run only if neither attempt ran, and as answered only if no attempt's
// outcome is unknown.
func (o Outcome) Combine(other Outcome) Outcome {
	switch {
	case o == OutcomeNotRun:
		return other
	case other == OutcomeNotRun:
		return o
	}
	return min(o, other)
}

// ParseOutcome parses the value of HeaderRan. Any value other than "no" and "yes"
// counts as unknown.
func ParseOutcome(ran string) Outcome {
	switch ran {
	case "no":
		return OutcomeNotRun
	case "yes":
		return OutcomeAnswered
	}
	return OutcomeUnknown
}

// Reason says why a call failed. The values are part of the API for callers.
type Reason string

// Reasons of failures.
const (
	ReasonNotReady   Reason = "not-ready"   // the node has no configuration yet
	ReasonNoRoute    Reason = "no-route"    // no route matches
	ReasonNoParts    Reason = "no-parts"    // the node can't read how the route is split among services
	ReasonNoServer   Reason = "no-server"   // no backend server offers the service
	ReasonBusy       Reason = "busy"        // all slots are in use and the call can't be queued
	ReasonLimited    Reason = "limited"     // the backend server takes fewer requests a second
	ReasonBudget     Reason = "budget"      // a service that the backend server calls has no retry budget for another run
	ReasonOverload   Reason = "overload"    // a service that the backend server calls lacks slots for more urgent calls
	ReasonLate       Reason = "late"        // the call could not start before its deadline
	ReasonVersion    Reason = "version"     // the backend server's version may not get the call while its service moves to another one
	ReasonLeaving    Reason = "leaving"     // the node or the backend server is stopping
	ReasonDial       Reason = "dial"        // no connection could be established
	ReasonRefused    Reason = "refused"     // the connection closed before the call was accepted
	ReasonBroken     Reason = "broken"      // the connection broke before the response
	ReasonCrossed    Reason = "crossed"     // the response belonged to another call, or the backend server did not produce it
	ReasonDeadline   Reason = "deadline"    // the deadline passed
	ReasonCanceled   Reason = "canceled"    // the caller canceled the call or disconnected
	ReasonEnded      Reason = "ended"       // the backend server's process ended while it ran the call
	ReasonCondemned  Reason = "condemned"   // backend servers have ended while they ran the same request
	ReasonShed       Reason = "shed"        // the backend server itself refused with 503
	ReasonUnproven   Reason = "unproven"    // the backend server's answer promises that it did not run a call, but does not state it of this one
	ReasonMoved      Reason = "moved"       // the address belongs to another backend server than expected
	ReasonShortBody  Reason = "short-body"  // the caller's body ended early
	ReasonLongHeader Reason = "long-header" // the header is longer than the configuration allows
	ReasonLongBody   Reason = "long-body"   // the body is longer than the configuration allows
	ReasonUpgrade    Reason = "upgrade"     // protocol upgrades are not forwarded
	ReasonNoKey      Reason = "nokey"       // the route needs a key and the caller sent none
	ReasonBadKey     Reason = "badkey"      // no workspace has the caller's key
	ReasonKeyPending Reason = "keypending"  // as nokey or badkey, but the node may be behind the configuration
	ReasonQuota      Reason = "quota"       // the workspace makes more calls than its quota allows
	ReasonRoom       Reason = "room"        // the node has no memory for another call
)

// status returns the HTTP status code that suits the reason, whether or not the
// call has run. Verdict.Status is the one for an answer.
func (r Reason) status() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonNoKey, ReasonBadKey:
		return http.StatusUnauthorized
	case ReasonShortBody:
		return http.StatusBadRequest
	case ReasonLongHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonLongBody:
		return http.StatusRequestEntityTooLarge
	case ReasonUpgrade:
		return http.StatusNotImplemented
	case ReasonQuota:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonBroken, ReasonEnded, ReasonCrossed, ReasonUnproven:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Retry delays for callers of refused calls, by what must happen before a call
// can be served.
const (
	retryAfterStart = 2 * time.Second // a configuration or a backend server must appear
	retryAfterBusy  = time.Second     // calls in progress must end, or others must learn of a change
	// retryAfterFetch is the time in which a node usually gets a configuration from a peer.
	retryAfterFetch = 300 * time.Millisecond
)

// RetryAfter returns the delay after which the caller may retry, for the
// Retry-After header, or 0 if a retry doesn't help.
func (r Reason) RetryAfter() time.Duration {
	switch r {
	case ReasonNotReady, ReasonNoParts, ReasonNoServer:
		return retryAfterStart
	case ReasonBusy, ReasonLimited, ReasonBudget, ReasonOverload, ReasonLate, ReasonVersion, ReasonLeaving, ReasonDial, ReasonRefused, ReasonShed, ReasonMoved, ReasonQuota, ReasonRoom:
		return retryAfterBusy
	case ReasonKeyPending:
		return retryAfterFetch
	}
	return 0
}

// MayHaveArrived reports whether an attempt that failed for this reason may
// have reached the backend server. An attempt that a gate refused has not.
func (r Reason) MayHaveArrived() bool {
	switch r {
	case ReasonBusy, ReasonLimited, ReasonBudget, ReasonOverload, ReasonLate, ReasonVersion, ReasonLeaving, ReasonNoServer, ReasonDial, ReasonRefused, ReasonCondemned, ReasonQuota, ReasonRoom:
		return false
	}
	return true
}

// LacksRoom reports whether a gate refused the call since it could not get a slot in time.
func (r Reason) LacksRoom() bool { return r == ReasonBusy || r == ReasonLate }

// ExemptFromBudget reports whether a retry after this reason is exempt from the
// retry budget: the instance is stopping, unreachable or kept from getting more
// calls, so retries can't overload it.
func (r Reason) ExemptFromBudget() bool {
	return r == ReasonLeaving || r == ReasonVersion || r == ReasonLimited || r == ReasonNoServer || r == ReasonDial || r == ReasonRefused
}

// CanRetry reports whether a call may be retried after an outcome. A call that
// is not idempotent is retried only if it didn't run. A call that belongs to an
// extra attempt (a retry or hedged request) upstream is not retried either if it
// may have run, so that only one layer of a call chain repeats work.
func CanRetry(o Outcome, idempotent, extra bool) bool {
	if o == OutcomeNotRun {
		return true
	}
	return idempotent && !extra
}
