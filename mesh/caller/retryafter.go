package caller

// This file decides when a refused caller is told to return.

import (
	"net/http"
	"strconv"
	"time"

	"caroblift.dev/mesh/call"
)

const (
	// minRetryAfter is the shortest delay that a refused caller is told to wait.
	// A shorter one would amount to an immediate retry.
	minRetryAfter = 60 * time.Millisecond
	// retryAfterDivisor divides the time that a caller has left to give the
	// longest retry delay. Callers honour delays of up to a third of their time;
	// the margin below a third allows for the network.
	retryAfterDivisor = 3.2
)

// retryAfter returns the delay after which the caller of a refused call may
// retry, or 0 if a retry does not help. The delay covers the backlog where the
// caller has the time, and random jitter in [0, 1) spreads retries over the time
// that callers have left, so that they do not arrive together.
func retryAfter(reason call.Reason, backlog, left time.Duration, random float64) time.Duration {
	after := reason.RetryAfter()
	if after <= 0 {
		return 0
	}
	longest := time.Duration(float64(left) / retryAfterDivisor)
	switch reason {
	case call.ReasonBusy, call.ReasonLimited, call.ReasonBudget, call.ReasonOverload, call.ReasonLate, call.ReasonShed:
		after = backlog + time.Duration(random*float64(max(longest-backlog, 0)))
	case call.ReasonLeaving, call.ReasonDial, call.ReasonRefused, call.ReasonMoved:
		after = minRetryAfter + time.Duration(random*float64(longest)/2)
	default:
		after = min(after, longest/2+time.Duration(random*float64(longest)/2))
	}
	return min(max(after, minRetryAfter), max(longest, minRetryAfter))
}

// parseBacklog returns the time that a new call would wait at a gate, as the
// gate's answer reports it, or 0 if it does not.
func parseBacklog(h http.Header) time.Duration {
	v, err := strconv.ParseInt(h.Get(call.HeaderAfter), 10, 32)
	if err != nil || v < 0 {
		return 0
	}
	return time.Duration(v) * time.Millisecond
}
