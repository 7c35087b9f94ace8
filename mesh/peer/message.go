package peer

// This file sends and serves the messages of the membership protocol.

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Bounds of the timeout of a heartbeat.
const (
	minHeartbeatTimeout = 200 * time.Millisecond
	maxHeartbeatTimeout = time.Second
)

// joinTimeout bounds a join, which transfers the whole member table.
const joinTimeout = 10 * time.Second

func (m *Members) heartbeatTimeout() time.Duration {
	return min(max(m.config.HeartbeatInterval, minHeartbeatTimeout), maxHeartbeatTimeout)
}

// withoutKeepAlives returns a pool that opens a connection for each request and
// counts its bytes with those of p.
func (p *Pool) withoutKeepAlives() *Pool {
	fresh := NewPool(PoolConfig{})
	transport := NewTransport(maxHeartbeatTimeout, &p.ConnCounter)
	transport.DisableKeepAlives = true
	fresh.httpClient.Transport = transport
	return fresh
}

// send carries out one action and returns the actions that follow from its result.
func (m *Members) send(ctx context.Context, act member.Action) []member.Action {
	m.config.Sinks.Scope.Counter(actionCounters[act.Kind]).Inc(1)
	switch act.Kind {
	case member.Sync:
		resp := m.sendSync(ctx, act)
		return m.update(func(a *member.Agent, now time.Time) []member.Action { return a.SyncDone(now, act, resp) })
	case member.SyncPush:
		m.sendSync(ctx, act)
		return nil
	case member.Join:
		resp := m.sendJoin(ctx, act)
		if resp.GetLater() == 0 {
			m.recordHeard(act, resp != nil)
		}
		m.config.RaiseFloor(resp.GetFloor())
		return m.update(func(a *member.Agent, now time.Time) []member.Action {
			a.JoinDone(now, act, resp)
			return nil
		})
	case member.Discover, member.DiscoverFleets:
		members := m.readMeetingPoints(ctx, act.Kind == member.DiscoverFleets)
		return m.update(func(a *member.Agent, now time.Time) []member.Action {
			a.DiscoverDone(now, members)
			return nil
		})
	}
	resp := m.sendProbe(ctx, act)
	m.recordHeard(act, resp != nil)
	if act.Kind == member.Gossip {
		return nil
	}
	return m.update(func(a *member.Agent, now time.Time) []member.Action { return a.ProbeDone(now, act, resp) })
}

// actionCounters holds the name of the counter of each kind of action.
var actionCounters = map[member.ActionKind]string{
	member.Heartbeat: "beat", member.FreshProbe: "fresh", member.IndirectProbe: "relay", member.Gossip: "news",
	member.Sync: "sync", member.SyncPush: "return", member.Join: "join", member.Discover: "meet", member.DiscoverFleets: "meetagain",
}

func (m *Members) sendProbe(ctx context.Context, act member.Action) *wire.ProbeResponse {
	timeout, pool := m.heartbeatTimeout(), m.config.Pool
	switch act.Kind {
	case member.IndirectProbe:
		timeout *= 2
	case member.FreshProbe:
		pool = m.freshPool
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := pool.Client(act.Addr).Probe(ctx, connect.NewRequest(act.Probe))
	if act.Kind == member.FreshProbe {
		pool.Forget(act.Addr)
	}
	if err != nil {
		return nil
	}
	return resp.Msg
}

// SendEvidence sends what the gate of this node counted to the leader of the roll-out, and
// returns the answer, or nil.
func (m *Members) SendEvidence(ctx context.Context, addr string, evidence *wire.RolloutEvidence) *wire.RolloutNews {
	self := m.View().Self
	resp := m.sendProbe(ctx, member.Action{Kind: member.Gossip, Addr: addr, Probe: &wire.ProbeRequest{
		Name: self.GetName(), Incarnation: self.GetIncarnation(), Rollouts: &wire.RolloutNews{Evidence: evidence},
	}})
	return resp.GetRollouts()
}

func (m *Members) sendSync(ctx context.Context, act member.Action) *wire.SyncResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m.config.Pool.Client(act.Addr).Sync(ctx, connect.NewRequest(act.Sync))
	if err != nil {
		return nil
	}
	return resp.Msg
}

func (m *Members) sendJoin(ctx context.Context, act member.Action) *wire.JoinResponse {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp, err := m.config.Pool.Client(act.Addr).Join(ctx, connect.NewRequest(act.Join))
	if err != nil {
		return nil
	}
	return resp.Msg
}

// readMeetingPoints returns the members that the meeting points name, or nil if they cannot
// be read.
func (m *Members) readMeetingPoints(ctx context.Context, stale bool) []*wire.Member {
	if m.config.ReadMeetingPoints == nil {
		return nil
	}
	members, err := m.config.ReadMeetingPoints(ctx, stale)
	if err != nil {
		m.config.Sinks.Log.Info("reading meeting points failed", "error", err.Error())
		return nil
	}
	if members == nil {
		members = []*wire.Member{} // read, and there are none
	}
	return members
}

// Probe implements the Peer service. A request that names a target is an indirect
// probe: the response states whether this node reached the target.
func (m *Members) Probe(ctx context.Context, req *connect.Request[wire.ProbeRequest]) (*connect.Response[wire.ProbeResponse], error) {
	var resp *wire.ProbeResponse
	m.update(func(a *member.Agent, now time.Time) []member.Action {
		resp = a.HandleProbe(now, req.Msg)
		return nil
	})
	if target := req.Msg.GetTarget(); target != "" {
		resp.Reached = m.probeIndirect(ctx, target)
	}
	if e := req.Msg.GetRollouts().GetEvidence(); e != nil && m.config.TakeEvidence != nil {
		resp.Rollouts = m.config.TakeEvidence(req.Msg.GetName(), req.Msg.GetIncarnation(), e)
	}
	return connect.NewResponse(resp), nil
}

// probeIndirect probes a member on behalf of another node, on a new connection.
func (m *Members) probeIndirect(ctx context.Context, name string) bool {
	v := m.View()
	target := v.Members[name]
	if target == nil {
		return false
	}
	resp := m.sendProbe(ctx, member.Action{Kind: member.FreshProbe, Addr: target.GetPeer(), Probe: &wire.ProbeRequest{
		Name: v.Self.GetName(), Incarnation: v.Self.GetIncarnation(),
	}})
	return resp.GetName() == name
}

// Sync implements the Peer service.
func (m *Members) Sync(_ context.Context, req *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	var resp *wire.SyncResponse
	m.update(func(a *member.Agent, now time.Time) []member.Action {
		resp = a.HandleSync(now, req.Msg)
		return nil
	})
	return connect.NewResponse(resp), nil
}

// Join implements the Peer service.
func (m *Members) Join(_ context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	var resp *wire.JoinResponse
	m.update(func(a *member.Agent, now time.Time) []member.Action {
		resp = a.HandleJoin(now, req.Msg)
		return nil
	})
	return connect.NewResponse(resp), nil
}
