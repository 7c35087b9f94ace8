// Package node puts a node together: the proxy of one backend server and a
// member of the overlay that distributes the configuration.
//
// # Usage
//
//	n, err := node.New(settings, telemetry.Sinks{Log: log})
//	if err != nil {
//		return err
//	}
//	n.Start()
//	...
//	n.Stop(ctx) // graceful shutdown
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Node is one running node.
type Node struct {
	Holder    *revision.Holder
	Members   *peer.Members
	Spread    *peer.Spread
	Publisher *store.Publisher
	Reader    *store.Reader
	Gate      *backend.Gate
	Proxy     *caller.Proxy

	settings  *wire.Settings
	sinks     telemetry.Sinks
	tomb      tomb.Tomb
	listeners listeners
	platform  *Platform // nil for the product's own
	reads     confirmer
	store     Store
	poll      Store
	budget    *store.Budget
	meeting   *store.Meeting
	pool      *peer.Pool
	inbound   peer.Counter // control bytes of accepted connections
	calls     peer.Counter // bytes of calls to and from other nodes
	hops      *http.Transport
	announcer *backend.Announcer
	operator  *operator.Service
	servers   []*http.Server
	stopping  atomic.Bool
	wasReady  atomic.Bool
	news      chan struct{} // tells that a peer holds a newer one
}

// listeners are a node's open ports.
type listeners struct {
	caller, hop, peer, backend, operator, ready net.Listener
}

// Addresses are the addresses that a node listens at.
type Addresses struct {
	Caller, Hop, Peer, Backend, Operator string
}

// New opens the node's ports and puts its parts together. The node does
// nothing before Start.
func New(s *wire.Settings, sinks telemetry.Sinks) (*Node, error) { return On(nil, s, sinks) }

// On is New for a platform with a protocol of its own.
func On(p *Platform, s *wire.Settings, sinks telemetry.Sinks) (*Node, error) {
	n := &Node{settings: s, Holder: &revision.Holder{}, platform: p, news: make(chan struct{}, 1)}
	n.sinks = sinks.OrDiscard()
	n.sinks.Log = telemetry.WithRevision(n.sinks.Log, func() uint64 { return n.Holder.Table().Number }).
		With("instance", s.GetInstance().GetName(), "domain", s.GetInstance().GetDomain())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.assemble()
	return n, nil
}

func (n *Node) listen() error {
	l := n.settings.GetListen()
	for _, one := range []struct {
		name, addr string
		into       *net.Listener
	}{
		{"caller", l.GetCaller(), &n.listeners.caller},
		{"hop", l.GetHop(), &n.listeners.hop},
		{"peer", l.GetPeer(), &n.listeners.peer},
		{"backend", l.GetBackend(), &n.listeners.backend},
		{"operator", l.GetOperator(), &n.listeners.operator},
		{"ready", l.GetReady(), &n.listeners.ready},
	} {
		if one.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", one.addr)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "listen.%s %s", one.name, one.addr)
		}
		*one.into = ln
	}
	return nil
}

