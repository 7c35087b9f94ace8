package member

// This file contains the member table, which merges the reports of nodes about
// themselves with the verdicts of the nodes that watch them.

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// maxTombstones is the most dead members that a table remembers.
const maxTombstones = 8192

// Table holds the members that a node knows. For each it keeps the newest report
// of the member about itself, ordered by incarnation and serial, the newest
// incarnation that a watcher suspects, the newest that a watcher declared dead,
// and the newest departure of a backend server. Each of the four only grows, so
// events may be lost, duplicated and reordered. A Table has no locks: its owner calls it from one goroutine at a
// time.
type Table struct {
	self            *wire.Member
	entries         map[string]*entry
	liveNames       []string // of the members that are not dead, sorted
	liveEntries     []*entry // in the order of liveNames
	buckets         [DigestBuckets]uint64
	rootDigest      uint64
	interned        map[string]string // names of domains, regions and services
	changes         []*wire.Member    // events that changed the table and were not taken yet
	viewStale       bool              // the table changed after the last view was built
	neighboursStale bool              // the neighbours must be computed anew
}

// entry is what a table knows about one instance.
type entry struct {
	member               *wire.Member    // newest report about itself; nil for the dead
	suspectedIncarnation uint64          // newest incarnation that a watcher suspects
	deadIncarnation      uint64          // newest incarnation that a watcher declared dead
	left                 *wire.Departure // newest departure of a server beside it; nil for none
	lastAddr             string          // last IP:port of a dead member
	wasLeaving           bool            // a dead member had reported that it was leaving
	stateSince           time.Time       // when the entry last changed
	suspectCopy          *wire.Member    // member with STATE_SUSPECT, for views; nil until needed
	nameHash             uint64          // selects the bucket and the ring positions
	digest               uint64          // of this entry, as contained in that of its bucket
}

// NewTable returns a table that holds only self, the member of this node.
func NewTable(self *wire.Member, now time.Time) *Table {
	t := &Table{self: self, entries: map[string]*entry{}, interned: map[string]string{}}
	t.setSelf(self, now)
	return t
}

// Self returns the member of this node.
func (t *Table) Self() *wire.Member { return t.self }

// Len returns the number of members that are not dead, this node included.
func (t *Table) Len() int { return len(t.liveNames) }

// State returns the state of a member; an unknown one is dead.
func (t *Table) State(name string) wire.State { return t.entries[name].state() }

// Get returns the newest report of a member about itself, or nil when it is
// unknown or dead.
func (t *Table) Get(name string) *wire.Member {
	if e := t.entries[name]; e != nil {
		return e.member
	}
	return nil
}

func (e *entry) state() wire.State {
	switch {
	case e == nil || e.member == nil:
		return wire.State_STATE_DEAD
	case e.suspectedIncarnation >= e.member.GetIncarnation():
		return wire.State_STATE_SUSPECT
	}
	return e.member.GetState()
}

// setSelf stores the member of this node, which no verdict changes.
func (t *Table) setSelf(m *wire.Member, now time.Time) {
	t.self = m
	t.store(m, &entry{member: m, left: m.GetLeft(), stateSince: now, nameHash: hashName(m.GetName())})
}

// UpdateSelf changes a copy of this node's member, increments its serial and
// stores it. The change is spread as an event.
func (t *Table) UpdateSelf(now time.Time, change func(*wire.Member)) {
	next := proto.CloneOf(t.self)
	change(next)
	next.Serial++
	t.setSelf(next, now)
}

// RaiseIncarnation raises the incarnation of this node above the given one,
// which another run of the instance used or a watcher claimed.
func (t *Table) RaiseIncarnation(incarnation uint64, now time.Time) {
	if incarnation >= t.self.GetIncarnation() {
		t.UpdateSelf(now, func(m *wire.Member) { m.Incarnation = incarnation + 1 })
	}
}

// store replaces an entry and records the event that changed it.
func (t *Table) store(event *wire.Member, e *entry) {
	name := event.GetName()
	old := t.entries[name]
	if old == nil {
		old = &entry{}
	}
	t.entries[name] = e
	t.updateIndexes(name, old, e)
	t.changes = append(t.changes, event)
	t.viewStale = true
	t.neighboursStale = t.neighboursStale || old.state() != e.state() || old.member.GetDomain() != e.member.GetDomain()
}

