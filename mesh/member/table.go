package member

// This file defines the table of members: it merges what nodes say of
// themselves with the verdicts of those that watch them.

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// maxTombstones bounds the dead that a table remembers.
const maxTombstones = 8192

// Table holds the members that a node knows. For each it keeps what the member
// says of itself, ordered by incarnation and serial, and the newest incarnations
// that watchers suspect and found dead. Each of the three moves up only, so
// messages may be lost, doubled and reordered. A table has no locks; its owner
// calls it from one goroutine at a time.
type Table struct {
	self    *wire.Member
	members map[string]*entry
	names   []string // of the members that are not dead, sorted
	list    []*entry // in the order of names
	buckets [Buckets]uint64
	root    uint64
	words   map[string]string // interned domains, regions and services
	news    []*wire.Member    // changes that were not taken
	changed bool              // the view is out of date
	shape   bool              // the neighbours are out of date
}

// entry is what a table knows of one instance.
type entry struct {
	member    *wire.Member // as it last said of itself; nil for the dead
	suspected uint64       // newest incarnation that a watcher suspects
	died      uint64       // newest incarnation that a watcher found dead
	addr      string       // where one that was found dead last listened
	left      bool         // it said that it leaves before it was found dead
	since     time.Time    // when the present state began
	shown     *wire.Member // as the view shows a suspect member
	hash      uint64       // of the name
	item      uint64       // contribution to the digest of its bucket
}

// NewTable returns a table that holds the own node.
func NewTable(self *wire.Member, now time.Time) *Table {
	t := &Table{self: self, members: map[string]*entry{}, words: map[string]string{}}
	t.own(self, now)
	return t
}

// Self returns the own member.
func (t *Table) Self() *wire.Member { return t.self }

// Len returns the number of members that are not dead, own node included.
func (t *Table) Len() int { return len(t.names) }

// State returns the state of a member: dead when it is unknown.
func (t *Table) State(name string) wire.State { return t.members[name].state() }

// Get returns a member as it last said of itself, or nil when it is unknown or
// dead.
func (t *Table) Get(name string) *wire.Member {
	if e := t.members[name]; e != nil {
		return e.member
	}
	return nil
}

func (e *entry) state() wire.State {
	switch {
	case e == nil || e.member == nil:
		return wire.State_STATE_DEAD
	case e.suspected >= e.member.GetIncarnation():
		return wire.State_STATE_SUSPECT
	}
	return e.member.GetState()
}

// own stores the own member, which no verdict touches.
func (t *Table) own(m *wire.Member, now time.Time) {
	t.self = m
	t.store(m, &entry{member: m, since: now, hash: hashName(m.GetName())})
}

// Update changes the own member and spreads the change.
func (t *Table) Update(now time.Time, change func(*wire.Member)) {
	next := proto.CloneOf(t.self)
	change(next)
	next.Serial++
	t.own(next, now)
}

// Raise lifts the own incarnation above another life of this instance.
func (t *Table) Raise(incarnation uint64, now time.Time) {
	if incarnation >= t.self.GetIncarnation() {
		t.Update(now, func(m *wire.Member) { m.Incarnation = incarnation + 1 })
	}
}

// store replaces an entry by reason of an event, which is news.
func (t *Table) store(event *wire.Member, e *entry) {
	name := event.GetName()
	old := t.members[name]
	if old == nil {
		old = &entry{}
	}
	t.members[name] = e
	t.recount(name, old, e)
	t.news = append(t.news, event)
	t.changed = true
	t.shape = t.shape || old.state() != e.state() || old.member.GetDomain() != e.member.GetDomain()
}

// recount keeps the sorted names and the digests.
func (t *Table) recount(name string, old, e *entry) {
	was, is := old.member != nil, e != nil && e.member != nil
	i, _ := slices.BinarySearch(t.names, name)
	switch {
	case is && was:
		t.list[i] = e
	case is:
		t.names, t.list = slices.Insert(t.names, i, name), slices.Insert(t.list, i, e)
	case was:
		t.names, t.list = slices.Delete(t.names, i, i+1), slices.Delete(t.list, i, i+1)
	}
	if was {
		t.toggle(old)
	}
	if e != nil {
		e.item = e.digest(name)
		t.toggle(e)
	}
}

// IsVerdict tells whether an event is a verdict of a watcher, not what a
// member says of itself.
func IsVerdict(m *wire.Member) bool { return m.GetPeer() == "" }

// NewVerdict returns the event that carries a verdict.
func NewVerdict(name string, incarnation uint64, state wire.State) *wire.Member {
	return &wire.Member{Name: name, Incarnation: incarnation, State: state}
}

// Merge takes an event and tells whether it was news.
func (t *Table) Merge(m *wire.Member, now time.Time) bool {
	switch {
	case m.GetName() == "" || m.GetIncarnation() == 0:
		return false
	case m.GetName() == t.self.GetName():
		return t.refute(m, now)
	case IsVerdict(m):
		return t.judge(m.GetName(), m.GetIncarnation(), m.GetState(), now)
	}
	return t.hear(m, now)
}

