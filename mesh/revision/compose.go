package revision

// This file composes the largest consistent set out of the operators' records.

import (
	"fmt"
	"slices"
	"strings"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Bounds of what a revision says about records that are held.
const (
	maxHeld         = 200 // records
	maxHeldFindings = 10  // findings of one record
	maxReferrers    = 3   // named in a finding
)

// Result is what Compose decided.
type Result struct {
	// Changed holds the records that change. Each prefix of it leads to a
	// consistent table, so a large change may be published in steps.
	Changed []*wire.Record
	Held    []*wire.Held // every record that waits, ordered by key, with the reasons
}

// Compose returns the change that leads from a table to the largest consistent
// set out of the records on the platform: as many new and changed records as
// can be in force together, and then as many deletions.
//
// A record waits at the version in the table while it is invalid, while what
// it refers to does not exist, or while it cannot be expressed in the format
// given, which is the newest that the whole live fleet reads. A deletion waits
// while something refers to the record. A list that is older than the table
// takes nothing back.
func Compose(t *Table, platform []*wire.Record, format uint32) Result {
	c := &composition{table: t, format: format, next: map[record.Key]*entry{}, held: map[record.Key]*wire.Held{}}
	listed := map[record.Key]uint64{}
	for _, r := range platform {
		k := record.KeyOf(r)
		if r.GetVersion() > listed[k] {
			listed[k] = r.GetVersion()
			c.take(r)
		}
	}
	c.keepHeld(listed)
	for c.holdUpserts() {
		continue // a held service may hold back its routes
	}
	c.holdDeletions(wire.Kind_KIND_SERVICE)
	c.holdDeletions(wire.Kind_KIND_POLICY)
	return c.result()
}

// composition is the state of one Compose.
type composition struct {
	table  *Table
	format uint32
	next   map[record.Key]*entry // changes that are taken
	held   map[record.Key]*wire.Held
}

// take puts a newer valid record in place.
func (c *composition) take(r *wire.Record) {
	k := record.KeyOf(r)
	delete(c.next, k)
	delete(c.held, k)
	if old := c.table.entry(k); old != nil && r.GetVersion() <= old.record.GetVersion() {
		return
	}
	e, findings := c.decode(r)
	if len(findings) > 0 {
		c.hold(r, findings)
		return
	}
	c.next[k] = e
}

// decode checks a record and puts it into a schema version that the live fleet
// reads.
func (c *composition) decode(r *wire.Record) (*entry, record.Findings) {
	if findings, _ := record.Check(r); len(findings) > 0 {
		return nil, findings
	}
	if format := max(c.format, 1); r.GetSchema() > format && !r.GetDeleted() {
		return express(r, format)
	}
	return newEntry(r)
}

// express converts a record to the newest schema version that a format reads.
func express(r *wire.Record, format uint32) (*entry, record.Findings) {
	older, findings := record.Convert(r, format)
	if len(findings) == 0 {
		return newEntry(older)
	}
	out := record.Findings{{
		Place: record.KeyOf(r).String(), Field: "schema",
		Reason: fmt.Sprintf("live nodes read schema versions up to %d only, and version %d cannot be expressed in it", format, r.GetSchema()),
	}}
	return nil, append(out, findings...)
}

// keepHeld carries over what the table says of records that the list does not
// know yet: the list is older than the table there.
func (c *composition) keepHeld(listed map[record.Key]uint64) {
	for _, h := range c.table.Held {
		k := record.Key{Kind: h.GetKind(), Name: h.GetName()}
		if listed[k] < h.GetVersion() {
			c.held[k] = h
		}
	}
}

func (c *composition) hold(r *wire.Record, findings record.Findings) {
	k := record.KeyOf(r)
	if n := len(findings) - maxHeldFindings; n > 0 {
		findings = append(findings[:maxHeldFindings:maxHeldFindings],
			&wire.Finding{Place: k.String(), Reason: fmt.Sprintf("%d more findings are left out", n)})
	}
	c.held[k] = &wire.Held{Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion(), Findings: findings}
	delete(c.next, k)
}

// available tells whether a record can be in the next table. A deletion of it
// gives way to a record that refers to it.
func (c *composition) available(k record.Key) bool {
	return c.next[k].alive() || c.table.entry(k).alive()
}

// holdUpserts holds the new and changed records whose reference cannot be
// resolved, and tells whether it held any.
func (c *composition) holdUpserts() bool {
	var broken []*entry
	for _, e := range c.next {
		if e.to.Name != "" && !c.available(e.to) {
			broken = append(broken, e)
		}
	}
	for _, e := range broken {
		reason := e.to.String() + " does not exist"
		if c.held[e.to] != nil {
			reason = e.to.String() + " is held back"
		}
		c.hold(e.record, record.Findings{{Place: e.key.String(), Field: e.field, Reason: reason}})
	}
	return len(broken) > 0
}

// holdDeletions holds the deletions of a kind that something still refers to.
func (c *composition) holdDeletions(kind wire.Kind) {
	deleted := map[record.Key][]string{}
	for k, e := range c.next {
		if k.Kind == kind && !e.alive() {
			deleted[k] = nil
		}
	}
	if len(deleted) == 0 {
		return
	}
	for _, e := range c.all() {
		if from, ok := deleted[e.to]; ok {
			deleted[e.to] = append(from, e.key.String())
		}
	}
	for k, from := range deleted {
		if len(from) > 0 {
			c.hold(c.next[k].record, record.Findings{{Place: k.String(), Reason: "deletion waits, " + referrers(from)}})
		}
	}
}

// referrers words which records refer to another.
func referrers(names []string) string {
	slices.Sort(names)
	text := strings.Join(names[:min(len(names), maxReferrers)], ", ")
	switch n := len(names) - maxReferrers; {
	case n > 0:
		return fmt.Sprintf("%s and %d more refer to it", text, n)
	case len(names) > 1:
		return text + " refer to it"
	}
	return text + " refers to it"
}

// all returns every entry that the next table would hold and that is alive.
func (c *composition) all() []*entry {
	var out []*entry
	for _, e := range c.table.order {
		if c.next[e.key] == nil && e.alive() {
			out = append(out, e)
		}
	}
	for _, e := range c.next {
		if e.alive() {
			out = append(out, e)
		}
	}
	return out
}

func (c *composition) result() Result {
	var res Result
	for _, e := range c.next {
		res.Changed = append(res.Changed, e.record)
	}
	slices.SortFunc(res.Changed, func(a, b *wire.Record) int {
		if d := step(a) - step(b); d != 0 {
			return d
		}
		return compareKeys(record.KeyOf(a), record.KeyOf(b))
	})
	for _, h := range c.held {
		res.Held = append(res.Held, h)
	}
	slices.SortFunc(res.Held, func(a, b *wire.Held) int {
		return compareKeys(record.Key{Kind: a.GetKind(), Name: a.GetName()}, record.Key{Kind: b.GetKind(), Name: b.GetName()})
	})
	if len(res.Held) > maxHeld {
		res.Held = res.Held[:maxHeld]
	}
	return res
}

// step orders changes so that what is referred to comes before what refers to
// it, and deletions the other way round.
func step(r *wire.Record) int {
	order := map[wire.Kind]int{wire.Kind_KIND_POLICY: 1, wire.Kind_KIND_SERVICE: 2, wire.Kind_KIND_ROUTE: 3}[r.GetKind()]
	if r.GetDeleted() {
		return 2*len(wire.Kind_name) - order
	}
	return order
}
