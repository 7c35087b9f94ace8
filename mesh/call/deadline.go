package call

// This file defines how a deadline travels: as the time left, which shrinks at
// each hop.

import (
	"strconv"
	"time"
)

// hopMargin is kept back at each hop, so that the hop before it can still
// answer when the next one runs out of time.
const hopMargin = time.Millisecond

// Timeout returns the time that a call may take: the route's timeout, or the
// node's default where the route has none, shortened by the time left that the
// call carries.
func Timeout(route, standard time.Duration, carried string) time.Duration {
	d := route
	if d <= 0 {
		d = standard
	}
	if left, ok := ParseLeft(carried); ok {
		d = min(d, left)
	}
	return d
}

// FormatLeft returns the time left for the next hop, in ms. The result is "0"
// when there is none.
func FormatLeft(deadline, now time.Time) string {
	left := deadline.Sub(now) - hopMargin
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

// ParseLeft reads a time left. It returns false when there is none or it is no
// number of ms.
func ParseLeft(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
