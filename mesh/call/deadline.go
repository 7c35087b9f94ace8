package call

// This file defines how a deadline is propagated: as the remaining time, which
// shrinks at each hop.

import (
	"math"
	"strconv"
	"time"

	"caroblift.dev/mesh/decimal"
)

// hopMargin is subtracted at each hop, so that a hop can still respond when the
// next one runs out of time.
const hopMargin = time.Millisecond

// maxTimeLeft bounds the remaining time of a call that ParseTimeLeft returns.
const maxTimeLeft = math.MaxInt32 * time.Millisecond

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

// ParseTimeLeft parses the value of HeaderDeadline, rounded down to ms and at most
// maxTimeLeft. It returns false when the value is not a number of ms from 0.
func ParseTimeLeft(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	n, err := decimal.Parse(text)
	if err != nil || n.Sign() < 0 {
		return 0, false
	}
	return time.Duration(n.Floor(uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond, true
}
