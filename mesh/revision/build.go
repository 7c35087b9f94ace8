package revision

// This file builds tables from a parent table and a revision, or from a
// snapshot.

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Errors returned for an update that is not applied. Test for them with
// errors.Is.
var (
	ErrStale             = errors.New("update is not newer than the table in force")
	ErrGap               = errors.New("update does not follow the table in force")
	ErrDigestMismatch    = errors.New("digest does not match the content")
	ErrUnsupportedFormat = errors.New("format is newer than this node reads")
	ErrRollback          = errors.New("update rolls back a record")
	ErrInvalid           = errors.New("table is not consistent")
	ErrDiverged          = errors.New("another table has the same revision number")
)

// NewestFormat is the newest wire format that this node reads and writes. A
// node that supports format F reads schema versions 1 to F of every kind.
const NewestFormat = record.NewestSchema

// builder builds a table on top of its parent.
type builder struct {
	next         *Table
	parent       *Table
	maxFormat    uint32 // newest format that this node reads
	changedKinds map[wire.Kind]bool
}

// applyRevision returns the table that results from applying a revision to t.
// The caller compares its digest with that of the revision.
func (t *Table) applyRevision(rev *wire.Revision, maxFormat uint32) (*Table, error) {
	if rev.GetFormat() > maxFormat {
		return nil, errors.Wrapf(ErrUnsupportedFormat, "revision %d: format %d, this node reads up to %d", rev.GetNumber(), rev.GetFormat(), maxFormat)
	}
	if rev.GetNumber() != t.Number+1 || !bytes.Equal(rev.GetParent(), t.Digest) {
		return nil, errors.Wrapf(ErrGap, "revision %d on table %d", rev.GetNumber(), t.Number)
	}
	b := &builder{parent: t, maxFormat: maxFormat, changedKinds: map[wire.Kind]bool{}, next: &Table{
		Number: rev.GetNumber(), ChangeID: rev.GetChange(), Time: rev.GetTime(), Held: rev.GetHeld(),
		Records: maps.Clone(t.Records), entries: slices.Clone(t.entries), size: t.size,
	}}
	if b.next.Records == nil {
		b.next.Records = map[record.Key]*wire.Record{}
	}
	for _, r := range rev.GetRecords() {
		if err := b.put(r); err != nil {
			return nil, errors.WithMessagef(err, "revision %d", rev.GetNumber())
		}
	}
	return b.finish()
}

// put adds a record or replaces an older version of it. A version that is not
// newer is ErrRollback.
func (b *builder) put(r *wire.Record) error {
	if r.GetSchema() > b.maxFormat && !r.GetDeleted() {
		return errors.Wrapf(ErrUnsupportedFormat, "%s has schema version %d", record.KeyOf(r), r.GetSchema())
	}
	e, findings := newEntry(r)
	if len(findings) > 0 {
		return errors.Wrap(ErrInvalid, findings.Error())
	}
	t := b.next
	i, ok := findEntry(t.entries, e.key)
	switch {
	case !ok:
		t.entries = slices.Insert(t.entries, i, e)
	case r.GetVersion() <= t.entries[i].record.GetVersion():
		return errors.Wrapf(ErrRollback, "%s from version %d to %d", e.key, t.entries[i].record.GetVersion(), r.GetVersion())
	default:
		t.size -= t.entries[i].size
		t.entries[i] = e
	}
	t.size += e.size
	t.Records[e.key] = r
	b.changedKinds[e.key.Kind] = true
	return nil
}

// finish computes the fields that are derived from the records and checks that
// every reference resolves. Indexes of kinds that did not change are shared with
// the parent.
func (b *builder) finish() (*Table, error) {
	t := b.next
	t.Services, t.Routes, t.Policies = b.parent.Services, b.parent.Routes, b.parent.Policies
	if b.changedKinds[wire.Kind_KIND_SERVICE] || t.Services == nil {
		t.Services = map[string]*record.Service{}
	}
	if b.changedKinds[wire.Kind_KIND_ROUTE] {
		t.Routes = nil
	}
	if b.changedKinds[wire.Kind_KIND_POLICY] || t.Policies == nil {
		t.Policies = map[string]*record.Policy{}
	}
	t.Format = 1
	for _, e := range t.entries {
		if e.alive() {
			t.Format = max(t.Format, e.record.GetSchema())
			b.index(e)
		}
	}
	for _, e := range t.entries {
		if e.ref.Name != "" && !t.exists(e.ref) {
			return nil, errors.Wrapf(ErrInvalid, "revision %d: %s refers to %s, which does not exist", t.Number, e.key, e.ref)
		}
	}
	t.Digest = t.computeDigest()
	return t, nil
}

