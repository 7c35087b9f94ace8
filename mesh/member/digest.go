package member

// This file maintains digests of the table and implements anti-entropy: it finds
// and exchanges the entries in which two tables differ.

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/wire"
)

// DigestBuckets is the number of hash buckets by which two tables are compared.
const DigestBuckets = 256

// maxSync is the most members in one answer to a Sync.
const maxSync = 512

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// computeDigest returns the digest of an entry. Dead members have the digest 0, so
// that tables don't differ once one has forgotten them. Suspicion is left out,
// since it ends when the member refutes in a new incarnation or is declared dead.
func (e *entry) computeDigest(name string) uint64 {
	if e.member == nil {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, name...)
	b = binary.LittleEndian.AppendUint64(b, e.member.GetIncarnation())
	b = binary.LittleEndian.AppendUint64(b, e.member.GetSerial())
	if e.left != nil {
		b = binary.LittleEndian.AppendUint64(b, e.left.GetIncarnation())
		b = binary.LittleEndian.AppendUint64(b, e.left.GetSerial())
	}
	return xxhash.Sum64(b)
}

// xorDigest adds the digest of an entry to those of its bucket and of the table,
// or removes it.
func (t *Table) xorDigest(e *entry) {
	t.buckets[e.nameHash%DigestBuckets] ^= e.digest
	t.rootDigest ^= e.digest
}

// Digest returns the digest of the whole table.
func (t *Table) Digest() []byte { return binary.LittleEndian.AppendUint64(nil, t.rootDigest) }

// SyncRequest returns a request for the entries in which a peer's table differs
// from this one.
func (t *Table) SyncRequest() *wire.SyncRequest {
	b := t.buckets
	return &wire.SyncRequest{Name: t.self.GetName(), Buckets: b[:]}
}

// HandleSync answers a request: it merges the members in the request and
// returns those in the buckets that differ, at most maxSync.
func (t *Table) HandleSync(req *wire.SyncRequest, now time.Time) *wire.SyncResponse {
	for _, m := range req.GetMembers() {
		t.Merge(m, now)
	}
	resp := &wire.SyncResponse{}
	if len(req.GetBuckets()) != DigestBuckets {
		return resp
	}
	differing := map[uint64]bool{}
	for i, b := range req.GetBuckets() {
		if b != t.buckets[i] {
			differing[uint64(i)] = true
			resp.Differ = append(resp.Differ, uint32(i))
		}
	}
	resp.Members = t.eventsInBuckets(differing, maxSync)
	return resp
}

// eventsInBuckets returns the events of the members in some buckets, for at most
// limit members.
func (t *Table) eventsInBuckets(differing map[uint64]bool, limit int) []*wire.Member {
	var out []*wire.Member
	if len(differing) == 0 {
		return nil
	}
	var names []string
	for name, e := range t.entries {
		if differing[e.nameHash%DigestBuckets] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(limit, len(names))] {
		out = append(out, t.Events(name)...)
	}
	return out
}

// MergeSync merges the answer to a request. It returns a request that carries
// what the peer does not know, or nil when there is no such thing.
func (t *Table) MergeSync(resp *wire.SyncResponse, now time.Time) *wire.SyncRequest {
	differing := map[uint64]bool{}
	for _, i := range resp.GetDiffer() {
		differing[uint64(i)] = true
	}
	mine := t.eventsInBuckets(differing, maxSync)
	type key struct {
		name                string
		incarnation, serial uint64
		state               wire.State
		leftIncarnation     uint64
		leftSerial          uint64
	}
	keyOf := func(m *wire.Member) key {
		return key{m.GetName(), m.GetIncarnation(), m.GetSerial(), m.GetState(), m.GetLeft().GetIncarnation(), m.GetLeft().GetSerial()}
	}
	theirs := map[key]bool{}
	for _, m := range resp.GetMembers() {
		theirs[keyOf(m)] = true
		t.Merge(m, now)
	}
	back := &wire.SyncRequest{Name: t.self.GetName()}
	for _, m := range mine {
		if !theirs[keyOf(m)] {
			back.Members = append(back.Members, m)
		}
	}
	if len(back.GetMembers()) == 0 {
		return nil
	}
	return back
}
