package member

// This file defines the agent, which puts the decisions of one node together.

import (
	"math/rand/v2"
	"time"

	"caroblift.dev/wire"
)

// Defaults and intervals.
const (
	ticksPerBeat  = 10
	viewInterval  = 200 * time.Millisecond // between two views, at least
	keepSilent    = 6 * time.Hour          // how long members that fell silent together are remembered
	forgetDead    = 8 * time.Hour          // how long the dead are remembered; more than keepSilent
	forgetEvery   = time.Minute
	mismatchBeats = 2  // heartbeats with differing digests before tables are compared
	silentBeats   = 10 // heartbeats between two to a member that is held
	healBeats     = 10 // heartbeats between two attempts to reach lost members
)

// Config configures an Agent. Beat and Suspect are required.
type Config struct {
	Beat    time.Duration
	Suspect time.Duration // how long a suspicion may be refuted
	Seeds   []string      // IP:port of peers to join by
	Joiners int           // joiners served in a second
	Meet    bool          // the platform has meeting points; without seeds they come first
	Floor   func(name string) uint64
	Rand    *rand.Rand // nil for a random seed
}

// Agent decides for one node. It takes events and answers actions; it opens no
// socket, starts no goroutine and reads no clock. Its owner calls it from one
// goroutine at a time, and calls Tick every Interval.
type Agent struct {
	config Config
	rand   *rand.Rand
	table  *Table
	queue  queue
	joiner joiner
	door   door

	neighbours Neighbours
	last       time.Time
	gap        time.Time // when the last pause ended
	stale      bool
	since      time.Time // when the node joined
	settled    bool      // the node has agreed with a neighbour since it started
	beat       time.Time // next heartbeat
	beats      int
	forget     time.Time
	busy       map[string]bool // heartbeats on their way
	mismatch   map[string]int  // heartbeats with another digest, by neighbour
	doubts     map[string]*doubt
	lostAt     time.Time            // when a member was last seen to leave or found silent
	avoided    map[string]time.Time // members that the own node alone cannot reach, until when
	census     census
	parted     map[string]bool
	view       *View
	viewed     time.Time
}

// New returns the agent of a node that knows only itself.
func New(config Config, self *wire.Member, now time.Time) *Agent {
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Joiners == 0 {
		config.Joiners = 8
	}
	a := &Agent{
		config: config, rand: config.Rand, table: NewTable(self, now), last: now, beat: now, forget: now.Add(forgetEvery),
		door: door{perSecond: config.Joiners, budget: joinBurst, filled: now},
		busy: map[string]bool{}, mismatch: map[string]int{}, doubts: map[string]*doubt{},
		avoided: map[string]time.Time{}, parted: map[string]bool{},
	}
	a.queue.budget, a.queue.filled = newsBurst, now
	a.joiner = joiner{rand: a.rand, beat: config.Beat, next: now, resort: lastResort, most: maxBackoff}
	for _, s := range config.Seeds {
		if s != self.GetPeer() {
			a.joiner.seeds = append(a.joiner.seeds, s)
		}
	}
	if config.Meet && len(a.joiner.seeds) == 0 {
		a.joiner.resort, a.joiner.most = 0, maxMeetBackoff
	}
	a.joiner.joined = len(a.joiner.seeds) == 0 && !config.Meet
	a.settled, a.since = a.joiner.joined, now
	a.collect()
	a.picture(now)
	return a
}

// Interval returns how often Tick is to be called.
func (a *Agent) Interval() time.Duration { return max(a.config.Beat/ticksPerBeat, time.Millisecond) }

// View returns the present picture of the members.
func (a *Agent) View() *View { return a.view }

// Pause returns the silence of Tick after which a node must have been stopped.
func (a *Agent) Pause() time.Duration { return a.config.Suspect }

// Tick returns what is due.
func (a *Agent) Tick(now time.Time) []Action {
	a.wake(now)
	a.last = now
	a.collect()
	a.count()
	out := a.search(now)
	if !now.Before(a.beat) {
		a.beat = now.Add(a.config.Beat)
		a.beats++
		out = append(out, a.heartbeats(now)...)
	}
	a.ripen(now)
	if !now.Before(a.forget) {
		a.forget = now.Add(forgetEvery)
		a.table.Forget(now, forgetDead)
	}
	out = append(out, a.flush(now)...)
	if a.table.changed && now.Sub(a.viewed) >= viewInterval {
		a.picture(now)
	}
	return out
}

// wake notices that the process was stopped: it must not judge others by what
// it missed, nor act on what it knew.
func (a *Agent) wake(now time.Time) {
	if now.Sub(a.last) < a.config.Beat {
		return
	}
	a.gap = now
	if now.Sub(a.last) >= a.Pause() {
		a.doubts, a.avoided, a.busy = map[string]*doubt{}, map[string]time.Time{}, map[string]bool{}
		a.mismatch = map[string]int{}
		if a.table.Len() > 1 || len(a.joiner.seeds) > 0 || a.config.Meet {
			a.stale = true
			var known []string
			for _, m := range a.others("", referrals) {
				known = append(known, m.GetPeer())
			}
			a.joiner.restart(now, known)
		}
		a.table.Raise(a.table.self.GetIncarnation(), now)
		a.picture(now)
	}
	a.last = now
}

