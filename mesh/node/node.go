// Package node assembles a node: the proxy beside one backend server, which is
// also a member of the overlay that distributes the configuration.
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
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/connlimit"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/quota"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Node is a node of the mesh. New sets its exported fields; Publisher and Reader are
// nil if the platform has its own protocol.
type Node struct {
	Holder      *revision.Holder
	Members     *peer.Members
	Distributor *peer.Distributor
	Publisher   *store.Publisher
	Reader      *store.Reader
	Gate        *backend.Gate
	Proxy       *caller.Proxy

	settings       *wire.Settings
	sinks          telemetry.Sinks
	tomb           tomb.Tomb
	listeners      listeners
	platform       *Platform // nil for the built-in platform protocol
	platformReader platformReader
	source         *store.Source // the platformReader if the configuration is one document, else nil
	store          Store
	pollStore      Store
	eras           *store.Eras
	budget         *store.Budget
	meetingPoints  *store.MeetingPoints
	condemned      *store.Condemned
	suspects       *call.Suspects
	quotas         *quota.Limiter
	rollouts       rolloutParts
	pool           *peer.Pool
	inboundBytes   peer.ByteCounter // control bytes of accepted connections
	callBytes      peer.ByteCounter // bytes of calls to and from other nodes
	hopTransport   hop.Transport
	announcer      *backend.Announcer
	operator       *operator.Service
	servers        []*http.Server
	guards         [connlimit.Ports]*caller.Guard // nil if the settings name no limits
	stopping       atomic.Bool
	wasReady       atomic.Bool
	peerAhead      chan struct{} // signals that a peer holds a newer configuration
}

// listeners holds the listeners of a node's ports. The ready listener is nil if the
// settings name no address for it.
type listeners struct {
	caller, hop, peer, backend, operator, ready net.Listener
}

// Addresses holds the addresses on which a node listens.
type Addresses struct {
	Caller, Hop, Peer, Backend, Operator string
}

// New opens the ports of a node and assembles its parts. The node does nothing
// before Start.
func New(s *wire.Settings, sinks telemetry.Sinks) (*Node, error) {
	return NewWithPlatform(nil, s, sinks)
}

// NewWithPlatform is like New, for a platform with its own protocol. A nil
// platform means the built-in protocol.
func NewWithPlatform(p *Platform, s *wire.Settings, sinks telemetry.Sinks) (*Node, error) {
	n := &Node{settings: s, Holder: &revision.Holder{}, platform: p, peerAhead: make(chan struct{}, 1), suspects: call.NewSuspects(time.Now()), quotas: quota.New(time.Now(), ms(s.GetPeers().GetBeat()), spread.NameHash(s.GetInstance().GetName()))}
	n.assembleRolloutState()
	n.sinks = sinks.WithDefaults()
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
	for _, port := range []struct {
		name, addr string
		dst        *net.Listener
	}{
		{"caller", l.GetCaller(), &n.listeners.caller},
		{"hop", l.GetHop(), &n.listeners.hop},
		{"peer", l.GetPeer(), &n.listeners.peer},
		{"backend", l.GetBackend(), &n.listeners.backend},
		{"operator", l.GetOperator(), &n.listeners.operator},
		{"ready", l.GetReady(), &n.listeners.ready},
	} {
		if port.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", port.addr)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "listen.%s %s", port.name, port.addr)
		}
		*port.dst = ln
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

// Addresses returns the addresses on which the node listens.
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
	n.openAccounts()
	config := operator.Config{
		Store:  n.store, // outside the budget, since operators make few calls whatever the size of the fleet
		Holder: n.Holder, View: n.Members.View, ConfirmedAt: n.Distributor.ConfirmedAt, PlatformAnswers: n.platformReader.Reachable,
		FleetReport: n.Distributor.FleetReport, Metrics: n.sinks.Metrics, Eras: n.eras, ServerLimit: n.Gate.LimitState,
	}
	if n.source != nil {
		config.DecodeDocument, config.RefusedDocument = n.decodeDocument, n.source.Refused
	}
	if n.rollouts.leader != nil {
		config.Rollouts = n.rollouts.leader.Progress
	}
	n.operator = operator.New(config)
}

