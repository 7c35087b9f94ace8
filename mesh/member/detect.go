package member

// This file contains the failure detector: heartbeats to the neighbours, a second
// probe on a new connection when one fails, and then indirect probes through
// other nodes.

import (
	"maps"
	"slices"
	"time"

	"caroblift.dev/wire"
)

const (
	indirectProbers     = 2  // nodes asked to probe a member that does not answer
	maxUnansweredRounds = 3  // rounds without an answer of any prober that count as a denial
	maxInvestigations   = 64 // members investigated at one time
	avoidHeartbeats     = 10 // heartbeats during which a member is avoided; twice as many after another failed heartbeat
	minMassFailure      = 3  // least suspect members that make a mass failure or a partition of a failure domain
	largeMassFailure    = 8  // suspect members of a failure domain that are a mass failure at any size
	massFailureDivisor  = 4  // one suspect in this many members is a mass failure too
	partitionPercent    = 30 // share of suspects from which a failure domain counts as partitioned
	rejoinPercent       = 15 // share of suspects below which it counts as connected again
)

// investigation is the state of the failure detector for a member that did not
// answer a probe.
type investigation struct {
	startedAt        time.Time
	failedHeartbeats int // consecutive failures
	asked            int // indirect probes sent in this round; 0 when none is in flight
	unreachable      int // indirect probers that could not reach the member either
	unanswered       int // indirect probers that did not answer
	unansweredRounds int // rounds in which no indirect prober was available or answered
}

// dueHeartbeats returns the heartbeats of this round and does the other work
// that is due once per round.
func (a *Agent) dueHeartbeats(now time.Time) []Action {
	var out []Action
	neighbours := a.currentNeighbours()
	for _, name := range neighbours.Alive {
		out = append(out, a.heartbeat(now, name)...)
	}
	for i, name := range neighbours.Unreachable {
		if a.inMassFailure(name) && (a.heartbeatRound+i)%heldProbeInterval != 0 {
			continue
		}
		out = append(out, a.heartbeat(now, name)...)
	}
	if a.joinSearch.joined && now.Sub(a.joinedAt) > settleHeartbeats*a.config.Heartbeat {
		a.settled = true
	}
	if a.heartbeatRound%reconnectInterval == 0 || a.shouldRetryRecentLoss(now) {
		out = append(out, a.contactLostMember(now)...)
	}
	out = append(out, a.contactUnmet(now)...)
	for name, until := range a.avoidedUntil { // order does not matter
		if now.After(until) {
			a.stopAvoiding(name)
		}
	}
	return out
}

// heartbeat returns a heartbeat to a member, or nothing while one is in flight.
// A suspect member is told of the suspicion, so that it can refute.
func (a *Agent) heartbeat(now time.Time, name string) []Action {
	if a.inFlight[name] || a.table.Get(name) == nil {
		return nil
	}
	a.inFlight[name] = true
	act := a.newProbe(now, Heartbeat, name)
	act.Probe.Suspicions = a.config.Suspicions.Strongest(now, maxBeatSuspicions)
	act.Probe.Rollouts = a.config.Rollouts.Current(now)
	if e := a.table.entries[name]; e.state() == wire.State_STATE_SUSPECT {
		act.Probe.Events = []*wire.Member{NewVerdict(name, e.suspectedIncarnation, wire.State_STATE_SUSPECT)}
	}
	return []Action{act}
}

const (
	// recentLossWindow is how long after a member was lost the others try to
	// contact it in every heartbeat round: a process that was killed or stopped is
	// often back within seconds, and may find no other node by itself while the
	// platform is down.
	recentLossWindow = 30 * time.Second
	// recentLossAttempts is the number of these attempts that the whole fleet
	// makes in a round, on average.
	recentLossAttempts = 8
)

// shouldRetryRecentLoss reports whether this node is among those that try, in
// this round, to contact a member that was lost recently.
func (a *Agent) shouldRetryRecentLoss(now time.Time) bool {
	return !a.lastLossAt.IsZero() && now.Sub(a.lastLossAt) < recentLossWindow && a.rand.IntN(max(1, a.table.Len())) < recentLossAttempts
}

