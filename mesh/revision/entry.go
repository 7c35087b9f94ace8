package revision

// This file defines entries: records with the data derived from them.

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// entry is a record with the data derived from it. It is immutable, so that
// tables can share the entries of records that did not change.
type entry struct {
	key      record.Key
	record   *wire.Record
	hub      record.Hub // empty for a tombstone
	hash     [sha256.Size]byte
	size     int        // approximate encoded size, in bytes
	ref      record.Key // record that this one refers to; the name is empty when there is none
	refField string     // field that holds the reference
}

// recordOverheadBytes approximates the encoded size of a record without its name
// and body, that is, of its numbers and field tags.
const recordOverheadBytes = 24

// newEntry decodes a record. The entry is valid only when there are no findings.
func newEntry(r *wire.Record) (*entry, record.Findings) {
	e := &entry{key: record.KeyOf(r), record: r, hash: hashRecord(r), size: len(r.GetName()) + len(r.GetBody()) + recordOverheadBytes}
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
		e.ref, e.refField = record.Key{Kind: wire.Kind_KIND_SERVICE, Name: hub.Route.Service}, "service"
	case hub.Service != nil:
		e.ref, e.refField = record.Key{Kind: wire.Kind_KIND_POLICY, Name: hub.Service.Policy}, "policy"
	}
	return e, nil
}

// alive reports whether the entry is neither nil nor a tombstone.
func (e *entry) alive() bool { return e != nil && !e.record.GetDeleted() }

// hashRecord hashes the fields of a record in a fixed order. The encoding is
// unambiguous, since the name has a length prefix and the body comes last, and
// does not depend on how a protobuf library orders fields.
func hashRecord(r *wire.Record) [sha256.Size]byte {
	buf := make([]byte, 0, len(r.GetName())+len(r.GetBody())+2*recordOverheadBytes)
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

// compareKeys compares keys by kind, then by name.
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

// findEntry returns the position of a key in sorted entries and whether it is
// present.
func findEntry(entries []*entry, k record.Key) (int, bool) {
	return slices.BinarySearchFunc(entries, k, func(e *entry, k record.Key) int { return compareKeys(e.key, k) })
}

// SortRecords sorts records in place by kind, then by name.
func SortRecords(rs []*wire.Record) {
	slices.SortFunc(rs, func(a, b *wire.Record) int { return compareKeys(record.KeyOf(a), record.KeyOf(b)) })
}
