package store

// This file reads revisions and snapshots and applies them to a table.

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// errTableBehind reports that the objects read did not bring the table to the
// head.
var errTableBehind = errors.New("table is behind the platform")

// follower brings the table of a holder up to date with the platform.
//
// A listing is applied as a whole or not at all: it must start right after the
// table in force and have no gap. A publisher that was paused for long may have
// created a revision under a number that was already deleted. The revisions
// listed after such a stray one do not continue it, so the listing is discarded
// and the snapshot is loaded.
type follower struct {
	holder  *revision.Holder
	deliver func(*wire.Update)
}

// catchUp reads and applies the revisions after the table in force, or loads the
// newest snapshot when there is no table yet.
func (f follower) catchUp(ctx context.Context, s Store) error {
	if f.holder.Table().Number == 0 {
		return f.load(ctx, s)
	}
	objs, _, err := f.list(ctx, s)
	if err != nil {
		return err
	}
	return f.applyOrLoad(ctx, s, objs)
}

// list returns the revision objects after the table in force, and the version to
// watch from.
func (f follower) list(ctx context.Context, s Store) ([]Object, Version, error) {
	return ListAll(ctx, s, KindRevision, RevisionName(f.holder.Table().Number))
}

// applyOrLoad applies the revisions in a listing or in the events of a watch. It
// loads the newest snapshot when they do not continue the table in force.
func (f follower) applyOrLoad(ctx context.Context, s Store, objs []Object) error {
	err := f.apply(objs)
	if errors.Is(err, revision.ErrGap) {
		return f.load(ctx, s)
	}
	return err
}

// load applies the newest snapshot if it is newer than the table in force, and
// then the revisions after it.
func (f follower) load(ctx context.Context, s Store) error {
	p, _, err := readPointer(ctx, s)
	if err != nil {
		return err
	}
	if p.GetSnapshot() > f.holder.Table().Number {
		snapshot, err := readSnapshot(ctx, s, p)
		if err != nil {
			return err
		}
		f.deliver(&wire.Update{Snapshot: snapshot})
		if n := f.holder.Table().Number; n < p.GetSnapshot() {
			return errors.Wrapf(errTableBehind, "snapshot %d was not applied, table stays at revision %d", p.GetSnapshot(), n)
		}
	}
	objs, _, err := f.list(ctx, s)
	if err != nil {
		return err
	}
	return f.apply(objs)
}

// apply delivers the revisions that continue the table in force, all or none. It
// returns an error if the holder did not accept them.
func (f follower) apply(objs []Object) error {
	revs, err := f.decodeNext(objs)
	if err != nil || len(revs) == 0 {
		return err
	}
	f.deliver(&wire.Update{Revisions: revs})
	last := revs[len(revs)-1].GetNumber()
	if n := f.holder.Table().Number; n < last {
		for _, rev := range revs {
			if rev.GetFormat() > f.holder.SupportedFormat() {
				return errors.Wrapf(revision.ErrUnsupportedFormat, "revision %d, table stays at revision %d", rev.GetNumber(), n)
			}
		}
		return errors.Wrapf(revision.ErrGap, "revision %d was not applied, table stays at revision %d", last, n)
	}
	return nil
}

// decodeNext decodes the revisions after the table in force. It returns ErrGap
// when one is missing or was deleted.
func (f follower) decodeNext(objs []Object) ([]*wire.Revision, error) {
	after := f.holder.Table().Number
	var revs []*wire.Revision
	objs = slices.Clone(objs)
	slices.SortFunc(objs, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	for _, o := range objs {
		if o.Name <= RevisionName(after) {
			continue
		}
		next := after + uint64(len(revs)) + 1
		if o.Deleted || o.Name != RevisionName(next) {
			return nil, errors.Wrapf(revision.ErrGap, "revision %d is missing on the platform", next)
		}
		rev, err := DecodeRevision(o)
		if err != nil {
			return nil, err
		}
		revs = append(revs, rev)
	}
	return revs, nil
}
