package revision

// This file builds tables: from a revision and its parent, or from a snapshot.

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

// Errors of an update that is not applied. Test for them with errors.Is.
var (
	ErrStale     = errors.New("update is not newer than the table in force")
	ErrGap       = errors.New("update does not follow the table in force")
	ErrDigest    = errors.New("digest does not match the content")
	ErrFormat    = errors.New("format is newer than this node reads")
	ErrBackwards = errors.New("record goes back in version")
	ErrInvalid   = errors.New("table is not consistent")
	ErrDiverged  = errors.New("another table has the same revision number")
)

// FormatNow is the newest wire format that this node reads and writes. A node
// of format F reads the schema versions 1 to F of every kind.
const FormatNow = record.NewestSchema

// builder collects the records of a table that follows another.
type builder struct {
	next    *Table
	parent  *Table
	newest  uint32 // newest format that is read
	touched map[wire.Kind]bool
}

// follow returns the table that a revision leads to.
func (t *Table) follow(rev *wire.Revision, newest uint32) (*Table, error) {
	if rev.GetFormat() > newest {
		return nil, errors.Wrapf(ErrFormat, "revision %d: format %d, this node reads up to %d", rev.GetNumber(), rev.GetFormat(), newest)
	}
	if rev.GetNumber() != t.Number+1 || !bytes.Equal(rev.GetParent(), t.Digest) {
		return nil, errors.Wrapf(ErrGap, "revision %d on table %d", rev.GetNumber(), t.Number)
	}
	b := &builder{parent: t, newest: newest, touched: map[wire.Kind]bool{}, next: &Table{
		Number: rev.GetNumber(), Change: rev.GetChange(), Time: rev.GetTime(), Held: rev.GetHeld(),
		Records: maps.Clone(t.Records), order: slices.Clone(t.order), size: t.size,
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

// put adds a record or replaces an older version of it.
func (b *builder) put(r *wire.Record) error {
	if r.GetSchema() > b.newest && !r.GetDeleted() {
		return errors.Wrapf(ErrFormat, "%s has schema version %d", record.KeyOf(r), r.GetSchema())
	}
	e, findings := newEntry(r)
	if len(findings) > 0 {
		return errors.Wrap(ErrInvalid, findings.Error())
	}
	t := b.next
	i, ok := find(t.order, e.key)
	switch {
	case !ok:
		t.order = slices.Insert(t.order, i, e)
	case r.GetVersion() <= t.order[i].record.GetVersion():
		return errors.Wrapf(ErrBackwards, "%s from version %d to %d", e.key, t.order[i].record.GetVersion(), r.GetVersion())
	default:
		t.size -= t.order[i].size
		t.order[i] = e
	}
	t.size += e.size
	t.Records[e.key] = r
	b.touched[e.key.Kind] = true
	return nil
}

// finish fills in what is derived from the records and checks the references.
func (b *builder) finish() (*Table, error) {
	t := b.next
	t.Services, t.Routes, t.Policies = b.parent.Services, b.parent.Routes, b.parent.Policies
	if b.touched[wire.Kind_KIND_SERVICE] || t.Services == nil {
		t.Services = map[string]*record.Service{}
	}
	if b.touched[wire.Kind_KIND_ROUTE] {
		t.Routes = nil
	}
	if b.touched[wire.Kind_KIND_POLICY] || t.Policies == nil {
		t.Policies = map[string]*record.Policy{}
	}
	t.Format = 1
	for _, e := range t.order {
		if e.alive() {
			t.Format = max(t.Format, e.record.GetSchema())
			b.index(e)
		}
	}
	for _, e := range t.order {
		if e.to.Name != "" && !t.exists(e.to) {
			return nil, errors.Wrapf(ErrInvalid, "revision %d: %s refers to %s, which does not exist", t.Number, e.key, e.to)
		}
	}
	t.Digest = t.digest()
	return t, nil
}

// index adds an entry to the derived maps of a kind that changed.
func (b *builder) index(e *entry) {
	if !b.touched[e.key.Kind] {
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

// digest hashes the number and the hash of every record, tombstones included.
func (t *Table) digest() []byte {
	buf := make([]byte, 8, 8+len(t.order)*sha256.Size)
	binary.BigEndian.PutUint64(buf, t.Number)
	for _, e := range t.order {
		buf = append(buf, e.leaf[:]...)
	}
	sum := sha256.Sum256(buf)
	return sum[:]
}

// fromSnapshot returns the table that a snapshot holds. No record may be older
// than in the table before it, and none may be missing. Records that did not
// change are not decoded again.
func (t *Table) fromSnapshot(s *wire.Snapshot, newest uint32) (*Table, error) {
	if len(s.GetDocument()) > 0 {
		return fromDocument(s)
	}
	if s.GetFormat() > newest {
		return nil, errors.Wrapf(ErrFormat, "snapshot %d: format %d, this node reads up to %d", s.GetNumber(), s.GetFormat(), newest)
	}
	b := &builder{parent: &Table{}, newest: newest, touched: map[wire.Kind]bool{}, next: &Table{
		Number: s.GetNumber(), Change: s.GetChange(), Time: s.GetTime(), Held: s.GetHeld(),
		Records: make(map[record.Key]*wire.Record, len(s.GetRecords())),
		order:   make([]*entry, 0, len(s.GetRecords())),
	}}
	for _, r := range s.GetRecords() {
		if err := b.keep(t.entry(record.KeyOf(r)), r); err != nil {
			return nil, errors.WithMessagef(err, "snapshot %d", s.GetNumber())
		}
	}
	for _, e := range t.order {
		if b.next.Records[e.key] == nil {
			return nil, errors.Wrapf(ErrBackwards, "snapshot %d lacks %s", s.GetNumber(), e.key)
		}
	}
	return b.finish()
}

// keep adds a record of a snapshot. The old entry is the one in force, or nil.
func (b *builder) keep(old *entry, r *wire.Record) error {
	if old == nil {
		return b.put(r)
	}
	version := old.record.GetVersion()
	if r.GetVersion() < version {
		return errors.Wrapf(ErrBackwards, "%s from version %d to %d", old.key, version, r.GetVersion())
	}
	if r.GetVersion() > version || leafOf(r) != old.leaf {
		return b.put(r)
	}
	i, ok := find(b.next.order, old.key)
	if ok {
		return errors.Wrapf(ErrInvalid, "%s occurs twice", old.key)
	}
	b.next.order = slices.Insert(b.next.order, i, old)
	b.next.size += old.size
	b.next.Records[old.key] = old.record
	b.touched[old.key.Kind] = true
	return nil
}

// verify compares the digest of a table with the one that came with it.
func (t *Table) verify(digest []byte) error {
	if !bytes.Equal(digest, t.Digest) {
		return errors.Wrapf(ErrDigest, "revision %d", t.Number)
	}
	return nil
}
