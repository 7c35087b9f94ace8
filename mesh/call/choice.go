package call

// This file chooses among the instances of a service: near ones first, others
// when those are busy, ejected ones last.

import (
	"slices"
	"sync"
	"time"
)

const (
	spillBusy   = 0.75 // load of the near instance from which others are compared
	spillMargin = 0.25 // by which another must be less loaded
)

// Choice holds the instances of one service that an entry node uses. Near and
// Far never change.
type Choice struct {
	Near []*Instance // in the node's own failure domain
	Far  []*Instance

	mu sync.Mutex // held while ejecting
}

// Len returns the number of instances.
func (c *Choice) Len() int { return len(c.Near) + len(c.Far) }

// room is the number of instances that a pick holds on the stack.
const room = 32

// Pick returns an instance that is not among those tried, or nil. An ejected
// one is returned only when there is no other.
func (c *Choice) Pick(p Policy, tried []*Instance, now time.Time, rand Rand) *Instance {
	near := pick(p, c.Near, tried, now, rand)
	if near != nil && near.Busy(now) < spillBusy {
		return near
	}
	far := pick(p, c.Far, tried, now, rand)
	switch {
	case near == nil && far == nil:
		return c.last(tried)
	case near == nil:
		return far
	case far != nil && far.Busy(now)+spillMargin < near.Busy(now):
		return far
	}
	return near
}

// pick applies a policy to those instances that are neither tried nor ejected.
func pick(p Policy, from, tried []*Instance, now time.Time, rand Rand) *Instance {
	var buffer [room]*Instance
	able := buffer[:0]
	for _, i := range from {
		if !i.Ejected(now) && !slices.Contains(tried, i) {
			able = append(able, i)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return p.Pick(able, now, rand)
}

// last returns an instance that was not tried, ejected or not.
func (c *Choice) last(tried []*Instance) *Instance {
	for _, from := range [][]*Instance{c.Near, c.Far} {
		for _, i := range from {
			if !slices.Contains(tried, i) {
				return i
			}
		}
	}
	return nil
}

// Judge takes the result of an attempt at an instance. At most half of the
// instances are ejected at one time, so a service never loses all of them.
// Judge tells whether it ejected the instance.
func (c *Choice) Judge(i *Instance, good bool, now time.Time) bool {
	if good {
		i.succeed(now)
		return false
	}
	if !i.fail(now) || i.Ejected(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if 2*(c.ejected(now)+1) > len(c.Near)+len(c.Far) {
		return false
	}
	i.eject(now)
	return true
}

func (c *Choice) ejected(now time.Time) int {
	n := 0
	for _, from := range [][]*Instance{c.Near, c.Far} {
		for _, i := range from {
			if i.Ejected(now) {
				n++
			}
		}
	}
	return n
}