// index adds an entry to the index of its kind if records of that kind changed.
func (b *builder) index(e *entry) {
	if !b.changedKinds[e.key.Kind] {
		return
	}
	switch {
	case e.hub.Service != nil:
		b.next.Services[e.key.Name] = e.hub.Service
	case e.hub.Policy != nil:
		b.next.Policies[e.key.Name] = e.hub.Policy
	case e.hub.Route != nil:
		b.next.Routes = append(b.next.Routes, e.hub.Route)
	}
}

func (t *Table) exists(k record.Key) bool {
	if k.Kind == wire.Kind_KIND_SERVICE {
		return t.Services[k.Name] != nil
	}
	return t.Policies[k.Name] != nil
}

// computeDigest hashes the revision number and the hashes of all records,
// including tombstones.
func (t *Table) computeDigest() []byte {
	buf := make([]byte, 8, 8+len(t.entries)*sha256.Size)
	binary.BigEndian.PutUint64(buf, t.Number)
	for _, e := range t.entries {
		buf = append(buf, e.hash[:]...)
	}
	sum := sha256.Sum256(buf)
	return sum[:]
}

// fromSnapshot returns the table that a snapshot contains. A record that is
// older than in t or missing is ErrRollback. Entries of records that did not
// change are reused instead of being decoded again.
func (t *Table) fromSnapshot(s *wire.Snapshot, maxFormat uint32) (*Table, error) {
	if len(s.GetDocument()) > 0 {
		return fromDocument(s)
	}
	if s.GetFormat() > maxFormat {
		return nil, errors.Wrapf(ErrUnsupportedFormat, "snapshot %d: format %d, this node reads up to %d", s.GetNumber(), s.GetFormat(), maxFormat)
	}
	b := &builder{parent: &Table{}, maxFormat: maxFormat, changedKinds: map[wire.Kind]bool{}, next: &Table{
		Number: s.GetNumber(), ChangeID: s.GetChange(), Time: s.GetTime(), Held: s.GetHeld(),
		Records: make(map[record.Key]*wire.Record, len(s.GetRecords())),
		entries: make([]*entry, 0, len(s.GetRecords())),
	}}
	for _, r := range s.GetRecords() {
		if err := b.putFromSnapshot(t.entry(record.KeyOf(r)), r); err != nil {
			return nil, errors.WithMessagef(err, "snapshot %d", s.GetNumber())
		}
	}
	for _, e := range t.entries {
		if b.next.Records[e.key] == nil {
			return nil, errors.Wrapf(ErrRollback, "snapshot %d lacks %s", s.GetNumber(), e.key)
		}
	}
	return b.finish()
}

// putFromSnapshot adds a record of a snapshot. It reuses current, the entry in
// the table in force, if the record did not change; current may be nil.
func (b *builder) putFromSnapshot(current *entry, r *wire.Record) error {
	if current == nil {
		return b.put(r)
	}
	version := current.record.GetVersion()
	if r.GetVersion() < version {
		return errors.Wrapf(ErrRollback, "%s from version %d to %d", current.key, version, r.GetVersion())
	}
	if r.GetVersion() > version || hashRecord(r) != current.hash {
		return b.put(r)
	}
	i, ok := findEntry(b.next.entries, current.key)
	if ok {
		return errors.Wrapf(ErrInvalid, "%s occurs twice", current.key)
	}
	b.next.entries = slices.Insert(b.next.entries, i, current)
	b.next.size += current.size
	b.next.Records[current.key] = current.record
	b.changedKinds[current.key.Kind] = true
	return nil
}

// verifyDigest returns ErrDigestMismatch unless the digest of the table matches
// the one in the update.
func (t *Table) verifyDigest(digest []byte) error {
	if !bytes.Equal(digest, t.Digest) {
		return errors.Wrapf(ErrDigestMismatch, "revision %d", t.Number)
	}
	return nil
}
