package member

// This file defines the table of members: it merges events and decides
// suspicion, refutation and death.

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// TableConfig configures a Table.
type TableConfig struct {
	Suspect time.Duration // how long a suspicion may be refuted
	Forget  time.Duration // how long the dead are remembered
}

// Table holds the members that a node knows. It has no locks; its owner calls
// it from one goroutine at a time.
type Table struct {
	config  TableConfig
	self    *wire.Member
	members map[string]*entry
	events  []*wire.Member // changes not yet taken
}

// entry is a member and when its state began.
type entry struct {
	member *wire.Member
	since  time.Time
}

// NewTable returns a table that holds the own node.
func NewTable(config TableConfig, self *wire.Member, now time.Time) *Table {
	t := &Table{config: config, self: self, members: map[string]*entry{}}
	t.put(self, now)
	return t
}

// Self returns the own member.
func (t *Table) Self() *wire.Member { return t.self }

// put stores a member and queues it as an event.
func (t *Table) put(m *wire.Member, now time.Time) {
	t.members[m.GetName()] = &entry{member: m, since: now}
	t.events = append(t.events, m)
}

// Update changes the own member and spreads the change.
func (t *Table) Update(now time.Time, change func(*wire.Member)) {
	next := proto.Clone(t.self).(*wire.Member)
	change(next)
	next.Serial++
	t.self = next
	t.put(next, now)
}

// Merge takes what a peer says of a member and tells whether it was news.
func (t *Table) Merge(m *wire.Member, now time.Time) bool {
	if m.GetName() == t.self.GetName() {
		return t.refute(m, now)
	}
	old := t.members[m.GetName()]
	if old != nil && !newer(m, old.member) {
		return false
	}
	t.put(m, now)
	return true
}

// refute answers a false claim about the own node with a newer incarnation.
func (t *Table) refute(m *wire.Member, now time.Time) bool {
	if !newer(m, t.self) {
		return false
	}
	t.Update(now, func(s *wire.Member) { s.Incarnation = m.GetIncarnation() + 1 })
	return true
}

// newer tells whether a supersedes b: by incarnation, then by serial, then by
// the graver state.
func newer(a, b *wire.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if (a.GetState() == wire.State_STATE_DEAD) != (b.GetState() == wire.State_STATE_DEAD) {
		return a.GetState() == wire.State_STATE_DEAD
	}
	if a.GetSerial() != b.GetSerial() {
		return a.GetSerial() > b.GetSerial()
	}
	return a.GetState() > b.GetState()
}

// Suspect marks a member that did not answer.
func (t *Table) Suspect(name string, now time.Time) {
	e := t.members[name]
	if e == nil || name == t.self.GetName() || e.member.GetState() != wire.State_STATE_ALIVE {
		return
	}
	t.mark(e.member, wire.State_STATE_SUSPECT, now)
}

func (t *Table) mark(m *wire.Member, s wire.State, now time.Time) {
	next := proto.Clone(m).(*wire.Member)
	next.State = s
	t.put(next, now)
}

// Tick lets suspicions ripen and forgets the dead.
func (t *Table) Tick(now time.Time) {
	for name, e := range t.members {
		age := now.Sub(e.since)
		switch {
		case e.member.GetState() == wire.State_STATE_SUSPECT && age >= t.config.Suspect:
			t.mark(e.member, wire.State_STATE_DEAD, now)
		case e.member.GetState() == wire.State_STATE_DEAD && age >= t.config.Forget:
			delete(t.members, name)
		}
	}
}

// Events returns the changes since the last call.
func (t *Table) Events() []*wire.Member {
	out := t.events
	t.events = nil
	return out
}

// All returns every member, the dead included, ordered by name.
func (t *Table) All() []*wire.Member {
	out := make([]*wire.Member, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, e.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// View returns an immutable picture of the members that are not dead.
func (t *Table) View() *View {
	v := &View{Self: t.self, Members: map[string]*wire.Member{}, offers: map[string][]Offer{}}
	for name, e := range t.members {
		if e.member.GetState() != wire.State_STATE_DEAD {
			v.Members[name] = e.member
			v.Names = append(v.Names, name)
		}
	}
	slices.Sort(v.Names)
	for _, name := range v.Names {
		m := v.Members[name]
		for _, s := range m.GetServers() {
			v.offers[s.GetService()] = append(v.offers[s.GetService()], Offer{Node: m, Server: s})
		}
	}
	return v
}
