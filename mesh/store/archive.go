package store

// This file writes snapshots and removes what they make superfluous.

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// writeTries bounds the attempts at one piece whose answer was lost.
const writeTries = 4

// removePause spaces removals, so that they leave the platform's rate to what
// is urgent.
const removePause = 200 * time.Millisecond

// archiver writes a snapshot every so many revisions: first its pieces, under
// names that no other writer uses, then the pointer by conditional update,
// then it removes old objects. A crash between any two of these leaves objects
// that the next writer removes.
//
// The snapshot before the newest stays, with every revision after it, so a
// reader that holds the pointer before this one finds all that it names.
type archiver struct {
	store  Store
	holder *revision.Holder
	every  uint64 // revisions between two snapshots; 0 for no snapshots
	newest uint64 // snapshot that the pointer named last

	// pending names a snapshot that was begun; trying again goes on with it,
	// under the same names. Its pieces that are not written yet are in pieces.
	pending *wire.Pointer
	pieces  [][]byte

	superseded chan *wire.Pointer // holds the pointer whose removals are to be done
}

// due tells whether a snapshot may be needed. It asks nobody.
func (a *archiver) due() bool {
	return a.every > 0 && (a.pending != nil || a.holder.Table().Number >= a.newest+a.every)
}

// run writes a snapshot of the table in force if it is needed.
func (a *archiver) run(ctx context.Context) error {
	p, version, err := readPointer(ctx, a.store)
	if err != nil {
		return err
	}
	a.newest = max(a.newest, p.GetSnapshot())
	if a.pending != nil && p.GetSnapshot() >= a.pending.GetSnapshot() {
		a.pending, a.pieces = nil, nil // this attempt took effect unnoticed, or another writer was faster
		a.request(p)
		return nil
	}
	if a.pending == nil {
		if a.holder.Table().Number < a.newest+a.every {
			return nil
		}
		if err := a.begin(a.holder.Table()); err != nil {
			return err
		}
	}
	if err := a.writePieces(ctx); err != nil {
		return err
	}
	next := a.pending
	next.Previous, next.Before, next.Oldest = p.GetSnapshot(), p.GetChange(), p.GetSnapshot()+1
	if err := a.writePointer(ctx, next, version); err != nil {
		return err
	}
	a.newest, a.pending = max(a.newest, next.GetSnapshot()), nil
	a.request(next)
	return nil
}

// request asks for the removal of what a pointer makes superfluous.
func (a *archiver) request(p *wire.Pointer) {
	select {
	case <-a.superseded: // what it would remove, p removes as well
	default:
	}
	select {
	case a.superseded <- p:
	default:
	}
}

// clean waits for a request and carries it out. One that fails, such as for a
// busy platform, stays to be tried again.
func (a *archiver) clean(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case p := <-a.superseded:
		err := a.remove(ctx, p)
		if err != nil {
			select {
			case a.superseded <- p:
			default: // a newer request came in
			}
		}
		return err
	}
}

// begin encodes a snapshot of a table.
func (a *archiver) begin(t *revision.Table) error {
	pieces, err := encodeSnapshot(t.Snapshot())
	if err != nil {
		return err
	}
	a.pending = &wire.Pointer{Snapshot: t.Number, Change: uuid.NewString(), Pieces: uint32(len(pieces))}
	a.pieces = pieces
	return nil
}

func (a *archiver) writePieces(ctx context.Context) error {
	for len(a.pieces) > 0 {
		index := int(a.pending.GetPieces()) - len(a.pieces)
		if err := a.writePiece(ctx, pieceName(a.pending.GetSnapshot(), a.pending.GetChange(), index), a.pieces[0]); err != nil {
			return err
		}
		a.pieces = a.pieces[1:]
	}
	return nil
}

// writePiece creates a piece. The name carries this writer's own change ID, so
// a conflict says that an attempt before has taken effect.
func (a *archiver) writePiece(ctx context.Context, name string, body []byte) error {
	var err error
	for range writeTries {
		_, err = a.store.Create(ctx, KindSnapshot, name, body)
		if err == nil || errors.Is(err, ErrConflict) {
			return nil
		}
		if !errors.Is(err, ErrUnknown) {
			break
		}
	}
	return errors.Wrapf(err, "write piece %s", name)
}

// writePointer replaces the pointer that has the version given. A lost answer
// is settled by reading back.
func (a *archiver) writePointer(ctx context.Context, p *wire.Pointer, version uint64) error {
	body, err := protojson.Marshal(p)
	if err != nil {
		return errors.Wrapf(err, "encode pointer to snapshot %d", p.GetSnapshot())
	}
	if version == 0 {
		_, err = a.store.Create(ctx, KindPointer, pointerName, body)
	} else {
		_, err = a.store.Update(ctx, KindPointer, pointerName, version, body)
	}
	if !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrConflict) {
		return errors.Wrapf(err, "write pointer to snapshot %d", p.GetSnapshot())
	}
	present, _, readErr := readPointer(ctx, a.store)
	if readErr == nil && present.GetChange() == p.GetChange() {
		return nil
	}
	return errors.Wrapf(err, "write pointer to snapshot %d", p.GetSnapshot())
}

// remove deletes the revisions before the oldest that the pointer names, and
// the pieces of every snapshot but the newest two. Whoever deletes an object
// first wins; the others go on.
func (a *archiver) remove(ctx context.Context, p *wire.Pointer) error {
	err := a.removeEach(ctx, KindRevision, RevisionName(p.GetOldest()), func(string) bool { return false })
	if err != nil {
		return err
	}
	keep := map[string]bool{piecePrefix(p.GetSnapshot(), p.GetChange()): true, piecePrefix(p.GetPrevious(), p.GetBefore()): true}
	return a.removeEach(ctx, KindSnapshot, RevisionName(p.GetSnapshot()+1), func(name string) bool { return keep[snapshotOf(name)] })
}

// removeEach deletes the objects of a kind before a name, but those to keep.
func (a *archiver) removeEach(ctx context.Context, kind, before string, keep func(string) bool) error {
	after := ""
	for {
		objs, _, more, err := a.store.List(ctx, kind, after)
		if err != nil {
			return err
		}
		for _, o := range objs {
			if o.Name >= before {
				return nil
			}
			after = o.Name
			if keep(o.Name) {
				continue
			}
			pause(ctx, removePause)
			err := a.store.Delete(ctx, kind, o.Name, o.Version)
			if err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrUnknown) {
				return errors.Wrapf(err, "remove %s/%s", kind, o.Name)
			}
		}
		if !more {
			return nil
		}
	}
}
