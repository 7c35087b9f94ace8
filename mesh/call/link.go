package call

// This file divides the capacity of an instance's network link between large
// responses and other traffic. It handles downloads near and above the capacity
// of the link, where a few large responses would delay every small one and later
// large ones would all miss their objective. Large responses are sent one at a
// time, at the rate that other traffic leaves. A call whose response would wait
// too long is refused before it runs.

import "time"

const (
	// LargeResponseSize is the size from which a response is large and waits
	// for its turn, in bytes. Sending one takes 50 ms at 5 Mbit/s, which is
	// half of the objective of a quick call.
	LargeResponseSize = 32 << 10
	// maxLinkShare is the maximum share of the link capacity to use. The rest is
	// for bursts, and for framing and acknowledgements, which are not counted.
	maxLinkShare = 0.7
	// minLargeShare is the share of the link capacity that large responses get
	// even if other traffic needs more, so that they make progress.
	minLargeShare = 0.2
	// otherRateWeight is the weight of a new sample in the average rate of other
	// traffic. otherRateInterval is the minimum time between samples, in which
	// about twenty small responses are sent.
	otherRateWeight   = 0.3
	otherRateInterval = 250 * time.Millisecond
	// sizeWeight is the weight of a new sample in the average response size of a
	// class.
	sizeWeight = 0.1
)

// Link schedules large responses on the outgoing network link of an instance. A
// nil Link has unlimited rate. It is not safe for concurrent use.
type Link struct {
	capacity     float64                // bytes/s
	otherRate    float64                // average bytes/s of other traffic
	largeSent    int64                  // bytes of large responses since sampledAt
	totalSent    int64                  // bytes of all traffic at sampledAt
	sampledAt    time.Time              // time of the last sample
	freeAt       time.Time              // time at which all reserved responses will have been sent
	pendingBytes float64                // expected bytes of large responses to calls in progress
	sizes        classAverages[float64] // average response size by class, in bytes
}

// NewLink returns a link of a rate in bytes/s, or nil if the rate is not
// positive, which stands for unknown.
func NewLink(rate float64) *Link {
	if rate <= 0 {
		return nil
	}
	return &Link{capacity: rate}
}

// RecordSent records the total number of bytes that the instance has sent so
// far. The link derives the rate of other traffic from it. Totals within
// otherRateInterval of the last sample are ignored.
func (l *Link) RecordSent(total int64, now time.Time) {
	if l == nil {
		return
	}
	elapsed := now.Sub(l.sampledAt)
	if elapsed < otherRateInterval {
		return
	}
	if !l.sampledAt.IsZero() {
		otherRate := max(0, float64(total-l.totalSent-l.largeSent)/elapsed.Seconds())
		l.otherRate += otherRateWeight * (otherRate - l.otherRate)
	}
	l.totalSent, l.largeSent, l.sampledAt = total, 0, now
}

// RecordLargeSent records bytes of a large response that have been sent.
func (l *Link) RecordLargeSent(bytes int64) {
	if l != nil {
		l.largeSent += bytes
	}
}

// largeRate returns the bytes/s that large responses may use together.
func (l *Link) largeRate() float64 {
	return max(maxLinkShare*l.capacity-l.otherRate, minLargeShare*l.capacity)
}

// expectedSize returns the expected size of a response of a class, in bytes, or 0
// if it is not expected to be large.
func (l *Link) expectedSize(class string) float64 {
	if size := l.sizes.get(class, 0); size >= LargeResponseSize {
		return size
	}
	return 0
}

// RecordSize records the size of a response.
func (l *Link) RecordSize(class string, bytes int64) {
	if l != nil {
		l.sizes.add(class, float64(bytes), sizeWeight)
	}
}

// QueueDelay returns how long a new large response would wait for its turn, if
// the responses to all calls in progress were sent before it.
func (l *Link) QueueDelay(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(0, l.freeAt.Sub(now)) + l.sendTime(l.pendingBytes)
}

// ExpectedSendTime returns how long a new response of a class would take to be
// sent, including the wait for its turn. It returns 0 if the response is not
// expected to be large.
func (l *Link) ExpectedSendTime(class string, now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	size := l.expectedSize(class)
	if size == 0 {
		return 0
	}
	return l.QueueDelay(now) + l.sendTime(size)
}

// Begin records that a call of a class has started. It returns the expected size
// of a large response, or 0, which must be passed to End.
func (l *Link) Begin(class string) float64 {
	if l == nil {
		return 0
	}
	size := l.expectedSize(class)
	l.pendingBytes += size
	return size
}

// End records that the response to a call is complete or that the call failed.
func (l *Link) End(expected float64) {
	if l != nil {
		l.pendingBytes = max(0, l.pendingBytes-expected)
	}
}

// Reserve schedules a large response that is ready. It returns the time from
// which the response may be sent and the seconds that each byte takes.
func (l *Link) Reserve(bytes int64, now time.Time) (start time.Time, secondsPerByte float64) {
	if l == nil {
		return now, 0
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	start = l.freeAt
	l.freeAt = start.Add(l.sendTime(float64(bytes)))
	return start, 1 / l.largeRate()
}

// Unreserve cancels the reservation of bytes that were not sent.
func (l *Link) Unreserve(bytes int64) {
	if l != nil {
		l.freeAt = l.freeAt.Add(-l.sendTime(float64(bytes)))
	}
}

// sendTime returns how long large responses of that many bytes take to be sent.
func (l *Link) sendTime(bytes float64) time.Duration {
	return time.Duration(bytes / l.largeRate() * float64(time.Second))
}
