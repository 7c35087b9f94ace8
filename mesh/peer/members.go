package peer

// This file drives membership: it calls the agent that decides, and publishes
// the view that calls read.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// MembersConfig configures a Members. Pool, Self, Beat and Suspect are
// required.
type MembersConfig struct {
	Pool    *Pool
	Self    *wire.Member
	Seeds   []string // peer addresses
	Beat    time.Duration
	Suspect time.Duration
	Joiners int                                               // joiners served in a second
	Floor   func(name string) uint64                          // newest revision that an instance was seen to report
	Raise   func(floor uint64)                                // takes the floor that peers remember
	Meet    func(ctx context.Context) ([]*wire.Member, error) // reads the meeting points on the platform
	Meeting bool                                              // every node has a meeting point, so that seeds are not needed
	Sinks   telemetry.Sinks
}

// Members keeps the member table by messages to other nodes.
type Members struct {
	config MembersConfig
	view   atomic.Pointer[member.View]
	stale  atomic.Pointer[member.View] // what a node that was paused may act on
	ticked atomic.Int64                // when the agent was last called, Unix ns
	pause  time.Duration
	joined atomic.Bool
	size   atomic.Int64
	spare  *Pool // opens a connection for each message
	tomb   tomb.Tomb

	mu      sync.Mutex
	agent   *member.Agent
	running bool
}

// NewMembers returns the membership of a node that knows only itself.
func NewMembers(config MembersConfig) *Members {
	config.Sinks = config.Sinks.OrDiscard()
	if config.Raise == nil {
		config.Raise = func(uint64) {}
	}
	m := &Members{config: config, spare: config.Pool.fresh()}
	m.agent = member.New(member.Config{
		Beat: config.Beat, Suspect: config.Suspect, Seeds: config.Seeds, Joiners: config.Joiners, Floor: config.Floor, Meet: config.Meet != nil && config.Meeting,
	}, config.Self, time.Now())
	m.pause = m.agent.Pause()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
	return m
}

// View returns the present picture of the members. In a process that was
// stopped for long, it offers the own server only until the node has caught
// up.
func (m *Members) View() *member.View {
	if time.Since(time.Unix(0, m.ticked.Load())) < m.pause {
		return m.view.Load()
	}
	return m.stale.Load()
}

// Joined tells whether the node has found the others and agrees with one of
// them, or knows that there are none to be found, and is current. A node that
// is not takes no duty for the fleet.
func (m *Members) Joined() bool {
	return m.joined.Load() && time.Since(time.Unix(0, m.ticked.Load())) < m.pause
}

// Size returns the number of nodes that this one reckons with when it shares
// something with all.
func (m *Members) Size() int { return int(m.size.Load()) }

// with calls the agent and publishes what came of it. It returns the actions.
func (m *Members) with(f func(a *member.Agent, now time.Time) []member.Action) []member.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := f(m.agent, time.Now())
	m.publish()
	return out
}

// publish lets readers see the agent's view. The caller holds m.mu.
func (m *Members) publish() {
	v := m.agent.View()
	if old := m.view.Load(); v != old {
		m.logChange(old, v)
		m.stale.Store(v.Outdated())
		m.view.Store(v)
	}
	m.joined.Store(m.agent.Joined())
	m.size.Store(int64(m.agent.Size(time.Now())))
	m.ticked.Store(time.Now().UnixNano())
}

// logChange writes which members the node believes in from now on.
func (m *Members) logChange(old, v *member.View) {
	if old == nil {
		return
	}
	for _, name := range v.Names {
		now, before := v.Members[name], old.Members[name]
		switch {
		case before == nil:
			m.config.Sinks.Log.Info("member found", "member", name, "state", now.GetState().String(), "incarnation", now.GetIncarnation(), "members", len(v.Names))
		case before != now && before.GetState() != now.GetState():
			m.config.Sinks.Log.Info("member changed", "member", name, "state", now.GetState().String(), "incarnation", now.GetIncarnation(), "members", len(v.Names))
		}
	}
	for _, name := range old.Names {
		if v.Members[name] == nil {
			m.config.Sinks.Log.Info("member lost", "member", name, "members", len(v.Names))
		}
	}
}

// Announce replaces the servers beside the own node.
func (m *Members) Announce(servers []*wire.Server) {
	m.start(m.with(func(a *member.Agent, now time.Time) []member.Action { return a.Announce(now, servers) }))
}

// Evidence takes what a call learned about a node.
func (m *Members) Evidence(name string, reached bool) {
	m.start(m.with(func(a *member.Agent, now time.Time) []member.Action { return a.Evidence(now, name, reached) }))
}

// Leave tells the others that this node is leaving. It returns when the
// neighbours have heard of it, or the context ends.
func (m *Members) Leave(ctx context.Context) {
	var wg sync.WaitGroup
	for _, act := range m.with((*member.Agent).Leave) {
		wg.Go(func() { m.send(ctx, act) })
	}
	wg.Wait()
}

// Run joins and then keeps the table until the context ends.
func (m *Members) Run(ctx context.Context) error {
	m.mu.Lock()
	m.running = true
	m.tomb.Go(func() error { return m.loop(m.tomb.Context(ctx)) })
	m.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-m.tomb.Dying():
	}
	m.mu.Lock()
	m.running = false
	m.mu.Unlock()
	m.tomb.Kill(nil)
	err := m.tomb.Wait()
	m.spare.Close()
	return err
}

func (m *Members) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.agent.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.start(m.with((*member.Agent).Tick))
		}
	}
}

// start carries out actions in goroutines of their own while the node runs.
func (m *Members) start(actions []member.Action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return
	}
	for _, act := range actions {
		m.tomb.Go(func() error {
			m.start(m.send(m.tomb.Context(context.Background()), act))
			return nil
		})
	}
}
