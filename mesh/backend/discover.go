package backend

// This file finds the backend server beside a node that has just started. After a
// restart of many nodes at once, calls would otherwise be refused until the next
// announcement of each server.

import (
	"context"
	"time"
)

const (
	// discoveredSlots is the number of slots of a server that was found and has not
	// announced them yet. A server that has fewer queues the calls beyond them.
	discoveredSlots = 8
	// discoveredLeaseDivisor divides the lease to give that of a server that was
	// found. It has to announce itself soon: one that is leaving may not.
	discoveredLeaseDivisor = 4
)

// discover asks for the backend server until one is found or announces itself, or
// until the lease of one that was found would end. A server that was found is in
// force like an announced one, with discoveredSlots.
func (a *Announcer) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.config.Lease/discoveredLeaseDivisor)
	defer cancel()
	for ctx.Err() == nil && !a.heard() {
		if found := a.config.Discover(ctx); found != nil {
			found.Slots, found.found = discoveredSlots, true
			if err := found.validate(a.config.IsLocal).Err(); err != nil {
				a.LogRefused(err)
				return nil
			}
			a.applyDiscovered(found)
			return nil
		}
		timer := time.NewTimer(healthRetryDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// heard reports whether an announcement has arrived.
func (a *Announcer) heard() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.newest != nil || a.healthCheck.newest != nil
}

// applyDiscovered puts a server that was found in force, unless it has announced
// itself meanwhile. Its health needs no second check.
func (a *Announcer) applyDiscovered(found *Announcement) {
	a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
		if a.lease.newest != nil || a.healthCheck.newest != nil || !a.lease.renew(found, now) {
			return false, nil, false
		}
		a.healthCheck = healthCheck{incarnation: *found, newest: found, passed: true}
		next, changed := a.lease.evaluate(now)
		return true, next, changed
	})
}