func (n *Node) assemblePeers() {
	s, addr := n.settings, n.Addresses()
	silent := ms(s.GetCalls().GetSilent())
	n.pool = peer.NewPool(peer.PoolConfig{PingTimeout: silent, ClientOptions: []connect.ClientOption{connect.WithInterceptors(peer.RevisionInterceptor(revisionTracker{n}))}})
	members := peer.MembersConfig{
		Pool: n.pool, Seeds: s.GetPeers().GetSeeds(), HeartbeatInterval: ms(s.GetPeers().GetBeat()),
		SuspicionTimeout: ms(s.GetPeers().GetSuspect()), JoinsPerSecond: int(s.GetPeers().GetJoiners()), Sinks: n.sinks.ForPart("member"), Suspicions: call.SuspectNews{Suspects: n.suspects},
		ReportedRevision: func(name string) uint64 { return n.Distributor.ReportedRevision(name) }, RaiseFloor: n.Holder.RaiseFloor,
		HasMeetingPoints: n.platform != nil,
		ReadMeetingPoints: func(ctx context.Context, stale bool) ([]*wire.Member, error) {
			if stale {
				return n.meetingPoints.ReadStale(ctx)
			}
			return n.meetingPoints.ReadShared(ctx)
		},
		Self: &wire.Member{
			Name: s.GetInstance().GetName(), Domain: s.GetInstance().GetDomain(), Region: s.GetInstance().GetRegion(),
			Peer: addr.Peer, Hop: addr.Hop, Format: revision.NewestFormat,
			Incarnation: uint64(time.Now().UnixMilli()), State: wire.State_STATE_ALIVE,
		},
	}
	if n.rollouts.board != nil {
		members.Rollouts, members.TakeEvidence = n.rollouts.board, n.takeEvidence
	}
	n.Members = peer.NewMembers(members)
	config := peer.DistributorConfig{
		Tree: n.tree(), Pool: n.pool, Holder: n.Holder, View: n.Members.View,
		ConfirmedAt: func() int64 { return n.platformReader.ConfirmedAt() }, Standalone: n.standalone(), MaxSnapshots: int(s.GetPeers().GetJoiners()), ReadHead: n.readHead,
		HeartbeatInterval: ms(s.GetPeers().GetBeat()), ExchangeInterval: ms(s.GetPeers().GetExchange()), Sinks: n.sinks.ForPart("spread"),
		Usage: n.quotas,
	}
	if n.platform != nil {
		config.Standalone, config.ReadHead, config.PushDelay = false, nil, pushDelayQuarterBeats*config.HeartbeatInterval/4
		config.KnownNodes = func() []*wire.Member { return n.meetingPoints.Listed() }
		config.PlatformAnswers = func() bool { return n.platformReader.Reachable() }
	}
	n.Distributor = peer.NewDistributor(config)
}

// revisionTracker exchanges revision numbers on probes. It looks up the
// distributor on each call, since the pool is created first.
type revisionTracker struct{ node *Node }

func (t revisionTracker) Revision() uint64 { return t.node.Distributor.Revision() }
func (t revisionTracker) RecordRevision(name string, number uint64) {
	t.node.Distributor.RecordRevision(name, number)
	t.node.signalIfBehind()
}

// readHead returns the newest revision on the platform, or the given one if there
// is none after it.
func (n *Node) readHead(ctx context.Context, after uint64) (uint64, error) {
	objs, _, err := store.ListAll(ctx, n.pollStore, store.KindRevision, store.RevisionName(after))
	for _, o := range objs {
		if number, err := strconv.ParseUint(o.Name, 10, 64); err == nil {
			after = max(after, number)
		}
	}
	return after, err
}

