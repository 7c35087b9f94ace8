// Package revision builds configuration tables from records and applies
// revisions to them.
//
// A [Table] is a complete, consistent and immutable configuration. A [Holder]
// keeps the table in force behind an atomic pointer. It only ever moves to a
// newer table whose digest matches and whose references resolve. [Compose]
// selects the records that the next revision changes.
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

// Table is the complete configuration at one revision. It is immutable and may
// be used from several goroutines.
type Table struct {
	Number   uint64
	Digest   []byte
	ChangeID string                      // change ID of the revision
	Time     int64                       // publication time, Unix ms
	Format   uint32                      // lowest wire format that a reader of the whole table needs
	Records  map[record.Key]*wire.Record // including tombstones
	Services map[string]*record.Service
	Routes   []*record.Route // ordered by name
	Policies map[string]*record.Policy
	Held     []*wire.Held // records held back at this revision
	Limits   record.CallerLimits

	// Fields that only a single-document configuration sets.
	Workspaces map[string]*record.Workspace // by name
	Findings   record.Findings              // on what could not be read of the document

	document []byte                          // encoded document, when the table was built from one
	entries  []*entry                        // one for each record, ordered by key
	size     int                             // approximate encoded size, in bytes
	keyed    bool                            // see NeedsKeys
	digests  map[keyDigest]*record.Workspace // by key
}

// Policy returns the policy of a service, or the zero policy when the service
// is unknown or refers to none.
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

// Snapshot returns the whole table as a message. The message shares the records
// of the table and must not be modified.
func (t *Table) Snapshot() *wire.Snapshot {
	records := make([]*wire.Record, len(t.entries))
	for i, e := range t.entries {
		records[i] = e.record
	}
	return &wire.Snapshot{
		Number: t.Number, Digest: t.Digest, Change: t.ChangeID, Time: t.Time,
		Format: max(t.Format, 1), Records: records, Held: t.Held, Document: t.document, Findings: t.Findings,
	}
}

// entry returns the entry of a key, or nil when there is none.
func (t *Table) entry(k record.Key) *entry {
	if i, ok := findEntry(t.entries, k); ok {
		return t.entries[i]
	}
	return nil
}
