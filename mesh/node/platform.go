package node

// This file adapts a node to a platform with its own protocol, which has a store,
// a configuration that is one document, and dialects of callers and backend
// servers.

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
	Calls() uint64 // number of calls made so far
	Close()        // closes idle connections
}

// Platform describes a platform with its own protocol. Every field but RolloutOrders is
// required.
type Platform struct {
	OpenStore       func(telemetry.Sinks, *store.Eras) Store // opens a client with its own connections, which shares the eras
	ConfigObject    store.ConfigObject                       // names and decodes the object that holds the configuration
	BackendDialect  backend.Dialect                          // spoken by backend servers
	CallerDialect   caller.Dialect                           // spoken by callers
	AnnounceHandler func(*backend.Announcer) http.Handler    // returns the handler of the backend port
	ReadyHandler    func(ready func() bool) http.Handler     // returns the handler of the ready port
	RolloutOrders   *store.RolloutOrders                     // describes orders to move services to other versions; nil if there are none
}

// maxWatchers is the largest fleet in which every node watches the configuration.
// In a larger one only the readers of each failure domain do, and the other nodes
// receive it through the distribution tree. Each watcher costs one read per
// platform.wait: 100 nodes with 1.5 s make 67 reads per second, a thirtieth of the
// smallest platform rate limit in use.
const maxWatchers = 100

// pushDelayQuarterBeats is how long a child that reads the platform itself may be
// behind before its parent pushes the configuration, in quarters of a heartbeat
// interval. It exceeds the longest pause between two reads plus one interval, so
// that only children whose reads the platform rejects get a push.
const pushDelayQuarterBeats = 12

// watchesPlatform reports whether this node reads the configuration from the
// platform.
func (n *Node) watchesPlatform() bool {
	return len(n.Members.View().Names) <= maxWatchers || n.Distributor.ReadsPlatform()
}

// nonReaderWaitFactor is how many times longer than a reader's watch that of
// another node waits. Other nodes recognize a silent watch by the newer revision
// of a peer; only the readers of each failure domain must recognize it themselves.
const nonReaderWaitFactor = 4

// keyedWaitDivisor shortens the watches of readers while callers need keys. Each watch
// that ends confirms the table, and a key is refused for good only by a table that was
// confirmed at most maxConfirmedAge ago, also three levels of heartbeats below a reader.
const keyedWaitDivisor = 2

// watchWait returns how long the next watch of this node waits, by the wait in the settings.
func (n *Node) watchWait(wait time.Duration) time.Duration {
	switch {
	case !n.Distributor.ReadsPlatform():
		return nonReaderWaitFactor * wait
	case n.Holder.Table().NeedsKeys():
		return wait / keyedWaitDivisor
	}
	return wait
}

const (
	// minReadPause and maxReadPause bound the pause after the configuration was
	// read. Changes in quick succession are read together, but still within 2 s,
	// the shortest time limit for a change to take effect.
	minReadPause = 300 * time.Millisecond
	maxReadPause = time.Second
	// readPauseFactor is the ratio of the pause to the transfer time of a
	// configuration on the instance's link. It leaves most of the link to calls
	// when large configurations follow each other.
	readPauseFactor = 2
)

// readPause returns the pause after a configuration of the given size was read.
func (n *Node) readPause(bytes int) time.Duration {
	rate := n.linkRate()
	if rate == 0 {
		return minReadPause
	}
	transferTime := time.Duration(float64(bytes) / rate * float64(time.Second))
	return min(minReadPause+readPauseFactor*transferTime, maxReadPause)
}

// signalIfBehind wakes the reader of the platform if a peer holds a newer
// configuration. It never blocks.
func (n *Node) signalIfBehind() {
	if !n.Distributor.Behind() {
		return
	}
	select {
	case n.peerAhead <- struct{}{}:
	default:
	}
}

// platformReader reads the configuration from the platform.
type platformReader interface {
	ConfirmedAt() int64 // when the platform last confirmed the head, Unix ms; 0 if never
	Reachable() bool    // whether the platform answered the last call
	Run(ctx context.Context) error
}

// assembleSource creates the reader of a configuration that is one document. Its
// calls are few and not taken from the budget, since a starting node does not know
// the fleet yet.
func (n *Node) assembleSource(p *Platform) {
	s := n.settings.GetPlatform()
	n.source = store.NewSource(store.SourceConfig{
		Store: n.store, ReadStore: n.pollStore, Object: p.ConfigObject, Active: n.watchesPlatform, PeerUpdates: n.peerAhead, PeersAhead: n.Distributor.Behind, ReadPause: n.readPause,
		WatchTimeout: func() time.Duration { return n.watchWait(ms(s.GetWait())) },
		Deliver: func(snapshot *wire.Snapshot, version store.Version) error {
			return n.Distributor.ApplyPlatformSnapshot(snapshot, version.Era > 0)
		}, Sinks: n.sinks.ForPart("platform"),
	})
	n.platformReader = n.source
}

// decodeDocument decodes a configuration document as the source does.
func (n *Node) decodeDocument(document []byte) (*wire.Snapshot, error) {
	return n.platform.ConfigObject.Decode(store.Object{Kind: n.platform.ConfigObject.Kind, Name: n.platform.ConfigObject.Name, Body: document})
}

// platformFlapLimit is how often a backend server may appear within half a minute
// without delay. It can be high because only this node sends calls to the server,
// and it notices at once when the server is gone.
const platformFlapLimit = 30

// adaptToPlatform changes the configuration of the call path for the platform. The
// gate gets no default slow start, since the platform's configuration has no warm-up
// and its backend servers announce that they are cold.
func (n *Node) adaptToPlatform(gate *backend.GateConfig, proxy *caller.Config, announcer *backend.AnnouncerConfig) {
	gate.Dialect, proxy.Dialect, proxy.BufferLimit = n.platform.BackendDialect, n.platform.CallerDialect, hop.MaxBufferedResponse
	gate.Warmup = -1
	proxy.Currency, proxy.RequestUpdate = n.currency, n.Distributor.RequestUpdate
	announcer.FlapLimit, announcer.CheckHealth = platformFlapLimit, n.checkHealth
	if n.settings.GetBackend().GetAddress() != "" {
		announcer.Discover = n.discoverServer
	}
}

// discoverServer returns the backend server that accepts calls at the address in
// the settings, or nil if there is none or the table in force does not have its
// service.
func (n *Node) discoverServer(ctx context.Context) *backend.Announcement {
	in := &backend.Announcement{Service: n.settings.GetBackend().GetService(), Address: n.settings.GetBackend().GetAddress()}
	service := n.Holder.Table().Services[in.Service]
	if service == nil {
		return nil
	}
	health, incarnation := n.Gate.RequestHealth(ctx, in.Address, service.HealthPath)
	if health != backend.Healthy || incarnation == "" {
		return nil
	}
	in.Name = incarnation
	return in
}

// checkHealth asks the backend server whether it accepts calls. The result is
// unclear while the table in force does not have its service.
func (n *Node) checkHealth(ctx context.Context, in *backend.Announcement) backend.Health {
	service := n.Holder.Table().Services[in.Service]
	if service == nil {
		return backend.HealthUnclear
	}
	return n.Gate.CheckHealth(ctx, in, service.HealthPath)
}
