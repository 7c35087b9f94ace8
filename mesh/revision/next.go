package revision

// This file builds the revision that a publisher appends.

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// maxRevision bounds the records of one revision, in bytes. Its object is
// larger by a third, since bodies travel as base64, and must stay below 1 MB.
const maxRevision = 600_000

// Next builds the revision that follows a table. A change that is too large
// for one revision is cut; composing again gives the rest.
func Next(t *Table, res Result, change, author string, now int64) (*wire.Revision, error) {
	rev := &wire.Revision{
		Number: t.Number + 1, Parent: t.Digest, Change: change, Records: bounded(res.Changed),
		Format: 1, Time: now, Held: res.Held, Author: author,
	}
	for _, r := range rev.GetRecords() {
		if !r.GetDeleted() {
			rev.Format = max(rev.Format, r.GetSchema())
		}
	}
	next, err := t.follow(rev, FormatNow)
	if err != nil {
		return nil, err
	}
	rev.Digest = next.Digest
	return rev, nil
}

// bounded returns the records that fit one revision, ordered by key.
func bounded(changed []*wire.Record) []*wire.Record {
	total, n := 0, 0
	for n < len(changed) {
		total += len(changed[n].GetName()) + len(changed[n].GetBody()) + recordOverhead
		if n > 0 && total > maxRevision {
			break
		}
		n++
	}
	out := append([]*wire.Record(nil), changed[:n]...)
	SortRecords(out)
	return out
}

// SameHeld tells whether two lists of held records say the same.
func SameHeld(a, b []*wire.Held) bool {
	return bytes.Equal(marshalHeld(a), marshalHeld(b))
}

func marshalHeld(held []*wire.Held) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Snapshot{Held: held})
	if err != nil {
		panic(err) // plain messages always encode
	}
	return data
}

// Format returns the newest format that every member of the live fleet reads.
// A member that names none reads format 1.
func Format(members map[string]*wire.Member) uint32 {
	format := uint32(FormatNow)
	for _, m := range members {
		if s := m.GetState(); s != wire.State_STATE_DEAD {
			format = min(format, max(m.GetFormat(), 1))
		}
	}
	return format
}
