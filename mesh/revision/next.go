package revision

// This file builds the revision that a publisher appends.

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// maxRevisionBytes limits the records of one revision. The stored object is a
// third larger, because record bodies are base64-encoded, and must stay below
// 1 MB.
const maxRevisionBytes = 600_000

// Next builds the revision that follows a table. The time now is in Unix ms. A
// change that is too large for one revision is truncated; after that revision is
// applied, Compose returns the remaining changes.
func Next(t *Table, res Result, change, author string, now int64) (*wire.Revision, error) {
	rev := &wire.Revision{
		Number: t.Number + 1, Parent: t.Digest, Change: change, Records: fitRevision(res.Changed),
		Format: 1, Time: now, Held: res.Held, Author: author,
	}
	for _, r := range rev.GetRecords() {
		if !r.GetDeleted() {
			rev.Format = max(rev.Format, r.GetSchema())
		}
	}
	next, err := t.applyRevision(rev, NewestFormat)
	if err != nil {
		return nil, err
	}
	rev.Digest = next.Digest
	return rev, nil
}

// fitRevision returns the longest prefix of records that fits one revision, at
// least one record if there are any, sorted by key.
func fitRevision(changed []*wire.Record) []*wire.Record {
	total, n := 0, 0
	for n < len(changed) {
		total += len(changed[n].GetName()) + len(changed[n].GetBody()) + recordOverheadBytes
		if n > 0 && total > maxRevisionBytes {
			break
		}
		n++
	}
	out := append([]*wire.Record(nil), changed[:n]...)
	SortRecords(out)
	return out
}

// EqualHeld reports whether two lists of held records are equal.
func EqualHeld(a, b []*wire.Held) bool {
	return bytes.Equal(marshalHeld(a), marshalHeld(b))
}

func marshalHeld(held []*wire.Held) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Snapshot{Held: held})
	if err != nil {
		panic(err) // encoding these messages does not fail
	}
	return data
}

// CommonFormat returns the newest format that this node and every member that
// is not dead can read. A member that reports no format reads format 1.
func CommonFormat(members map[string]*wire.Member) uint32 {
	format := uint32(NewestFormat)
	for _, m := range members {
		if s := m.GetState(); s != wire.State_STATE_DEAD {
			format = min(format, max(m.GetFormat(), 1))
		}
	}
	return format
}