// collect queues what changed in the table.
func (a *Agent) collect() {
	for _, m := range a.table.News() {
		if m.GetState() != wire.State_STATE_ALIVE {
			a.lostAt = a.last
		}
		if m.GetState() == wire.State_STATE_SUSPECT && a.parted[a.table.Get(m.GetName()).GetDomain()] {
			continue // everyone who must know avoids the whole domain
		}
		a.queue.add(m)
	}
}

// absorb merges events from another node.
func (a *Agent) absorb(now time.Time, events []*wire.Member) {
	for _, m := range events {
		a.table.Merge(m, now)
	}
	a.collect()
}

// picture renews the view.
func (a *Agent) picture(now time.Time) {
	a.count()
	a.table.changed, a.viewed = false, now
	a.view = a.table.view(a.avoid, a.parted)
	if a.stale {
		a.view = a.view.Outdated()
	}
}

// search returns the next step of joining.
func (a *Agent) search(now time.Time) []Action {
	addr, meet := a.joiner.step(now)
	switch {
	case meet:
		return []Action{{Kind: Meet, At: now}}
	case addr == "":
		if a.stale && (a.joiner.joined || a.joiner.alone) {
			a.stale = false // nobody answers: there is nothing newer to be had
			a.picture(now)
		}
		return nil
	}
	if a.stale && a.table.Len() > 1 {
		return []Action{{Kind: Sync, Addr: addr, At: now, Sync: a.table.SyncRequest()}}
	}
	return []Action{{Kind: Join, Addr: addr, At: now, Join: &wire.JoinRequest{Member: a.table.self}}}
}

// flush sends queued events to the neighbours.
func (a *Agent) flush(now time.Time) []Action {
	if a.queue.len() == 0 {
		return nil
	}
	to := a.around().Alive
	events := a.queue.take(now, len(to))
	if len(events) == 0 {
		return nil
	}
	var out []Action
	for _, name := range to {
		act := a.probe(now, News, name)
		act.Probe.Events = events
		out = append(out, act)
	}
	return out
}

// around returns whom the node sends to.
func (a *Agent) around() Neighbours {
	if a.table.shape {
		a.table.shape = false
		a.neighbours = a.table.Neighbours(a.avoid)
	}
	return a.neighbours
}

func (a *Agent) probe(now time.Time, kind Kind, name string) Action {
	self := a.table.self
	return Action{Kind: kind, Name: name, Addr: a.table.Get(name).GetPeer(), At: now, Probe: &wire.ProbeRequest{
		Name: self.GetName(), Incarnation: self.GetIncarnation(), Digest: a.table.Digest(),
	}}
}

// Announce replaces the servers beside the own node and returns the messages
// that tell its neighbours at once.
func (a *Agent) Announce(now time.Time, servers []*wire.Server) []Action {
	a.wake(now)
	a.table.Update(now, func(m *wire.Member) { m.Servers = servers })
	a.collect()
	a.picture(now)
	return a.flush(now)
}

// Leave says that the own node is leaving, and returns the messages that tell
// its neighbours at once.
func (a *Agent) Leave(now time.Time) []Action {
	a.wake(now)
	a.table.Update(now, func(m *wire.Member) { m.State = wire.State_STATE_LEAVING })
	a.collect()
	a.picture(now)
	a.queue.budget = max(a.queue.budget, 1)
	return a.flush(now)
}

// Probed answers a heartbeat.
func (a *Agent) Probed(now time.Time, req *wire.ProbeRequest) *wire.ProbeResponse {
	a.wake(now)
	before := a.table.self.GetIncarnation()
	for _, m := range req.GetEvents() {
		a.table.Merge(m, now)
		if !a.joiner.joined && m.GetName() == req.GetName() && !IsVerdict(m) {
			a.joiner.refer(now, m.GetPeer())
		}
	}
	a.collect()
	self := a.table.self
	resp := &wire.ProbeResponse{Name: self.GetName(), Incarnation: self.GetIncarnation(), Digest: a.table.Digest()}
	if self.GetIncarnation() != before {
		resp.Events = append(resp.Events, self)
	}
	e := a.table.members[req.GetName()]
	if e != nil && max(e.suspected, e.died) >= req.GetIncarnation() {
		events := a.table.Events(req.GetName())
		resp.Events = append(resp.Events, events[len(events)-1])
	}
	return resp
}

// Synced answers a comparison of tables.
func (a *Agent) Synced(now time.Time, req *wire.SyncRequest) *wire.SyncResponse {
	a.wake(now)
	resp := a.table.Sync(req, now)
	a.collect()
	return resp
}

// SyncDone takes the answer to a Sync, nil when there was none.
func (a *Agent) SyncDone(now time.Time, act Action, resp *wire.SyncResponse) []Action {
	a.wake(now)
	delete(a.mismatch, act.Name)
	search := act.Name == "" && a.stale
	if search {
		a.joiner.failed()
	}
	if resp == nil {
		return nil
	}
	back := a.table.Return(resp, now)
	a.collect()
	var out []Action
	if back != nil {
		out = append(out, Action{Kind: Return, Name: act.Name, Addr: act.Addr, At: now, Sync: back})
	}
	switch {
	case !search:
	case len(resp.GetMembers()) >= maxSync: // there is more
		a.joiner.waiting = true
		out = append(out, Action{Kind: Sync, Addr: act.Addr, At: now, Sync: a.table.SyncRequest()})
	default:
		a.stale = false
		a.found(now)
		a.picture(now)
	}
	return out
}
