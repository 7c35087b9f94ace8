// Package storetest is an in-memory implementation of the platform's object API
// with fault injection, for tests.
//
// A [Store] holds the objects. A [Conn] is one client's connection to it, which can
// be made silent: its calls then get no response. Both implement store.Store. The
// store is also an HTTP handler; if the server's ConnContext is the store's, the
// connections of HTTP clients can be made silent as well.
//
// # Usage
//
//	store := storetest.New()
//	store.SetFaults(storetest.Faults{Down: true})
//	server := httptest.NewUnstartedServer(store)
//	server.Config.ConnContext = store.ConnContext
//	server.Start()
package storetest

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"caroblift.dev/mesh/store"
)

// Limits of the platform.
const (
	pageLength     = 500     // objects in one page of a list
	maxObjectBytes = 1 << 20 // bytes of one object
	historyLength  = 1000    // changes kept for watches
)

// objects is the state of the platform at one version: its objects by kind and
// name.
type objects struct {
	era      uint64
	revision uint64
	byKind   map[string]map[string]store.Object
}

// version returns the version of the platform as a whole.
func (o objects) version() store.Version {
	return store.Version{Era: o.era, Revision: o.revision}
}

func (o objects) clone() objects {
	out := objects{era: o.era, revision: o.revision, byKind: map[string]map[string]store.Object{}}
	for kind, objs := range o.byKind {
		out.byKind[kind] = maps.Clone(objs)
	}
	return out
}

// Store keeps objects in memory. It implements store.Store and, over HTTP,
// http.Handler. The zero Store is not usable; call New.
type Store struct {
	Reads  *rate.Limiter // nil for no limit
	Writes *rate.Limiter // nil for no limit

	// OnChange, if not nil, is called for every change with the object before
	// and after it. It must not call the store.
	OnChange func(old, written store.Object)

	mu      sync.Mutex
	current objects
	stale   objects        // state that stale reads return
	history []store.Object // latest changes, for watches
	journal []change       // the same changes, for Restore
	oldest  uint64         // oldest revision from which a watch can start
	changed chan struct{}  // closed and replaced after every change
	faults  Faults
	calls   map[string]uint64
	conns   map[*Conn]bool // connections of the HTTP server
}

// New returns an empty store with no rate limits.
func New() *Store {
	return &Store{
		current: objects{byKind: map[string]map[string]store.Object{}}, changed: make(chan struct{}),
		calls: map[string]uint64{}, conns: map[*Conn]bool{},
	}
}

// Calls returns the number of calls so far, by kind.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Peek returns an object. It is not counted as a call and meets no fault.
func (s *Store) Peek(kind, name string) (store.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.current.byKind[kind][name]
	return o, ok
}

// PeekAll returns the objects of a kind in name order. It is not counted as a call
// and meets no fault.
func (s *Store) PeekAll(kind string) []store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sorted(s.current.byKind[kind], "")
}

// Overwrite creates or overwrites an object. It is not counted as a call and
// meets no fault. It returns ErrConflict if another write comes in between.
func (s *Store) Overwrite(kind, name string, body []byte) error {
	old, _ := s.Peek(kind, name)
	_, err := s.put(store.Object{Kind: kind, Name: name, Version: old.Version, Body: body})
	return err
}

