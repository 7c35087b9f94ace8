package backend

// This file checks a backend server before its node admits calls to it. A node
// that was restarted does not know whether the server said to its earlier life
// that it is leaving, and an announcement from before that may come late.

import (
	"context"
	"net/http"
	"time"
)

// Health is what a backend server's health path says.
type Health int

// The values of Health.
const (
	Unclear   Health = iota // no answer, or one that says nothing of the server
	Well                    // it takes calls
	Unwell                  // it is leaving or failing
	Elsewhere               // another life of the server answers
)

const (
	// vetTimeout bounds one question. A server answers in a few ms unless all
	// its slots are taken, and the next announcement leads to another question.
	vetTimeout = 500 * time.Millisecond
	// vetAnnouncements is how many announcements of a life, each newer than the
	// one before, stand for a good answer: late ones come out of order, and a
	// server that leaves says so in its next.
	vetAnnouncements = 3
)

// vetting is the check of one life of the server.
type vetting struct {
	life   Announcement // name and epoch
	newest *Announcement
	count  int // announcements, each newer than the one before
	asking bool
	done   bool
}

// vet takes an announcement of a life that is not checked yet, and tells
// whether it may take effect now. The caller holds a.mu.
func (a *Announcer) vet(in *Announcement) bool {
	v := &a.vetting
	if a.config.Health == nil || in.Name == "" || in.Leaving || v.done && v.life.sameLife(in) {
		return true
	}
	if !v.life.sameLife(in) {
		*v = vetting{life: *in}
	}
	if v.newest == nil || in.Seq > v.newest.Seq {
		v.newest = in
		v.count++
	}
	if v.count >= vetAnnouncements {
		v.done = true
		return true
	}
	if !v.asking {
		v.asking = true
		go a.ask(*in)
	}
	return false
}

// ask asks the health path and lets the newest announcement of the life take
// effect if the server is well.
func (a *Announcer) ask(in Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), vetTimeout)
	defer cancel()
	health := a.config.Health(ctx, &in)
	a.config.Log.Info("backend server checked", "server", in.Name, "seq", in.Seq, "health", int(health))
	a.step(func(now time.Time) (bool, *Announcement, bool) {
		v := &a.vetting
		if v.done || !v.life.sameLife(&in) {
			return false, nil, false
		}
		v.asking = false
		if health != Well {
			return false, nil, false
		}
		v.done = true
		held := a.lease.renew(v.newest, now)
		next, changed := a.lease.effect(now)
		return held, next, changed
	})
}

// Inspector is a Dialect that can also ask for a server's health.
type Inspector interface {
	// Life returns the name of the life that answered, or nothing.
	Life(answer *http.Response) string
}

// Health asks the server beside the gate whether it takes calls. path is its
// health path.
func (g *Gate) Health(ctx context.Context, in *Announcement, path string) Health {
	inspector, ok := g.config.Dialect.(Inspector)
	if !ok || path == "" {
		return Unclear
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.Address+path, http.NoBody)
	if err != nil {
		return Unclear
	}
	resp, err := g.fresh.RoundTrip(req)
	if err != nil {
		return Unclear
	}
	defer resp.Body.Close()
	switch reason, _ := g.config.Dialect.Judge(req.Header, resp); {
	case reason != "":
		return Unclear // it was turned away like a call, for lack of a slot
	case inspector.Life(resp) != in.Name:
		return Elsewhere
	case resp.StatusCode == http.StatusOK:
		return Well
	}
	return Unwell
}
