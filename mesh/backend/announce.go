package backend

// This file receives the announcements of the backend server, over HTTP or from
// an adapter, and applies them to its lease.

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	goji "goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/decimal"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	Lease    time.Duration          // how long an announcement stays in force without a renewal
	OnChange func(*Announcement)    // called with each change while a lock is held; nil means there is no server
	IsLocal  func(host string) bool // reports whether a host is an address of this instance; loopback always is; nil means no other
	Log      *slog.Logger           // nil discards its lines
	// CheckHealth asks a named server whether it accepts calls, before its
	// first announcement takes effect. With nil, announcements take effect
	// unchecked.
	CheckHealth func(context.Context, *Announcement) Health
	// Discover asks the address where a backend server is expected whether one
	// accepts calls there, and returns its service, address and name, or nil. Run
	// calls it until the server is found or announces itself. With nil, a server
	// is known from its first announcement.
	Discover   func(context.Context) *Announcement
	FlapLimit  int        // appearances of a server within 30 s that take effect at once; zero means 3
	Departures Departures // nil if nothing outlives this process
}

// Departures keeps the last departure of a backend server beside this node where it
// outlives the process. Its methods may be called concurrently and never block.
type Departures interface {
	// RecordDeparture records that the incarnations of a named server up to epoch have
	// left, which is final. The channel is closed once that outlives this process.
	RecordDeparture(server string, epoch uint64) (kept <-chan struct{})
	// LastDeparture returns the last one that is known; "" for none.
	LastDeparture() (server string, epoch uint64)
	// Met reports whether what is kept of earlier processes is known here.
	Met() bool
}

// keepTimeout bounds how long the acknowledgement of a leaving waits until the departure
// outlives this process. A server takes an acknowledgement that comes within a second.
const keepTimeout = 500 * time.Millisecond

// Announcer receives the announcements of the backend server and lets them lapse
// when they are not renewed. Its methods are safe for concurrent use.
type Announcer struct {
	config    AnnouncerConfig
	startedAt time.Time

	mu          sync.Mutex
	lease       lease
	healthCheck healthCheck
	kept        <-chan struct{} // closed once the last recorded departure outlives this process; nil for none
}

// NewAnnouncer returns an announcer without a backend server.
func NewAnnouncer(config AnnouncerConfig) *Announcer {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Announcer{config: config, startedAt: time.Now(), lease: lease{duration: config.Lease, flapLimit: config.FlapLimit}}
}

// Handler serves PUT /announce. It answers 204 for an accepted announcement,
// with the milliseconds until it lapses in Caroblift-Lease; 400 for an invalid
// one, with every finding; and 409 for a stale one, such as one of an earlier
// incarnation of the server.
func (a *Announcer) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put("/announce"), a.serve)
	return mux
}

func (a *Announcer) serve(w http.ResponseWriter, r *http.Request) {
	in, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, errors.Wrap(err, "decode announcement").Error(), http.StatusBadRequest)
		return
	}
	accepted, err := a.Submit(in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !accepted {
		f := record.Findings{{Place: findingPlace, Field: "epoch", Reason: "is older than the one in force, or of a server that has left"}}
		http.Error(w, f.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Caroblift-Lease", strconv.FormatInt(a.config.Lease.Milliseconds(), 10))
	w.WriteHeader(http.StatusNoContent)
}

// decodeAnnouncement decodes an announcement. Numbers count by their values; of slots that
// are not whole the whole part counts. Those that Announcement can't hold become some that
// are not valid either.
func decodeAnnouncement(body io.Reader) (*Announcement, error) {
	var in struct {
		Announcement
		Slots   decimal.Number `json:"slots"`
		Epoch   decimal.Whole  `json:"epoch"`
		Seq     decimal.Whole  `json:"seq"`
		Running decimal.Number `json:"running"`
	}
	err := json.NewDecoder(body).Decode(&in)
	out := in.Announcement
	out.Slots, out.RunningMS = int(in.Slots.Floor(maxSlots+1)), int64(in.Running.Floor(math.MaxInt64))
	if in.Running.Sign() < 0 {
		out.RunningMS = -1
	}
	out.Epoch, out.Seq = uint64(in.Epoch), uint64(in.Seq)
	return &out, err
}

// Submit handles an announcement, from Handler or from an adapter. The error
// lists every finding of an invalid one. The result is false for a stale one: of
// an earlier incarnation, of one that has left, or older than another of the same
// incarnation. Any change has taken effect on return, unless it awaits a health check.
// A leaving is known to another node as well, if one can be reached in time.
func (a *Announcer) Submit(in *Announcement) (bool, error) {
	if err := in.validate(a.config.IsLocal).Err(); err != nil {
		return false, err
	}
	accepted := a.apply(in)
	if in.Leaving {
		a.awaitKept(in.Name)
	}
	return accepted, nil
}

// EndIncarnation records that an incarnation of a named server has ended; epoch
// is zero when it is not known. The incarnation gets no new call once
// EndIncarnation has returned, also not from the next process of this node if another
// node can be reached in time.
func (a *Announcer) EndIncarnation(name string, epoch uint64) {
	a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
		a.lease.endIncarnation(name, epoch)
		next, changed := a.lease.evaluate(now)
		return true, next, changed
	})
	a.awaitKept(name)
}

