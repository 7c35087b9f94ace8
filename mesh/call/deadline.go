package call

// This file defines how a deadline is propagated: as the remaining time, which
// shrinks at each hop.

import (
	"strconv"
	"time"
)

// hopMargin is subtracted at each hop, so that a hop can still respond when the
// next one runs out of time.
const hopMargin = time.Millisecond

// Timeout returns the timeout of a call: that of the route, or the node's default
// if the route has none, capped by the remaining time in HeaderDeadline.
func Timeout(route, fallback time.Duration, header string) time.Duration {
	d := route
	if d <= 0 {
		d = fallback
	}
	if left, ok := ParseTimeLeft(header); ok {
		d = min(d, left)
	}
	return d
}

// FormatTimeLeft returns the remaining time for the next hop, in ms, as the
// value of HeaderDeadline. It returns "0" when no time remains.
func FormatTimeLeft(deadline, now time.Time) string {
	left := deadline.Sub(now) - hopMargin
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

// ParseTimeLeft parses the value of HeaderDeadline. It returns false when the
// value is empty or not a number of ms.
func ParseTimeLeft(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
