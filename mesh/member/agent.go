package member

// This file defines the agent, which combines the failure detector, gossip,
// anti-entropy and joining of one node.

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Intervals and lifetimes.
const (
	beatTicks              = 10                     // ticks in a heartbeat interval
	newsPerHeartbeat       = 2                      // messages of events that are not urgent in a heartbeat interval, to each neighbour
	minViewInterval        = 200 * time.Millisecond // least time between two views
	maxHeldSuspicion       = 6 * time.Hour          // longest suspicion that a mass failure or isolation holds open
	tombstoneLifetime      = 8 * time.Hour          // must exceed maxHeldSuspicion
	tombstoneSweepInterval = time.Minute
	mismatchesBeforeSync   = 2  // consecutive heartbeats with a differing digest
	heldProbeInterval      = 10 // heartbeats, to a member in a mass failure
	reconnectInterval      = 10 // heartbeats, between attempts to contact a lost member
)

// Config configures an Agent. Both durations are required.
type Config struct {
	Heartbeat        time.Duration            // interval between heartbeats
	SuspicionTimeout time.Duration            // time a suspect member has to refute the suspicion
	Seeds            []string                 // IP:port of peers to join through
	JoinsPerSecond   int                      // joins served in a second; 0 for 8
	HasMeetingPoints bool                     // the platform has meeting points; without seeds they are asked first
	RevisionFloor    func(name string) uint64 // newest revision that an instance was seen to report; may be nil
	Suspicions       Suspicions               // of requests; nil for none
	Rollouts         Rollouts                 // nil for none
	Rand             *rand.Rand               // nil for a randomly seeded generator
}

// Agent makes the membership decisions of one node. Its methods take events and
// the current time and return the actions to carry out. It opens no socket,
// starts no goroutine and reads no clock. Its owner calls it from one goroutine
// at a time, and calls Tick every Interval.
type Agent struct {
	config      Config
	rand        *rand.Rand
	table       *Table
	queue       eventQueue
	joinSearch  joinSearch
	joinLimiter joinLimiter
	fleetSearch fleetSearch

	neighbours       Neighbours
	lastActive       time.Time // last Tick, or end of the last pause if later
	resumedAt        time.Time // when the last gap between calls ended
	stale            bool      // the node was paused and has not caught up
	joinedAt         time.Time // when the node joined, or started if it has not
	witnessed        bool      // another member has run for longer than this node
	noOthers         bool      // there are no seeds, and the meeting points named no other node at the start
	settled          bool      // the table has matched a neighbour's since the start, or settleHeartbeats have passed
	newsSentAt       time.Time // when events or suspicions were last sent to the neighbours
	nextHeartbeat    time.Time // when the next heartbeat round is due
	heartbeatRound   int
	nextSweep        time.Time
	inFlight         map[string]bool // heartbeats without an outcome yet, by member
	digestMismatches map[string]int  // consecutive heartbeats with a differing digest, by neighbour
	investigations   map[string]*investigation
	lastLossAt       time.Time            // when a member was last seen suspect, leaving or dead
	avoidedUntil     map[string]time.Time // when this node stops avoiding a member that it cannot reach
	domains          domainCounts
	partitioned      map[string]bool // failure domains that are partitioned from this node
	view             *View
	viewBuiltAt      time.Time
}

// New returns the agent of a node that knows no member but itself.
func New(config Config, self *wire.Member, now time.Time) *Agent {
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Suspicions == nil {
		config.Suspicions = noSuspicions{}
	}
	if config.Rollouts == nil {
		config.Rollouts = noRollouts{}
	}
	if config.JoinsPerSecond == 0 {
		config.JoinsPerSecond = 8
	}
	a := &Agent{
		config: config, rand: config.Rand, table: NewTable(self, now), lastActive: now, nextHeartbeat: now, nextSweep: now.Add(tombstoneSweepInterval),
		joinLimiter: joinLimiter{perSecond: config.JoinsPerSecond, budget: joinBurstBytes, refilledAt: now},
		inFlight:    map[string]bool{}, digestMismatches: map[string]int{}, investigations: map[string]*investigation{},
		avoidedUntil: map[string]time.Time{}, partitioned: map[string]bool{},
	}
	a.queue.budget, a.queue.refilledAt = gossipBurstBytes, now
	a.joinSearch = joinSearch{rand: a.rand, heartbeatInterval: config.Heartbeat, nextAttempt: now, roundsBeforeDiscovery: seedRoundsBeforeDiscovery, maxDelay: maxJoinBackoff}
	for _, s := range config.Seeds {
		if s != self.GetPeer() {
			a.joinSearch.seeds = append(a.joinSearch.seeds, s)
		}
	}
	if config.HasMeetingPoints && len(a.joinSearch.seeds) == 0 {
		a.joinSearch.roundsBeforeDiscovery, a.joinSearch.maxDelay = 0, maxDiscoveryBackoff
	}
	a.joinSearch.joined = len(a.joinSearch.seeds) == 0 && !config.HasMeetingPoints
	a.settled, a.joinedAt = a.joinSearch.joined, now
	a.queueChanges()
	a.rebuildView(now)
	return a
}

