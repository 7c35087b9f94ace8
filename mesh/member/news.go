package member

// This file contains the queue of events that wait for gossip.

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Limits of the gossip that a node sends. Events beyond the rate wait in the
// queue; events dropped from the queue spread by anti-entropy.
const (
	gossipBytesPerSecond = 10 << 10 // to all neighbours together
	gossipBurstBytes     = 32 << 10
	maxGossipEvents      = 64   // in one message
	maxQueuedEvents      = 4096 // in each of urgent and normal
)

// eventKey identifies events in the queue: a newer event replaces an older one
// with the same key.
type eventKey struct {
	name    string
	verdict bool
}

// eventQueue holds events until they are sent, once, to all neighbours. A token
// bucket limits the rate. An event that becomes urgent leaves its key in normal
// as well, where it no longer counts.
type eventQueue struct {
	events     map[eventKey]queuedEvent
	urgent     []eventKey // events that isUrgent accepts, in the order of arrival
	normal     []eventKey // all others, in the order of arrival
	budget     float64    // tokens in bytes
	refilledAt time.Time
}

// queuedEvent is an event and whether its key is in urgent.
type queuedEvent struct {
	member *wire.Member
	urgent bool
}

// add queues an event, or replaces an older one with the same key. When urgent
// or normal is full, its oldest event is dropped.
func (q *eventQueue) add(m *wire.Member) {
	if q.events == nil {
		q.events = map[eventKey]queuedEvent{}
	}
	k := eventKey{m.GetName(), IsVerdict(m)}
	old, queued := q.events[k]
	urgent := old.urgent || isUrgent(m)
	q.events[k] = queuedEvent{m, urgent}
	switch {
	case urgent && !old.urgent:
		q.urgent = append(q.urgent, k)
	case !queued:
		q.normal = append(q.normal, k)
	}
	if len(q.normal) > maxQueuedEvents {
		q.take(&q.normal)
	}
	if len(q.urgent) > maxQueuedEvents {
		q.take(&q.urgent)
	}
}

// take removes the oldest key of urgent or normal, and returns the event, or nil
// if the event has left the queue or has moved to urgent.
func (q *eventQueue) take(keys *[]eventKey) *wire.Member {
	k := (*keys)[0]
	*keys = (*keys)[1:]
	e, queued := q.events[k]
	if !queued || e.urgent != (keys == &q.urgent) {
		return nil
	}
	delete(q.events, k)
	return e.member
}

// len returns the number of events in the queue.
func (q *eventQueue) len() int { return len(q.events) }

// hasUrgent reports whether an event in the queue is urgent.
func (q *eventQueue) hasUrgent() bool {
	return slices.ContainsFunc(q.urgent, func(k eventKey) bool { return q.events[k].urgent })
}

// isUrgent reports whether an event is sent before others and without delay: an
// instance or a backend server is leaving, an instance is dead, or it has lost its
// backend server. One that has just started has none yet.
func isUrgent(m *wire.Member) bool {
	switch {
	case m.GetState() == wire.State_STATE_LEAVING || m.GetState() == wire.State_STATE_DEAD || recordsDeparture(m):
		return true
	case m.GetState() == wire.State_STATE_ALIVE && len(m.GetServers()) == 0 && m.GetSerial() > 0:
		return true
	}
	for _, s := range m.GetServers() {
		if s.GetLeaving() {
			return true
		}
	}
	return false
}

// pop removes and returns the event to send first, or nil when there is none.
func (q *eventQueue) pop() *wire.Member {
	for _, keys := range []*[]eventKey{&q.urgent, &q.normal} {
		for len(*keys) > 0 {
			if m := q.take(keys); m != nil {
				return m
			}
		}
	}
	return nil
}

// refill adds the tokens since the last refill and returns how many there are.
func (q *eventQueue) refill(now time.Time) float64 {
	q.budget = min(gossipBurstBytes, q.budget+now.Sub(q.refilledAt).Seconds()*gossipBytesPerSecond)
	q.refilledAt = now
	return q.budget
}

// nextBatch removes and returns the events of the next message, which goes to the
// given number of neighbours.
func (q *eventQueue) nextBatch(now time.Time, neighbours int) []*wire.Member {
	q.refill(now)
	if neighbours == 0 {
		return nil
	}
	var out []*wire.Member
	for len(out) < maxGossipEvents && q.budget > 0 {
		m := q.pop()
		if m == nil {
			break
		}
		q.budget -= float64(proto.Size(m) * neighbours)
		out = append(out, m)
	}
	return out
}
