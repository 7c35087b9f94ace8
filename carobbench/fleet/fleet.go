// Package fleet runs a platform stand-in, nodes and backend server stand-ins in
// one process on loopback ports, for measurements.
//
// # Usage
//
//	f, err := fleet.New(fleet.Config{Log: log})
//	defer f.Close()
//	_, err = f.Add(fleet.Place{Name: "quotes-1", Domain: "xitun", Service: "quotes", Slots: 6})
package fleet

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// The platform's rates.
const (
	platformReads  = 2000 // per second
	platformWrites = 400  // per second
)

// Config configures a Fleet.
type Config struct {
	Log    *slog.Logger
	Adjust func(*wire.Settings) // changes the settings of every node; may be nil
}

// Place says where an instance is and what it serves.
type Place struct {
	Name    string
	Domain  string
	Region  string
	Service string // empty for a node without a backend server
	Slots   int
	Work    time.Duration // of one call
}

// Member is one running instance: a node and the server beside it.
type Member struct {
	Place  Place
	Node   *node.Node
	Server *backendtest.Server // nil when the place names no service

	stop context.CancelFunc // ends the announcements
}

// Fleet is a platform and its instances.
type Fleet struct {
	Store *storetest.Store

	// Bytes counts the bytes of every connection to the platform.
	Bytes peer.ByteCounter

	config   Config
	platform *http.Server
	accepted *acceptance
	address  string

	mu      sync.Mutex
	members []*Member
}

// New starts the platform.
func New(config Config) (*Fleet, error) {
	f := &Fleet{Store: storetest.New(), config: config, accepted: &acceptance{times: map[uint64]time.Time{}}}
	f.Store.Reads = rate.NewLimiter(platformReads, platformReads)
	f.Store.Writes = rate.NewLimiter(platformWrites, platformWrites)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	f.address = l.Addr().String()
	f.platform = &http.Server{Handler: f.accepted.handler(f.Store), ConnContext: f.Store.ConnContext, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug)}
	go func() { _ = f.platform.Serve(&peer.CountedListener{Listener: l, Counter: &f.Bytes}) }()
	return f, nil
}

// Address returns the platform's address.
func (f *Fleet) Address() string { return f.address }

// Members returns the instances that were added, in order.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// Settings returns the settings of a node at a place.
func (f *Fleet) Settings(p Place) *wire.Settings {
	s := proto.CloneOf(settings.Defaults())
	s.Instance = &wire.Instance{Name: p.Name, Domain: p.Domain, Region: p.Region}
	const free = "127.0.0.1:0"
	s.Listen = &wire.Listen{Caller: free, Hop: free, Peer: free, Backend: free, Operator: free}
	s.Platform.Addresses = []string{f.address}
	for _, m := range f.Members() {
		if len(s.Peers.Seeds) < 3 {
			s.Peers.Seeds = append(s.Peers.Seeds, m.Node.Addresses().Peer)
		}
	}
	if f.config.Adjust != nil {
		f.config.Adjust(s)
	}
	return s
}

// Add starts an instance.
func (f *Fleet) Add(p Place) (*Member, error) {
	n, err := node.New(f.Settings(p), telemetry.Sinks{Log: f.config.Log})
	if err != nil {
		return nil, err
	}
	n.Start()
	m := &Member{Place: p, Node: n}
	if p.Service != "" {
		if err := m.serve(); err != nil {
			n.Kill()
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return m, nil
}

// serve starts the server beside a node.
func (m *Member) serve() error {
	m.Server = backendtest.New(backendtest.Config{
		Service: m.Place.Service, Name: m.Place.Name, Slots: m.Place.Slots, Work: m.Place.Work,
		Epoch: uint64(time.Now().UnixMilli()),
	})
	if _, err := m.Server.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.Server.Announce(ctx, "http://"+m.Node.Addresses().Backend+"/announce")
	return nil
}

// Kill stops an instance at once, node and server.
func (m *Member) Kill() {
	m.Node.Kill()
	m.stopServer()
}

// Drain stops an instance gracefully.
func (m *Member) Drain(ctx context.Context) error {
	err := m.Node.Stop(ctx)
	m.stopServer()
	return err
}

func (m *Member) stopServer() {
	if m.Server != nil {
		m.stop()
		m.Server.Close()
	}
}

// Close stops everything.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, m := range f.Members() {
		wg.Go(m.Kill)
	}
	wg.Wait()
	_ = f.platform.Close()
}

// Await waits until a condition holds, and tells whether it did in time.
func Await(bound time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return true
}

// Live tells whether an instance runs.
func (m *Member) Live() bool {
	select {
	case <-m.Node.Dead():
		return false
	default:
		return true
	}
}

// Live returns the instances that run.
func (f *Fleet) Live() []*Member {
	var out []*Member
	for _, m := range f.Members() {
		if m.Live() {
			out = append(out, m)
		}
	}
	return out
}

// Converged tells whether every node that runs holds a revision.
func (f *Fleet) Converged(number uint64) bool {
	for _, m := range f.Live() {
		if m.Node.Holder.Table().Number < number {
			return false
		}
	}
	return true
}