// refute answers a claim about the own node that it did not make, in this
// life, with a higher incarnation.
func (t *Table) refute(m *wire.Member, now time.Time) bool {
	if m.GetIncarnation() < t.self.GetIncarnation() {
		return false
	}
	if !IsVerdict(m) && m.GetIncarnation() == t.self.GetIncarnation() && m.GetSerial() <= t.self.GetSerial() {
		return false
	}
	t.Raise(m.GetIncarnation(), now)
	return true
}

// hear takes what a member says of itself.
func (t *Table) hear(m *wire.Member, now time.Time) bool {
	e := &entry{member: m, since: now, hash: hashName(m.GetName())}
	if old := t.members[m.GetName()]; old != nil {
		if m.GetIncarnation() <= old.died || (old.member != nil && !newer(m, old.member)) {
			return false
		}
		e.suspected, e.died = old.suspected, old.died
	}
	t.intern(m)
	t.store(m, e)
	return true
}

// newer orders what one instance says of itself. The last rules decide between
// two instances that use one name by mistake.
func newer(a, b *wire.Member) bool {
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

// judge takes a verdict.
func (t *Table) judge(name string, incarnation uint64, state wire.State, now time.Time) bool {
	e := &entry{hash: hashName(name), since: now}
	if old := t.members[name]; old != nil {
		e.member, e.suspected, e.died, e.addr, e.left = old.member, old.suspected, old.died, old.addr, old.left
	}
	switch {
	case state == wire.State_STATE_DEAD && incarnation > e.died:
		e.died = incarnation
	case state == wire.State_STATE_SUSPECT && incarnation > max(e.suspected, e.died):
		e.suspected = incarnation
	default:
		return false
	}
	if m := e.member; m != nil && m.GetIncarnation() <= e.died {
		e.member, e.addr, e.left = nil, m.GetPeer(), m.GetState() == wire.State_STATE_LEAVING
	}
	t.store(NewVerdict(name, incarnation, state), e)
	return true
}

// intern shares the strings that many members have in common.
func (t *Table) intern(m *wire.Member) {
	m.Domain, m.Region = t.word(m.GetDomain()), t.word(m.GetRegion())
	for _, s := range m.GetServers() {
		s.Service = t.word(s.GetService())
	}
}

func (t *Table) word(s string) string {
	if w, ok := t.words[s]; ok {
		return w
	}
	t.words[s] = s
	return s
}

// Incarnation returns the newest incarnation that is known of an instance.
func (t *Table) Incarnation(name string) uint64 {
	e := t.members[name]
	if e == nil {
		return 0
	}
	return max(e.member.GetIncarnation(), e.suspected, e.died)
}

// Judge spreads a verdict of the own node on the present incarnation.
func (t *Table) Judge(name string, state wire.State, now time.Time) bool {
	m := t.Get(name)
	if m == nil || name == t.self.GetName() {
		return false
	}
	return t.judge(name, m.GetIncarnation(), state, now)
}

// Forget drops the dead whose time is over, and the oldest beyond the bound.
func (t *Table) Forget(now time.Time, after time.Duration) {
	type tomb struct {
		name  string
		since time.Time
	}
	var kept []tomb
	for name, e := range t.members {
		switch {
		case e.member != nil:
		case now.Sub(e.since) >= after:
			t.drop(name)
		default:
			kept = append(kept, tomb{name, e.since})
		}
	}
	if len(kept) <= maxTombstones {
		return
	}
	slices.SortFunc(kept, func(a, b tomb) int { return a.since.Compare(b.since) })
	for _, k := range kept[:len(kept)-maxTombstones] {
		t.drop(k.name)
	}
}

func (t *Table) drop(name string) {
	t.recount(name, t.members[name], nil)
	delete(t.members, name)
}

// News returns the events that changed the table since the last call.
func (t *Table) News() []*wire.Member {
	out := t.news
	t.news = nil
	return out
}

// Events returns the messages that tell another node all about a member.
func (t *Table) Events(name string) []*wire.Member {
	e := t.members[name]
	if e == nil {
		return nil
	}
	if e.member == nil && e.died == 0 {
		return []*wire.Member{NewVerdict(name, e.suspected, wire.State_STATE_SUSPECT)}
	}
	if e.member == nil {
		return []*wire.Member{NewVerdict(name, e.died, wire.State_STATE_DEAD)}
	}
	if e.state() == wire.State_STATE_SUSPECT {
		return []*wire.Member{e.member, NewVerdict(name, e.suspected, wire.State_STATE_SUSPECT)}
	}
	return []*wire.Member{e.member}
}

// All returns the messages that tell another node the whole table.
func (t *Table) All() []*wire.Member {
	out := make([]*wire.Member, 0, len(t.members))
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		out = append(out, t.Events(name)...)
	}
	return out
}

// lost returns the names of the dead that may be back, sorted: those that did
// not leave, and for a while those that did, since a stop may be a restart.
func (t *Table) lost(now time.Time) []string {
	var out []string
	for name, e := range t.members {
		if e.member == nil && e.addr != "" && (!e.left || now.Sub(e.since) < soonLost) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
