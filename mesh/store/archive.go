package store

// This file writes snapshots and deletes the objects that they supersede.

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// maxWriteAttempts bounds the attempts to write one piece while the outcome is
// unknown.
const maxWriteAttempts = 4

// deleteInterval is the pause before each delete. It leaves most of the
// platform's write rate to urgent writes.
const deleteInterval = 200 * time.Millisecond

// compactor writes a snapshot each time a fixed number of revisions has been
// appended: first the pieces, under names that no other writer uses, then the
// pointer by conditional update. After that it deletes superseded objects. A
// crash between any two of these steps leaves objects that the next writer
// deletes.
//
// The previous snapshot and every revision after it are kept, so a reader that
// still holds the previous pointer finds every object that it names.
type compactor struct {
	store        Store
	holder       *revision.Holder
	interval     uint64 // revisions between two snapshots; 0 disables snapshots
	lastSnapshot uint64 // number of the newest snapshot seen in the pointer

	// pending is the pointer to a snapshot that is being written; a retry
	// continues it under the same names. unwritten holds its remaining pieces.
	pending   *wire.Pointer
	unwritten [][]byte

	cleanups chan *wire.Pointer // holds the pointer whose superseded objects are to be deleted
}

// due reports whether a snapshot may be needed, without a call to the platform.
func (c *compactor) due() bool {
	return c.interval > 0 && (c.pending != nil || c.holder.Table().Number >= c.lastSnapshot+c.interval)
}

// run writes a snapshot of the table in force if one is due.
func (c *compactor) run(ctx context.Context) error {
	p, version, err := readPointer(ctx, c.store)
	if err != nil {
		return err
	}
	c.lastSnapshot = max(c.lastSnapshot, p.GetSnapshot())
	if c.pending != nil && p.GetSnapshot() >= c.pending.GetSnapshot() {
		c.pending, c.unwritten = nil, nil // took effect unnoticed, or another writer was faster
		c.requestCleanup(p)
		return nil
	}
	if c.pending == nil {
		if c.holder.Table().Number < c.lastSnapshot+c.interval {
			return nil
		}
		if err := c.begin(c.holder.Table()); err != nil {
			return err
		}
	}
	if err := c.writePieces(ctx); err != nil {
		return err
	}
	next := c.pending
	next.Previous, next.Before, next.Oldest = p.GetSnapshot(), p.GetChange(), p.GetSnapshot()+1
	if err := c.writePointer(ctx, next, version); err != nil {
		return err
	}
	c.lastSnapshot, c.pending = max(c.lastSnapshot, next.GetSnapshot()), nil
	c.requestCleanup(next)
	return nil
}

// requestCleanup schedules the deletion of the objects that p supersedes. It
// replaces an earlier request, whose objects p supersedes as well.
func (c *compactor) requestCleanup(p *wire.Pointer) {
	select {
	case <-c.cleanups: // covered by p
	default:
	}
	select {
	case c.cleanups <- p:
	default:
	}
}

// cleanUp waits for a request and carries it out. A request that fails, for
// example because of the platform's rate limit, is queued again unless a newer
// one has arrived.
func (c *compactor) cleanUp(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case p := <-c.cleanups:
		err := c.deleteSuperseded(ctx, p)
		if err != nil {
			select {
			case c.cleanups <- p:
			default: // a newer request has arrived
			}
		}
		return err
	}
}

// begin encodes a snapshot of a table and makes it the pending one.
func (c *compactor) begin(t *revision.Table) error {
	pieces, err := encodeSnapshot(t.Snapshot())
	if err != nil {
		return err
	}
	c.pending = &wire.Pointer{Snapshot: t.Number, Change: uuid.NewString(), Pieces: uint32(len(pieces))}
	c.unwritten = pieces
	return nil
}

func (c *compactor) writePieces(ctx context.Context) error {
	for len(c.unwritten) > 0 {
		index := int(c.pending.GetPieces()) - len(c.unwritten)
		if err := c.writePiece(ctx, pieceName(c.pending.GetSnapshot(), c.pending.GetChange(), index), c.unwritten[0]); err != nil {
			return err
		}
		c.unwritten = c.unwritten[1:]
	}
	return nil
}

// writePiece creates a piece. The name contains this writer's change ID, so a
// conflict means that an earlier attempt took effect.
func (c *compactor) writePiece(ctx context.Context, name string, body []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = c.store.Create(ctx, KindSnapshot, name, body)
		if err == nil || errors.Is(err, ErrConflict) {
			return nil
		}
		if !errors.Is(err, ErrOutcomeUnknown) {
			break
		}
	}
	return errors.Wrapf(err, "write piece %s", name)
}

// writePointer replaces the pointer object that has the given version, or
// creates it when the version is zero. When the outcome is unknown or the write
// conflicts, it reads the pointer back and compares the change ID.
func (c *compactor) writePointer(ctx context.Context, p *wire.Pointer, version Version) error {
	body, err := protojson.Marshal(p)
	if err != nil {
		return errors.Wrapf(err, "encode pointer to snapshot %d", p.GetSnapshot())
	}
	if version.IsZero() {
		_, err = c.store.Create(ctx, KindPointer, pointerName, body)
	} else {
		_, err = c.store.Update(ctx, KindPointer, pointerName, version, body)
	}
	if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrConflict) {
		return errors.Wrapf(err, "write pointer to snapshot %d", p.GetSnapshot())
	}
	present, _, readErr := readPointer(ctx, c.store)
	if readErr == nil && present.GetChange() == p.GetChange() {
		return nil
	}
	return errors.Wrapf(err, "write pointer to snapshot %d", p.GetSnapshot())
}

// deleteSuperseded deletes the revisions before the oldest one that the pointer
// names, and the pieces of all snapshots but the newest two. Several nodes may
// do this concurrently; an object that is already deleted is skipped.
func (c *compactor) deleteSuperseded(ctx context.Context, p *wire.Pointer) error {
	err := c.deleteBefore(ctx, KindRevision, RevisionName(p.GetOldest()), func(string) bool { return false })
	if err != nil {
		return err
	}
	keep := map[string]bool{piecePrefix(p.GetSnapshot(), p.GetChange()): true, piecePrefix(p.GetPrevious(), p.GetBefore()): true}
	return c.deleteBefore(ctx, KindSnapshot, RevisionName(p.GetSnapshot()+1), func(name string) bool { return keep[piecePrefixOf(name)] })
}

// deleteBefore deletes the objects of a kind whose names sort before a name,
// except those that keep selects.
func (c *compactor) deleteBefore(ctx context.Context, kind, before string, keep func(string) bool) error {
	after := ""
	for {
		objs, _, more, err := c.store.List(ctx, kind, after)
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
			pause(ctx, deleteInterval)
			err := c.store.Delete(ctx, kind, o.Name, o.Version)
			if err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrOutcomeUnknown) {
				return errors.Wrapf(err, "delete %s/%s", kind, o.Name)
			}
		}
		if !more {
			return nil
		}
	}
}
