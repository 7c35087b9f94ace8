package peer

// This file runs the membership protocol: it passes events to the agent, carries
// out the resulting actions and publishes an immutable view of the members.

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

// MembersConfig configures a Members. Pool, Self and the two durations are
// required.
type MembersConfig struct {
	Pool              *Pool
	Self              *wire.Member
	Seeds             []string // peer addresses
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration                                                 // how long a suspicion may be refuted
	JoinsPerSecond    int                                                           // join requests served per second
	ReportedRevision  func(name string) uint64                                      // newest revision that an instance is known to have reported
	RaiseFloor        func(floor uint64)                                            // raises the own floor to the revision that peers remember of this instance
	ReadMeetingPoints func(ctx context.Context, stale bool) ([]*wire.Member, error) // reads the meeting points on the platform; stale means that they may be seconds old
	HasMeetingPoints  bool                                                          // every node writes a meeting point, so seeds are not needed
	Suspicions        member.Suspicions                                             // of requests; nil for none
	Rollouts          member.Rollouts                                               // nil for none
	// TakeEvidence takes what the gate of a node counted for the roll-out of its service, and
	// returns the answer; nil if roll-outs are off.
	TakeEvidence func(name string, incarnation uint64, evidence *wire.RolloutEvidence) *wire.RolloutNews
	Sinks        telemetry.Sinks
}

// Members maintains the member table by exchanging messages with other nodes. It
// may be used from several goroutines.
type Members struct {
	config         MembersConfig
	view           atomic.Pointer[member.View]
	staleView      atomic.Pointer[member.View] // used after a pause of the process
	lastRun        atomic.Int64                // when the agent last ran, Unix ns
	pauseThreshold time.Duration               // silence of the agent after which the view is stale
	joined         atomic.Bool
	estimatedSize  atomic.Int64
	lastDeparture  atomic.Pointer[wire.Departure] // nil for none
	met            atomic.Bool
	freshPool      *Pool // opens a connection for each request
	tomb           tomb.Tomb

	mu        sync.Mutex
	agent     *member.Agent
	running   bool
	departure recordedDeparture
}

// NewMembers returns the membership of a node that knows no other node yet.
func NewMembers(config MembersConfig) *Members {
	config.Sinks = config.Sinks.WithDefaults()
	if config.RaiseFloor == nil {
		config.RaiseFloor = func(uint64) {}
	}
	m := &Members{config: config, freshPool: config.Pool.withoutKeepAlives()}
	m.agent = member.New(member.Config{
		Heartbeat: config.HeartbeatInterval, SuspicionTimeout: config.SuspicionTimeout, Seeds: config.Seeds, JoinsPerSecond: config.JoinsPerSecond, RevisionFloor: config.ReportedRevision, HasMeetingPoints: config.ReadMeetingPoints != nil && config.HasMeetingPoints, Suspicions: config.Suspicions, Rollouts: config.Rollouts,
	}, config.Self, time.Now())
	m.pauseThreshold = m.agent.PauseThreshold()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
	return m
}

// View returns the current view of the members. After the process was paused for
// long, the view offers only the backend server of this node until the node has
// caught up.
func (m *Members) View() *member.View {
	if time.Since(time.Unix(0, m.lastRun.Load())) < m.pauseThreshold {
		return m.view.Load()
	}
	return m.staleView.Load()
}

// Joined reports whether the node has found the other nodes and agrees with one
// of them, or knows that there are none, and its view is not stale. Until then
// the node neither reads the platform nor publishes for the fleet.
func (m *Members) Joined() bool {
	return m.joined.Load() && time.Since(time.Unix(0, m.lastRun.Load())) < m.pauseThreshold
}

// EstimatedSize returns the estimated number of nodes, used to divide shared
// rates among them.
func (m *Members) EstimatedSize() int { return int(m.estimatedSize.Load()) }

// update runs an event on the agent, publishes the resulting state and returns
// the actions to carry out.
func (m *Members) update(event func(a *member.Agent, now time.Time) []member.Action) []member.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions := event(m.agent, time.Now())
	m.publish()
	return actions
}

// publish makes the agent's state visible to readers. The caller holds m.mu.
func (m *Members) publish() {
	v := m.agent.View()
	if old := m.view.Load(); v != old {
		m.logChanges(old, v)
		m.staleView.Store(v.StaleCopy())
		m.view.Store(v)
	}
	m.lastDeparture.Store(m.agent.LastDeparture())
	m.met.Store(m.agent.Met())
	m.joined.Store(m.agent.Joined())
	m.estimatedSize.Store(int64(m.agent.EstimatedSize(time.Now())))
	m.lastRun.Store(time.Now().UnixNano())
}

// logChanges logs the differences between two views.
func (m *Members) logChanges(old, v *member.View) {
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

// Announce replaces the backend servers of this node and tells its neighbours.
func (m *Members) Announce(servers []*wire.Server) {
	m.start(m.update(func(a *member.Agent, now time.Time) []member.Action { return a.Announce(now, servers) }))
}

// RecordCallResult records whether a call reached a node.
func (m *Members) RecordCallResult(name string, reached bool) {
	m.start(m.update(func(a *member.Agent, now time.Time) []member.Action { return a.RecordCallResult(now, name, reached) }))
}

// Leave tells the neighbours that this node is leaving. It returns when all
// messages were answered or have failed, or when the context ends.
func (m *Members) Leave(ctx context.Context) {
	var wg sync.WaitGroup
	for _, act := range m.update((*member.Agent).Leave) {
		wg.Go(func() { m.send(ctx, act) })
	}
	wg.Wait()
}

// Run joins the fleet and maintains the member table until the context ends. It
// returns after all goroutines that it started.
func (m *Members) Run(ctx context.Context) error {
	m.mu.Lock()
	m.running = true
	// The loop outlives ctx until running is false: start must not meet a dead tomb.
	m.tomb.Go(func() error { return m.loop(m.tomb.Context(context.Background())) })
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.running = false
	m.mu.Unlock()
	m.tomb.Kill(nil)
	err := m.tomb.Wait()
	m.freshPool.Close()
	return err
}

func (m *Members) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.agent.Interval())
	defer ticker.Stop()
	var news, rollouts <-chan struct{}
	if m.config.Suspicions != nil {
		news = m.config.Suspicions.NewsReady()
	}
	if m.config.Rollouts != nil {
		rollouts = m.config.Rollouts.NewsReady()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.start(m.update((*member.Agent).Tick))
		case <-news:
			m.start(m.update((*member.Agent).PassOn))
		case <-rollouts:
			m.start(m.update((*member.Agent).PassOn))
		}
	}
}

// start carries out each action, and those that follow from it, in a goroutine of
// its own. It does nothing unless Run is active.
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
