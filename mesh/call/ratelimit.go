package call

// This file decides which limit of requests a second is in force for a backend server
// that names one in its answers, and which calls may be sent under it. All calls to a
// server pass one gate, so a token bucket there holds for the callers of all nodes.

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// NamedLimit is what an answer of a backend server says about the requests that the
// server takes from all callers together.
type NamedLimit struct {
	Rate  float64 // requests a second
	Named bool    // false if the answer names no limit
}

const (
	// burstTime is the time whose requests may come at once.
	burstTime = 500 * time.Millisecond
	// minBurst is the smallest burst: a token for an urgent call and one for others.
	minBurst = 2
	// endingAnswers is the number of answers in a row without a limit that end it: one may
	// lack the header for another reason.
	endingAnswers = 2
	// urgentFor is how long the most urgent priority is remembered without a call.
	urgentFor = 5 * time.Second
	// minRate is the rate, in requests a second, below which no limit is kept. A server
	// that gets no call can't say that it takes some again.
	minRate = 0.25
	// maxRate is the rate above which a limit has no effect, in requests a second.
	maxRate = 1e6
)

// RateLimit holds the limit in force and its token bucket. Answers are not read in the
// order in which the server wrote them, so an answer that ends or raises a limit counts
// only if its call was sent after the answer that named the limit was read. The zero
// value has no limit. It is not safe for concurrent use.
type RateLimit struct {
	named   NamedLimit
	namedAt time.Time     // when an answer that named the limit was last read
	since   time.Time     // when the limit came into force
	source  string        // ID of the call whose answer brought it
	heard   bool          // an answer to a call was observed
	unnamed int           // answers without a limit since the last one that named it, of calls sent after that
	bucket  *rate.Limiter // nil without a limit

	urgent     int       // most urgent priority seen, forgotten when no call of it came for urgentFor
	urgentSeen time.Time // when a call of that priority last came
}

// Observe records what the answer to a call says about the limit, and reports whether
// that changes the limit in force. sentAt is when the call was sent; the zero time stands
// for an answer that may only lower the limit. It takes endingAnswers to end one.
func (l *RateLimit) Observe(in NamedLimit, source string, sentAt, now time.Time) bool {
	l.heard = true
	return l.change(in, source, sentAt, now)
}

// Adopt records a limit that another node, or a health check, has heard of, and reports
// whether that changes the limit in force. It has no effect once an answer to a call was
// observed, and can't end or raise a limit. Calls may have been sent just before, so
// that no token is there at first.
func (l *RateLimit) Adopt(in NamedLimit, source string, now time.Time) bool {
	if l.heard || !in.Named || !l.change(in, source, time.Time{}, now) {
		return false
	}
	l.bucket.AllowN(now, int(l.bucket.TokensAt(now)))
	return true
}

func (l *RateLimit) change(in NamedLimit, source string, sentAt, now time.Time) bool {
	lowers := in.Named && (!l.named.Named || in.Rate <= l.named.Rate)
	if !lowers && !sentAt.After(l.namedAt) {
		return false
	}
	if in.Named {
		l.namedAt, l.unnamed = now, 0
	} else {
		l.unnamed++
	}
	if in == l.named || !in.Named && l.unnamed < endingAnswers {
		return false
	}
	l.named, l.since, l.source = in, now, source
	l.fill(now)
	return true
}

// fill makes the bucket follow the limit in force.
func (l *RateLimit) fill(now time.Time) {
	if !l.named.Named {
		l.bucket = nil
		return
	}
	perSecond := min(max(l.named.Rate, minRate), maxRate)
	burst := max(minBurst, int(math.Ceil(perSecond*burstTime.Seconds())))
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
}

// tokens returns how many calls may be sent now.
func (l *RateLimit) tokens(now time.Time) float64 {
	if l.bucket == nil {
		return math.Inf(1)
	}
	return l.bucket.TokensAt(now)
}

// take takes the token of a call that is sent.
func (l *RateLimit) take(now time.Time) {
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
}

