package member

// This file defines the queue of events on their way to the neighbours.

import (
	"sort"
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
	order  []newsKey
	budget float64 // bytes
	filled time.Time
}

// add queues an event.
func (q *queue) add(m *wire.Member) {
	if q.events == nil {
		q.events = map[newsKey]*wire.Member{}
	}
	k := newsKey{m.GetName(), IsVerdict(m)}
	if _, ok := q.events[k]; !ok {
		q.order = append(q.order, k)
	}
	q.events[k] = m
	if len(q.order) > maxNewsQueue {
		delete(q.events, q.order[0])
		q.order = q.order[1:]
	}
}

// urgency orders events: who leaves and who died first.
func urgency(m *wire.Member) int {
	if m.GetState() == wire.State_STATE_LEAVING || m.GetState() == wire.State_STATE_DEAD {
		return 0
	}
	for _, s := range m.GetServers() {
		if s.GetLeaving() {
			return 0
		}
	}
	return 1
}

// take returns the events of the next message to each of a number of
// neighbours.
func (q *queue) take(now time.Time, neighbours int) []*wire.Member {
	q.budget = min(newsBurst, q.budget+now.Sub(q.filled).Seconds()*newsRate)
	q.filled = now
	if len(q.order) == 0 || neighbours == 0 || q.budget <= 0 {
		return nil
	}
	sort.SliceStable(q.order, func(i, j int) bool { return urgency(q.events[q.order[i]]) < urgency(q.events[q.order[j]]) })
	var out []*wire.Member
	for len(q.order) > 0 && len(out) < maxNews && q.budget > 0 {
		m := q.events[q.order[0]]
		delete(q.events, q.order[0])
		q.order = q.order[1:]
		q.budget -= float64(proto.Size(m) * neighbours)
		out = append(out, m)
	}
	return out
}
