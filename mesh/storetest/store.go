// Package storetest is a small stand-in for the platform's object API, with
// switches for its faults.
//
// A [Store] holds the objects. A [Conn] is one client's way to it, which can go
// silent on its own. Both implement store.Store; over HTTP the store is a
// handler, and each connection goes silent on its own when the server's
// ConnContext is the store's.
//
// # Usage
//
//	store := storetest.New()
//	store.Set(storetest.Faults{Down: true})
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

// Bounds of the platform.
const (
	pageLength    = 500     // objects on one page of a list
	maxValue      = 1 << 20 // bytes of one object
	historyLength = 1000    // changes that a watch can go back
)

// objects are the platform's objects by kind and name, as of a version.
type objects struct {
	version uint64
	byKind  map[string]map[string]store.Object
}

func (o objects) clone() objects {
	out := objects{version: o.version, byKind: map[string]map[string]store.Object{}}
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

	// Observe is called for every change with the object before and after;
	// nil for none. It must not call the store.
	Observe func(old, written store.Object)

	mu      sync.Mutex
	now     objects
	frozen  objects        // what stale reads see
	log     []store.Object // the last changes, for watches
	first   uint64         // oldest version that can be watched from
	changed chan struct{}
	faults  Faults
	calls   map[string]uint64
	conns   map[*Conn]bool // of the HTTP server
}

// New returns an empty store with no rate limits.
func New() *Store {
	return &Store{
		now: objects{byKind: map[string]map[string]store.Object{}}, changed: make(chan struct{}),
		calls: map[string]uint64{}, conns: map[*Conn]bool{},
	}
}

// Calls returns the number of calls so far by kind.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Peek returns an object without a counted call or a fault.
func (s *Store) Peek(kind, name string) (store.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.now.byKind[kind][name]
	return o, ok
}

// PeekAll returns the objects of a kind in name order without a counted call
// or a fault.
func (s *Store) PeekAll(kind string) []store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sorted(s.now.byKind[kind], "")
}

// Poke writes over an object without a counted call or a fault. It fails when
// another write comes in between.
func (s *Store) Poke(kind, name string, body []byte) error {
	old, _ := s.Peek(kind, name)
	_, err := s.put(store.Object{Kind: kind, Name: name, Version: old.Version, Body: body})
	return err
}

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

// enter counts a call and applies the faults that every call meets.
func (s *Store) enter(ctx context.Context, kind string, limit *rate.Limiter) (Faults, error) {
	s.mu.Lock()
	s.calls[kind]++
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return f, store.ErrDown
		case <-time.After(f.Slow):
		}
	}
	if f.Down {
		return f, store.ErrDown
	}
	if limit != nil && !limit.Allow() {
		return f, &store.BusyError{After: time.Second}
	}
	return f, nil
}

func (s *Store) view(f Faults) objects {
	if f.Stale && s.frozen.byKind != nil {
		return s.frozen
	}
	return s.now
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f, err := s.enter(ctx, "get", s.Reads)
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
func (s *Store) List(ctx context.Context, kind, after string) ([]store.Object, uint64, bool, error) {
	f, err := s.enter(ctx, "list", s.Reads)
	if err != nil {
		return nil, 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view(f)
	out := sorted(view.byKind[kind], after)
	more := len(out) > pageLength
	if more {
		out = out[:pageLength]
	}
	return out, view.version, more, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]store.Object, uint64, error) {
	if _, err := s.enter(ctx, "watch", s.Reads); err != nil {
		return nil, 0, err
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
			return nil, 0, store.ErrDown
		case <-timer.C:
			return nil, next, nil
		case <-changed:
		}
	}
}

// events returns what a watch hears now.
func (s *Store) events(kind string, version uint64) ([]store.Object, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.first {
		return nil, 0, nil, store.ErrGone
	}
	if s.faults.Silent {
		return nil, version, s.changed, nil
	}
	out := s.since(kind, version)
	if s.faults.Mixed && len(out) > 0 {
		out = append(out, s.since(kind, s.first)...)
		slices.Reverse(out)
	}
	return out, s.now.version, s.changed, nil
}

// since returns the newest state of each object that changed after a version,
// or every state. The caller holds s.mu.
func (s *Store) since(kind string, version uint64) []store.Object {
	newest := map[string]store.Object{}
	if s.faults.Each {
		return slices.DeleteFunc(slices.Clone(s.log), func(o store.Object) bool { return o.Kind != kind || o.Version <= version })
	}
	for _, o := range s.log {
		if o.Kind == kind && o.Version > version {
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
func (s *Store) Update(ctx context.Context, kind, name string, version uint64, body []byte) (store.Object, error) {
	return s.write(ctx, "update", store.Object{Kind: kind, Name: name, Version: version, Body: body})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := s.write(ctx, "delete", store.Object{Kind: kind, Name: name, Version: version, Deleted: true})
	return err
}

// write puts an object in place of the version that it carries.
func (s *Store) write(ctx context.Context, method string, o store.Object) (store.Object, error) {
	if len(o.Body) > maxValue {
		return store.Object{}, errors.Errorf("%s/%s is over 1 MB", o.Kind, o.Name)
	}
	f, err := s.enter(ctx, method, s.Writes)
	switch {
	case err != nil:
		return store.Object{}, err
	case f.Drop:
		return store.Object{}, store.ErrUnknown
	case f.Late > 0:
		time.AfterFunc(f.Late, func() { _, _ = s.put(o) })
		return store.Object{}, store.ErrUnknown
	}
	written, err := s.put(o)
	if f.Twice {
		written, err = s.put(o)
	}
	if f.Lose {
		return store.Object{}, store.ErrUnknown
	}
	return written, err
}

func (s *Store) put(o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.byKind[o.Kind][o.Name].Version != o.Version {
		return store.Object{}, store.ErrConflict
	}
	old := s.now.byKind[o.Kind][o.Name]
	s.now.version++
	o.Version = s.now.version
	if s.Observe != nil {
		s.Observe(old, o)
	}
	if s.now.byKind[o.Kind] == nil {
		s.now.byKind[o.Kind] = map[string]store.Object{}
	}
	if o.Deleted {
		delete(s.now.byKind[o.Kind], o.Name)
	} else {
		s.now.byKind[o.Kind][o.Name] = o
	}
	s.log = append(s.log, o)
	if n := len(s.log) - historyLength; n > 0 {
		s.first = s.log[n-1].Version
		s.log = append([]store.Object(nil), s.log[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o, nil
}