func (n *Node) closeListeners() {
	l := n.listeners
	for _, ln := range []net.Listener{l.caller, l.hop, l.peer, l.backend, l.operator, l.ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Addresses returns the addresses that the node listens at.
func (n *Node) Addresses() Addresses {
	l := n.listeners
	return Addresses{
		Caller: l.caller.Addr().String(), Hop: l.hop.Addr().String(), Peer: l.peer.Addr().String(),
		Backend: l.backend.Addr().String(), Operator: l.operator.Addr().String(),
	}
}

func ms(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

func (n *Node) assemble() {
	n.assemblePeers()
	n.assemblePlatform()
	n.assembleCalls()
	n.operator = operator.New(operator.Config{
		Store:  n.store, // operators' calls are few however large the fleet, so no share of its rates bounds them
		Holder: n.Holder, View: n.Members.View, Checked: n.Spread.Checked, Working: n.reads.Working,
		Report: n.Spread.Report, Metrics: n.sinks.Metrics, Whole: n.platform != nil,
	})
}

func (n *Node) assemblePeers() {
	s, addr := n.settings, n.Addresses()
	silent := ms(s.GetCalls().GetSilent())
	n.pool = peer.NewPool(peer.PoolConfig{Silent: silent, Options: []connect.ClientOption{connect.WithInterceptors(peer.Carry(carrier{n}))}})
	n.Members = peer.NewMembers(peer.MembersConfig{
		Pool: n.pool, Seeds: s.GetPeers().GetSeeds(), Beat: ms(s.GetPeers().GetBeat()),
		Suspect: ms(s.GetPeers().GetSuspect()), Joiners: int(s.GetPeers().GetJoiners()), Sinks: n.sinks.Sub("member"),
		Floor: func(name string) uint64 { return n.Spread.Floor(name) }, Raise: n.Holder.Raise,
		Meeting: n.platform != nil,
		Meet:    func(ctx context.Context) ([]*wire.Member, error) { return n.meeting.Read(ctx) },
		Self: &wire.Member{
			Name: s.GetInstance().GetName(), Domain: s.GetInstance().GetDomain(), Region: s.GetInstance().GetRegion(),
			Peer: addr.Peer, Hop: addr.Hop, Format: revision.FormatNow,
			Incarnation: uint64(time.Now().UnixMilli()), State: wire.State_STATE_ALIVE,
		},
	})
	config := peer.SpreadConfig{
		Tree: n.tree(), Pool: n.pool, Holder: n.Holder, View: n.Members.View,
		Checked: func() int64 { return n.reads.Checked() }, Alone: n.alone(), Snapshots: int(s.GetPeers().GetJoiners()), Head: n.head,
		Beat: ms(s.GetPeers().GetBeat()), Exchange: ms(s.GetPeers().GetExchange()), Sinks: n.sinks.Sub("spread"),
	}
	if n.platform != nil {
		config.Alone, config.Head, config.Patience = false, nil, patienceBeats*config.Beat/4
	}
	n.Spread = peer.NewSpread(config)
}

// carrier lets heartbeats carry the revision in force.
type carrier struct{ node *Node }

func (c carrier) Number() uint64 { return c.node.Spread.Number() }
func (c carrier) Heard(name string, number uint64) {
	c.node.Spread.Heard(name, number)
	c.node.heard()
}

// head returns the newest revision on the platform after the one given.
func (n *Node) head(ctx context.Context, after uint64) (uint64, error) {
	objs, _, err := store.ListAll(ctx, n.poll, store.KindRevision, store.RevisionName(after))
	for _, o := range objs {
		if number, err := strconv.ParseUint(o.Name, 10, 64); err == nil {
			after = max(after, number)
		}
	}
	return after, err
}

// alone tells whether the settings name no other node to join.
func (n *Node) alone() bool {
	for _, seed := range n.settings.GetPeers().GetSeeds() {
		if seed != n.Addresses().Peer {
			return false
		}
	}
	return true
}

func (n *Node) tree() spread.Tree {
	return spread.Tree{Fanout: int(n.settings.GetPeers().GetFanout()), Readers: int(n.settings.GetPlatform().GetReaders())}
}

func (n *Node) assemblePlatform() {
	s := n.settings.GetPlatform()
	n.openStore()
	n.assembleBudget()
	objects, poll := n.budget.Wrap(n.store), n.budget.Wrap(n.poll)
	points := objects
	if n.platform != nil {
		points = n.store // as for the source: a node that starts does not know the fleet yet
	}
	n.meeting = store.NewMeeting(store.MeetingConfig{
		Store: points, Self: func() *wire.Member { return n.Members.View().Self },
		Alive: func(name string) bool { return n.Members.View().Members[name] != nil }, Known: n.Members.Joined,
		Places: meetingPlaces, Sinks: n.sinks.Sub("platform"),
	})
	if n.platform != nil {
		n.assembleSource(n.platform)
		return
	}
	deliver := func(u *wire.Update) { _ = n.Spread.Accept(u) } // both check what is in force
	n.Reader = store.NewReader(store.ReaderConfig{
		Store: objects, Poll: poll, Holder: n.Holder, Deliver: deliver,
		Active: n.reader,
		Wait:   ms(s.GetWait()), Every: ms(s.GetPoll()), Sinks: n.sinks.Sub("platform"),
	})
	n.reads = n.Reader
	n.Publisher = store.NewPublisher(store.PublisherConfig{
		Store: objects, Name: n.settings.GetInstance().GetName(), Holder: n.Holder, Deliver: deliver,
		Rank: n.publisher,
		Wait: ms(s.GetWait()), Sinks: n.sinks.Sub("platform"),
		Poll: poll, Every: ms(s.GetPoll()), Snapshot: int(s.GetSnapshot()),
		Format: func() uint32 { return revision.Format(n.Members.View().Members) },
	})
}

// meetingPlaces bounds the meeting points of one failure domain: enough that
// some are alive after most of its nodes were replaced.
const meetingPlaces = 16

// openStore opens two clients of the platform's store, the second for what must
// not wait behind a watch.
func (n *Node) openStore() {
	s, sinks := n.settings.GetPlatform(), n.sinks.Sub("platform")
	if n.platform != nil {
		n.store, n.poll = n.platform.Store(sinks), n.platform.Store(sinks)
		return
	}
	client := store.New(store.ClientConfig{Addresses: s.GetAddresses(), Timeout: ms(s.GetTimeout()), Sinks: sinks})
	n.store, n.poll = client, client.Fresh()
}

// bytesPerKbit converts the rate of a link in the settings.
const bytesPerKbit = 1000 / 8

// link returns the rate of the instance's link in bytes/s; 0 when not known.
func (n *Node) link() float64 { return float64(n.settings.GetInstance().GetLink()) * bytesPerKbit }

func (n *Node) assembleCalls() {
	s := n.settings.GetCalls()
	silent := ms(s.GetSilent())
	n.hops = peer.NewTransport(silent, &n.calls)
	n.hops.HTTP2.MaxReceiveBufferPerStream = streamBuffer
	n.hops.HTTP2.SendPingTimeout = silent / 2 // a lost connection is found after 1.5 times the setting
	gate := backend.GateConfig{
		Policy: func(service string) record.Policy { return n.Holder.Table().Policy(service) },
		Silent: silent, Sinks: n.sinks.Sub("backend"), Link: n.link(), Sent: n.sent,
	}
	proxy := caller.Config{
		Table: n.Holder.Table, Ready: n.Holder.Ready, View: n.Members.View, Hop: n.hops,
		Evidence: n.Members.Evidence, Timeout: ms(s.GetTimeout()), Sinks: n.sinks.Sub("caller"),
		Service: n.settings.GetBackend().GetService(),
	}
	if shared := n.settings.GetShared(); shared.GetOn() {
		proxy.Extra = caller.Extra{Percent: int(shared.GetPercent()), Slack: int(shared.GetSlack())}
	}
	announcer := backend.AnnouncerConfig{
		Log:   n.sinks.Sub("backend").Log,
		Lease: ms(s.GetLease()), Change: n.announced, Local: backend.Hosts(n.Addresses().Hop, n.Addresses().Peer, n.Addresses().Caller),
	}
	if n.platform != nil {
		n.fit(&gate, &proxy, &announcer)
	}
	n.Gate = backend.NewGate(gate)
	proxy.Own = n.Gate
	n.Proxy = caller.New(proxy)
	n.announcer = backend.NewAnnouncer(announcer)
}

// sent returns the bytes sent to other nodes so far, calls and control messages.
func (n *Node) sent() int64 {
	_, control := n.controlBytes()
	return n.calls.Out.Load() + control
}

// announced takes a change of the backend server beside this node.
func (n *Node) announced(a *backend.Announcement) {
	n.Gate.Serve(a.Target())
	n.Members.Announce(a.Wire())
}

// Start serves the node's ports and starts its loops.
func (n *Node) Start() {
	path, rpc := peer.NewHandler(&peer.Handler{Spread: n.Spread, Members: n.Members}, n.pool.Kinds)
	mux := http.NewServeMux()
	mux.Handle(path, rpc)
	n.serve(&peer.Listener{Listener: n.listeners.peer, Counter: &n.inbound}, mux)
	n.serve(&peer.Listener{Listener: n.listeners.hop, Counter: &n.calls}, n.Gate)
	n.serve(caller.Listen(n.listeners.caller, func() record.Limits { return n.Holder.Table().Limits }), n.Proxy)
	n.serve(n.listeners.backend, n.announcements())
	n.serve(n.listeners.operator, n.operator.Handler())
	loops := []func(context.Context) error{
		n.Members.Run, n.Spread.Run, n.reads.Run, n.announcer.Run, n.meeting.Run, newState(n).run,
	}
	if n.Publisher != nil {
		loops = append(loops, n.Publisher.Run)
	}
	if n.listeners.ready != nil {
		n.serve(n.listeners.ready, n.platform.Ready(n.ready))
	}
	for _, run := range loops {
		n.tomb.Go(func() error { return run(n.tomb.Context(context.Background())) })
	}
	n.sinks.Log.Info("started", "addresses", n.Addresses())
}

// announcements serves the port that the backend server announces itself at.
func (n *Node) announcements() http.Handler {
	if n.platform != nil {
		return n.platform.Announce(n.announcer)
	}
	return n.announcer.Handler()
}

// ready tells whether callers should come to this node.
func (n *Node) ready() bool {
	ready := n.Holder.Ready() && !n.stopping.Load()
	if n.wasReady.Swap(ready) != ready {
		n.sinks.Log.Info("readiness", "ready", ready, "table", n.Holder.Table().Number, "floor", n.Holder.Floor(), "stopping", n.stopping.Load())
	}
	return ready
}

// streamBuffer bounds what one HTTP/2 stream holds for a slow reader, in bytes.
const streamBuffer = 256 << 10

func (n *Node) serve(l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, Protocols: peer.Protocols(), HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: streamBuffer},
		ErrorLog: slog.NewLogLogger(n.sinks.Log.Handler(), slog.LevelDebug),
	}
	caller.Bound(server) // nodes and operators are given as long
	n.servers = append(n.servers, server)
	n.tomb.Go(func() error {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.Addr())
		}
		return nil
	})
}

// Dead returns a channel that is closed when the node has stopped.
func (n *Node) Dead() <-chan struct{} { return n.tomb.Dead() }

// Kill stops the node at once, as a crash does.
func (n *Node) Kill() {
	n.tomb.Kill(nil)
	for _, s := range n.servers {
		_ = s.Close()
	}
	_ = n.tomb.Wait()
	n.hops.CloseIdleConnections()
	n.pool.Close()
	n.Gate.Close()
	n.store.Close()
	n.poll.Close()
}

// ControlBytes returns the control bytes sent and received so far, platform
// calls left out.
func (n *Node) ControlBytes() int64 {
	in, out := n.controlBytes()
	return in + out
}

func (n *Node) controlBytes() (in, out int64) {
	return n.inbound.In.Load() + n.pool.Bytes.In.Load(), n.inbound.Out.Load() + n.pool.Bytes.Out.Load()
}

// ControlKinds returns the bytes of control messages by kind, framing left out.
func (n *Node) ControlKinds() peer.Kinds { return n.pool.Kinds }

// PlatformCalls returns the number of calls made to the platform so far.
func (n *Node) PlatformCalls() uint64 { return n.store.Calls() + n.poll.Calls() }
