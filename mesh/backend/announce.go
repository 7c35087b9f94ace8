package backend

// This file takes the announcements of the backend server.

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
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

// Announcement is what a backend server says of itself with PUT /announce.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"` // IP:port
	Slots   int    `json:"slots"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Epoch   uint64 `json:"epoch"` // grows when the server restarts
}

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	Lease  time.Duration       // how long an announcement holds
	Change func(*Announcement) // takes each change; nil when the server is gone
}

// Announcer takes the announcements of the backend server and lets them lapse.
type Announcer struct {
	config AnnouncerConfig

	mu   sync.Mutex
	last *Announcement
	seen time.Time
}

// NewAnnouncer returns an announcer without a backend server.
func NewAnnouncer(config AnnouncerConfig) *Announcer { return &Announcer{config: config} }

// Handler serves PUT /announce.
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
	if err := check(&in).Err(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.take(&in)
	w.WriteHeader(http.StatusNoContent)
}

func check(in *Announcement) record.Findings {
	var f record.Findings
	if in.Service == "" {
		f.Add("announcement", "service", "must not be empty")
	}
	if _, err := netip.ParseAddrPort(in.Address); err != nil {
		f.Add("announcement", "address", "is not an IP:port")
	}
	if in.Slots < 1 {
		f.Add("announcement", "slots", "must be at least 1")
	}
	return f
}

func (a *Announcer) take(in *Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = time.Now()
	if a.last != nil && *a.last == *in {
		return
	}
	a.last = in
	a.config.Change(in)
}

// Run lets an announcement lapse that is not renewed.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.config.Lease / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.lapse()
		}
	}
}

func (a *Announcer) lapse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last != nil && time.Since(a.seen) > a.config.Lease {
		a.last = nil
		a.config.Change(nil)
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
	return &Target{Service: in.Service, Address: in.Address, Slots: in.Slots, Cold: in.Cold, Leaving: in.Leaving}
}

// asDial tells whether a call failed before a connection was made.
func asDial(err error, op **net.OpError) bool {
	return errors.As(err, op) && (*op).Op == "dial"
}
