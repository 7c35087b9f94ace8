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

// String returns a word for the log.
func (h Health) String() string {
	return [...]string{"unclear", "well", "unwell", "elsewhere"}[h]
}

const (
	// vetTimeout bounds one question. A server answers in a few ms unless all
	// its slots are taken, and the next announcement leads to another question.
	vetTimeout = 500 * time.Millisecond
	// vetPause is the pause before an unclear answer is asked for again, and
	// vetTries how often: a node that starts may not know the health path yet.
	vetPause = 50 * time.Millisecond
	vetTries = 20
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

// ask asks the health path, again while the answer is unclear, and lets the
// newest announcement of the life take effect if the server is well.
func (a *Announcer) ask(in Announcement) {
	for tries := 1; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), vetTimeout)
		health := a.config.Health(ctx, &in)
		cancel()
		if again := a.asked(in, health, tries); !again {
			return
		}
		time.Sleep(vetPause)
	}
}

// asked takes an answer, and tells whether to ask again.
func (a *Announcer) asked(in Announcement, health Health, tries int) (again bool) {
	a.config.Log.Info("backend server checked", "server", in.Name, "seq", in.Seq, "health", health.String(), "tries", tries)
	a.step(func(now time.Time) (bool, *Announcement, bool) {
		v := &a.vetting
		if v.done || !v.life.sameLife(&in) {
			return false, nil, false
		}
		if health != Well {
			again = health == Unclear && tries < vetTries
			v.asking = again
			return false, nil, false
		}
		v.asking, v.done = false, true
		held := a.lease.renew(v.newest, now)
		next, changed := a.lease.effect(now)
		return held, next, changed
	})
	return again
}

// Inspector is a Dialect that can also ask for a server's health.
type Inspector interface {
	// Life returns the name of the life that answered, and false when the
	// question was turned away like a call, for lack of a slot.
	Life(answer *http.Response) (name string, taken bool)
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
	switch life, taken := inspector.Life(resp); {
	case !taken:
		return Unclear
	case life != in.Name:
		return Elsewhere
	case resp.StatusCode == http.StatusOK:
		return Well
	}
	return Unwell
}
