package revision

// This file keeps the table in force and moves it forward only.

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"caroblift.dev/wire"
)

// historyLength is the number of revisions kept for peers that are behind.
const historyLength = 256

// Holder keeps the table in force. The zero Holder holds an empty table
// numbered 0. It may be used from several goroutines.
type Holder struct {
	table atomic.Pointer[Table]
	floor atomic.Uint64

	mu      sync.Mutex // serializes writers
	history []*wire.Revision
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
// goes down.
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
// applied or nothing; on an error the table in force stays. An update that is
// not newer returns ErrStale.
func (h *Holder) Apply(u *wire.Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Table()
	next, applied, err := advance(old, u)
	if err != nil {
		return err
	}
	if next.Number <= old.Number {
		return errors.Wrapf(ErrStale, "update %d on table %d", next.Number, old.Number)
	}
	h.remember(u, applied)
	h.table.Store(next)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return nil
}

// advance computes the table that an update leads to.
func advance(t *Table, u *wire.Update) (*Table, []*wire.Revision, error) {
	if s := u.GetSnapshot(); s != nil && s.GetNumber() > t.Number {
		next, err := fromSnapshot(s)
		if err != nil {
			return nil, nil, err
		}
		t = next
	}
	var applied []*wire.Revision
	for _, rev := range u.GetRevisions() {
		if rev.GetNumber() <= t.Number {
			continue
		}
		next, err := t.follow(rev)
		if err != nil {
			return nil, nil, err
		}
		t, applied = next, append(applied, rev)
	}
	return t, applied, nil
}

func (h *Holder) remember(u *wire.Update, applied []*wire.Revision) {
	if u.GetSnapshot() != nil {
		h.history = nil
	}
	h.history = append(h.history, applied...)
	if n := len(h.history) - historyLength; n > 0 {
		h.history = append([]*wire.Revision(nil), h.history[n:]...)
	}
}

// Since returns what leads a node from its revision to the table in force:
// revisions where they are kept and match, or else a snapshot. It returns nil
// when the node is not behind.
func (h *Holder) Since(number uint64, digest []byte) *wire.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.Table()
	if number >= t.Number {
		return nil
	}
	for i, rev := range h.history {
		if rev.GetNumber() == number+1 && string(rev.GetParent()) == string(digest) {
			return &wire.Update{Revisions: append([]*wire.Revision(nil), h.history[i:]...)}
		}
	}
	return &wire.Update{Snapshot: t.Snapshot()}
}