// standalone reports whether the settings name no other node to join.
func (n *Node) standalone() bool {
	for _, seed := range n.settings.GetPeers().GetSeeds() {
		if seed != n.Addresses().Peer {
			return false
		}
	}
	return true
}

func (n *Node) tree() spread.Tree {
	return spread.Tree{Fanout: int(n.settings.GetPeers().GetFanout()), ReadersPerDomain: int(n.settings.GetPlatform().GetReaders())}
}

func (n *Node) assemblePlatform() {
	s := n.settings.GetPlatform()
	n.openStore()
	n.assembleBudget()
	objects, pollObjects := n.budget.Wrap(n.store), n.budget.Wrap(n.pollStore)
	meetingStore := objects
	if n.platform != nil {
		meetingStore = n.store // outside the budget like the source: a starting node does not know the fleet yet
	}
	looker, _ := n.pollStore.(store.Looker) // the built-in protocol has one era and no such look
	n.meetingPoints = store.NewMeetingPoints(store.MeetingPointsConfig{
		Store: meetingStore, Self: func() *wire.Member { return n.Members.View().Self },
		IsAlive: func(name string) bool { return n.Members.View().Members[name] != nil }, MembersKnown: n.Members.Joined,
		PointsPerDomain: maxMeetingPoints, Eras: n.eras, Looker: looker, Reachable: func() bool { return n.platformReader.Reachable() }, Sinks: n.sinks.ForPart("platform"),
	})
	n.condemned = store.NewCondemned(store.CondemnedConfig{
		Store: meetingStore, Suspects: n.suspects, IsFirst: n.isFirstAlive, Sinks: n.sinks.ForPart("platform"),
	})
	n.assembleRollouts()
	if n.platform != nil {
		n.assembleSource(n.platform)
		return
	}
	deliver := func(u *wire.Update) { _ = n.Distributor.ApplyPlatformUpdate(u) } // Reader and Publisher check the table in force afterwards
	n.Reader = store.NewReader(store.ReaderConfig{
		Store: objects, PollStore: pollObjects, Holder: n.Holder, Deliver: deliver,
		Active:       n.isReader,
		WatchTimeout: ms(s.GetWait()), PollInterval: ms(s.GetPoll()), Sinks: n.sinks.ForPart("platform"),
	})
	n.platformReader = n.Reader
	n.Publisher = store.NewPublisher(store.PublisherConfig{
		Store: objects, Name: n.settings.GetInstance().GetName(), Holder: n.Holder, Deliver: deliver,
		Rank:         n.publisherRank,
		WatchTimeout: ms(s.GetWait()), Sinks: n.sinks.ForPart("platform"),
		PollStore: pollObjects, PollInterval: ms(s.GetPoll()), SnapshotInterval: int(s.GetSnapshot()),
		CommonFormat: func() uint32 { return revision.CommonFormat(n.Members.View().Members) },
	})
}

// maxMeetingPoints is the number of meeting points of one failure domain, so that
// some still name live nodes after most nodes of the domain were replaced.
const maxMeetingPoints = 16

// openStore opens two clients of the platform's store. The second has its own
// connections for calls that must not wait behind a watch.
func (n *Node) openStore() {
	s, sinks := n.settings.GetPlatform(), n.sinks.ForPart("platform")
	n.eras = store.NewEras(sinks)
	if n.platform != nil {
		n.store, n.pollStore = n.platform.OpenStore(sinks, n.eras), n.platform.OpenStore(sinks, n.eras)
		return
	}
	client := store.New(store.ClientConfig{Addresses: s.GetAddresses(), Timeout: ms(s.GetTimeout()), Sinks: sinks})
	n.store, n.pollStore = client, client.Clone()
}

