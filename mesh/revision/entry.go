package revision

// This file defines entries: records with what is derived from each of them.

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// entry is one record with what is derived from it. It is immutable, so
// tables share the entries of records that did not change.
type entry struct {
	key    record.Key
	record *wire.Record
	hub    record.Hub // empty for a tombstone
	leaf   [sha256.Size]byte
	size   int        // bytes of the record in a message
	to     record.Key // the record that it refers to; the name is empty for none
	field  string     // that holds the reference
}

// recordOverhead is the size of a record's numbers and tags in a message, in
// bytes.
const recordOverhead = 24

// newEntry decodes a record. The entry is usable only without findings.
func newEntry(r *wire.Record) (*entry, record.Findings) {
	e := &entry{key: record.KeyOf(r), record: r, leaf: leafOf(r), size: len(r.GetName()) + len(r.GetBody()) + recordOverhead}
	if r.GetDeleted() {
		return e, record.CheckKey(e.key)
	}
	hub, findings := record.Decode(r)
	if len(findings) > 0 {
		return e, findings
	}
	e.hub = hub
	switch {
	case hub.Route != nil:
		e.to, e.field = record.Key{Kind: wire.Kind_KIND_SERVICE, Name: hub.Route.Service}, "service"
	case hub.Service != nil:
		e.to, e.field = record.Key{Kind: wire.Kind_KIND_POLICY, Name: hub.Service.Policy}, "policy"
	}
	return e, nil
}

// alive tells whether the entry exists and is no tombstone.
func (e *entry) alive() bool { return e != nil && !e.record.GetDeleted() }

// leafOf hashes the fields of a record, each with its length, so that the hash
// does not depend on how a library orders a message.
func leafOf(r *wire.Record) [sha256.Size]byte {
	buf := make([]byte, 0, len(r.GetName())+len(r.GetBody())+2*recordOverhead)
	buf = binary.AppendUvarint(buf, uint64(r.GetKind()))
	buf = binary.AppendUvarint(buf, uint64(r.GetSchema()))
	buf = binary.AppendUvarint(buf, r.GetVersion())
	deleted := byte(0)
	if r.GetDeleted() {
		deleted = 1
	}
	buf = append(buf, deleted)
	buf = binary.AppendUvarint(buf, uint64(len(r.GetName())))
	buf = append(buf, r.GetName()...)
	buf = append(buf, r.GetBody()...)
	return sha256.Sum256(buf)
}

// compareKeys orders keys by kind and name.
func compareKeys(a, b record.Key) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// find returns the place of a key in ordered entries.
func find(order []*entry, k record.Key) (int, bool) {
	return slices.BinarySearchFunc(order, k, func(e *entry, k record.Key) int { return compareKeys(e.key, k) })
}

// SortRecords orders records by kind and name.
func SortRecords(rs []*wire.Record) {
	slices.SortFunc(rs, func(a, b *wire.Record) int { return compareKeys(record.KeyOf(a), record.KeyOf(b)) })
}
