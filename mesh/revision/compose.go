package revision

// This file selects the largest consistent set of the operators' records.

import (
	"fmt"
	"slices"
	"strings"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Limits of the report on held records in a revision.
const (
	maxHeld         = 200 // records
	maxHeldFindings = 10  // findings of one record
	maxReferrers    = 3   // referring records named in a finding
)

// Result is the outcome of Compose.
type Result struct {
	// Changed holds the records to change, in the order in which they can be
	// applied. Each prefix leads to a consistent table, so a large change may
	// be published in several revisions.
	Changed []*wire.Record
	Held    []*wire.Held // records held back, with the reasons, ordered by key
}

// Compose returns the change from a table to the largest consistent set of the
// records on the platform: as many new and changed records as can be in force
// together, and then as many deletions.
//
// A record is held back at its version in the table while it is invalid, while
// it refers to a record that does not exist, or while it cannot be converted to
// the given format, which is the newest that every live node reads. A deletion
// is held back while another record refers to the deleted one. Records in the
// list that are older than in the table, or missing, change nothing.
func Compose(t *Table, platform []*wire.Record, format uint32) Result {
	c := &composer{table: t, format: format, changes: map[record.Key]*entry{}, held: map[record.Key]*wire.Held{}}
	listedVersions := map[record.Key]uint64{}
	for _, r := range platform {
		k := record.KeyOf(r)
		if r.GetVersion() > listedVersions[k] {
			listedVersions[k] = r.GetVersion()
			c.add(r)
		}
	}
	c.carryOverHeld(listedVersions)
	for c.holdDanglingUpserts() {
		continue // holding back a service may leave routes without their service
	}
	c.holdReferencedDeletions(wire.Kind_KIND_SERVICE)
	c.holdReferencedDeletions(wire.Kind_KIND_POLICY)
	return c.result()
}

// composer is the state of one call of Compose.
type composer struct {
	table   *Table
	format  uint32
	changes map[record.Key]*entry // changes selected so far
	held    map[record.Key]*wire.Held
}

// add selects a record if it is newer than in the table, or holds it back if it
// is invalid.
func (c *composer) add(r *wire.Record) {
	k := record.KeyOf(r)
	delete(c.changes, k)
	delete(c.held, k)
	if current := c.table.entry(k); current != nil && r.GetVersion() <= current.record.GetVersion() {
		return
	}
	e, findings := c.decode(r)
	if len(findings) > 0 {
		c.hold(r, findings)
		return
	}
	c.changes[k] = e
}

// decode validates a record and converts it to a schema version that every live
// node reads.
func (c *composer) decode(r *wire.Record) (*entry, record.Findings) {
	if findings, _ := record.Check(r); len(findings) > 0 {
		return nil, findings
	}
	if format := max(c.format, 1); r.GetSchema() > format && !r.GetDeleted() {
		return downgrade(r, format)
	}
	return newEntry(r)
}

// downgrade converts a record to the newest schema version of a format.
func downgrade(r *wire.Record, format uint32) (*entry, record.Findings) {
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

// carryOverHeld keeps the held records of the table that the list lacks or has in
// an older version: for these records, the list is older than the table.
func (c *composer) carryOverHeld(listedVersions map[record.Key]uint64) {
	for _, h := range c.table.Held {
		k := record.Key{Kind: h.GetKind(), Name: h.GetName()}
		if listedVersions[k] < h.GetVersion() {
			c.held[k] = h
		}
	}
}

// hold holds back a record and unselects it.
func (c *composer) hold(r *wire.Record, findings record.Findings) {
	k := record.KeyOf(r)
	if n := len(findings) - maxHeldFindings; n > 0 {
		findings = append(findings[:maxHeldFindings:maxHeldFindings],
			&wire.Finding{Place: k.String(), Reason: fmt.Sprintf("%d more findings are left out", n)})
	}
	c.held[k] = &wire.Held{Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion(), Findings: findings}
	delete(c.changes, k)
}

// available reports whether a record can be in the next table. A record whose
// deletion is selected is available, because a reference to it takes precedence
// over the deletion.
func (c *composer) available(k record.Key) bool {
	return c.changes[k].alive() || c.table.entry(k).alive()
}

// holdDanglingUpserts holds back the new and changed records whose reference does
// not resolve, and reports whether there were any.
func (c *composer) holdDanglingUpserts() bool {
	var dangling []*entry
	for _, e := range c.changes {
		if e.ref.Name != "" && !c.available(e.ref) {
			dangling = append(dangling, e)
		}
	}
	for _, e := range dangling {
		reason := e.ref.String() + " does not exist"
		if c.held[e.ref] != nil {
			reason = e.ref.String() + " is held back"
		}
		c.hold(e.record, record.Findings{{Place: e.key.String(), Field: e.refField, Reason: reason}})
	}
	return len(dangling) > 0
}

// holdReferencedDeletions holds back the deletions of records of a kind that
// other records still refer to.
func (c *composer) holdReferencedDeletions(kind wire.Kind) {
	referrersOf := map[record.Key][]string{}
	for k, e := range c.changes {
		if k.Kind == kind && !e.alive() {
			referrersOf[k] = nil
		}
	}
	if len(referrersOf) == 0 {
		return
	}
	for _, e := range c.liveEntries() {
		if referrers, ok := referrersOf[e.ref]; ok {
			referrersOf[e.ref] = append(referrers, e.key.String())
		}
	}
	for k, referrers := range referrersOf {
		if len(referrers) > 0 {
			c.hold(c.changes[k].record, record.Findings{{Place: k.String(), Reason: "deletion is held back: " + formatReferrers(referrers)}})
		}
	}
}

// formatReferrers returns a clause that names the referring records, such as
// "route/a, route/b refer to it".
func formatReferrers(names []string) string {
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

// liveEntries returns the entries of the next table as selected so far, without
// tombstones and in no particular order.
func (c *composer) liveEntries() []*entry {
	var out []*entry
	for _, e := range c.table.entries {
		if c.changes[e.key] == nil && e.alive() {
			out = append(out, e)
		}
	}
	for _, e := range c.changes {
		if e.alive() {
			out = append(out, e)
		}
	}
	return out
}

func (c *composer) result() Result {
	var res Result
	for _, e := range c.changes {
		res.Changed = append(res.Changed, e.record)
	}
	slices.SortFunc(res.Changed, func(a, b *wire.Record) int {
		if d := applyOrder(a) - applyOrder(b); d != 0 {
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

// applyOrder returns the sort rank of a change. A record comes before the records
// that refer to it, so policies, services, then routes; deletions come after all
// other changes, in reverse order.
func applyOrder(r *wire.Record) int {
	rank := map[wire.Kind]int{wire.Kind_KIND_POLICY: 1, wire.Kind_KIND_SERVICE: 2, wire.Kind_KIND_ROUTE: 3}[r.GetKind()]
	if r.GetDeleted() {
		return 2*len(wire.Kind_name) - rank
	}
	return rank
}