// updateIndexes updates the sorted lists and the digests for a replaced entry. e is
// nil when the entry is removed.
func (t *Table) updateIndexes(name string, old, e *entry) {
	wasLive, isLive := old.member != nil, e != nil && e.member != nil
	i, _ := slices.BinarySearch(t.liveNames, name)
	switch {
	case isLive && wasLive:
		t.liveEntries[i] = e
	case isLive:
		t.liveNames, t.liveEntries = slices.Insert(t.liveNames, i, name), slices.Insert(t.liveEntries, i, e)
	case wasLive:
		t.liveNames, t.liveEntries = slices.Delete(t.liveNames, i, i+1), slices.Delete(t.liveEntries, i, i+1)
	}
	if wasLive {
		t.xorDigest(old)
	}
	if e != nil {
		e.digest = e.computeDigest(name)
		t.xorDigest(e)
	}
}

// IsVerdict reports whether an event is the verdict of a watcher, that a member is
// suspect or dead, and not the report of a member about itself.
func IsVerdict(m *wire.Member) bool { return m.GetPeer() == "" }

// verdict returns the event for what watchers found of the member, without its own
// report.
func (e *entry) verdict(name string) *wire.Member {
	incarnation, state := e.deadIncarnation, wire.State_STATE_DEAD
	if incarnation == 0 {
		incarnation, state = e.suspectedIncarnation, wire.State_STATE_SUSPECT
	}
	m := NewVerdict(name, incarnation, state)
	m.Left = e.left
	return m
}

// NewVerdict returns the event for a verdict on an incarnation of a member.
func NewVerdict(name string, incarnation uint64, state wire.State) *wire.Member {
	return &wire.Member{Name: name, Incarnation: incarnation, State: state}
}

// Merge applies an event and reports whether it changed the table.
func (t *Table) Merge(m *wire.Member, now time.Time) bool {
	switch {
	case m.GetName() == "" || m.GetIncarnation() == 0:
		return false
	case m.GetName() == t.self.GetName():
		refuted := t.refute(m, now)
		return t.adoptDeparture(m.GetLeft(), now) || refuted
	case IsVerdict(m):
		changed := t.mergeVerdict(m.GetName(), m.GetIncarnation(), m.GetState(), now)
		return t.mergeDeparture(m.GetName(), m.GetLeft(), now) || changed
	}
	return t.mergeSelfReport(m, now)
}

// refute raises the incarnation of this node above an event about it that it did
// not send since it started: a verdict, or a report of an earlier incarnation.
func (t *Table) refute(m *wire.Member, now time.Time) bool {
	if m.GetIncarnation() < t.self.GetIncarnation() {
		return false
	}
	if !IsVerdict(m) && m.GetIncarnation() == t.self.GetIncarnation() && m.GetSerial() <= t.self.GetSerial() {
		return false
	}
	t.RaiseIncarnation(m.GetIncarnation(), now)
	return true
}

// mergeSelfReport applies the report of a member about itself.
func (t *Table) mergeSelfReport(m *wire.Member, now time.Time) bool {
	e := &entry{stateSince: now, nameHash: hashName(m.GetName())}
	if old := t.entries[m.GetName()]; old != nil {
		if m.GetIncarnation() <= old.deadIncarnation || (old.member != nil && !supersedes(m, old.member)) {
			return t.mergeDeparture(m.GetName(), m.GetLeft(), now)
		}
		e.suspectedIncarnation, e.deadIncarnation, e.left = old.suspectedIncarnation, old.deadIncarnation, old.left
	}
	t.intern(m)
	m = withDeparture(m, e.left)
	e.member, e.left = m, m.GetLeft()
	t.store(m, e)
	return true
}

// supersedes reports whether a is a newer report of an instance about itself than
// b. The last two comparisons break ties between two instances that use one name
// by mistake.
func supersedes(a, b *wire.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetSerial() != b.GetSerial() {
		return a.GetSerial() > b.GetSerial()
	}
	if a.GetState() != b.GetState() {
		return a.GetState() > b.GetState()
	}
	return a.GetPeer() > b.GetPeer()
}

