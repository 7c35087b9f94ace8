package call

// This file chooses the gates for the attempts of one call whose route sets a latency
// objective. It handles shortages: each attempt costs processor time of two nodes, so that
// calls which ask many gates before they are refused would take that time from calls which
// could be served.

import (
	"slices"
	"time"
)

const (
	// maxShortAttempts bounds the attempts of a call that wait for a short time only. Each
	// reports the gate's load, which a node that sends the gate few calls rarely learns from
	// answers.
	maxShortAttempts = 5
	// maxLongAttempts bounds the attempts of a call that may wait for as long as the objective
	// allows. After a gate refuses even that, only a free slot elsewhere helps.
	maxLongAttempts = 1
	// searchPercent is the number of calls in a hundred that may search further after the
	// gates had no room, on average. The burst of a Budget is beyond it.
	searchPercent = 25
)

// Placement chooses the gates for one call, one attempt after the other: first the one
// where it is expected to finish soonest, for a short wait, then the best one for a longer
// wait. A call that has found no room at these two searches further only if the service's
// search budget allows it: in a shortage of the whole service nearly all gates are full. It
// is not safe for concurrent use.
type Placement struct {
	Balancer  *Balancer
	Search    *Budget // further searches of the calls to the service
	Bulk      bool
	Objective time.Duration
	Tried     []*Instance // of all attempts, the latest last

	excluded      []*Instance // tried instances that must not be used again
	shortAttempts int
	longAttempts  int
	noRoom        int // attempts that found no room
}

// Begin pays into the search budget for a new call.
func (p *Placement) Begin() { p.Search.Deposit(searchPercent) }

// Next chooses the instance for the next attempt, and whether it may wait for a short time
// only. It returns nil if there is none.
func (p *Placement) Next(now time.Time, rand Rand) (chosen *Instance, shortWait bool) {
	// The call may wait longer at a gate that had no room for a short wait, but not at one
	// that failed or refused a longer one.
	best, bestCost := p.Balancer.PickLowestCost(p.Bulk, p.Objective, p.excluded, now, rand)
	if best == nil {
		return nil, false
	}
	untried, untriedCost := p.untried(now, rand)
	preferred := untriedCost <= bestCost || untried == best || p.longAttempts == maxLongAttempts
	switch {
	case untried != nil && preferred && p.maySearch():
		p.shortAttempts++
		best, shortWait = untried, true
	case p.longAttempts < maxLongAttempts:
		p.longAttempts++
	default:
		return nil, false
	}
	p.Tried = append(p.Tried, best)
	return best, shortWait
}

// untried returns the best instance for an attempt with a short wait, or nil if none is left.
func (p *Placement) untried(now time.Time, rand Rand) (*Instance, float64) {
	if p.shortAttempts == maxShortAttempts || p.Balancer.Len() == 1 {
		return nil, 0
	}
	return p.Balancer.PickLowestCost(p.Bulk, p.Objective, p.Tried, now, rand)
}

// maySearch reports whether another attempt with a short wait is allowed, and pays for it.
// One that follows failures, rather than a want of room, is free.
func (p *Placement) maySearch() bool { return p.noRoom == 0 || p.Search.Withdraw() }

// Last reports whether no attempt follows the one just chosen if it finds no room.
func (p *Placement) Last(now time.Time, rand Rand) bool {
	if p.longAttempts < maxLongAttempts {
		return false
	}
	untried, _ := p.untried(now, rand)
	return untried == nil || p.Search.Available() == 0
}

// RecordFailure records that the latest attempt, at an instance, failed for a reason.
func (p *Placement) RecordFailure(i *Instance, reason Reason, shortWait bool) {
	if reason.LacksRoom() || reason == ReasonLimited {
		p.noRoom++
	}
	if reason == ReasonBusy && shortWait {
		return
	}
	if !slices.Contains(p.excluded, i) {
		p.excluded = append(p.excluded, i)
	}
}