// Interval returns how often Tick is to be called.
func (a *Agent) Interval() time.Duration { return max(a.config.Heartbeat/beatTicks, time.Millisecond) }

// View returns the current view of the members.
func (a *Agent) View() *View { return a.view }

// PauseThreshold returns the gap between calls of Tick from which the process
// counts as having been paused.
func (a *Agent) PauseThreshold() time.Duration { return a.config.SuspicionTimeout }

// Tick advances all timers to now and returns the actions that are due.
func (a *Agent) Tick(now time.Time) []Action {
	a.detectPause(now)
	a.lastActive = now
	a.queueChanges()
	a.countDomains()
	out := append(a.searchStep(now), a.fleetSearchDue(now)...)
	if !now.Before(a.nextHeartbeat) {
		a.nextHeartbeat = now.Add(a.config.Heartbeat)
		a.heartbeatRound++
		out = append(out, a.dueHeartbeats(now)...)
	}
	a.expireSuspicions(now)
	if !now.Before(a.nextSweep) {
		a.nextSweep = now.Add(tombstoneSweepInterval)
		a.table.RemoveDead(now, tombstoneLifetime)
	}
	out = append(out, a.flush(now)...)
	if a.table.viewStale && now.Sub(a.viewBuiltAt) >= minViewInterval {
		a.rebuildView(now)
	}
	return out
}

// detectPause handles a gap between calls. Probes that were sent before a gap of
// a heartbeat interval or more don't count as failed, since the node may have
// missed the answers. After a gap as long as the suspicion timeout the table may be
// out of date too: the node drops its failure detector state, raises its
// incarnation and joins anew, and its view is stale until it has caught up.
func (a *Agent) detectPause(now time.Time) {
	if now.Sub(a.lastActive) < a.config.Heartbeat {
		return
	}
	a.resumedAt = now
	if now.Sub(a.lastActive) >= a.PauseThreshold() {
		a.investigations, a.avoidedUntil, a.inFlight = map[string]*investigation{}, map[string]time.Time{}, map[string]bool{}
		a.digestMismatches = map[string]int{}
		if a.table.Len() > 1 || len(a.joinSearch.seeds) > 0 || a.config.HasMeetingPoints {
			a.stale = true
			var knownAddrs []string
			for _, m := range a.randomReachable("", maxReferrals) {
				knownAddrs = append(knownAddrs, m.GetPeer())
			}
			a.joinSearch.restart(now, knownAddrs)
		}
		a.table.RaiseIncarnation(a.table.self.GetIncarnation(), now)
		a.rebuildView(now)
	}
	a.lastActive = now
}

// queueChanges queues the changes of the table for gossip.
func (a *Agent) queueChanges() {
	for _, m := range a.table.TakeChanges() {
		if m.GetState() != wire.State_STATE_ALIVE {
			a.lastLossAt = a.lastActive
		}
		if m.GetState() == wire.State_STATE_SUSPECT && a.partitioned[a.table.Get(m.GetName()).GetDomain()] {
			continue // every node that needs to know avoids the whole failure domain
		}
		a.queue.add(m)
	}
}

// mergeEvents merges events from another node into the table.
func (a *Agent) mergeEvents(now time.Time, events []*wire.Member) {
	for _, m := range events {
		a.table.Merge(m, now)
	}
	a.queueChanges()
}

// rebuildView builds the view anew from the table.
func (a *Agent) rebuildView(now time.Time) {
	a.countDomains()
	a.witnessed = a.witnessed || a.table.hasWitness()
	a.table.viewStale, a.viewBuiltAt = false, now
	a.view = a.table.buildView(a.isAvoided, a.partitioned)
	if a.stale {
		a.view = a.view.StaleCopy()
	}
}

// searchStep returns the next action of the search for nodes to join through.
func (a *Agent) searchStep(now time.Time) []Action {
	addr, discover := a.joinSearch.next(now)
	switch {
	case discover:
		return []Action{{Kind: Discover, IssuedAt: now}}
	case addr == "":
		if a.stale && (a.joinSearch.joined || a.joinSearch.alone) {
			a.stale = false // no node answers, so there is nothing newer to learn
			a.rebuildView(now)
		}
		return nil
	}
	if a.stale && a.table.Len() > 1 {
		return []Action{{Kind: Sync, Addr: addr, IssuedAt: now, Sync: a.table.SyncRequest()}}
	}
	return []Action{{Kind: Join, Addr: addr, IssuedAt: now, Join: &wire.JoinRequest{Member: a.table.self}}}
}

// flush returns the actions that send queued events and news of suspicions to the live
// neighbours, within the gossip rate. Events that are not urgent and come soon after others
// wait for each other, so that the number of messages doesn't grow with the fleet, in which
// more events come the larger it is.
func (a *Agent) flush(now time.Time) []Action {
	to := a.currentNeighbours().Alive
	suspicions, rollouts := a.suspicionNews(now, len(to)), a.rolloutNews(now, len(to))
	var events []*wire.Member
	if a.queue.len() > 0 && (len(suspicions) > 0 || rollouts != nil || a.queue.hasUrgent() || now.Sub(a.newsSentAt) >= a.config.Heartbeat/newsPerHeartbeat) {
		events = a.queue.nextBatch(now, len(to))
	}
	if len(events) == 0 && len(suspicions) == 0 && rollouts == nil {
		return nil
	}
	a.newsSentAt = now
	var out []Action
	for _, name := range to {
		act := a.newProbe(now, Gossip, name)
		act.Probe.Events, act.Probe.Suspicions, act.Probe.Rollouts = events, suspicions, rollouts
		out = append(out, act)
	}
	return out
}

