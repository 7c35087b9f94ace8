package store

// This file caches the operators' records for a publisher.

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// recordSet caches the records of the platform. A watch and a poll update it over
// separate connections, so one may bring an older version than the other did. A
// record is replaced only by a newer version.
type recordSet struct {
	mu      sync.Mutex
	byKey   map[record.Key]*wire.Record
	version Version // of the platform, from which to watch
	listed  bool
	changed chan struct{} // holds an item after a change
}

func newRecordSet() *recordSet {
	return &recordSet{byKey: map[record.Key]*wire.Record{}, changed: make(chan struct{}, 1)}
}

// watchFrom returns the version to watch from, and false when the records have to
// be listed first.
func (s *recordSet) watchFrom() (Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.listed
}

// relist makes the next watch list the records first.
func (s *recordSet) relist() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
}

// all returns the records, and false when they have to be listed first.
func (s *recordSet) all() ([]*wire.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*wire.Record, 0, len(s.byKey))
	for _, r := range s.byKey {
		out = append(out, r)
	}
	return out, s.listed
}

// merge adds the records that are newer than the cached ones, as of a version of
// the platform.
func (s *recordSet) merge(records []*wire.Record, version Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.listed
	for _, r := range records {
		k := record.KeyOf(r)
		if r.GetVersion() > s.byKey[k].GetVersion() {
			s.byKey[k] = r
			changed = true
		}
	}
	s.version, s.listed = newest(s.version, version), true
	if !changed {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// list reads and merges every record.
func (s *recordSet) list(ctx context.Context, store Store) error {
	records, version, err := ListRecords(ctx, store)
	if err != nil {
		return err
	}
	s.merge(records, version)
	return nil
}

// watch waits for changes and merges them; when wait is zero it returns at once.
// After ErrGone the next call lists the records again. ErrGone still counts as a
// failure, since a stale list may lead to the same error again.
func (s *recordSet) watch(ctx context.Context, store Store, wait time.Duration) error {
	version, listed := s.watchFrom()
	if !listed {
		if err := s.list(ctx, store); err != nil {
			return err
		}
		version, _ = s.watchFrom()
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
