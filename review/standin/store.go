package main

// This file is a stand-in for the platform's store: objects by kind and name, a list, a
// watch and conditional writes.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	rev     uint64
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []change
	changed chan struct{}
}

func newStore(host string) (*store, error) {
	s := &store{rev: 500, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes the spec of an object, as the operator does.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	s.write(kind, o, false)
}

// write records a change. The caller holds s.mu.
func (s *store) write(kind string, o object, deleted bool) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.rev
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if deleted {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{rev: s.rev, kind: kind, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, names.ObjectsPath), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	status := len(parts) > 2 && parts[2] == "status"
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	var in object
	_ = json.Unmarshal(body, &in)
	if r.Method == http.MethodDelete {
		in.Metadata.Rev, _ = strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		if held, ok := s.kinds[kind][in.Metadata.Name]; ok {
			answer(w, http.StatusConflict, held)
			return
		}
		in.Metadata.CreatedRev = 0
		answer(w, http.StatusOK, s.write(kind, in, false))
	case !exists:
		answer(w, http.StatusNotFound, map[string]string{"error": "none"})
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, old)
	case in.Metadata.Rev != 0 && in.Metadata.Rev != old.Metadata.Rev:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && status:
		old.Status = in.Status
		answer(w, http.StatusOK, s.write(kind, old, false))
	case r.Method == http.MethodPut:
		old.Spec = in.Spec
		answer(w, http.StatusOK, s.write(kind, old, false))
	case r.Method == http.MethodDelete:
		answer(w, http.StatusOK, s.write(kind, old, true))
	}
}

// list answers with the objects of a kind. The caller holds s.mu.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, names.CurrentRevision: s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.rev > from && c.kind == kind {
				events = append(events, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, names.CurrentRevision: rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("store: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
