package revision

// This file composes the largest consistent set out of the operators' records.

import (
	"bytes"
	"sort"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// FormatNow is the wire format that this node writes and the newest it reads.
const FormatNow = 1

// Result is what Compose decided.
type Result struct {
	Changed []*wire.Record // ordered by key; empty when nothing can change
	Held    []*wire.Held   // every record that waits, with the reason
}

// Compose returns the change that leads from a table to the largest consistent
// set out of the records on the platform. A record that is invalid, or whose
// references are missing, waits at the version that the table holds.
func Compose(t *Table, platform []*wire.Record) Result {
	c := &composition{table: t, next: map[record.Key]*wire.Record{}, held: map[record.Key]*wire.Held{}}
	for k, r := range t.Records {
		c.next[k] = r
	}
	for _, r := range platform {
		c.take(r)
	}
	for c.settle() {
		continue
	}
	return c.result()
}

// composition is the state of one Compose.
type composition struct {
	table *Table
	next  map[record.Key]*wire.Record
	held  map[record.Key]*wire.Held
}

// take puts a newer valid record in place.
func (c *composition) take(r *wire.Record) {
	k := record.KeyOf(r)
	old := c.table.Records[k]
	if old != nil && r.GetVersion() <= old.GetVersion() {
		return
	}
	if !r.GetDeleted() {
		if _, findings := record.Decode(r); len(findings) > 0 {
			c.hold(r, findings)
			return
		}
	}
	c.next[k] = r
}

func (c *composition) hold(r *wire.Record, findings record.Findings) {
	k := record.KeyOf(r)
	c.held[k] = &wire.Held{Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion(), Findings: findings}
	if old := c.table.Records[k]; old != nil {
		c.next[k] = old
	} else {
		delete(c.next, k)
	}
}

// settle holds back the records whose references are missing and tells
// whether it held any. Holding one may break another, so it runs until none is.
func (c *composition) settle() bool {
	missing := References(c.next)
	if len(missing) == 0 {
		return false
	}
	held := false
	for _, m := range missing {
		held = c.holdOne(m) || held
	}
	return held
}

// holdOne holds the newer end of a broken reference: the record that refers,
// or else the deletion of what it refers to.
func (c *composition) holdOne(m Missing) bool {
	from := c.next[m.From]
	if from != c.table.Records[m.From] {
		c.hold(from, record.Findings{{Place: m.From.String(), Field: m.Field, Reason: m.To.String() + " does not exist"}})
		return true
	}
	to := c.next[m.To]
	if to != c.table.Records[m.To] {
		c.hold(to, record.Findings{{Place: m.To.String(), Reason: "deletion waits, " + m.From.String() + " refers to it"}})
		return true
	}
	return false
}

func (c *composition) result() Result {
	var res Result
	for k, r := range c.next {
		if r != c.table.Records[k] {
			res.Changed = append(res.Changed, r)
		}
	}
	for _, h := range c.held {
		res.Held = append(res.Held, h)
	}
	SortRecords(res.Changed)
	sort.Slice(res.Held, func(i, j int) bool {
		a, b := res.Held[i], res.Held[j]
		return less(record.Key{Kind: a.Kind, Name: a.Name}, record.Key{Kind: b.Kind, Name: b.Name})
	})
	return res
}

// SortRecords orders records by kind and name.
func SortRecords(rs []*wire.Record) {
	sort.Slice(rs, func(i, j int) bool { return less(record.KeyOf(rs[i]), record.KeyOf(rs[j])) })
}

func less(a, b record.Key) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}

// Missing is a reference to a record that does not exist.
type Missing struct {
	From, To record.Key
	Field    string
}

// References returns the broken references in a set of records, in key order.
// Records that do not decode are left out.
func References(records map[record.Key]*wire.Record) []Missing {
	var out []Missing
	for k, r := range records {
		to, field := reference(r)
		if to.Name == "" {
			continue
		}
		if target := records[to]; target == nil || target.GetDeleted() {
			out = append(out, Missing{From: k, To: to, Field: field})
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i].From, out[j].From) })
	return out
}

// reference returns the one record that a record refers to.
func reference(r *wire.Record) (record.Key, string) {
	if r.GetDeleted() {
		return record.Key{}, ""
	}
	hub, findings := record.Decode(r)
	switch {
	case len(findings) > 0:
		return record.Key{}, ""
	case hub.Route != nil:
		return record.Key{Kind: wire.Kind_KIND_SERVICE, Name: hub.Route.Service}, "service"
	case hub.Service != nil:
		return record.Key{Kind: wire.Kind_KIND_POLICY, Name: hub.Service.Policy}, "policy"
	}
	return record.Key{}, ""
}

// Next builds the revision that follows a table.
func Next(t *Table, res Result, change, author string, now int64) (*wire.Revision, error) {
	rev := &wire.Revision{
		Number: t.Number + 1, Parent: t.Digest, Change: change, Records: res.Changed,
		Format: FormatNow, Time: now, Held: res.Held, Author: author,
	}
	next, err := t.follow(rev)
	if err != nil {
		return nil, err
	}
	rev.Digest = next.Digest
	return rev, nil
}

// SameHeld tells whether two lists of held records say the same.
func SameHeld(a, b []*wire.Held) bool {
	return bytes.Equal(marshalHeld(a), marshalHeld(b))
}