// sorted returns the objects whose names are greater than after, in name order.
func sorted(objs map[string]store.Object, after string) []store.Object {
	var out []store.Object
	for name, o := range objs {
		if name > after {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// admit counts a call and applies the faults and the rate limit that concern every
// call. It returns the faults in force.
func (s *Store) admit(ctx context.Context, kind string, limit *rate.Limiter) (Faults, error) {
	s.mu.Lock()
	s.calls[kind]++
	f := s.faults
	s.mu.Unlock()
	if f.Latency > 0 {
		select {
		case <-ctx.Done():
			return f, store.ErrUnavailable
		case <-time.After(f.Latency):
		}
	}
	if f.Down {
		return f, store.ErrUnavailable
	}
	if limit != nil && !limit.Allow() {
		return f, &store.RateLimitError{RetryAfter: time.Second}
	}
	return f, nil
}

// view returns the state that a read sees. The caller holds s.mu.
func (s *Store) view(f Faults) objects {
	if f.StaleReads && s.stale.byKind != nil {
		return s.stale
	}
	return s.current
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f, err := s.admit(ctx, "get", s.Reads)
	if err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.view(f).byKind[kind][name]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, kind, after string) ([]store.Object, store.Version, bool, error) {
	f, err := s.admit(ctx, "list", s.Reads)
	if err != nil {
		return nil, store.Version{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view(f)
	out := sorted(view.byKind[kind], after)
	more := len(out) > pageLength
	if more {
		out = out[:pageLength]
	}
	return out, view.version(), more, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, kind string, version store.Version, wait time.Duration) ([]store.Object, store.Version, error) {
	if _, err := s.admit(ctx, "watch", s.Reads); err != nil {
		return nil, store.Version{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, next, changed, err := s.events(kind, version)
		if err != nil || len(out) > 0 {
			return out, next, err
		}
		select {
		case <-ctx.Done():
			return nil, store.Version{}, store.ErrUnavailable
		case <-timer.C:
			return nil, next, nil
		case <-changed:
		}
	}
}

// events returns the events for a watch from a version, the version for the next
// watch, and a channel that is closed at the next change.
func (s *Store) events(kind string, version store.Version) ([]store.Object, store.Version, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version.Era != s.current.era || version.Revision < s.oldest || version.Revision > s.current.revision {
		return nil, store.Version{}, nil, store.ErrGone
	}
	if s.faults.SilentWatches {
		return nil, version, s.changed, nil
	}
	out := s.since(kind, version)
	if s.faults.ReorderEvents && len(out) > 0 {
		out = append(out, s.since(kind, store.Version{Era: s.current.era, Revision: s.oldest})...)
		slices.Reverse(out)
	}
	return out, s.current.version(), s.changed, nil
}

// since returns the newest state of each object of a kind that changed after a
// version, or with the fault AllChanges every state. The caller holds s.mu.
func (s *Store) since(kind string, version store.Version) []store.Object {
	newest := map[string]store.Object{}
	if s.faults.AllChanges {
		return slices.DeleteFunc(slices.Clone(s.history), func(o store.Object) bool { return o.Kind != kind || !o.Version.Newer(version) })
	}
	for _, o := range s.history {
		if o.Kind == kind && o.Version.Newer(version) {
			newest[o.Name] = o
		}
	}
	out := make([]store.Object, 0, len(newest))
	for _, o := range newest {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, kind, name string, body []byte) (store.Object, error) {
	return s.write(ctx, "create", store.Object{Kind: kind, Name: name, Body: body})
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, kind, name string, version store.Version, body []byte) (store.Object, error) {
	return s.write(ctx, "update", store.Object{Kind: kind, Name: name, Version: version, Body: body})
}

// WriteStatus implements store.StatusWriter.
func (s *Store) WriteStatus(ctx context.Context, kind, name string, version store.Version, status []byte) (store.Object, error) {
	old, _ := s.Peek(kind, name)
	return s.write(ctx, "status", store.Object{Kind: kind, Name: name, Version: version, Body: old.Body, Status: status})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version store.Version) error {
	_, err := s.write(ctx, "delete", store.Object{Kind: kind, Name: name, Version: version, Deleted: true})
	return err
}

// write replaces the object that has the version in o, subject to faults.
func (s *Store) write(ctx context.Context, method string, o store.Object) (store.Object, error) {
	if len(o.Body) > maxObjectBytes {
		return store.Object{}, errors.Errorf("object %s/%s exceeds 1 MB", o.Kind, o.Name)
	}
	f, err := s.admit(ctx, method, s.Writes)
	switch {
	case err != nil:
		return store.Object{}, err
	case f.DropWrites:
		return store.Object{}, store.ErrOutcomeUnknown
	case f.DelayWrites > 0:
		time.AfterFunc(f.DelayWrites, func() { _, _ = s.put(o) })
		return store.Object{}, store.ErrOutcomeUnknown
	}
	written, err := s.put(o)
	if f.DuplicateWrites {
		written, err = s.put(o)
	}
	if f.LoseResponses {
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return written, err
}

// put replaces the object that has the version in o, zero for none, or returns
// ErrConflict.
func (s *Store) put(o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.byKind[o.Kind][o.Name].Version != o.Version {
		return store.Object{}, store.ErrConflict
	}
	old := s.current.byKind[o.Kind][o.Name]
	s.current.revision++
	o.Version = s.current.version()
	if s.OnChange != nil {
		s.OnChange(old, o)
	}
	if s.current.byKind[o.Kind] == nil {
		s.current.byKind[o.Kind] = map[string]store.Object{}
	}
	if o.Deleted {
		delete(s.current.byKind[o.Kind], o.Name)
	} else {
		s.current.byKind[o.Kind][o.Name] = o
	}
	s.history = append(s.history, o)
	if n := len(s.history) - historyLength; n > 0 {
		s.oldest = s.history[n-1].Version.Revision
		s.history = append([]store.Object(nil), s.history[n:]...)
	}
	s.record(change{at: time.Now(), old: old, written: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o, nil
}