// contactLostMember tries to contact a random member that is unreachable or was
// leaving and may have restarted. If there is none, it tries one that was declared
// dead (every other time), or a seed that is not a known member. This lets two
// parts of a fleet that declared each other dead merge again.
func (a *Agent) contactLostMember(now time.Time) []Action {
	knownAddrs := map[string]bool{}
	var candidates []string
	for _, name := range a.table.liveNames {
		if a.isReachable(name) && a.table.State(name) != wire.State_STATE_LEAVING {
			knownAddrs[a.table.Get(name).GetPeer()] = true
		} else if name != a.table.self.GetName() {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) > 0 {
		return a.heartbeat(now, candidates[a.rand.IntN(len(candidates))])
	}
	if dead := a.table.deadToRetry(now); len(dead) > 0 && a.rand.IntN(2) == 0 {
		name := dead[a.rand.IntN(len(dead))]
		e := a.table.entries[name]
		act := Action{Kind: Gossip, Addr: e.lastAddr, IssuedAt: now, Probe: &wire.ProbeRequest{
			Name: a.table.self.GetName(), Incarnation: a.table.self.GetIncarnation(), Digest: a.table.Digest(),
			Events: []*wire.Member{a.table.self, NewVerdict(name, e.deadIncarnation, wire.State_STATE_DEAD)},
		}}
		return []Action{act}
	}
	for _, s := range a.joinSearch.seeds {
		if !knownAddrs[s] && a.joinSearch.joined {
			act := a.newProbe(now, Gossip, "")
			act.Addr, act.Probe.Events = s, []*wire.Member{a.table.self}
			return []Action{act}
		}
	}
	return nil
}

// isReachable reports whether, as far as this node knows, a member answers.
func (a *Agent) isReachable(name string) bool {
	e := a.table.entries[name]
	s := e.state()
	return (s == wire.State_STATE_ALIVE || s == wire.State_STATE_LEAVING) && !a.isAvoided(e)
}

// isAvoided reports whether this node cannot reach a member, or does not try to
// because the member's failure domain is partitioned.
func (a *Agent) isAvoided(e *entry) bool {
	m := e.member
	if m == a.table.self {
		return false
	}
	_, ok := a.avoidedUntil[m.GetName()]
	return ok || a.partitioned[m.GetDomain()]
}

// ProbeDone handles the outcome of a heartbeat, of a probe on a new connection or
// of an indirect probe, and returns the actions that follow. resp is nil when no
// answer came.
func (a *Agent) ProbeDone(now time.Time, act Action, resp *wire.ProbeResponse) []Action {
	a.detectPause(now)
	if act.Kind == IndirectProbe {
		return a.handleIndirectProbe(now, act, resp)
	}
	delete(a.inFlight, act.Name)
	if resp != nil {
		a.mergeEvents(now, resp.GetEvents())
		a.config.Rollouts.Merge(now, resp.GetRollouts(), true)
	}
	if resp != nil && (resp.GetName() == act.Name || act.Name == "") {
		return a.handleProbeSuccess(now, act, resp)
	}
	if act.IssuedAt.Before(a.resumedAt) || a.table.Get(act.Name) == nil {
		return nil // this node was paused, or the member is dead
	}
	return a.handleProbeFailure(now, act)
}

// handleProbeSuccess ends the investigation of a member that answered, and
// compares tables after repeated heartbeats with a differing digest.
func (a *Agent) handleProbeSuccess(now time.Time, act Action, resp *wire.ProbeResponse) []Action {
	delete(a.investigations, act.Name)
	a.stopAvoiding(act.Name)
	if act.Kind != Heartbeat {
		return nil
	}
	if e := a.table.entries[act.Name]; e != nil && e.member != nil && resp.GetIncarnation() != e.member.GetIncarnation() {
		// The instance has restarted. It may know no other node, and if its clock
		// is behind its incarnation may be below the one that is known.
		gossip := a.newProbe(now, Gossip, act.Name)
		gossip.Probe.Events = []*wire.Member{a.table.self, e.member}
		return []Action{gossip}
	}
	if string(resp.GetDigest()) == string(a.table.Digest()) {
		a.settled = a.settled || a.joinSearch.joined
		delete(a.digestMismatches, act.Name)
		return nil
	}
	a.digestMismatches[act.Name]++
	if a.digestMismatches[act.Name] < mismatchesBeforeSync {
		return nil
	}
	a.digestMismatches[act.Name] = 0
	return []Action{{Kind: Sync, Name: act.Name, Addr: act.Addr, IssuedAt: now, Sync: a.table.SyncRequest()}}
}

// handleProbeFailure escalates: after a failed heartbeat a probe on a new
// connection, after that one indirect probes.
func (a *Agent) handleProbeFailure(now time.Time, act Action) []Action {
	inv := a.investigations[act.Name]
	if inv == nil {
		if len(a.investigations) >= maxInvestigations {
			return nil
		}
		inv = &investigation{startedAt: now}
		a.investigations[act.Name] = inv
	}
	if act.Kind == Heartbeat {
		inv.failedHeartbeats++
		if _, ok := a.avoidedUntil[act.Name]; ok {
			a.avoidedUntil[act.Name] = now.Add(2 * avoidHeartbeats * a.config.Heartbeat)
		}
		if a.table.State(act.Name) == wire.State_STATE_SUSPECT || inv.asked > 0 {
			return nil
		}
		fresh := a.newProbe(now, FreshProbe, act.Name)
		return []Action{fresh}
	}
	return a.probeIndirectly(now, act.Name, inv)
}

// probeIndirectly starts a round of indirect probes of a member.
func (a *Agent) probeIndirectly(now time.Time, name string, inv *investigation) []Action {
	inv.asked, inv.unreachable, inv.unanswered = 0, 0, 0
	var out []Action
	for _, m := range a.randomReachable(name, indirectProbers) {
		if a.investigations[m.GetName()] != nil {
			continue
		}
		act := a.newProbe(now, IndirectProbe, name)
		act.Addr, act.Probe.Target = m.GetPeer(), name
		inv.asked++
		out = append(out, act)
	}
	if inv.asked == 0 {
		a.concludeRound(now, name, inv)
	}
	return out
}

// handleIndirectProbe handles the outcome of one indirect probe.
func (a *Agent) handleIndirectProbe(now time.Time, act Action, resp *wire.ProbeResponse) []Action {
	inv := a.investigations[act.Name]
	if inv == nil || inv.asked == 0 || act.IssuedAt.Before(a.resumedAt) {
		return nil
	}
	switch {
	case resp == nil:
		inv.unanswered++
	case resp.GetReached():
		// The member is alive; only the path from this node is broken.
		delete(a.investigations, act.Name)
		a.avoid(now, act.Name)
		return nil
	default:
		inv.unreachable++
	}
	if inv.unreachable+inv.unanswered < inv.asked {
		return nil
	}
	inv.asked = 0
	a.concludeRound(now, act.Name, inv)
	return nil
}

// avoid keeps the calls of this node away from a member for avoidHeartbeats.
func (a *Agent) avoid(now time.Time, name string) {
	a.avoidedUntil[name] = now.Add(avoidHeartbeats * a.config.Heartbeat)
	a.table.neighboursStale, a.table.viewStale = true, true
}

// stopAvoiding lets the calls of this node go to a member again.
func (a *Agent) stopAvoiding(name string) {
	if _, ok := a.avoidedUntil[name]; ok {
		delete(a.avoidedUntil, name)
		a.table.neighboursStale, a.table.viewStale = true, true
	}
}

// concludeRound ends a round of indirect probes in which nobody reached the
// member: it suspects the member, or declares it dead if it was leaving. It holds
// back while the node is isolated, and for the first rounds in which no prober
// answered.
func (a *Agent) concludeRound(now time.Time, name string, inv *investigation) {
	a.avoid(now, name)
	if inv.unreachable == 0 {
		inv.unansweredRounds++
	}
	switch {
	case a.isIsolated():
		return
	case inv.unreachable == 0 && inv.unansweredRounds < maxUnansweredRounds && a.table.Len() > 2:
		return
	case a.table.State(name) == wire.State_STATE_LEAVING:
		a.table.Declare(name, wire.State_STATE_DEAD, now)
	default:
		a.table.Declare(name, wire.State_STATE_SUSPECT, now)
	}
	a.queueChanges()
}

// isIsolated reports whether so many neighbours do not answer that the fault is
// more likely on the side of this node.
func (a *Agent) isIsolated() bool {
	neighbours := a.currentNeighbours()
	watched := len(neighbours.Alive) + len(neighbours.Unreachable)
	failing := 0
	for _, names := range [][]string{neighbours.Alive, neighbours.Unreachable} {
		for _, name := range names {
			if a.investigations[name] != nil {
				failing++
			}
		}
	}
	return failing >= 2 && 2*failing > watched
}

// expireSuspicions declares dead the suspect members that have not refuted in
// time and that this node itself fails to reach. Mass failures and isolation
// extend the time to maxHeldSuspicion.
func (a *Agent) expireSuspicions(now time.Time) {
	if len(a.investigations) == 0 || a.stale {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.investigations)) {
		inv, e := a.investigations[name], a.table.entries[name]
		if e == nil || e.member == nil || (inv.failedHeartbeats == 0 && now.Sub(inv.startedAt) > 2*avoidHeartbeats*a.config.Heartbeat) {
			delete(a.investigations, name)
			continue
		}
		if e.state() != wire.State_STATE_SUSPECT || inv.failedHeartbeats < 2 {
			continue
		}
		suspectFor := now.Sub(e.stateSince)
		if suspectFor < a.config.SuspicionTimeout || (suspectFor < maxHeldSuspicion && (a.inMassFailure(name) || a.isIsolated())) {
			continue
		}
		a.table.Declare(name, wire.State_STATE_DEAD, now)
		delete(a.investigations, name)
	}
	a.queueChanges()
}

