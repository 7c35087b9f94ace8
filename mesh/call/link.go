package call

// This file shares the link of an instance between large answers and all else.
// It answers loads of downloads near and above what the link can carry, where a
// few large answers would hold up every small one, and later ones would all be
// late. Large answers are sent one after the other by what all else leaves of
// the link, and calls whose answer would wait too long are refused before they
// run.

import "time"

const (
	// LargeAnswer is the size from which an answer waits for its turn, in bytes:
	// one holds a link of 5 Mbit/s for 50 ms, half the objective of a quick call.
	LargeAnswer = 32 << 10
	// fullShare is the part of the link that is used at most: what is sent comes
	// in bursts, and framing and acknowledgements are not counted.
	fullShare = 0.7
	// leastShare is the part of the link that large answers take together
	// however much else is sent, so that some are sent at all.
	leastShare = 0.2
	// restShare is the part of a new rate of all else in its average, and
	// restEvery how often it is taken: some twenty small answers apart.
	restShare = 0.3
	restEvery = 250 * time.Millisecond
	// sizeShare is the part of a new size in the average of its class.
	sizeShare = 0.1
)

// Link is the way out of an instance. The nil Link is as fast as need be. It is
// not safe for concurrent use.
type Link struct {
	whole float64 // bytes/s of the link
	rest  float64 // bytes/s of all that is not a large answer
	large int64   // bytes of large answers so far
	sent  int64   // bytes of everything at the time below
	taken time.Time
	free  time.Time         // when those let through so far have been sent
	ahead float64           // bytes that calls in progress are expected to add
	sizes averages[float64] // bytes of answers by class
}

// NewLink returns a link of a rate in bytes a second; nil when it is not known.
func NewLink(rate float64) *Link {
	if rate <= 0 {
		return nil
	}
	return &Link{whole: rate}
}

// Sent takes the bytes that the instance has sent so far by any way, of which
// the link learns what large answers leave to all else.
func (l *Link) Sent(total int64, now time.Time) {
	passed := now.Sub(l.taken)
	if passed < restEvery {
		return
	}
	if !l.taken.IsZero() {
		rest := max(0, float64(total-l.sent-l.large)/passed.Seconds())
		l.rest += restShare * (rest - l.rest)
	}
	l.sent, l.large, l.taken = total, 0, now
}

// Gone takes bytes of a large answer that have been sent.
func (l *Link) Gone(bytes int64) { l.large += bytes }

// rate returns the bytes/s of large answers together.
func (l *Link) rate() float64 {
	return max(fullShare*l.whole-l.rest, leastShare*l.whole)
}

// size returns the bytes that an answer of a class is expected to have, or 0
// when it is not expected to be large.
func (l *Link) size(class string) float64 {
	if size := l.sizes.of(class, 0); size >= LargeAnswer {
		return size
	}
	return 0
}

// Learn takes the size of an answer.
func (l *Link) Learn(class string, bytes int64) {
	if l != nil {
		l.sizes.add(class, float64(bytes), sizeShare)
	}
}

// Backlog returns how long a large answer that is ready now would wait, those
// to calls in progress being ahead of it.
func (l *Link) Backlog(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(0, l.free.Sub(now)) + l.time(l.ahead)
}

// Expected returns how long an answer of a class would take to be sent, its
// turn included; 0 for one that is not expected to be large.
func (l *Link) Expected(class string, now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	size := l.size(class)
	if size == 0 {
		return 0
	}
	return l.Backlog(now) + l.time(size)
}

// Begin takes that a call of a class runs, and returns the bytes that it is
// expected to add, for End.
func (l *Link) Begin(class string) float64 {
	if l == nil {
		return 0
	}
	size := l.size(class)
	l.ahead += size
	return size
}

// End takes that a call has been answered or has failed.
func (l *Link) End(expected float64) {
	if l != nil {
		l.ahead = max(0, l.ahead-expected)
	}
}

// Reserve gives an answer that is ready its turn. It returns the time from
// which it may be sent, and how long one byte takes.
func (l *Link) Reserve(bytes int64, now time.Time) (start time.Time, each float64) {
	if l.free.Before(now) {
		l.free = now
	}
	start = l.free
	l.free = start.Add(l.time(float64(bytes)))
	return start, 1 / l.rate()
}

// Return gives back what was reserved and not sent.
func (l *Link) Return(bytes int64) { l.free = l.free.Add(-l.time(float64(bytes))) }

// time returns how long bytes take.
func (l *Link) time(bytes float64) time.Duration {
	return time.Duration(bytes / l.rate() * float64(time.Second))
}
