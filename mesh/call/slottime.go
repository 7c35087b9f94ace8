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
}

// slotMeter adds up slot time. The zero value is ready for use.
type slotMeter struct {
	total SlotTime
	at    time.Time // up to which Idle is counted; zero before the first call
}

// advance counts the idle time since the last call of advance, during which the given
// number of slots was free.
func (m *slotMeter) advance(free int, now time.Time) {
	if !m.at.IsZero() {
		m.total.Idle += time.Duration(max(0, free)) * max(0, now.Sub(m.at))
	}
	m.at = now
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

// SlotTime returns the slot time used since the Admission exists.
func (a *Admission) SlotTime(now time.Time) SlotTime {
	a.slotTime.advance(a.freeSlots(now), now)
	return a.slotTime.total
}
