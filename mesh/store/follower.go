package store

// This file reads revisions and snapshots and brings a table up to them.

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// errBehind says that what was read did not bring the table to the head.
var errBehind = errors.New("table is behind the platform")

// follower brings a holder up to the platform's revisions.
//
// A listing counts only as a whole: it must start right after the table in
// force and have no gap. A publisher that was paused for long may have created
// a revision under a number that was removed; in a listing that shows it, what
// follows does not continue it, so nothing of the listing is applied and the
// snapshot is loaded.
type follower struct {
	holder  *revision.Holder
	deliver func(*wire.Update)
}

// catch reads past the table in force.
func (f follower) catch(ctx context.Context, s Store) error {
	if f.holder.Table().Number == 0 {
		return f.load(ctx, s)
	}
	objs, _, err := f.list(ctx, s)
	if err != nil {
		return err
	}
	return f.take(ctx, s, objs)
}

func (f follower) list(ctx context.Context, s Store) ([]Object, uint64, error) {
	return ListAll(ctx, s, KindRevision, RevisionName(f.holder.Table().Number))
}

// take hands over the revisions in a listing or in the events of a watch. It
// loads the newest snapshot when they do not follow the table in force.
func (f follower) take(ctx context.Context, s Store, objs []Object) error {
	err := f.apply(objs)
	if errors.Is(err, revision.ErrGap) {
		return f.load(ctx, s)
	}
	return err
}

// load starts from the newest snapshot, when it is newer than the table, and
// reads the revisions after it.
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
			return errors.Wrapf(errBehind, "snapshot %d was refused, table %d stays", p.GetSnapshot(), n)
		}
	}
	objs, _, err := f.list(ctx, s)
	if err != nil {
		return err
	}
	return f.apply(objs)
}

// apply hands over consecutive revisions, all or nothing.
func (f follower) apply(objs []Object) error {
	revs, err := f.follow(objs)
	if err != nil || len(revs) == 0 {
		return err
	}
	f.deliver(&wire.Update{Revisions: revs})
	last := revs[len(revs)-1].GetNumber()
	if n := f.holder.Table().Number; n < last {
		for _, rev := range revs {
			if rev.GetFormat() > f.holder.Reads() {
				return errors.Wrapf(revision.ErrFormat, "revision %d, table %d stays", rev.GetNumber(), n)
			}
		}
		return errors.Wrapf(revision.ErrGap, "revision %d was refused, table %d stays", last, n)
	}
	return nil
}

// follow decodes the revisions after the table in force. It returns ErrGap
// when one is missing or was removed.
func (f follower) follow(objs []Object) ([]*wire.Revision, error) {
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
