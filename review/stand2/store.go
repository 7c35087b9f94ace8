package main

// This file is a stand-in for the platform's store: objects by kind and name, one revision
// counter, conditional writes, lists and watches.

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is one object of the store.
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

// storeEvent is one change of an object.
type storeEvent struct {
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
	kind    string
}

// platformStore is the stand-in. It keeps all of its history.
type platformStore struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]storeObject
	events  []storeEvent
	changed chan struct{}
}

func newPlatformStore() *platformStore {
	return &platformStore{rev: 100, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
}

// serve serves the store at an address until the process ends.
func (s *platformStore) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	return nil
}

// put writes the spec of an object as the operator does.
func (s *platformStore) put(kind, objectName string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][objectName]
	o.Spec = data
	s.write(kind, objectName, o)
}

// write stores an object under a new revision. The caller holds s.mu.
func (s *platformStore) write(kind, objectName string, o storeObject) storeObject {
	s.rev++
	o.Metadata.Name, o.Metadata.Rev = objectName, s.rev
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][objectName] = o
	s.publish(storeEvent{Object: o, kind: kind})
	return o
}

// publish adds an event and wakes the watches. The caller holds s.mu.
func (s *platformStore) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, name("objects")), "/")
	if err != nil || !strings.HasPrefix(r.URL.Path, name("objects")) || parts[0] == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			answerJSON(w, http.StatusNotFound, struct{}{})
			return
		}
		answerJSON(w, http.StatusOK, o)
	default:
		s.change(w, r, parts, body)
	}
}

func (s *platformStore) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []storeObject{}
	for n, o := range s.objects[kind] {
		if n > after {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, name("storeRevision"): rev})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Rev > from {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, name("storeRevision"): rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, name("storeRevision"): rev})
			return
		}
	}
}

// change creates, replaces or deletes an object.
func (s *platformStore) change(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in storeObject
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	objectName := in.Metadata.Name
	if len(parts) > 1 {
		objectName = parts[1]
	}
	expected := in.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[parts[0]][objectName]
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != o.Metadata.Rev:
		answerJSON(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		answerJSON(w, http.StatusOK, s.write(parts[0], objectName, storeObject{Spec: in.Spec, Metadata: storeMetadata{Finalizers: in.Metadata.Finalizers}}))
	case !exists:
		answerJSON(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		delete(s.objects[parts[0]], objectName)
		s.rev++
		o.Metadata.Rev = s.rev
		s.publish(storeEvent{Object: o, Deleted: true, kind: parts[0]})
		answerJSON(w, http.StatusOK, o)
	case len(parts) > 2:
		o.Status = in.Status
		answerJSON(w, http.StatusOK, s.write(parts[0], objectName, o))
	default:
		o.Spec, o.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
		answerJSON(w, http.StatusOK, s.write(parts[0], objectName, o))
	}
}
