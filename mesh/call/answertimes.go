package call

// This file remembers when requests were last answered.

import (
	"encoding/binary"
	"sync/atomic"
	"time"
)

// answerSlots is the number of answered requests whose time is remembered. A service's
// popular requests keep their slots, since each answer takes its slot anew.
const answerSlots = 2048

// answerTimes remembers when requests were last answered, by their fingerprints. A
// request may lose its slot to another one with the same remainder.
type answerTimes struct {
	since time.Time // to which the times below are relative, so that steps of the time of day don't matter
	slots [answerSlots]struct{ request, at atomic.Uint64 }
}

// record remembers that a request was answered at a time.
func (t *answerTimes) record(f Fingerprint, at time.Time) {
	key := f.key()
	slot := &t.slots[key%answerSlots]
	slot.request.Store(0) // a reader between the two stores must not take the time for the other request's
	slot.at.Store(uint64(max(0, at.Sub(t.since))))
	slot.request.Store(key)
}

// last returns when a request was last answered, or the zero time if it is not known.
func (t *answerTimes) last(f Fingerprint) time.Time {
	key := f.key()
	slot := &t.slots[key%answerSlots]
	at := slot.at.Load()
	if slot.request.Load() != key {
		return time.Time{}
	}
	return t.since.Add(time.Duration(at))
}

// key returns a part of the fingerprint that is not 0, which means an unused slot.
func (f Fingerprint) key() uint64 { return max(1, binary.BigEndian.Uint64(f[:8])) }