// currentNeighbours returns the neighbours, computed anew if the table changed.
func (a *Agent) currentNeighbours() Neighbours {
	if a.table.neighboursStale {
		a.table.neighboursStale = false
		a.neighbours = a.table.Neighbours(a.isAvoided)
	}
	return a.neighbours
}

// newProbe returns an action with a probe request to a member.
func (a *Agent) newProbe(now time.Time, kind ActionKind, name string) Action {
	self := a.table.self
	return Action{Kind: kind, Name: name, Addr: a.table.Get(name).GetPeer(), IssuedAt: now, Probe: &wire.ProbeRequest{
		Name: self.GetName(), Incarnation: self.GetIncarnation(), Digest: a.table.Digest(),
	}}
}

// Announce replaces the backend servers of this node and returns the actions
// that inform its neighbours at once.
func (a *Agent) Announce(now time.Time, servers []*wire.Server) []Action {
	a.detectPause(now)
	if slices.EqualFunc(a.table.self.GetServers(), servers, func(x, y *wire.Server) bool { return proto.Equal(x, y) }) {
		return nil
	}
	a.table.UpdateSelf(now, func(m *wire.Member) {
		m.Servers = servers
		setDeparture(m, m.GetLeft())
	})
	a.queueChanges()
	a.rebuildView(now)
	return a.flush(now)
}

// Leave marks this node as leaving and returns the actions that inform its
// neighbours at once, even when the gossip budget is spent.
func (a *Agent) Leave(now time.Time) []Action {
	a.detectPause(now)
	a.table.UpdateSelf(now, func(m *wire.Member) { m.State = wire.State_STATE_LEAVING })
	a.queueChanges()
	a.rebuildView(now)
	a.queue.budget = max(a.queue.budget, 1)
	return a.flush(now)
}

// HandleProbe merges the events of a probe request and returns the answer. When
// the sender is suspected or was declared dead in its present incarnation, the
// answer tells it, so that it can refute.
func (a *Agent) HandleProbe(now time.Time, req *wire.ProbeRequest) *wire.ProbeResponse {
	a.detectPause(now)
	before := a.table.self.GetIncarnation()
	a.mergeSuspicions(now, req.GetSuspicions())
	a.config.Rollouts.Merge(now, req.GetRollouts(), false)
	for _, m := range req.GetEvents() {
		a.table.Merge(m, now)
		if !a.joinSearch.joined && m.GetName() == req.GetName() && !IsVerdict(m) {
			a.joinSearch.addReferral(now, m.GetPeer())
		}
	}
	a.queueChanges()
	self := a.table.self
	resp := &wire.ProbeResponse{Name: self.GetName(), Incarnation: self.GetIncarnation(), Digest: a.table.Digest(), Rollouts: a.missingRollouts(now, req)}
	if self.GetIncarnation() != before {
		resp.Events = append(resp.Events, self)
	}
	e := a.table.entries[req.GetName()]
	if e != nil && max(e.suspectedIncarnation, e.deadIncarnation) >= req.GetIncarnation() {
		events := a.table.Events(req.GetName())
		resp.Events = append(resp.Events, events[len(events)-1])
	}
	return resp
}

// HandleSync answers an anti-entropy request, which may carry members to merge.
func (a *Agent) HandleSync(now time.Time, req *wire.SyncRequest) *wire.SyncResponse {
	a.detectPause(now)
	resp := a.table.HandleSync(req, now)
	a.queueChanges()
	return resp
}

// SyncDone handles the outcome of a Sync and returns the actions that follow.
// resp is nil when no answer came.
func (a *Agent) SyncDone(now time.Time, act Action, resp *wire.SyncResponse) []Action {
	a.detectPause(now)
	delete(a.digestMismatches, act.Name)
	searching := act.Name == "" && a.stale
	if searching {
		a.joinSearch.stopWaiting()
	}
	if resp == nil {
		return nil
	}
	back := a.table.MergeSync(resp, now)
	a.queueChanges()
	var out []Action
	if back != nil {
		out = append(out, Action{Kind: SyncPush, Name: act.Name, Addr: act.Addr, IssuedAt: now, Sync: back})
	}
	switch {
	case !searching:
	case len(resp.GetMembers()) >= maxSync: // the answer may be cut off at maxSync
		a.joinSearch.awaitingAnswer = true
		out = append(out, Action{Kind: Sync, Addr: act.Addr, IssuedAt: now, Sync: a.table.SyncRequest()})
	default:
		a.stale = false
		a.finishSearch(now)
		a.rebuildView(now)
	}
	return out
}
