package peer

// This file tells other nodes which backend server beside this node has left, and
// notices when one of them knows.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// heardDelay is how long the neighbours that have not answered yet are waited for once
// another node knows a departure, since that node may be killed along with this one.
const heardDelay = 100 * time.Millisecond

// recordedDeparture is the newest departure that this process has recorded.
type recordedDeparture struct {
	left    *wire.Departure // nil for none
	pending int             // neighbours that have been told and have neither answered nor failed to
	known   bool            // another node knows it
	heard   chan struct{}   // closed once enough nodes know it
	closed  bool            // heard is closed
}

// RecordDeparture records that the incarnations of the backend server beside this node
// up to epoch have left, which is final, and tells the neighbours. The channel is closed
// once they know it, or at least one node does and the others have had heardDelay to
// answer, or if there is no other node.
func (m *Members) RecordDeparture(server string, epoch uint64) (heard <-chan struct{}) {
	m.start(m.update(func(a *member.Agent, now time.Time) []member.Action {
		before := a.LastDeparture()
		actions := a.RecordDeparture(now, server, epoch)
		left := a.LastDeparture()
		switch {
		case !proto.Equal(left, before):
			m.departure = recordedDeparture{left: left, pending: len(actions), heard: make(chan struct{})}
		case !proto.Equal(left, m.departure.left): // an earlier process recorded it, and a node that knows it told this one
			m.departure = recordedDeparture{left: left, heard: make(chan struct{})}
			m.departure.close()
		}
		if m.isAlone(a) {
			m.departure.close()
		}
		heard = m.departure.heard
		return actions
	}))
	return heard
}

// isAlone reports whether there is no other node to tell. The caller holds m.mu.
func (m *Members) isAlone(a *member.Agent) bool {
	return !m.running || a.Joined() && len(a.View().Names) == 1
}

// close closes heard, once. The caller holds the lock of the Members.
func (d *recordedDeparture) close() {
	if !d.closed {
		d.closed = true
		close(d.heard)
	}
}

// recordHeard handles the outcome of an action that may have told another node of the
// departure.
func (m *Members) recordHeard(act member.Action, answered bool) {
	told := act.Departure()
	if told == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.departure.left
	if left == nil || told.GetIncarnation() != left.GetIncarnation() || told.GetSerial() != left.GetSerial() {
		return
	}
	d := &m.departure
	if act.Kind == member.Gossip {
		d.pending--
	}
	if answered && !d.known {
		d.known = true
		time.AfterFunc(heardDelay, func() { m.endHeardDelay(left) })
	}
	if d.known && d.pending <= 0 {
		d.close()
	}
}

// endHeardDelay ends the wait for further neighbours to hear of a departure, unless
// another one has been recorded since.
func (m *Members) endHeardDelay(left *wire.Departure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.departure.left == left {
		m.departure.close()
	}
}

// LastDeparture returns the name and the epoch of the last backend server beside this
// node that has left, as far as this process or another node remembers; "" for none.
func (m *Members) LastDeparture() (server string, epoch uint64) {
	d := m.lastDeparture.Load()
	return d.GetServer(), d.GetEpoch()
}

// Met reports whether this node has compared what it knows with nodes that have run since
// before this process was started, or there is none to ask.
func (m *Members) Met() bool { return m.met.Load() }
