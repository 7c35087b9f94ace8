package peer

// This file drives membership: joining, heartbeats and the exchange of member
// tables.

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// eventCopies is how many heartbeats carry one event.
const eventCopies = 6

// MembersConfig configures a Members. Every field but Sinks is required.
type MembersConfig struct {
	Pool     *Pool
	Self     *wire.Member
	Seeds    []string // peer addresses
	Beat     time.Duration
	Suspect  time.Duration
	Exchange time.Duration
	Sinks    telemetry.Sinks
}

// Members keeps the member table by messages to other nodes.
type Members struct {
	config MembersConfig
	view   atomic.Pointer[member.View]

	mu    sync.Mutex
	table *member.Table
	queue []queued
}

// queued is an event that some more heartbeats will carry.
type queued struct {
	member *wire.Member
	left   int
}

// NewMembers returns the membership of a node that knows only itself.
func NewMembers(config MembersConfig) *Members {
	config.Sinks = config.Sinks.OrDiscard()
	table := member.NewTable(member.TableConfig{Suspect: config.Suspect, Forget: 10 * time.Minute}, config.Self, time.Now())
	m := &Members{config: config, table: table}
	m.change(func(*member.Table) {})
	return m
}

// View returns the present picture of the members.
func (m *Members) View() *member.View { return m.view.Load() }

// change runs f on the table, queues the events and renews the view.
func (m *Members) change(f func(*member.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table)
	events := m.table.Events()
	if len(events) == 0 && m.view.Load() != nil {
		return
	}
	for _, e := range events {
		m.queue = append(m.queue, queued{member: e, left: eventCopies})
	}
	m.view.Store(m.table.View())
}

// Announce replaces the servers beside the own node.
func (m *Members) Announce(servers []*wire.Server) {
	m.change(func(t *member.Table) {
		t.Update(time.Now(), func(s *wire.Member) { s.Servers = servers })
	})
}

// Evidence takes what a call learned about a node.
func (m *Members) Evidence(name string, reached bool) {
	if !reached {
		go m.verify(context.Background(), name)
	}
}

// Leave tells the others that this node is leaving.
func (m *Members) Leave(ctx context.Context) {
	m.change(func(t *member.Table) {
		t.Update(time.Now(), func(s *wire.Member) { s.State = wire.State_STATE_LEAVING })
	})
	for range 3 {
		m.beat(ctx)
	}
}

// Run joins and then keeps the table until the context ends.
func (m *Members) Run(ctx context.Context) error {
	m.join(ctx)
	go m.loop(ctx, m.config.Exchange, m.exchange)
	m.loop(ctx, m.config.Beat, func(ctx context.Context) {
		m.change(func(t *member.Table) { t.Tick(time.Now()) })
		m.beat(ctx)
	})
	return nil
}

func (m *Members) loop(ctx context.Context, interval time.Duration, step func(context.Context)) {
	for ctx.Err() == nil {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
			step(ctx)
		}
		timer.Stop()
	}
}

// join takes the members from the first seed that answers.
func (m *Members) join(ctx context.Context) {
	for ctx.Err() == nil {
		for _, seed := range m.config.Seeds {
			if seed == m.config.Self.GetPeer() {
				continue
			}
			if m.joinBy(ctx, seed) {
				return
			}
		}
		if len(m.View().Names) > 1 || m.alone() {
			return
		}
		timer := time.NewTimer(m.config.Beat)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// alone tells whether the seeds name no other node.
func (m *Members) alone() bool {
	for _, s := range m.config.Seeds {
		if s != m.config.Self.GetPeer() {
			return false
		}
	}
	return true
}

func (m *Members) joinBy(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m.config.Pool.Client(addr).Join(ctx, connect.NewRequest(&wire.JoinRequest{Member: m.View().Self}))
	if err != nil {
		return false
	}
	m.merge(resp.Msg.GetMembers())
	return true
}

func (m *Members) merge(events []*wire.Member) {
	if len(events) == 0 {
		return
	}
	m.change(func(t *member.Table) {
		for _, e := range events {
			t.Merge(e, time.Now())
		}
	})
}

// other returns a random member that is not the own node, or nil.
func (m *Members) other() *wire.Member {
	v := m.View()
	if len(v.Names) < 2 {
		return nil
	}
	for {
		if name := v.Names[rand.IntN(len(v.Names))]; name != v.Self.GetName() {
			return v.Members[name]
		}
	}
}

// take returns the events that the next heartbeat carries.
func (m *Members) take() []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.Member
	rest := m.queue[:0]
	for _, q := range m.queue {
		out = append(out, q.member)
		if q.left--; q.left > 0 {
			rest = append(rest, q)
		}
	}
	m.queue = rest
	return out
}

// beat sends one heartbeat.
func (m *Members) beat(ctx context.Context) {
	to := m.other()
	if to == nil {
		m.join(ctx)
		return
	}
	if !m.probe(ctx, to) {
		m.verify(ctx, to.GetName())
	}
}

func (m *Members) probe(ctx context.Context, to *wire.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := m.View().Self
	resp, err := m.config.Pool.Client(to.GetPeer()).Probe(ctx, connect.NewRequest(&wire.ProbeRequest{
		Name: self.GetName(), Incarnation: self.GetIncarnation(), Events: m.take(),
	}))
	if err != nil {
		return false
	}
	m.merge(resp.Msg.GetEvents())
	return resp.Msg.GetName() == to.GetName()
}

// verify probes a member once more and suspects it when that fails too.
func (m *Members) verify(ctx context.Context, name string) {
	to := m.View().Members[name]
	if to == nil || m.probe(ctx, to) {
		return
	}
	m.change(func(t *member.Table) { t.Suspect(name, time.Now()) })
}

// exchange compares tables with a random member.
func (m *Members) exchange(ctx context.Context) {
	to := m.other()
	if to == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	all := m.table.All()
	m.mu.Unlock()
	resp, err := m.config.Pool.Client(to.GetPeer()).Sync(ctx, connect.NewRequest(&wire.SyncRequest{
		Name: m.View().Self.GetName(), Members: all,
	}))
	if err == nil {
		m.merge(resp.Msg.GetMembers())
	}
}

// Probe implements the Peer service.
func (m *Members) Probe(_ context.Context, req *connect.Request[wire.ProbeRequest]) (*connect.Response[wire.ProbeResponse], error) {
	m.merge(req.Msg.GetEvents())
	self := m.View().Self
	return connect.NewResponse(&wire.ProbeResponse{
		Name: self.GetName(), Incarnation: self.GetIncarnation(), Events: m.take(),
	}), nil
}

// Sync implements the Peer service.
func (m *Members) Sync(_ context.Context, req *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	m.merge(req.Msg.GetMembers())
	m.mu.Lock()
	defer m.mu.Unlock()
	return connect.NewResponse(&wire.SyncResponse{Members: m.table.All()}), nil
}

// Join implements the Peer service.
func (m *Members) Join(_ context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	m.merge([]*wire.Member{req.Msg.GetMember()})
	m.mu.Lock()
	defer m.mu.Unlock()
	return connect.NewResponse(&wire.JoinResponse{Members: m.table.All()}), nil
}
