package connlimit

import "time"

// bucket is a token bucket. The zero time of its last use fills it.
type bucket struct {
	rate, burst float64 // tokens a second, and at most
	tokens      float64
	at          time.Time
}

// take removes n tokens if there are as many.
func (b *bucket) take(n float64, now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