// awaitKept waits until the departure of a server outlives this process, or for
// keepTimeout.
func (a *Announcer) awaitKept(name string) {
	a.mu.Lock()
	kept := a.kept
	a.mu.Unlock()
	if kept == nil {
		return
	}
	timer := time.NewTimer(keepTimeout)
	defer timer.Stop()
	select {
	case <-kept:
	case <-timer.C:
		a.config.Log.Warn("leaving is acknowledged although no other node knows it", "server", name)
	}
}

// RecordLeaving records that an incarnation of the backend server has stated in an answer
// that it is leaving, which is final as in an announcement. It need not be in force.
func (a *Announcer) RecordLeaving(name string, epoch uint64) {
	a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
		a.lease.recordLeft(name, epoch)
		next, changed := a.lease.evaluate(now)
		return true, next, changed
	})
}

// RecordEnded records that the process of an incarnation of the backend server has ended.
// The server is lost at once. An announcement that was sent before may still arrive, so the
// next one takes effect only after a health check.
func (a *Announcer) RecordEnded(name string, epoch uint64) {
	a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
		if l := &a.lease; l.newest == nil || l.newest.Name != name || l.newest.Epoch != epoch || l.newest.Leaving {
			return false, nil, false
		}
		a.lease.newest, a.healthCheck = nil, healthCheck{}
		next, changed := a.lease.evaluate(now)
		return true, next, changed
	})
}

// LogRefused logs an announcement that was refused, with the reason.
func (a *Announcer) LogRefused(err error) {
	a.config.Log.Warn("announcement refused", "error", err.Error())
}

// apply renews the lease with a valid announcement. It returns false for a stale
// one, and true for one that waits for confirmation.
func (a *Announcer) apply(in *Announcement) bool {
	return a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
		if a.lease.isStale(in) {
			a.config.Log.Info("announcement is stale", "server", in.Name, "epoch", in.Epoch, "seq", in.Seq, "left", a.lease.hasLeft(in))
			next, changed := a.lease.evaluate(now)
			return false, next, changed
		}
		if !a.confirm(in) {
			next, changed := a.lease.evaluate(now)
			return true, next, changed
		}
		accepted := a.lease.renew(in, now)
		next, changed := a.lease.evaluate(now)
		return accepted, next, changed
	})
}

// updateLease runs one decision under the lock and reports a change of the
// announcement in force. decide returns the result of updateLease, the
// announcement in force, and whether that is a change. Departures that are kept
// elsewhere are taken before, and those that the decision makes are recorded there.
func (a *Announcer) updateLease(decide func(now time.Time) (bool, *Announcement, bool)) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.config.Departures != nil {
		a.lease.recordLeft(a.config.Departures.LastDeparture())
		a.lease.takeDeparture()
	}
	ok, next, changed := decide(time.Now())
	if d := a.lease.takeDeparture(); d != nil && a.config.Departures != nil {
		a.kept = a.config.Departures.RecordDeparture(d.name, d.epoch)
	}
	if changed {
		a.logChange(next)
		a.config.OnChange(next)
	}
	return ok
}

// logChange logs the announcement that is in force from now on.
func (a *Announcer) logChange(next *Announcement) {
	if next == nil {
		a.config.Log.Info("backend server lost", "heard", time.Since(a.lease.renewedAt).Milliseconds())
		return
	}
	a.config.Log.Info("backend server", "service", next.Service, "server", next.Name, "address", next.Address,
		"slots", next.Slots, "epoch", next.Epoch, "seq", next.Seq, "cold", next.Cold, "leaving", next.Leaving, "version", next.Version, "found", next.found)
}

// Run looks for the backend server, then checks the lease until the context ends,
// so that an announcement lapses when it is not renewed. It always returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	if a.config.Discover == nil {
		return a.watchLease(ctx)
	}
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return a.discover(ctx) })
		return a.watchLease(ctx)
	})
	<-t.Dead()
	return nil
}

// watchLease evaluates the lease at regular intervals.
func (a *Announcer) watchLease(ctx context.Context) error {
	ticker := time.NewTicker(max(a.config.Lease/16, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
				next, changed := a.lease.evaluate(now)
				return true, next, changed
			})
		}
	}
}

// WireServers returns the announcement as it is sent to other nodes; nil for
// nil.
func (in *Announcement) WireServers() []*wire.Server {
	if in == nil {
		return nil
	}
	return []*wire.Server{{
		Service: in.Service, Slots: uint32(in.Slots), Cold: in.Cold, Leaving: in.Leaving, Epoch: in.Epoch, Version: in.Version, Name: in.Name,
	}}
}

// Target returns the announcement as a Gate uses it; nil for nil.
func (in *Announcement) Target() *Target {
	if in == nil {
		return nil
	}
	return &Target{Service: in.Service, Server: in.Name, Epoch: in.Epoch, Address: in.Address, Slots: in.Slots, Cold: in.Cold, Leaving: in.Leaving, RunningMS: in.RunningMS, Version: in.Version, Found: in.found}
}
