package node

// This file defines what an adapter brings for a platform with a protocol of
// its own: a store, a configuration that comes as one document, and the
// dialects of callers and backend servers.

import (
	"context"
	"net/http"
	"time"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Store is a client of the platform's store.
type Store interface {
	store.Store
	Calls() uint64 // made so far
	Close()
}

// Platform is what an adapter brings. Every field is required.
type Platform struct {
	Store    func(telemetry.Sinks) Store           // opens a client with connections of its own
	Place    store.Place                           // of the configuration
	Backend  backend.Dialect                       // of backend servers
	Caller   caller.Dialect                        // of callers
	Announce func(*backend.Announcer) http.Handler // serves the backend port
	Ready    func(ready func() bool) http.Handler  // serves the ready port
}

// maxWatchers is the fleet up to which every node watches the configuration;
// beyond it the readers of each failure domain do, and the others hear of it
// through the tree. Each watcher costs one read for each platform.wait: at 100
// nodes and 1.5 s that is 67 a second, a thirtieth of the smallest rate in use.
const maxWatchers = 100

// patienceBeats is how long a child that reads the platform by itself may be
// behind before its parent sends it the configuration, in quarters of a beat:
// longer than the longest rest between two reads and a beat, so that only those
// get it that the platform turns away.
const patienceBeats = 12

// watches tells whether this node reads the configuration from the platform.
func (n *Node) watches() bool {
	return len(n.Members.View().Names) <= maxWatchers || n.Spread.Reader()
}

// calmWaits is how much longer than a reader's the watches of other nodes wait.
// A watch that has gone silent is noticed by what peers hold, so that only the
// readers of each failure domain must notice it by themselves.
const calmWaits = 4

const (
	// leastRest and mostRest bound the pause after a configuration was read:
	// configurations in quick succession are taken together, within the shortest
	// bound for one, 2 s.
	leastRest = 300 * time.Millisecond
	mostRest  = time.Second
	// restTimes is how many times as long as a configuration takes on the
	// instance's link nothing is read, so that a succession of large ones leaves
	// most of the link to calls.
	restTimes = 2
)

// rest returns the pause after a configuration of some size was read.
func (n *Node) rest(bytes int) time.Duration {
	rate := n.link()
	if rate == 0 {
		return leastRest
	}
	taken := time.Duration(float64(bytes) / rate * float64(time.Second))
	return min(leastRest+restTimes*taken, mostRest)
}

// heard takes that a peer has named the number of its configuration.
func (n *Node) heard() {
	if !n.Spread.Behind() {
		return
	}
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// confirmer is what reads the platform.
type confirmer interface {
	Checked() int64 // when the platform last confirmed the head, Unix ms; 0 for never
	Working() bool  // whether it answers
	Run(ctx context.Context) error
}

// assembleSource puts together the reader of a configuration that comes as one
// document. Its calls are few and not taken from the shares of the platform's
// rates, since a node that starts does not know the fleet yet.
func (n *Node) assembleSource(p *Platform) {
	s := n.settings.GetPlatform()
	n.reads = store.NewSource(store.SourceConfig{
		Store: n.store, Poll: n.poll, Place: p.Place, Active: n.watches, News: n.news, Behind: n.Spread.Behind, Rest: n.rest,
		Wait: func() time.Duration {
			if n.Spread.Reader() {
				return ms(s.GetWait())
			}
			return calmWaits * ms(s.GetWait())
		},
		Deliver: func(snapshot *wire.Snapshot) error { return n.Spread.Current(snapshot) }, Sinks: n.sinks.Sub("platform"),
	})
}

// ownFlaps is how often a backend server may appear within half a minute where
// its node alone sends calls to it and sees at once that it is gone.
const ownFlaps = 30

// fit adapts what serves calls to the platform's dialects. No configuration
// names a warm-up there: backend servers announce that they are cold.
func (n *Node) fit(gate *backend.GateConfig, proxy *caller.Config, announcer *backend.AnnouncerConfig) {
	gate.Dialect, proxy.Dialect, proxy.Whole = n.platform.Backend, n.platform.Caller, hop.MaxWhole
	gate.Warmup = -1
	announcer.Flaps, announcer.Health = ownFlaps, n.health
}

// health asks the backend server whether it takes calls.
func (n *Node) health(ctx context.Context, in *backend.Announcement) backend.Health {
	service := n.Holder.Table().Services[in.Service]
	if service == nil {
		return backend.Unclear
	}
	return n.Gate.Health(ctx, in, service.Health)
}
