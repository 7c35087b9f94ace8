package revision

// This file builds tables: from a revision and its parent, or from a snapshot.

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

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
)

// follow returns the table that a revision leads to. The revision's digest is
// checked when it is set.
func (t *Table) follow(rev *wire.Revision) (*Table, error) {
	if rev.GetFormat() > FormatNow {
		return nil, errors.Wrapf(ErrFormat, "revision %d: format %d", rev.GetNumber(), rev.GetFormat())
	}
	if rev.GetNumber() != t.Number+1 || !bytes.Equal(rev.GetParent(), t.Digest) {
		return nil, errors.Wrapf(ErrGap, "revision %d on table %d", rev.GetNumber(), t.Number)
	}
	records := maps.Clone(t.Records)
	if records == nil {
		records = map[record.Key]*wire.Record{}
	}
	for _, r := range rev.GetRecords() {
		k := record.KeyOf(r)
		if old := records[k]; old != nil && r.GetVersion() <= old.GetVersion() {
			return nil, errors.Wrapf(ErrBackwards, "revision %d: %s from %d to %d", rev.GetNumber(), k, old.GetVersion(), r.GetVersion())
		}
		records[k] = r
	}
	next := &Table{
		Number: rev.GetNumber(), Change: rev.GetChange(), Time: rev.GetTime(),
		Format: rev.GetFormat(), Records: records, Held: rev.GetHeld(),
	}
	return next, next.finish(rev.GetDigest())
}

// fromSnapshot returns the table that a snapshot holds.
func fromSnapshot(s *wire.Snapshot) (*Table, error) {
	if s.GetFormat() > FormatNow {
		return nil, errors.Wrapf(ErrFormat, "snapshot %d: format %d", s.GetNumber(), s.GetFormat())
	}
	t := &Table{
		Number: s.GetNumber(), Change: s.GetChange(), Time: s.GetTime(), Format: s.GetFormat(),
		Records: map[record.Key]*wire.Record{}, Held: s.GetHeld(),
	}
	for _, r := range s.GetRecords() {
		t.Records[record.KeyOf(r)] = r
	}
	return t, t.finish(s.GetDigest())
}

// Snapshot returns the whole table as a message.
func (t *Table) Snapshot() *wire.Snapshot {
	return &wire.Snapshot{
		Number: t.Number, Digest: t.Digest, Change: t.Change, Time: t.Time,
		Format: max(t.Format, 1), Records: t.ordered(), Held: t.Held,
	}
}

func (t *Table) ordered() []*wire.Record {
	rs := slices.Collect(maps.Values(t.Records))
	SortRecords(rs)
	return rs
}

// finish decodes the records, checks the references and the digest, and fills
// in what is derived.
func (t *Table) finish(digest []byte) error {
	t.Services = map[string]*record.Service{}
	t.Policies = map[string]*record.Policy{}
	for _, r := range t.ordered() {
		if err := t.index(r); err != nil {
			return err
		}
	}
	if missing := References(t.Records); len(missing) > 0 {
		m := missing[0]
		return errors.Wrapf(ErrInvalid, "revision %d: %s refers to %s, which does not exist", t.Number, m.From, m.To)
	}
	t.Digest = digestOf(t)
	if digest != nil && !bytes.Equal(digest, t.Digest) {
		return errors.Wrapf(ErrDigest, "revision %d", t.Number)
	}
	return nil
}

func (t *Table) index(r *wire.Record) error {
	if r.GetDeleted() {
		return nil
	}
	hub, findings := record.Decode(r)
	if len(findings) > 0 {
		return errors.Wrapf(ErrInvalid, "revision %d: %s", t.Number, findings.Error())
	}
	switch {
	case hub.Service != nil:
		t.Services[r.GetName()] = hub.Service
	case hub.Policy != nil:
		t.Policies[r.GetName()] = hub.Policy
	case hub.Route != nil:
		t.Routes = append(t.Routes, hub.Route)
	}
	return nil
}

// digestOf hashes the number and every record, tombstones included.
func digestOf(t *Table) []byte {
	h := sha256.New()
	var num [8]byte
	binary.BigEndian.PutUint64(num[:], t.Number)
	h.Write(num[:])
	for _, r := range t.ordered() {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
		if err != nil {
			panic(err) // a record decoded before always encodes
		}
		binary.BigEndian.PutUint64(num[:], uint64(len(data)))
		h.Write(num[:])
		h.Write(data)
	}
	return h.Sum(nil)
}

func marshalHeld(held []*wire.Held) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Snapshot{Held: held})
	if err != nil {
		panic(err) // plain messages always encode
	}
	return data
}
