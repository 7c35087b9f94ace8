package revision

// This file keeps the table in force and moves it forward only.

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Bounds of the revisions that are kept for peers that are behind, and of the
// revisions in one update.
const (
	historyLength = 256     // revisions
	historyBytes  = 1 << 20 // bytes
	updateBytes   = 1 << 18 // bytes
)

// Holder keeps the table in force. The zero Holder holds an empty table
// numbered 0 and reads every format up to FormatNow. It may be used from
// several goroutines.
type Holder struct {
	Newest uint32 // newest format that is read; FormatNow when zero

	table atomic.Pointer[Table]
	floor atomic.Uint64

	mu      sync.Mutex // serializes writers
	history history
	changed chan struct{}
}

var empty = &Table{}

// Table returns the table in force; it is never nil.
func (h *Holder) Table() *Table {
	if t := h.table.Load(); t != nil {
		return t
	}
	return empty
}

// Raise sets the lowest revision that this instance may serve. A floor never
// goes down. An instance that restarts has lost its table, so it raises its
// floor to the newest revision that the platform or any peer knows of it, and
// serves nothing before it holds that revision.
func (h *Holder) Raise(floor uint64) {
	for {
		old := h.floor.Load()
		if floor <= old || h.floor.CompareAndSwap(old, floor) {
			return
		}
	}
}

// Floor returns the lowest revision that this instance may serve.
func (h *Holder) Floor() uint64 { return h.floor.Load() }

// Ready tells whether the table in force may be served.
func (h *Holder) Ready() bool {
	n := h.Table().Number
	return n > 0 && n >= h.floor.Load()
}

// Reads returns the newest format that this node reads.
func (h *Holder) Reads() uint32 {
	if h.Newest == 0 {
		return FormatNow
	}
	return h.Newest
}

// Changed returns a channel that is closed at the next change of the table.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Apply moves to the newest table of the update. Everything of the update is
// applied or nothing; on an error the table in force stays whole.
//
// An update that is not newer returns ErrStale, or ErrDiverged when it holds
// another table under the number in force. One that does not follow returns
// ErrGap; a snapshot helps then. ErrFormat says that the node is too old to
// read the update; ErrDigest, ErrBackwards and ErrInvalid that it is wrong.
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

// advance computes the table that an update leads to and the revisions that
// led there.
func (h *Holder) advance(t *Table, u *wire.Update) (*Table, []*wire.Revision, error) {
	newest := h.Reads()
	if s := u.GetSnapshot(); s != nil {
		if err := t.sameAs(s.GetNumber(), s.GetDigest()); err != nil {
			return nil, nil, err
		}
		if s.GetNumber() > t.Number {
			next, err := t.fromSnapshot(s, newest)
			if err != nil {
				return nil, nil, err
			}
			if err := next.verify(s.GetDigest()); err != nil {
				return nil, nil, err
			}
			t = next
		}
	}
	var applied []*wire.Revision
	for _, rev := range u.GetRevisions() {
		if err := t.sameAs(rev.GetNumber(), rev.GetDigest()); err != nil {
			return nil, nil, err
		}
		if rev.GetNumber() <= t.Number {
			continue
		}
		next, err := t.follow(rev, newest)
		if err != nil {
			return nil, nil, err
		}
		if err := next.verify(rev.GetDigest()); err != nil {
			return nil, nil, err
		}
		t, applied = next, append(applied, rev)
	}
	return t, applied, nil
}

// sameAs checks that a table under the same number is the same one.
func (t *Table) sameAs(number uint64, digest []byte) error {
	if number == t.Number && number > 0 && !bytes.Equal(digest, t.Digest) {
		return errors.Wrapf(ErrDiverged, "revision %d", number)
	}
	return nil
}

// Since returns what leads a node from its revision towards the table in
// force: revisions where they are kept and match, or a snapshot where that is
// smaller. An update is bounded in bytes, so it may end before the table in
// force; the node asks again from there. Since returns nil when the node is
// not behind.
func (h *Holder) Since(number uint64, digest []byte) *wire.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.Table()
	if number >= t.Number {
		return nil
	}
	revs := h.history.after(number, digest, t.size)
	if revs == nil {
		return &wire.Update{Snapshot: t.Snapshot()}
	}
	return &wire.Update{Revisions: revs}
}

// history keeps consecutive revisions up to the table in force.
type history struct {
	revs  []*wire.Revision
	sizes []int
	bytes int
}

func (h *history) add(revs []*wire.Revision) {
	for _, rev := range revs {
		size := proto.Size(rev)
		h.revs, h.sizes, h.bytes = append(h.revs, rev), append(h.sizes, size), h.bytes+size
	}
	drop := 0
	for drop < len(h.revs) && (len(h.revs)-drop > historyLength || h.bytes > historyBytes) {
		h.bytes -= h.sizes[drop]
		drop++
	}
	if drop > 0 {
		h.revs = append([]*wire.Revision(nil), h.revs[drop:]...)
		h.sizes = append([]int(nil), h.sizes[drop:]...)
	}
}

// after returns the revisions that follow a table, at least one and at most
// updateBytes, or nil when they are not kept or larger than a snapshot.
func (h *history) after(number uint64, digest []byte, snapshot int) []*wire.Revision {
	if len(h.revs) == 0 || number+1 < h.revs[0].GetNumber() {
		return nil
	}
	i := int(number + 1 - h.revs[0].GetNumber())
	if !bytes.Equal(h.revs[i].GetParent(), digest) {
		return nil
	}
	total, end := 0, i
	for j, size := range h.sizes[i:] {
		total += size
		if j == 0 || total <= updateBytes {
			end = i + j + 1
		}
	}
	if total > snapshot && len(h.revs)-i > 1 {
		return nil
	}
	return append([]*wire.Revision(nil), h.revs[i:end]...)
}
