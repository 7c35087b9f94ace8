package store

// This file keeps the operators' records as a publisher last read them.

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// recordSet holds the records of the platform. Two loops feed it on
// connections of their own, a watch and a poll, so what one brings may be older
// than what the other brought: a record never goes back in version.
type recordSet struct {
	mu      sync.Mutex
	known   map[record.Key]*wire.Record
	version uint64 // of the platform, to watch from
	listed  bool
	wake    chan struct{} // holds an item when something changed
}

func newRecordSet() *recordSet {
	return &recordSet{known: map[record.Key]*wire.Record{}, wake: make(chan struct{}, 1)}
}

// from returns the version to watch from, and false when the records have to
// be listed first.
func (s *recordSet) from() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.listed
}

// relist asks for a new list.
func (s *recordSet) relist() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
}

// all returns the records, and false before they were listed.
func (s *recordSet) all() ([]*wire.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*wire.Record, 0, len(s.known))
	for _, r := range s.known {
		out = append(out, r)
	}
	return out, s.listed
}

// merge takes records as of a version of the platform.
func (s *recordSet) merge(records []*wire.Record, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.listed
	for _, r := range records {
		k := record.KeyOf(r)
		if r.GetVersion() > s.known[k].GetVersion() {
			s.known[k] = r
			changed = true
		}
	}
	s.version, s.listed = max(s.version, version), true
	if !changed {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// list reads every record.
func (s *recordSet) list(ctx context.Context, store Store) error {
	records, version, err := ListRecords(ctx, store)
	if err != nil {
		return err
	}
	s.merge(records, version)
	return nil
}

// watch waits for changes, or looks once when wait is zero. A version that is
// too old for the platform makes the next call list again; it counts as a
// failure, because a list that is stale may lead to the same answer again.
func (s *recordSet) watch(ctx context.Context, store Store, wait time.Duration) error {
	version, listed := s.from()
	if !listed {
		if err := s.list(ctx, store); err != nil {
			return err
		}
		version, _ = s.from()
	}
	objs, next, err := store.Watch(ctx, KindRecord, version, wait)
	if errors.Is(err, ErrGone) {
		s.relist()
	}
	if err != nil {
		return err
	}
	var records []*wire.Record
	for _, o := range objs {
		if r, err := DecodeRecord(o); err == nil && !o.Deleted {
			records = append(records, r)
		}
	}
	s.merge(records, next)
	return nil
}
