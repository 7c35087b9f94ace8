// Package feeder simulates a fleet of thousands of nodes over the peer
// protocol, so that one real node holds them all in its member table.
//
// # Usage
//
//	f, err := feeder.New(feeder.Config{Servers: 7000, Services: 190})
//	defer f.Close()
//	// start a node with f.Settings()
//	err = f.AwaitJoin(30 * time.Second)
//	go f.Run(ctx)
//	f.SetEventRate(0.1)
package feeder

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// The topology of the target fleet.
const (
	regions = 3
	domains = 7
	slots   = 10 // of each backend server
)

// Config configures a Feeder. Both fields are required.
type Config struct {
	Servers  int // simulated members, each with one backend server
	Services int // services among which the servers are divided
}

// Feeder simulates all members of a fleet but one. They share one member table.
type Feeder struct {
	config           Config
	counter          peer.ByteCounter
	client           *http.Client
	server           *http.Server
	platform         *http.Server
	platformListener net.Listener // of the platform
	joined           chan struct{}
	joinOnce         sync.Once

	mu      sync.Mutex
	table   *member.Table
	members []*wire.Member
	byAddr  map[string]string // name of each member by peer address
	node    *wire.Member      // under measurement; nil until it joins
	events  int64
	rate    float64                 // membership events/s
	queues  [senders][]*wire.Member // unsent events of each sender
}

// New opens a port for each member and one for the platform stand-in, and serves
// them in the background.
func New(config Config) (*Feeder, error) {
	f := &Feeder{config: config, joined: make(chan struct{}), byAddr: map[string]string{}}
	f.client = &http.Client{Transport: peer.NewTransport(400*time.Millisecond, &f.counter)}
	path, handler := wireconnect.NewPeerHandler(&peerService{feeder: f}, peer.HandlerOptions())
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	discard := slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	f.server = &http.Server{
		Handler: mux, Protocols: peer.ServerProtocols(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: discard,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, addrKey{}, c.LocalAddr().String())
		},
	}
	if err := f.listen(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	f.platformListener = l
	f.platform = &http.Server{Handler: storetest.New(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: discard}
	go func() { _ = f.platform.Serve(&peer.CountedListener{Listener: l, Counter: &f.counter}) }()
	return f, nil
}

// addrKey is the context key of the local address of a call's connection.
type addrKey struct{}

// listen creates the members and serves the peer protocol on a port for each.
func (f *Feeder) listen() error {
	now := time.Now()
	for i := range f.config.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrapf(err, "member %d", i)
		}
		m := f.member(i, l.Addr().String(), uint64(now.UnixMilli()))
		f.members = append(f.members, m)
		f.byAddr[m.GetPeer()] = m.GetName()
		if f.table == nil {
			f.table = member.NewTable(m, now)
		}
		f.table.Merge(m, now)
		go func() { _ = f.server.Serve(&peer.CountedListener{Listener: l, Counter: &f.counter}) }()
	}
	f.table.TakeChanges()
	return nil
}

// member returns the entry of member i, with as much data as a real one.
func (f *Feeder) member(i int, addr string, incarnation uint64) *wire.Member {
	domain := i % domains
	return &wire.Member{
		Name: fmt.Sprintf("instance-%05d", i), Peer: addr, Hop: addr, Domain: fmt.Sprintf("domain-%d", domain),
		Region: fmt.Sprintf("region-%d", domain%regions), Incarnation: incarnation, State: wire.State_STATE_ALIVE,
		Format: 1, Serial: 1, Servers: []*wire.Server{{
			Service: fmt.Sprintf("service-%03d", i%f.config.Services), Slots: slots, Epoch: incarnation,
		}},
	}
}

// Settings returns the settings of the node under measurement, in the format of
// its settings file.
func (f *Feeder) Settings() string {
	return fmt.Sprintf(`[instance]
name = node-under-measurement
domain = domain-0
region = region-0
[listen]
caller = 127.0.0.1:0
hop = 127.0.0.1:0
peer = 127.0.0.1:0
backend = 127.0.0.1:0
operator = 127.0.0.1:0
[platform]
addresses = %s
[peers]
seeds = %s
[log]
level = warn
`, f.platformListener.Addr(), f.members[0].GetPeer())
}

// AwaitJoin waits until the node has joined. It returns an error if that takes
// longer than bound.
func (f *Feeder) AwaitJoin(bound time.Duration) error {
	select {
	case <-f.joined:
		return nil
	case <-time.After(bound):
		return errors.Errorf("the node did not join within %s", bound)
	}
}

// Bytes returns the number of bytes sent to and received from the node so far.
func (f *Feeder) Bytes() int64 { return f.counter.In.Load() + f.counter.Out.Load() }

// Events returns the number of membership events generated so far.
func (f *Feeder) Events() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events
}

// Size returns the number of members, not counting the node.
func (f *Feeder) Size() int { return f.config.Servers }

// SetEventRate sets the rate of membership events per second. It is 0 at first.
func (f *Feeder) SetEventRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// Close closes every port and connection.
func (f *Feeder) Close() {
	_ = f.server.Close()
	_ = f.platform.Close()
	f.client.CloseIdleConnections()
}

// peerService implements the Peer service for all members.
type peerService struct {
	wireconnect.UnimplementedPeerHandler
	feeder *Feeder
}

// addressee returns the name of the member that a call is addressed to.
func (s *peerService) addressee(ctx context.Context) string {
	addr, _ := ctx.Value(addrKey{}).(string)
	return s.feeder.byAddr[addr]
}

// merge merges events from the node into the member table. The caller holds f.mu.
func (f *Feeder) merge(events []*wire.Member) {
	for _, m := range events {
		f.table.Merge(m, time.Now())
		if f.node != nil && m.GetName() == f.node.GetName() && !member.IsVerdict(m) {
			f.node = m
		}
	}
	f.table.TakeChanges()
}

// Probe implements the Peer service.
func (s *peerService) Probe(ctx context.Context, req *connect.Request[wire.ProbeRequest]) (*connect.Response[wire.ProbeResponse], error) {
	f := s.feeder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(req.Msg.GetEvents())
	name := s.addressee(ctx)
	return connect.NewResponse(&wire.ProbeResponse{
		Name: name, Incarnation: f.table.Incarnation(name), Digest: f.table.Digest(), Reached: true,
	}), nil
}

// Sync implements the Peer service.
func (s *peerService) Sync(_ context.Context, req *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	f := s.feeder
	f.mu.Lock()
	defer f.mu.Unlock()
	resp := f.table.HandleSync(req.Msg, time.Now())
	f.table.TakeChanges()
	return connect.NewResponse(resp), nil
}

// Join implements the Peer service.
func (s *peerService) Join(_ context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	f := s.feeder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node = req.Msg.GetMember()
	f.merge([]*wire.Member{f.node})
	f.joinOnce.Do(func() { close(f.joined) })
	return connect.NewResponse(&wire.JoinResponse{Members: f.table.AllEvents()}), nil
}

// Attach implements the Peer service.
func (s *peerService) Attach(context.Context, *connect.Request[wire.AttachRequest]) (*connect.Response[wire.AttachResponse], error) {
	return connect.NewResponse(&wire.AttachResponse{Time: time.Now().UnixMilli()}), nil
}

// Fetch implements the Peer service.
func (s *peerService) Fetch(context.Context, *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return connect.NewResponse(&wire.FetchResponse{Time: time.Now().UnixMilli()}), nil
}
