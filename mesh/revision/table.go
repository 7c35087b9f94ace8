// Package revision turns records into tables and tables into one another.
//
// A [Table] is a whole, consistent configuration that never changes. A
// [Holder] keeps the table in force behind an atomic pointer; it moves forward
// only, and only to a table whose digest and references hold.
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
	Time     int64 // publication, Unix ms
	Format   uint32
	Records  map[record.Key]*wire.Record // tombstones included
	Services map[string]*record.Service
	Routes   []*record.Route // ordered by name
	Policies map[string]*record.Policy
	Held     []*wire.Held
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