// seen records a call of a priority, and reports whether none more urgent came lately.
func (l *RateLimit) seen(priority int, now time.Time) bool {
	if priority <= l.urgent || now.Sub(l.urgentSeen) > urgentFor {
		l.urgent, l.urgentSeen = priority, now
	}
	return priority <= l.urgent
}

// needed returns how many tokens must be there for a call behind the given number of
// queued ones. A call that is not urgent leaves one.
func needed(queued int, urgent bool) float64 {
	if urgent {
		return float64(queued + 1)
	}
	return float64(queued + 2)
}

// wait returns how long a call would wait for its token.
func (l *RateLimit) wait(queued int, urgent bool, now time.Time) time.Duration {
	missing := needed(queued, urgent) - l.tokens(now)
	if l.bucket == nil || missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.bucket.Limit()) * float64(time.Second))
}

// LimitState describes the limit in force, for logs.
type LimitState struct {
	NamedLimit
	Age    time.Duration // since it came into force
	Source string        // ID of the call whose answer brought it
	Tokens float64       // calls that may be sent now
}

// State returns the limit in force; the zero LimitState if there is none.
func (l *RateLimit) State(now time.Time) LimitState {
	if !l.named.Named {
		return LimitState{}
	}
	return LimitState{NamedLimit: l.named, Age: now.Sub(l.since), Source: l.source, Tokens: l.tokens(now)}
}

// ObserveLimit records what an answer of the backend server says about its limit, as
// RateLimit.Observe does. It returns whether that changes the limit, and the waiters
// that are rejected as a result.
func (a *Admission) ObserveLimit(in NamedLimit, source string, sentAt, now time.Time) (bool, []*Waiter) {
	if !a.rateLimit.Observe(in, source, sentAt, now) {
		return false, nil
	}
	return true, a.rejectLimited(now)
}

// AdoptLimit adopts a limit as RateLimit.Adopt does, and returns the same as
// ObserveLimit.
func (a *Admission) AdoptLimit(in NamedLimit, source string, now time.Time) (bool, []*Waiter) {
	if !a.rateLimit.Adopt(in, source, now) {
		return false, nil
	}
	return true, a.rejectLimited(now)
}

// rejectLimited rejects the queued waiters for which there is no token, and returns
// them.
func (a *Admission) rejectLimited(now time.Time) []*Waiter {
	var rejected []*Waiter
	for tokens := a.rateLimit.tokens(now); float64(len(a.queue)) > tokens; {
		i := a.lastIndex(now)
		w := a.queue[i]
		a.queue = append(a.queue[:i], a.queue[i+1:]...)
		a.refuse(w, ReasonLimited, now)
		rejected = append(rejected, w)
	}
	return rejected
}

// ResetLimit ends the limit, since another backend server follows.
func (a *Admission) ResetLimit() { a.rateLimit = RateLimit{} }

// LimitState describes the limit in force.
func (a *Admission) LimitState(now time.Time) LimitState { return a.rateLimit.State(now) }

// LimitWait returns how long a new call like w would wait for the limit.
func (a *Admission) LimitWait(w *Waiter, now time.Time) time.Duration {
	return a.rateLimit.wait(len(a.queue), w.nested || w.Priority <= a.rateLimit.urgent, now)
}

// limited reports whether the limit leaves no room for a waiter, behind the queued ones.
// Nested calls, of which the work of the calling ones is already done, and those of the
// most urgent priority may take the last token.
func (a *Admission) limited(w *Waiter, now time.Time) bool {
	urgent := a.rateLimit.seen(w.Priority, now) || w.nested
	return a.rateLimit.tokens(now) < needed(len(a.queue), urgent)
}

// lastIndex returns the queue index of the waiter that all others precede.
func (a *Admission) lastIndex(now time.Time) int {
	last := 0
	for i := 1; i < len(a.queue); i++ {
		if !a.precedes(a.queue[i], a.queue[last], now) {
			last = i
		}
	}
	return last
}
