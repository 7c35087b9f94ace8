package backend

// This file takes the announcements of the backend server over HTTP.

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	goji "goji.io"
	"goji.io/pat"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 4 << 10

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	Lease  time.Duration          // how long an announcement holds
	Change func(*Announcement)    // takes each change; nil when the server is gone
	Local  func(host string) bool // whether an address is of this instance; loopback always is
	Log    *slog.Logger           // nil discards
	// Health asks a named server whether it takes calls before its first
	// announcement takes effect; nil takes announcements at their word.
	Health func(context.Context, *Announcement) Health
	Flaps  int // appearances within half a minute that take effect at once; zero means 3
}

// Announcer takes the announcements of the backend server and lets them lapse.
type Announcer struct {
	config AnnouncerConfig

	mu      sync.Mutex
	lease   lease
	vetting vetting
}

// NewAnnouncer returns an announcer without a backend server.
func NewAnnouncer(config AnnouncerConfig) *Announcer {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Announcer{config: config, lease: lease{term: config.Lease, flaps: config.Flaps}}
}

// Handler serves PUT /announce. It answers 204 for an announcement that holds,
// with the milliseconds until it lapses in Caroblift-Lease; 400 with every
// finding; and 409 for one of an earlier life of the server.
func (a *Announcer) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put("/announce"), a.serve)
	return mux
}

func (a *Announcer) serve(w http.ResponseWriter, r *http.Request) {
	var in Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err := dec.Decode(&in); err != nil {
		http.Error(w, errors.Wrap(err, "announcement").Error(), http.StatusBadRequest)
		return
	}
	if err := in.check(a.config.Local).Err(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !a.take(&in) {
		f := record.Findings{{Place: place, Field: "epoch", Reason: "is older than the one in force"}}
		http.Error(w, f.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Caroblift-Lease", strconv.FormatInt(a.config.Lease.Milliseconds(), 10))
	w.WriteHeader(http.StatusNoContent)
}

// Take takes an announcement that came by other means than Handler, and
// returns what is wrong with it. It tells whether the announcement holds: one
// of an earlier life, or older than another of the same life, does not. What
// follows from it has taken effect when Take returns.
func (a *Announcer) Take(in *Announcement) (bool, error) {
	if err := in.check(a.config.Local).Err(); err != nil {
		return false, err
	}
	return a.take(in), nil
}

// End takes that a life of a named server is gone; epoch is zero when it is not
// known. The server gets no new call once End has returned.
func (a *Announcer) End(name string, epoch uint64) {
	a.step(func(now time.Time) (bool, *Announcement, bool) {
		a.lease.end(name, epoch)
		next, changed := a.lease.effect(now)
		return true, next, changed
	})
}

// Refused logs an announcement that could not be taken.
func (a *Announcer) Refused(err error) {
	a.config.Log.Warn("announcement refused", "error", err.Error())
}

// take renews the lease, and tells whether the announcement holds.
func (a *Announcer) take(in *Announcement) bool {
	return a.step(func(now time.Time) (bool, *Announcement, bool) {
		if !a.vet(in) {
			next, changed := a.lease.effect(now)
			return true, next, changed
		}
		held := a.lease.renew(in, now)
		next, changed := a.lease.effect(now)
		return held, next, changed
	})
}

// step runs one decision and hands over what changed.
func (a *Announcer) step(decide func(now time.Time) (bool, *Announcement, bool)) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok, next, changed := decide(time.Now())
	if changed {
		a.logChange(next)
		a.config.Change(next)
	}
	return ok
}

// logChange writes what the node believes of its backend server from now on.
func (a *Announcer) logChange(next *Announcement) {
	if next == nil {
		a.config.Log.Info("backend server lost", "heard", time.Since(a.lease.seen).Milliseconds())
		return
	}
	a.config.Log.Info("backend server", "service", next.Service, "server", next.Name, "address", next.Address,
		"slots", next.Slots, "epoch", next.Epoch, "seq", next.Seq, "cold", next.Cold, "leaving", next.Leaving)
}

// Run lets an announcement lapse that is not renewed, until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(max(a.config.Lease/16, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.step(func(now time.Time) (bool, *Announcement, bool) {
				next, changed := a.lease.effect(now)
				return true, next, changed
			})
		}
	}
}

// Wire returns the announcement as it spreads to other nodes.
func (in *Announcement) Wire() []*wire.Server {
	if in == nil {
		return nil
	}
	return []*wire.Server{{
		Service: in.Service, Slots: uint32(in.Slots), Cold: in.Cold, Leaving: in.Leaving, Epoch: in.Epoch,
	}}
}

// Target returns the announcement as the gate uses it.
func (in *Announcement) Target() *Target {
	if in == nil {
		return nil
	}
	return &Target{Service: in.Service, Server: in.Name, Address: in.Address, Slots: in.Slots, Cold: in.Cold, Leaving: in.Leaving}
}

// asDial tells whether a call failed before a connection was made.
func asDial(err error, op **net.OpError) bool {
	return errors.As(err, op) && (*op).Op == "dial"
}
