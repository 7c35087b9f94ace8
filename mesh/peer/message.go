package peer

// This file sends what the membership agent asks for.

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Bounds of the wait for a heartbeat.
const (
	minBeatTimeout = 200 * time.Millisecond
	maxBeatTimeout = time.Second
)

// joinTimeout bounds the transfer of a whole member table.
const joinTimeout = 10 * time.Second

func (m *Members) beatTimeout() time.Duration {
	return min(max(m.config.Beat, minBeatTimeout), maxBeatTimeout)
}

// fresh returns a pool that opens a connection for each message and counts
// its bytes with those of p.
func (p *Pool) fresh() *Pool {
	f := NewPool(PoolConfig{})
	t := NewTransport(maxBeatTimeout, &p.Bytes)
	t.DisableKeepAlives = true
	f.http.Transport = t
	return f
}

// send carries out one action and returns what follows from its outcome.
func (m *Members) send(ctx context.Context, act member.Action) []member.Action {
	m.config.Sinks.Scope.Counter(kindWords[act.Kind]).Inc(1)
	switch act.Kind {
	case member.Sync:
		resp := m.sendSync(ctx, act)
		return m.with(func(a *member.Agent, now time.Time) []member.Action { return a.SyncDone(now, act, resp) })
	case member.Return:
		m.sendSync(ctx, act)
		return nil
	case member.Join:
		resp := m.sendJoin(ctx, act)
		m.config.Raise(resp.GetFloor())
		return m.with(func(a *member.Agent, now time.Time) []member.Action {
			a.JoinDone(now, act, resp)
			return nil
		})
	case member.Meet:
		members := m.meet(ctx)
		return m.with(func(a *member.Agent, now time.Time) []member.Action {
			a.MeetDone(now, members)
			return nil
		})
	}
	resp := m.sendProbe(ctx, act)
	if act.Kind == member.News {
		return nil
	}
	return m.with(func(a *member.Agent, now time.Time) []member.Action { return a.ProbeDone(now, act, resp) })
}

// kindWords name the counters of the messages that a node sends.
var kindWords = map[member.Kind]string{
	member.Beat: "beat", member.Fresh: "fresh", member.Relay: "relay", member.News: "news",
	member.Sync: "sync", member.Return: "return", member.Join: "join", member.Meet: "meet",
}

func (m *Members) sendProbe(ctx context.Context, act member.Action) *wire.ProbeResponse {
	timeout, pool := m.beatTimeout(), m.config.Pool
	switch act.Kind {
	case member.Relay:
		timeout *= 2
	case member.Fresh:
		pool = m.spare
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := pool.Client(act.Addr).Probe(ctx, connect.NewRequest(act.Probe))
	if act.Kind == member.Fresh {
		pool.Forget(act.Addr)
	}
	if err != nil {
		return nil
	}
	return resp.Msg
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

func (m *Members) meet(ctx context.Context) []*wire.Member {
	if m.config.Meet == nil {
		return nil
	}
	members, err := m.config.Meet(ctx)
	if err != nil {
		m.config.Sinks.Log.Info("read meeting points", "error", err.Error())
	}
	return members
}

// Probe implements the Peer service.
func (m *Members) Probe(ctx context.Context, req *connect.Request[wire.ProbeRequest]) (*connect.Response[wire.ProbeResponse], error) {
	var resp *wire.ProbeResponse
	m.with(func(a *member.Agent, now time.Time) []member.Action {
		resp = a.Probed(now, req.Msg)
		return nil
	})
	if target := req.Msg.GetTarget(); target != "" {
		resp.Reached = m.reach(ctx, target)
	}
	return connect.NewResponse(resp), nil
}

// reach tries a member on behalf of another node.
func (m *Members) reach(ctx context.Context, name string) bool {
	v := m.View()
	to := v.Members[name]
	if to == nil {
		return false
	}
	resp := m.sendProbe(ctx, member.Action{Kind: member.Fresh, Addr: to.GetPeer(), Probe: &wire.ProbeRequest{
		Name: v.Self.GetName(), Incarnation: v.Self.GetIncarnation(),
	}})
	return resp.GetName() == name
}

// Sync implements the Peer service.
func (m *Members) Sync(_ context.Context, req *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	var resp *wire.SyncResponse
	m.with(func(a *member.Agent, now time.Time) []member.Action {
		resp = a.Synced(now, req.Msg)
		return nil
	})
	return connect.NewResponse(resp), nil
}

// Join implements the Peer service.
func (m *Members) Join(_ context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	var resp *wire.JoinResponse
	m.with(func(a *member.Agent, now time.Time) []member.Action {
		resp = a.Joins(now, req.Msg)
		return nil
	})
	return connect.NewResponse(resp), nil
}
