package fleet

// This file notes when the platform accepted each revision, and when each node
// had it in force.

import (
	"context"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/store"
)

// acceptance holds the time of each accepted revision.
type acceptance struct {
	mu    sync.Mutex
	times map[uint64]time.Time
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// handler notes the time at which a call that creates a revision came in.
func (a *acceptance) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || !strings.HasPrefix(r.URL.Path, "/objects/"+store.KindRevision+"/") {
			h.ServeHTTP(w, r)
			return
		}
		now, sw := time.Now(), &statusWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(sw, r)
		number, err := strconv.ParseUint(path.Base(r.URL.Path), 10, 64)
		if err == nil && sw.status == http.StatusOK {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.times[number] = now
		}
	})
}

// Accepted returns when the platform accepted each revision.
func (f *Fleet) Accepted() map[uint64]time.Time {
	f.accepted.mu.Lock()
	defer f.accepted.mu.Unlock()
	out := map[uint64]time.Time{}
	for n, t := range f.accepted.times {
		out[n] = t
	}
	return out
}

// Follower notes when revisions came into force on one node.
type Follower struct {
	mu    sync.Mutex
	steps []step // numbers grow
}

type step struct {
	number uint64
	at     time.Time
}

// Follow notes the revisions of a holder until the context ends.
func Follow(ctx context.Context, h *revision.Holder) *Follower {
	f := &Follower{}
	go func() {
		for ctx.Err() == nil {
			changed := h.Changed()
			f.note(h.Table().Number)
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	}()
	return f
}

func (f *Follower) note(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = append(f.steps, step{number, time.Now()})
}

// Since returns when a revision or a newer one came into force, and false when
// none has.
func (f *Follower) Since(number uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.steps {
		if s.number >= number {
			return s.at, true
		}
	}
	return time.Time{}, false
}
