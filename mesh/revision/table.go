// Package revision turns records into tables and tables into one another.
//
// A [Table] is a whole, consistent configuration that never changes. A
// [Holder] keeps the table in force behind an atomic pointer; it moves forward
// only, and only to a table whose digest and references hold. [Compose] decides
// what the next revision holds.
//
// # Usage
//
//	var h revision.Holder
//	if err := h.Apply(update); err != nil {
//		return err // the old table stays in force
//	}
//	table := h.Table()
package revision

import (
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Table is the configuration at one revision. It is immutable.
type Table struct {
	Number   uint64
	Digest   []byte
	Change   string
	Time     int64                       // publication, Unix ms
	Format   uint32                      // wire format needed to read the whole table
	Records  map[record.Key]*wire.Record // tombstones included
	Services map[string]*record.Service
	Routes   []*record.Route // ordered by name
	Policies map[string]*record.Policy
	Held     []*wire.Held
	Limits   record.Limits

	document []byte   // encoded, when the table was built from one
	order    []*entry // by key, one for each record
	size     int      // bytes of all records in a message
}

// Policy returns the policy of a service, or the zero policy.
func (t *Table) Policy(service string) record.Policy {
	s := t.Services[service]
	if s == nil {
		return record.Policy{}
	}
	p := t.Policies[s.Policy]
	if p == nil {
		return record.Policy{}
	}
	return *p
}

// Snapshot returns the whole table as a message, which shares its records.
func (t *Table) Snapshot() *wire.Snapshot {
	records := make([]*wire.Record, len(t.order))
	for i, e := range t.order {
		records[i] = e.record
	}
	return &wire.Snapshot{
		Number: t.Number, Digest: t.Digest, Change: t.Change, Time: t.Time,
		Format: max(t.Format, 1), Records: records, Held: t.Held, Document: t.document,
	}
}

// entry returns the entry of a key, or nil.
func (t *Table) entry(k record.Key) *entry {
	if i, ok := find(t.order, k); ok {
		return t.order[i]
	}
	return nil
}
