package revision

// This file keeps the table in force and applies updates to it.

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Limits of the revisions kept for peers that are behind, and of the revisions
// in one update.
const (
	maxHistoryRevisions = 256
	maxHistoryBytes     = 1 << 20
	maxUpdateBytes      = 1 << 18
)

// Holder keeps the table in force. The zero Holder holds an empty table with
// number 0 and reads every format up to NewestFormat. A Holder may be used from
// several goroutines.
type Holder struct {
	MaxFormat uint32 // newest format that this node reads; zero means NewestFormat

	table atomic.Pointer[Table]
	floor atomic.Uint64

	mu      sync.Mutex // serializes writers
	history history
	changed chan struct{}
}

var emptyTable = &Table{}

// Table returns the table in force; it is never nil.
func (h *Holder) Table() *Table {
	if t := h.table.Load(); t != nil {
		return t
	}
	return emptyTable
}

// RaiseFloor raises the floor, the lowest revision that this instance may
// serve. A value below the current floor has no effect. An instance that
// restarts has lost its table, so it raises its floor to the newest revision
// that the platform or any peer has recorded for it, and serves nothing until
// it holds that revision. Otherwise it could serve an older revision than
// before.
func (h *Holder) RaiseFloor(floor uint64) {
	for {
		old := h.floor.Load()
		if floor <= old || h.floor.CompareAndSwap(old, floor) {
			return
		}
	}
}

// Floor returns the lowest revision that this instance may serve.
func (h *Holder) Floor() uint64 { return h.floor.Load() }

// Ready reports whether the table in force may be served: it is not empty and
// not below the floor.
func (h *Holder) Ready() bool {
	n := h.Table().Number
	return n > 0 && n >= h.floor.Load()
}

// SupportedFormat returns the newest format that this node reads.
func (h *Holder) SupportedFormat() uint32 {
	if h.MaxFormat == 0 {
		return NewestFormat
	}
	return h.MaxFormat
}

// Changed returns a channel that is closed when the table in force next changes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Apply applies an update atomically: on an error, the table in force does not
// change.
//
// Apply returns ErrStale for an update that is not newer than the table in
// force, and ErrDiverged for one with a different table under the same number.
// It returns ErrGap for revisions that do not follow the table in force; a
// snapshot closes the gap. ErrUnsupportedFormat means that the node is too old
// to read the update; ErrDigestMismatch, ErrRollback and ErrInvalid mean that
// it is faulty.
func (h *Holder) Apply(u *wire.Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Table()
	next, applied, err := h.advance(old, u)
	if err != nil {
		return err
	}
	if next == old {
		return errors.Wrapf(ErrStale, "table %d", old.Number)
	}
	if len(applied) == 0 || applied[0].GetNumber() != old.Number+1 {
		h.history = history{}
	}
	h.history.add(applied)
	h.table.Store(next)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return nil
}

// advance returns the table that results from applying an update to t, which is t
// itself if the update is not newer, and the revisions that were applied.
func (h *Holder) advance(t *Table, u *wire.Update) (*Table, []*wire.Revision, error) {
	maxFormat := h.SupportedFormat()
	if s := u.GetSnapshot(); s != nil {
		if err := t.checkDiverged(s.GetNumber(), s.GetDigest()); err != nil {
			return nil, nil, err
		}
		if s.GetNumber() > t.Number {
			next, err := t.fromSnapshot(s, maxFormat)
			if err != nil {
				return nil, nil, err
			}
			if err := next.verifyDigest(s.GetDigest()); err != nil {
				return nil, nil, err
			}
			t = next
		}
	}
	var applied []*wire.Revision
	for _, rev := range u.GetRevisions() {
		if err := t.checkDiverged(rev.GetNumber(), rev.GetDigest()); err != nil {
			return nil, nil, err
		}
		if rev.GetNumber() <= t.Number {
			continue
		}
		next, err := t.applyRevision(rev, maxFormat)
		if err != nil {
			return nil, nil, err
		}
		if err := next.verifyDigest(rev.GetDigest()); err != nil {
			return nil, nil, err
		}
		t, applied = next, append(applied, rev)
	}
	return t, applied, nil
}

// checkDiverged returns ErrDiverged if a table with the number of t has another
// digest.
func (t *Table) checkDiverged(number uint64, digest []byte) error {
	if number == t.Number && number > 0 && !bytes.Equal(digest, t.Digest) {
		return errors.Wrapf(ErrDiverged, "revision %d", number)
	}
	return nil
}

// UpdateSince returns an update for a node that is at the given revision: the
// next revisions from the history, or a snapshot if they are not in the
// history, do not follow the node's digest, or are larger than a snapshot.
// UpdateSince returns nil when the node is not behind. Revisions in an update
// are limited in bytes, so the update may end before the table in force; the
// node then asks again.
func (h *Holder) UpdateSince(number uint64, digest []byte) *wire.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.Table()
	if number >= t.Number {
		return nil
	}
	revs := h.history.since(number, digest, t.size)
	if revs == nil {
		return &wire.Update{Snapshot: t.Snapshot()}
	}
	return &wire.Update{Revisions: revs}
}

// history holds consecutive revisions, the last of which led to the table in
// force.
type history struct {
	revisions  []*wire.Revision
	sizes      []int // encoded size of each revision, in bytes
	totalBytes int
}

// add appends revisions and drops the oldest ones above the limits.
func (h *history) add(revs []*wire.Revision) {
	for _, rev := range revs {
		size := proto.Size(rev)
		h.revisions, h.sizes, h.totalBytes = append(h.revisions, rev), append(h.sizes, size), h.totalBytes+size
	}
	dropped := 0
	for dropped < len(h.revisions) && (len(h.revisions)-dropped > maxHistoryRevisions || h.totalBytes > maxHistoryBytes) {
		h.totalBytes -= h.sizes[dropped]
		dropped++
	}
	if dropped > 0 {
		h.revisions = append([]*wire.Revision(nil), h.revisions[dropped:]...)
		h.sizes = append([]int(nil), h.sizes[dropped:]...)
	}
}

// since returns the revisions that follow a table: at least one, and no more than
// fit maxUpdateBytes. It returns nil when they are not in the history, when they
// do not follow the digest, or when all revisions up to the table in force are
// together larger than a snapshot. A single remaining revision is always
// preferred to a snapshot.
func (h *history) since(number uint64, digest []byte, snapshotSize int) []*wire.Revision {
	if len(h.revisions) == 0 || number+1 < h.revisions[0].GetNumber() {
		return nil
	}
	i := int(number + 1 - h.revisions[0].GetNumber())
	if !bytes.Equal(h.revisions[i].GetParent(), digest) {
		return nil
	}
	total, end := 0, i
	for j, size := range h.sizes[i:] {
		total += size
		if j == 0 || total <= maxUpdateBytes {
			end = i + j + 1
		}
	}
	if total > snapshotSize && len(h.revisions)-i > 1 {
		return nil
	}
	return append([]*wire.Revision(nil), h.revisions[i:end]...)
}