// mergeVerdict applies a verdict and reports whether it changed the table.
func (t *Table) mergeVerdict(name string, incarnation uint64, state wire.State, now time.Time) bool {
	e := &entry{nameHash: hashName(name), stateSince: now}
	if old := t.entries[name]; old != nil {
		e.member, e.suspectedIncarnation, e.deadIncarnation, e.lastAddr, e.wasLeaving = old.member, old.suspectedIncarnation, old.deadIncarnation, old.lastAddr, old.wasLeaving
		e.left = old.left
	}
	switch {
	case state == wire.State_STATE_DEAD && incarnation > e.deadIncarnation:
		e.deadIncarnation = incarnation
	case state == wire.State_STATE_SUSPECT && incarnation > max(e.suspectedIncarnation, e.deadIncarnation):
		e.suspectedIncarnation = incarnation
	default:
		return false
	}
	if m := e.member; m != nil && m.GetIncarnation() <= e.deadIncarnation {
		e.member, e.lastAddr, e.wasLeaving = nil, m.GetPeer(), m.GetState() == wire.State_STATE_LEAVING
	}
	event := NewVerdict(name, incarnation, state)
	event.Left = e.left
	t.store(event, e)
	return true
}

// intern lets members share the strings that many of them have in common.
func (t *Table) intern(m *wire.Member) {
	m.Domain, m.Region = t.internString(m.GetDomain()), t.internString(m.GetRegion())
	for _, s := range m.GetServers() {
		s.Service = t.internString(s.GetService())
	}
}

// internString returns the shared copy of s.
func (t *Table) internString(s string) string {
	if shared, ok := t.interned[s]; ok {
		return shared
	}
	t.interned[s] = s
	return s
}

// Incarnation returns the newest known incarnation of an instance, 0 for an
// unknown one.
func (t *Table) Incarnation(name string) uint64 {
	e := t.entries[name]
	if e == nil {
		return 0
	}
	return max(e.member.GetIncarnation(), e.suspectedIncarnation, e.deadIncarnation)
}

// Declare applies a verdict of this node on the present incarnation of a member
// and reports whether it changed the table. The verdict is spread as an event.
func (t *Table) Declare(name string, state wire.State, now time.Time) bool {
	m := t.Get(name)
	if m == nil || name == t.self.GetName() {
		return false
	}
	return t.mergeVerdict(name, m.GetIncarnation(), state, now)
}

// RemoveDead removes the members that have been dead for the given time, and
// the longest dead beyond maxTombstones.
func (t *Table) RemoveDead(now time.Time, after time.Duration) {
	type tombstone struct {
		name      string
		deadSince time.Time
	}
	var tombstones []tombstone
	for name, e := range t.entries {
		switch {
		case e.member != nil:
		case now.Sub(e.stateSince) >= after:
			t.remove(name)
		default:
			tombstones = append(tombstones, tombstone{name, e.stateSince})
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b tombstone) int { return a.deadSince.Compare(b.deadSince) })
	for _, stone := range tombstones[:len(tombstones)-maxTombstones] {
		t.remove(stone.name)
	}
}

func (t *Table) remove(name string) {
	t.updateIndexes(name, t.entries[name], nil)
	delete(t.entries, name)
}

// TakeChanges returns and clears the events that changed the table since the
// last call.
func (t *Table) TakeChanges() []*wire.Member {
	out := t.changes
	t.changes = nil
	return out
}

// Events returns the events from which another node learns all that this table
// knows about a member.
func (t *Table) Events(name string) []*wire.Member {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	if e.member == nil {
		return []*wire.Member{e.verdict(name)}
	}
	if e.state() == wire.State_STATE_SUSPECT {
		return []*wire.Member{e.member, NewVerdict(name, e.suspectedIncarnation, wire.State_STATE_SUSPECT)}
	}
	return []*wire.Member{e.member}
}

// AllEvents returns the events from which another node learns the whole table.
func (t *Table) AllEvents() []*wire.Member {
	out := make([]*wire.Member, 0, len(t.entries))
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.Events(name)...)
	}
	return out
}

// deadToRetry returns the sorted names of the dead members that may be back: those
// that did not leave and, for recentLossWindow, those that did, since a stop may
// be part of a restart.
func (t *Table) deadToRetry(now time.Time) []string {
	var out []string
	for name, e := range t.entries {
		if e.member == nil && e.lastAddr != "" && (!e.wasLeaving || now.Sub(e.stateSince) < recentLossWindow) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
