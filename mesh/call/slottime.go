package call

// This file accounts for the time of a backend server's slots: how much of it went into
// answers in time, into late ones and into runs in vain, and how much was left.

import "time"

// SlotTime is slot time by its use: one slot that is used for a second is a second. A use
// is counted when it ends.
type SlotTime struct {
	InTime time.Duration // answers within their objective, or to calls without one
	Late   time.Duration // answers after their objective
	Vain   time.Duration // calls that failed, were aborted or did not run
	Idle   time.Duration // no call held the slot
	Held   time.Duration // slow start or pacing kept the slot from calls
}

// slotMeter adds up slot time. The zero value is ready for use.
type slotMeter struct {
	total SlotTime
	at    time.Time // up to which Idle is counted; zero before the first call
}

// advance counts the idle time since the last call of advance, during which the given
// numbers of slots were free or kept from calls.
func (m *slotMeter) advance(free, held int, now time.Time) {
	if !m.at.IsZero() {
		passed := max(0, now.Sub(m.at))
		m.total.Idle += time.Duration(max(0, free)) * passed
		m.total.Held += time.Duration(max(0, held)) * passed
	}
	m.at = now
}

// advanceSlotTime counts the time up to now by the current numbers of slots.
func (a *Admission) advanceSlotTime(now time.Time) {
	a.slotTime.advance(a.freeSlots(now), a.heldSlots(now), now)
}

// use counts the time for which a waiter held a slot.
func (m *slotMeter) use(w *Waiter, result Result, now time.Time) {
	held := now.Sub(w.admittedAt)
	switch {
	case result != ResultSuccess:
		m.total.Vain += held
	case !w.Objective.IsZero() && now.After(w.Objective):
		m.total.Late += held
	default:
		m.total.InTime += held
	}
}

// freeSlots returns the number of slots that no call holds, which is 0 while all calls are
// refused.
func (a *Admission) freeSlots(now time.Time) int {
	if a.closed {
		return 0
	}
	return a.Slots(now) - a.inProgress
}

// heldSlots returns the number of slots that calls may not use yet, although the server has
// them.
func (a *Admission) heldSlots(now time.Time) int {
	if a.closed {
		return 0
	}
	return a.limits.Slots - max(a.Slots(now), a.inProgress)
}

// SlotTime returns the slot time used since the Admission exists.
func (a *Admission) SlotTime(now time.Time) SlotTime {
	a.advanceSlotTime(now)
	return a.slotTime.total
}