// Start serves the node's ports and starts its background loops.
func (n *Node) Start() {
	path, rpc := peer.NewHandler(&peer.Handler{Distributor: n.Distributor, Members: n.Members}, n.pool.MessageCounters)
	mux := http.NewServeMux()
	mux.Handle(path, rpc)
	n.serve(connlimit.PortPeer, n.listeners.peer, func(l net.Listener) net.Listener { return &peer.CountedListener{Listener: l, Counter: &n.inboundBytes} }, mux)
	n.serve(connlimit.PortHop, n.listeners.hop, func(l net.Listener) net.Listener { return &peer.CountedListener{Listener: l, Counter: &n.callBytes} }, n.Gate)
	n.serve(connlimit.PortCaller, n.listeners.caller, func(l net.Listener) net.Listener {
		return caller.NewListener(l, func() record.CallerLimits { return n.Holder.Table().Limits })
	}, n.Proxy)
	n.serve(connlimit.PortBackend, n.listeners.backend, nil, n.announceHandler())
	n.serve(connlimit.PortOperator, n.listeners.operator, nil, n.operator.Handler())
	loops := []func(context.Context) error{
		n.Members.Run, n.Distributor.Run, n.platformReader.Run, n.announcer.Run, n.meetingPoints.Run, n.condemned.Run,
		newStateReporter(n).run, newLagMeter(n.sinks.Scope.SubScope("node")).run, n.guardPorts,
	}
	if n.Publisher != nil {
		loops = append(loops, n.Publisher.Run)
	}
	if n.rollouts.duties != nil {
		loops = append(loops, n.rollouts.duties.Run, n.runRollouts)
	}
	if n.listeners.ready != nil {
		n.serve(connlimit.PortReady, n.listeners.ready, nil, n.platform.ReadyHandler(n.ready))
	}
	for _, run := range loops {
		n.tomb.Go(func() error { return run(n.tomb.Context(context.Background())) })
	}
	n.sinks.Log.Info("started", "addresses", n.Addresses())
}

// announceHandler returns the handler of the port for announcements of the backend
// server.
func (n *Node) announceHandler() http.Handler {
	if n.platform != nil {
		return n.platform.AnnounceHandler(n.announcer)
	}
	return n.announcer.Handler()
}

// ready reports whether callers should use this node, and logs each change.
func (n *Node) ready() bool {
	ready := n.Holder.Ready() && !n.stopping.Load()
	if n.wasReady.Swap(ready) != ready {
		n.sinks.Log.Info("readiness", "ready", ready, "table", n.Holder.Table().Number, "floor", n.Holder.Floor(), "stopping", n.stopping.Load())
	}
	return ready
}

// Dead returns a channel that is closed when the node has stopped.
func (n *Node) Dead() <-chan struct{} { return n.tomb.Dead() }

// Kill stops the node immediately, as a crash does: it neither drains calls nor
// tells its peers. It returns when the background loops have ended.
func (n *Node) Kill() {
	n.tomb.Kill(nil)
	for _, s := range n.servers {
		_ = s.Close()
	}
	_ = n.tomb.Wait()
	n.hopTransport.CloseIdleConnections()
	n.pool.Close()
	n.Gate.Close()
	n.store.Close()
	n.pollStore.Close()
	n.rollouts.close()
}

// ControlBytes returns the bytes of control traffic sent and received so far,
// without calls to the platform.
func (n *Node) ControlBytes() int64 {
	in, out := n.controlBytes()
	return in + out
}

func (n *Node) controlBytes() (in, out int64) {
	return n.inboundBytes.In.Load() + n.pool.ConnCounter.In.Load(), n.inboundBytes.Out.Load() + n.pool.ConnCounter.Out.Load()
}

// ControlMessageCounters returns the bytes of control messages by kind, without
// framing.
func (n *Node) ControlMessageCounters() peer.MessageCounters { return n.pool.MessageCounters }

// PlatformCalls returns the number of calls made to the platform so far.
func (n *Node) PlatformCalls() uint64 {
	return n.store.Calls() + n.pollStore.Calls() + n.rollouts.calls()
}
