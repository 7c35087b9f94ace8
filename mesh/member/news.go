package member

// This file defines the queue of events on their way to the neighbours.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Bounds of the news that a node sends. What does not fit waits; what is
// dropped is found by comparing digests.
const (
	newsRate     = 10 << 10 // bytes/s to all neighbours together
	newsBurst    = 32 << 10 // bytes
	maxNews      = 64       // events in one message
	maxNewsQueue = 4096     // events
)

// newsKey tells events apart: a newer one of the same key replaces an older.
type newsKey struct {
	name    string
	verdict bool
}

// queue holds events until they have been sent once to every neighbour.
type queue struct {
	events map[newsKey]*wire.Member
	urgent []newsKey // who leaves and who died
	order  []newsKey // the others
	budget float64   // bytes
	filled time.Time
}

// add queues an event.
func (q *queue) add(m *wire.Member) {
	if q.events == nil {
		q.events = map[newsKey]*wire.Member{}
	}
	k := newsKey{m.GetName(), IsVerdict(m)}
	old, queued := q.events[k]
	q.events[k] = m
	switch {
	case urgent(m) && (!queued || !urgent(old)):
		q.urgent = append(q.urgent, k)
	case !queued:
		q.order = append(q.order, k)
	}
	if len(q.order) > maxNewsQueue {
		delete(q.events, q.order[0])
		q.order = q.order[1:]
	}
	if len(q.urgent) > maxNewsQueue {
		delete(q.events, q.urgent[0])
		q.urgent = q.urgent[1:]
	}
}

// len returns the number of events in the queue.
func (q *queue) len() int { return len(q.events) }

// urgent tells whether an event goes before others: someone leaves or died.
func urgent(m *wire.Member) bool {
	if m.GetState() == wire.State_STATE_LEAVING || m.GetState() == wire.State_STATE_DEAD {
		return true
	}
	for _, s := range m.GetServers() {
		if s.GetLeaving() {
			return true
		}
	}
	return false
}

// next removes the event that goes first, and returns nil when there is none.
func (q *queue) next() *wire.Member {
	for _, keys := range []*[]newsKey{&q.urgent, &q.order} {
		for len(*keys) > 0 {
			k := (*keys)[0]
			*keys = (*keys)[1:]
			if m, ok := q.events[k]; ok {
				delete(q.events, k)
				return m
			}
		}
	}
	return nil
}

// take returns the events of the next message to each of a number of
// neighbours.
func (q *queue) take(now time.Time, neighbours int) []*wire.Member {
	q.budget = min(newsBurst, q.budget+now.Sub(q.filled).Seconds()*newsRate)
	q.filled = now
	if neighbours == 0 {
		return nil
	}
	var out []*wire.Member
	for len(out) < maxNews && q.budget > 0 {
		m := q.next()
		if m == nil {
			break
		}
		q.budget -= float64(proto.Size(m) * neighbours)
		out = append(out, m)
	}
	return out
}
