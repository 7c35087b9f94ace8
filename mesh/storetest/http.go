package storetest

// This file serves a store over HTTP with the platform's API.

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/store"
)

// ServeHTTP serves the platform's API under /objects. For tests, PUT /faults sets
// the injected faults and /calls returns the number of calls by kind.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	AbortIfSilent(r)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case r.URL.Path == "/faults" && r.Method == http.MethodPut:
		s.serveFaults(w, r)
	case r.URL.Path == "/calls":
		writeJSON(w, s.Calls())
	case parts[0] == "objects" && len(parts) == 3:
		s.serveObject(w, r, parts[1], parts[2])
	case parts[0] == "objects" && len(parts) == 2 && r.Method == http.MethodGet:
		s.serveKind(w, r, parts[1])
	default:
		http.NotFound(w, r)
	}
}

// AbortIfSilent returns at once if the connection of a request works. If it is
// silent, AbortIfSilent waits until the request's context ends and aborts the
// handler.
func AbortIfSilent(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c.blockIfSilent(r.Context()) {
		panic(http.ErrAbortHandler) // a request on a silent connection does not arrive
	}
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, "object body exceeds 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	o, err := s.object(r.Context(), r, kind, name, body)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.Version.Revision, 10)))
	if r.Method == http.MethodGet {
		_, _ = w.Write(o.Body)
	}
}

func (s *Store) object(ctx context.Context, r *http.Request, kind, name string, body []byte) (store.Object, error) {
	if r.Method == http.MethodGet {
		return s.Get(ctx, kind, name)
	}
	if r.Method == http.MethodPut && r.Header.Get("If-None-Match") == "*" {
		return s.Create(ctx, kind, name, body)
	}
	text, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return store.Object{}, errors.New("If-Match or If-None-Match is missing")
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return store.Object{}, errors.Wrap(err, "If-Match")
	}
	version := store.Version{Era: s.Era(), Revision: revision} // a request names no era
	switch r.Method {
	case http.MethodPut:
		return s.Update(ctx, kind, name, version, body)
	case http.MethodDelete:
		return store.Object{}, s.Delete(ctx, kind, name, version)
	}
	return store.Object{}, errors.Errorf("method %s is not supported", r.Method)
}

// page is the JSON body of the response to a list or a watch.
type page struct {
	Version store.Version  `json:"version"`
	More    bool           `json:"more,omitempty"`
	Objects []store.Object `json:"objects"`
}

func (s *Store) serveKind(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	var p page
	var err error
	if query.Has("watch") {
		revision, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait"))
		p.Objects, p.Version, err = s.Watch(r.Context(), kind, store.Version{Era: s.Era(), Revision: revision}, time.Duration(wait)*time.Millisecond)
	} else {
		p.Objects, p.Version, p.More, err = s.List(r.Context(), kind, query.Get("after"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c.blockIfSilent(r.Context()) {
		panic(http.ErrAbortHandler) // the connection became silent during the watch
	}
	writeJSON(w, p)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	var busy *store.RateLimitError
	switch {
	case errors.As(err, &busy):
		w.Header().Set("Retry-After", strconv.FormatFloat(busy.RetryAfter.Seconds(), 'f', 3, 64))
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, store.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler) // the response is lost
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrGone):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
