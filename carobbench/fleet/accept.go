package fleet

// This file records when the platform accepted each revision, and when it came
// into force on each node.

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

// acceptTimes records when each accepted revision was sent to the platform.
type acceptTimes struct {
	mu    sync.Mutex
	times map[uint64]time.Time
}

// statusWriter records the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// handler wraps h and records the arrival time of each successful call that
// creates a revision.
func (a *acceptTimes) handler(h http.Handler) http.Handler {
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

// AcceptTimes returns, by number of the revision, the arrival time of the call by
// which the platform accepted it.
func (f *Fleet) AcceptTimes() map[uint64]time.Time {
	f.accepted.mu.Lock()
	defer f.accepted.mu.Unlock()
	out := map[uint64]time.Time{}
	for n, t := range f.accepted.times {
		out[n] = t
	}
	return out
}

// ActivationLog records when revisions came into force on one node.
type ActivationLog struct {
	mu          sync.Mutex
	activations []activation // in ascending order of revisions
}

// activation is the time at which a revision came into force.
type activation struct {
	number uint64
	at     time.Time
}

// LogActivations records the revisions of h in the background until ctx ends.
func LogActivations(ctx context.Context, h *revision.Holder) *ActivationLog {
	l := &ActivationLog{}
	go func() {
		for ctx.Err() == nil {
			changed := h.Changed()
			l.record(h.Table().Number)
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	}()
	return l
}

// record appends the revision that is in force now.
func (l *ActivationLog) record(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activations = append(l.activations, activation{number, time.Now()})
}

// InForceSince returns the time at which the given revision or a newer one came
// into force. It returns false if none has.
func (l *ActivationLog) InForceSince(number uint64) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.activations {
		if a.number >= number {
			return a.at, true
		}
	}
	return time.Time{}, false
}
