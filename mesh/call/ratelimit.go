package call

// This file decides which limit of requests a second is in force for a backend server
// that names one in its answers.

import "time"

// NamedLimit is what an answer of a backend server says about the requests that the
// server takes from all callers together.
type NamedLimit struct {
	Rate  float64 // requests a second
	Named bool    // false if the answer names no limit
}

// RateLimit holds the limit in force. Answers are not read in the order in which the
// server wrote them, so an answer that ends or raises a limit counts only if its call
// was sent after the answer that named the limit was read. The zero value has none. It
// is not safe for concurrent use.
type RateLimit struct {
	named   NamedLimit
	namedAt time.Time // when an answer that named the limit was last read
	since   time.Time // when the limit came into force
	source  string    // ID of the call whose answer brought it
}

// Observe records what the answer to a call says about the limit, and reports whether
// that changes the limit in force. sentAt is when the call was sent; the zero time
// stands for an answer that may only lower the limit.
func (l *RateLimit) Observe(in NamedLimit, source string, sentAt, now time.Time) bool {
	lowers := in.Named && (!l.named.Named || in.Rate <= l.named.Rate)
	if !lowers && !sentAt.After(l.namedAt) {
		return false
	}
	if in.Named {
		l.namedAt = now
	}
	if in == l.named {
		return false
	}
	l.named, l.since, l.source = in, now, source
	return true
}

// LimitState describes the limit in force, for logs.
type LimitState struct {
	NamedLimit
	Age    time.Duration // since it came into force
	Source string        // ID of the call whose answer brought it
}

// State returns the limit in force; the zero LimitState if there is none.
func (l *RateLimit) State(now time.Time) LimitState {
	if !l.named.Named {
		return LimitState{}
	}
	return LimitState{NamedLimit: l.named, Age: now.Sub(l.since), Source: l.source}
}
