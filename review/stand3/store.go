package main

// This file is a stand-in for the platform's metadata store: objects by kind and name, lists,
// watches and conditional writes, as the users' page on the protocol describes them.

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is one object as it is sent.
type storeObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeMetadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`

	kind string
	rev  uint64
}

// platformStore holds all objects and the history of their changes. It forgets nothing.
type platformStore struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]storeObject // by kind and name
	history []storeEvent
	changed chan struct{} // closed and replaced at each change
}

func newPlatformStore() *platformStore {
	return &platformStore{rev: 100, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
}

// put writes an object as the operator does, and returns when it is confirmed.
func (s *platformStore) put(kind, object string, spec any) time.Time {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][object]
	o.Metadata.Name, o.Spec = object, body
	s.change(kind, o, false)
	return time.Now()
}

// change stores or removes an object and records the event. The caller holds s.mu.
func (s *platformStore) change(kind string, o storeObject, deleted bool) storeObject {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, storeEvent{Object: o, Deleted: deleted, kind: kind, rev: s.rev})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	rest, ok := strings.CutPrefix(r.URL.Path, name("objectsPath"))
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Header()[name("era")] = []string{"0"}
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := strings.SplitN(rest, "/", 3)
	status, answer := http.StatusOK, any(nil)
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		answer = s.watch(r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		answer = s.list(parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		status, answer = s.get(parts[0], parts[1])
	default:
		status, answer = s.write(r, parts, body)
	}
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// list returns the objects of a kind in the order of names.
func (s *platformStore) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeObject{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b storeObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return map[string]any{"items": items, "more": false, name("revision"): s.rev}
}

func (s *platformStore) get(kind, object string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][object]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, o
}

// watch waits for events of a kind after a revision.
func (s *platformStore) watch(r *http.Request, kind string) any {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, rev, changed := []storeEvent{}, s.rev, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, name("revision"): rev}
		if len(events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}

// write executes one change.
func (s *platformStore) write(r *http.Request, parts []string, body []byte) (int, any) {
	var in storeObject
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	expected := in.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, object := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		object = parts[1]
	}
	old, exists := s.objects[kind][object]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusOK, s.change(kind, storeObject{Metadata: storeMetadata{Name: object, Finalizers: in.Metadata.Finalizers}, Spec: in.Spec}, false)
	case !exists:
		return http.StatusNotFound, nil
	case expected != 0 && expected != old.Metadata.Rev:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.change(kind, old, true)
	case r.Method == http.MethodPut && len(parts) == 3:
		old.Status = in.Status
	case r.Method == http.MethodPut:
		old.Spec, old.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	default:
		return http.StatusBadRequest, nil
	}
	return http.StatusOK, s.change(kind, old, false)
}
