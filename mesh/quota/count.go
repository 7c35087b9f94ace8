package quota

// This file counts calls by time slot.

import "time"

const (
	// reportedTime is the time whose calls a node reports, about one heartbeat interval: a
	// longer one delays the detection of an overload.
	reportedTime = 500 * time.Millisecond

	slotTime  = 100 * time.Millisecond
	perSecond = int64(time.Second / slotTime) // slots of a second
	reported  = int64(reportedTime / slotTime)
	slotCount = 32 // 3.2 s: a second that ended up to 2.1 s ago can be read
)

// counter counts calls by time slot.
type counter struct {
	counts [slotCount]uint32
	slot   int64 // the current one
}

func slotOf(at time.Duration) int64 { return int64(at / slotTime) }

// advance moves to the slot of a time and reports whether it is a new one.
func (c *counter) advance(at time.Duration) bool {
	slot := slotOf(at)
	if slot <= c.slot {
		return false
	}
	for s := max(c.slot+1, slot-slotCount+1); s <= slot; s++ {
		c.counts[s%slotCount] = 0
	}
	c.slot = slot
	return true
}

func (c *counter) add() { c.counts[c.slot%slotCount]++ }

// before returns the calls of a number of slots before the slot of a time.
func (c *counter) before(at time.Duration, slots int64) uint32 {
	end := slotOf(at)
	n := uint32(0)
	for s := max(end-slots, c.slot-slotCount+1, 0); s < min(end, c.slot+1); s++ {
		n += c.counts[s%slotCount]
	}
	return n
}

// growth returns the factor by which the calls have increased beyond chance since an
// earlier time, or 1.
func (c *counter) growth(earlier, at time.Duration) float64 {
	return growth(c.before(at, reported), c.before(earlier, reported))
}
