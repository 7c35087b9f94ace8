package member

// This file keeps the newest departure of a backend server beside each instance. The
// process that confirmed a leaving may end at once, and announcements that the server
// sent before may reach the next process of the node. So every other node keeps the
// departure across the incarnations of the instance and tells the node that starts.

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// HasLeft reports whether the departure is that of a server's incarnation, or of a
// later one of the same name. d may be nil.
func HasLeft(d *wire.Departure, server string, epoch uint64) bool {
	return server != "" && d.GetServer() == server && epoch <= d.GetEpoch()
}

// isNewerDeparture reports whether a was recorded after b. Either may be nil.
func isNewerDeparture(a, b *wire.Departure) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSerial() > b.GetSerial()
}

// newestDeparture returns the newer of two departures, nil for two nils.
func newestDeparture(a, b *wire.Departure) *wire.Departure {
	if isNewerDeparture(b, a) {
		return b
	}
	return a
}

// recordsDeparture reports whether m is the report by which its node recorded the
// departure that it carries.
func recordsDeparture(m *wire.Member) bool {
	d := m.GetLeft()
	return d != nil && d.GetIncarnation() == m.GetIncarnation() && d.GetSerial() == m.GetSerial()
}

// setDeparture sets the departure of a member and marks the server that has left.
func setDeparture(m *wire.Member, d *wire.Departure) {
	m.Left = d
	for _, s := range m.GetServers() {
		s.Leaving = s.GetLeaving() || HasLeft(d, s.GetName(), s.GetEpoch())
	}
}

// withDeparture returns the report of a member about itself with the newest departure
// that is known of it. A node that has restarted may not know it yet, and announce
// the server again. m is not changed.
func withDeparture(m *wire.Member, d *wire.Departure) *wire.Member {
	d = newestDeparture(m.GetLeft(), d)
	news := d != m.GetLeft()
	for _, s := range m.GetServers() {
		news = news || !s.GetLeaving() && HasLeft(d, s.GetName(), s.GetEpoch())
	}
	if !news {
		return m
	}
	m = proto.CloneOf(m)
	setDeparture(m, d)
	return m
}

// mergeDeparture applies a departure at an instance, in an event that is otherwise
// older than what is known, and reports whether it changed the table.
func (t *Table) mergeDeparture(name string, d *wire.Departure, now time.Time) bool {
	old := t.entries[name]
	if old == nil || !isNewerDeparture(d, old.left) {
		return false
	}
	e := *old
	e.left, e.stateSince, e.suspectCopy = d, now, nil
	event := e.verdict(name)
	if e.member != nil {
		e.member = withDeparture(e.member, d)
		event = e.member
	}
	t.store(event, &e)
	return true
}

// adoptDeparture takes a departure that an earlier process of this node recorded, and
// reports whether it is news.
func (t *Table) adoptDeparture(d *wire.Departure, now time.Time) bool {
	if !isNewerDeparture(d, t.self.GetLeft()) {
		return false
	}
	t.UpdateSelf(now, func(m *wire.Member) { setDeparture(m, d) })
	return true
}

// RecordDeparture records that the incarnations of a backend server up to epoch have
// left, which is final, and returns the actions that inform the neighbours at once,
// even when the gossip budget is spent.
func (a *Agent) RecordDeparture(now time.Time, server string, epoch uint64) []Action {
	a.detectPause(now)
	if HasLeft(a.table.self.GetLeft(), server, epoch) {
		return nil
	}
	a.table.UpdateSelf(now, func(m *wire.Member) {
		setDeparture(m, &wire.Departure{Server: server, Epoch: epoch, Incarnation: m.GetIncarnation(), Serial: m.GetSerial() + 1})
	})
	a.queueChanges()
	a.rebuildView(now)
	a.queue.budget = max(a.queue.budget, 1)
	return a.flush(now)
}

// LastDeparture returns the newest departure of a backend server beside this node, or
// nil. It must not be changed.
func (a *Agent) LastDeparture() *wire.Departure { return a.table.self.GetLeft() }

// witnessAge is how much earlier than this process another one must have started to know
// what an earlier process of this node told: nodes that are killed together start within
// this time.
const witnessAge = 3 * time.Second

// Met reports whether this node has compared its table with others', of which one has run
// since before this process was started, so that it knows what is remembered of earlier
// ones, or whether there is none to ask.
func (a *Agent) Met() bool {
	lone := a.noOthers || len(a.joinSearch.seeds) == 0 && !a.config.HasMeetingPoints
	return (lone || a.joinSearch.joined && a.settled && a.witnessed) && !a.stale
}

// hasWitness reports whether a member has run for longer than this node by witnessAge.
// Incarnations are the times at which processes started, in Unix ms.
func (t *Table) hasWitness() bool {
	return slices.ContainsFunc(t.liveEntries, func(e *entry) bool {
		return e.member.GetIncarnation()+uint64(witnessAge.Milliseconds()) <= t.self.GetIncarnation()
	})
}

// Departure returns the departure at the sender that an action tells its receiver, or nil.
func (act Action) Departure() *wire.Departure {
	if act.Join != nil {
		return act.Join.GetMember().GetLeft()
	}
	for _, m := range act.Probe.GetEvents() {
		if m.GetName() == act.Probe.GetName() {
			return m.GetLeft()
		}
	}
	return nil
}
