// Package platformtest is a small stand-in for the platform's object API, with
// switches for its faults.
//
// # Usage
//
//	store := platformtest.New()
//	store.Set(platformtest.Faults{Down: true})
//	server := httptest.NewServer(store)
package platformtest

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"caroblift.dev/mesh/platform"
)

// pageLength is the number of objects on one page of a list.
const pageLength = 500

// Faults are the switches. The zero value is a healthy platform.
type Faults struct {
	Down   bool          `json:"down"`   // every call is refused
	Slow   time.Duration `json:"slow"`   // added to every call
	Lose   bool          `json:"lose"`   // writes take effect and their answers are lost
	Stale  bool          `json:"stale"`  // reads return the objects as of the moment the switch was set
	Silent bool          `json:"silent"` // watches hear nothing
}

// Store keeps objects in memory. It implements platform.Store and, over HTTP,
// http.Handler. The zero Store is not usable; call New.
type Store struct {
	Reads  *rate.Limiter // nil for no limit
	Writes *rate.Limiter // nil for no limit

	mu      sync.Mutex
	objects map[string]map[string]platform.Object // by kind and name
	frozen  map[string]map[string]platform.Object // what stale reads see
	version uint64
	log     []platform.Object // every change, for watches
	changed chan struct{}
	faults  Faults
	calls   map[string]uint64
}

// New returns an empty store with no rate limits.
func New() *Store {
	return &Store{
		objects: map[string]map[string]platform.Object{},
		changed: make(chan struct{}), calls: map[string]uint64{},
	}
}

// Set replaces the switches.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.frozen = map[string]map[string]platform.Object{}
		for kind, objs := range s.objects {
			s.frozen[kind] = map[string]platform.Object{}
			for name, o := range objs {
				s.frozen[kind][name] = o
			}
		}
	}
	s.faults = f
}

// Calls returns the number of calls so far by method.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]uint64{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// enter counts a call and applies the faults that every call meets.
func (s *Store) enter(ctx context.Context, method string, limit *rate.Limiter) (Faults, error) {
	s.mu.Lock()
	s.calls[method]++
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return f, platform.ErrDown
		case <-time.After(f.Slow):
		}
	}
	if f.Down {
		return f, platform.ErrDown
	}
	if limit != nil && !limit.Allow() {
		return f, &platform.BusyError{After: time.Second}
	}
	return f, nil
}

func (s *Store) view(f Faults) map[string]map[string]platform.Object {
	if f.Stale {
		return s.frozen
	}
	return s.objects
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	f, err := s.enter(ctx, "get", s.Reads)
	if err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.view(f)[kind][name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind, after string) ([]platform.Object, uint64, bool, error) {
	f, err := s.enter(ctx, "list", s.Reads)
	if err != nil {
		return nil, 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for name, o := range s.view(f)[kind] {
		if name > after {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	more := len(out) > pageLength
	if more {
		out = out[:pageLength]
	}
	return out, s.version, more, nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	f, err := s.enter(ctx, "watch", s.Reads)
	if err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := s.since(kind, version)
		now, changed, silent := s.version, s.changed, f.Silent || s.faults.Silent
		s.mu.Unlock()
		if len(out) > 0 && !silent {
			return out, now, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, platform.ErrDown
		case <-timer.C:
			return nil, version, nil
		case <-changed:
		}
	}
}

// since returns the newest state of each object that changed after a version.
func (s *Store) since(kind string, version uint64) []platform.Object {
	start, _ := slices.BinarySearchFunc(s.log, version+1, func(o platform.Object, v uint64) int {
		return int(int64(o.Version) - int64(v))
	})
	newest := map[string]platform.Object{}
	for _, o := range s.log[start:] {
		if o.Kind == kind {
			newest[o.Name] = o
		}
	}
	out := make([]platform.Object, 0, len(newest))
	for _, o := range newest {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Create implements platform.Store.
func (s *Store) Create(ctx context.Context, kind, name string, body []byte) (platform.Object, error) {
	return s.write(ctx, "create", kind, name, 0, body)
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, kind, name string, version uint64, body []byte) (platform.Object, error) {
	return s.write(ctx, "update", kind, name, version, body)
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := s.write(ctx, "delete", kind, name, version, nil)
	return err
}

func (s *Store) write(ctx context.Context, method, kind, name string, version uint64, body []byte) (platform.Object, error) {
	f, err := s.enter(ctx, method, s.Writes)
	if err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind][name].Version != version {
		return platform.Object{}, platform.ErrConflict
	}
	s.version++
	o := platform.Object{Kind: kind, Name: name, Version: s.version, Body: body, Deleted: method == "delete"}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platform.Object{}
	}
	if o.Deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.log = append(s.log, o)
	close(s.changed)
	s.changed = make(chan struct{})
	if f.Lose {
		return platform.Object{}, platform.ErrUnknown
	}
	return o, nil
}