// domainCount counts the members of a failure domain. suspects includes those
// that only this node cannot reach.
type domainCount struct{ members, suspects int }

// domainCounts holds a count for each failure domain.
type domainCounts map[string]domainCount

// countDomains recomputes the counts of the failure domains, and which of them
// are partitioned from this node. Two thresholds give hysteresis.
func (a *Agent) countDomains() {
	if !a.table.viewStale {
		return
	}
	a.domains = domainCounts{}
	for i, name := range a.table.liveNames {
		e := a.table.liveEntries[i]
		count := a.domains[e.member.GetDomain()]
		count.members++
		if _, avoided := a.avoidedUntil[name]; avoided || e.state() == wire.State_STATE_SUSPECT {
			count.suspects++
		}
		a.domains[e.member.GetDomain()] = count
	}
	for domain, count := range a.domains {
		wasPartitioned := a.partitioned[domain]
		isPartitioned := count.suspects >= minMassFailure && 100*count.suspects >= partitionPercent*count.members
		if wasPartitioned {
			isPartitioned = 100*count.suspects >= rejoinPercent*count.members && count.suspects > 0
		}
		isPartitioned = isPartitioned && domain != a.table.self.GetDomain()
		if isPartitioned != wasPartitioned {
			a.partitioned[domain] = isPartitioned
			a.table.neighboursStale = true
		}
	}
}

// inMassFailure reports whether so many members of a member's failure domain are
// suspect at once that it is no coincidence. None of them is declared dead then.
func (a *Agent) inMassFailure(name string) bool {
	count := a.domains[a.table.Get(name).GetDomain()]
	if count.suspects >= 2 && count.suspects == count.members {
		return true
	}
	return count.suspects >= minMassFailure && (count.suspects >= largeMassFailure || massFailureDivisor*count.suspects >= count.members)
}

// RecordCallResult records whether a call reached a member, and returns the
// probe that follows from a failure.
func (a *Agent) RecordCallResult(now time.Time, name string, reached bool) []Action {
	a.detectPause(now)
	e := a.table.entries[name]
	if e == nil || e.member == nil || name == a.table.self.GetName() {
		return nil
	}
	if reached {
		a.stopAvoiding(name)
		return nil
	}
	if a.investigations[name] != nil || len(a.investigations) >= maxInvestigations || e.state() == wire.State_STATE_SUSPECT {
		return nil
	}
	a.investigations[name] = &investigation{startedAt: now}
	return []Action{a.newProbe(now, FreshProbe, name)}
}
