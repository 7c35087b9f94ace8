package member

// This file keeps digests of the table and finds what two tables differ in.

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/wire"
)

// Buckets is the number of parts that two tables are compared by.
const Buckets = 256

// maxSync bounds the members in one answer to a Sync.
const maxSync = 512

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// digest returns the contribution of an entry. The dead contribute nothing, so
// that forgetting them is no difference; nor does suspicion, which ends in a
// new incarnation or in death.
func (e *entry) digest(name string) uint64 {
	if e.member == nil {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, name...)
	b = binary.LittleEndian.AppendUint64(b, e.member.GetIncarnation())
	b = binary.LittleEndian.AppendUint64(b, e.member.GetSerial())
	return xxhash.Sum64(b)
}

func (t *Table) toggle(e *entry) {
	t.buckets[e.hash%Buckets] ^= e.item
	t.root ^= e.item
}

// Digest returns the digest of the whole table.
func (t *Table) Digest() []byte { return binary.LittleEndian.AppendUint64(nil, t.root) }

// SyncRequest returns the question what a peer knows and this node does not.
func (t *Table) SyncRequest() *wire.SyncRequest {
	b := t.buckets
	return &wire.SyncRequest{Name: t.self.GetName(), Buckets: b[:]}
}

// Sync answers a request: it merges what came with it and returns the members
// of the buckets that differ.
func (t *Table) Sync(req *wire.SyncRequest, now time.Time) *wire.SyncResponse {
	for _, m := range req.GetMembers() {
		t.Merge(m, now)
	}
	resp := &wire.SyncResponse{}
	if len(req.GetBuckets()) != Buckets {
		return resp
	}
	differ := map[uint64]bool{}
	for i, b := range req.GetBuckets() {
		if b != t.buckets[i] {
			differ[uint64(i)] = true
			resp.Differ = append(resp.Differ, uint32(i))
		}
	}
	resp.Members = t.inBuckets(differ, maxSync)
	return resp
}

// inBuckets returns the events of the members of some buckets.
func (t *Table) inBuckets(differ map[uint64]bool, limit int) []*wire.Member {
	var out []*wire.Member
	if len(differ) == 0 {
		return nil
	}
	var names []string
	for name, e := range t.members {
		if differ[e.hash%Buckets] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(limit, len(names))] {
		out = append(out, t.Events(name)...)
	}
	return out
}

// Return merges an answer and gives back what the peer did not know, or nil.
func (t *Table) Return(resp *wire.SyncResponse, now time.Time) *wire.SyncRequest {
	differ := map[uint64]bool{}
	for _, i := range resp.GetDiffer() {
		differ[uint64(i)] = true
	}
	mine := t.inBuckets(differ, maxSync)
	type key struct {
		name                string
		incarnation, serial uint64
		state               wire.State
	}
	theirs := map[key]bool{}
	for _, m := range resp.GetMembers() {
		theirs[key{m.GetName(), m.GetIncarnation(), m.GetSerial(), m.GetState()}] = true
		t.Merge(m, now)
	}
	back := &wire.SyncRequest{Name: t.self.GetName()}
	for _, m := range mine {
		if !theirs[key{m.GetName(), m.GetIncarnation(), m.GetSerial(), m.GetState()}] {
			back.Members = append(back.Members, m)
		}
	}
	if len(back.GetMembers()) == 0 {
		return nil
	}
	return back
}
