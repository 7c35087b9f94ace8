package member

// This file contains both sides of joining: the search of a node for others to
// join through, and the service of nodes that join.

import (
	"math/rand/v2"
	"slices"
	"time"

	"caroblift.dev/wire"
)

const (
	maxJoinBackoff = 10 * time.Second
	// maxDiscoveryBackoff replaces maxJoinBackoff where only the meeting points
	// lead to other nodes, so that a platform that was down is asked again within
	// seconds.
	maxDiscoveryBackoff       = 2 * time.Second
	seedRoundsBeforeDiscovery = 2 // rounds over the seeds before the platform is asked for meeting points
	roundsBeforeAlone         = 4 // rounds without an answer after which a node goes on alone
	maxReferrals              = 4 // other members that a busy node refers a joining node to
	// joinHedgeDivisor divides the heartbeat interval to give the time without an
	// answer after which the next address is asked too. A join takes a round trip
	// and a few ms, while the address of a lost instance never answers.
	joinHedgeDivisor = 4
)

// joinSearch decides which address a joining node asks next, and when.
type joinSearch struct {
	seeds                 []string
	rand                  *rand.Rand
	heartbeatInterval     time.Duration
	roundsBeforeDiscovery int           // rounds over the seeds before the platform is asked
	maxDelay              time.Duration // bound of the backoff between rounds
	joined                bool
	alone                 bool      // no node answered in roundsBeforeAlone rounds; the search goes on
	awaitingAnswer        bool      // from the address or the platform that was asked last
	askedAt               time.Time // when the last request was made
	pending               []string  // addresses left in this round
	referrals             []string
	discoveryTried        bool // the platform was asked in this round
	rounds                int
	nextAttempt           time.Time
	retryAt               map[string]time.Time // when a busy address may be asked again
}

// restart begins a new search at known addresses.
func (j *joinSearch) restart(now time.Time, known []string) {
	*j = joinSearch{seeds: j.seeds, rand: j.rand, heartbeatInterval: j.heartbeatInterval, roundsBeforeDiscovery: j.roundsBeforeDiscovery, maxDelay: j.maxDelay, pending: known, nextAttempt: now}
}

// next returns the address to ask now, if any, or whether to ask the platform for
// its meeting points.
func (j *joinSearch) next(now time.Time) (addr string, discover bool) {
	if j.joined || now.Before(j.nextAttempt) || j.awaitingAnswer && now.Sub(j.askedAt) < j.heartbeatInterval/joinHedgeDivisor {
		return "", false
	}
	j.askedAt = now
	for len(j.referrals) > 0 {
		addr, j.referrals = j.referrals[0], j.referrals[1:]
		if !j.retryAt[addr].After(now) {
			j.awaitingAnswer = true
			return addr, false
		}
	}
	if len(j.pending) == 0 && j.rounds >= j.roundsBeforeDiscovery && !j.discoveryTried {
		j.discoveryTried, j.awaitingAnswer = true, true
		return "", true
	}
	if len(j.pending) == 0 {
		j.startRound(now)
		return "", false
	}
	return j.takeDue(now), false
}

// takeDue removes and returns the first address of the round that may be asked
// now. Without one it returns "" and schedules the next attempt.
func (j *joinSearch) takeDue(now time.Time) string {
	earliest := now.Add(j.maxDelay)
	for i, addr := range j.pending {
		if at := j.retryAt[addr]; at.After(now) {
			earliest = earlier(earliest, at)
			continue
		}
		j.pending = slices.Delete(j.pending, i, i+1)
		j.awaitingAnswer = true
		return addr
	}
	j.nextAttempt = earliest
	return ""
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// startRound begins another round over the seeds, in random order and, but for
// the first, after a jittered backoff.
func (j *joinSearch) startRound(now time.Time) {
	j.pending = slices.Clone(j.seeds)
	j.rand.Shuffle(len(j.pending), func(a, b int) { j.pending[a], j.pending[b] = j.pending[b], j.pending[a] })
	j.discoveryTried = false
	if j.rounds > 0 || len(j.pending) == 0 {
		j.nextAttempt = now.Add(j.backoff())
	}
	j.rounds++
	j.alone = j.rounds > roundsBeforeAlone
}

// backoff returns a jittered delay that doubles with each round up to maxDelay.
func (j *joinSearch) backoff() time.Duration {
	bound := min(j.maxDelay, j.heartbeatInterval<<min(j.rounds, 16))
	return bound/4 + time.Duration(j.rand.Int64N(int64(bound)*3/4+1))
}

// addReferral adds the address of a node that is known to be up, to be asked at
// once.
func (j *joinSearch) addReferral(now time.Time, addr string) {
	if !slices.Contains(j.referrals, addr) {
		j.referrals = append(j.referrals, addr)
		j.nextAttempt = now
	}
}

// stopWaiting ends the wait for an answer, so that the next address is asked.
func (j *joinSearch) stopWaiting() { j.awaitingAnswer = false }

// handleBusy handles the answer of a node that is too busy to serve the join. The
// node may be asked again after wait, and the referrals soon.
func (j *joinSearch) handleBusy(now time.Time, wait time.Duration, addr string, referrals []string) {
	j.awaitingAnswer = false
	j.rounds = min(j.rounds, 1) // another node is up, so the platform is not needed
	j.referrals = append(j.referrals, referrals...)
	j.referrals = j.referrals[max(0, len(j.referrals)-2*maxReferrals):]
	if !slices.Contains(j.pending, addr) {
		j.pending = append(j.pending, addr)
	}
	if j.retryAt == nil {
		j.retryAt = map[string]time.Time{}
	}
	j.retryAt[addr] = now.Add(wait)
	j.nextAttempt = now.Add(time.Duration(j.rand.Int64N(int64(j.heartbeatInterval)/4 + 1)))
}

// Limits of what a node spends on joining nodes.
const (
	joinBytesPerSecond = 10 << 10
	joinBurstBytes     = 64 << 10
	joinBytesPerMember = 40 // estimated size of a member in a compressed answer, in bytes
)

// joinLimiter limits the joins that a node serves, by a token bucket of bytes and
// by their number in a second.
type joinLimiter struct {
	perSecond   int
	budget      float64 // tokens in bytes; negative after a large answer
	refilledAt  time.Time
	windowStart time.Time
	served      int
}

// admit reports whether a join is served now with a table of the given size, or
// else how long the joining node must wait. The wait is jittered.
func (l *joinLimiter) admit(now time.Time, members int, r *rand.Rand) (bool, time.Duration) {
	l.budget = min(joinBurstBytes, l.budget+now.Sub(l.refilledAt).Seconds()*joinBytesPerSecond)
	l.refilledAt = now
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.served = now, 0
	}
	if l.budget > 0 && l.served < l.perSecond {
		l.budget -= float64(members * joinBytesPerMember)
		l.served++
		return true, 0
	}
	wait := time.Second + time.Duration(max(0, -l.budget)/joinBytesPerSecond*float64(time.Second))
	return false, wait/2 + time.Duration(r.Int64N(int64(wait)))
}

// HandleJoin answers a join request with the whole table or, when the node is
// too busy, with a delay and a few other members to ask.
func (a *Agent) HandleJoin(now time.Time, req *wire.JoinRequest) *wire.JoinResponse {
	a.detectPause(now)
	m := req.GetMember()
	resp := &wire.JoinResponse{Incarnation: a.table.Incarnation(m.GetName())}
	if a.config.RevisionFloor != nil {
		resp.Floor = a.config.RevisionFloor(m.GetName())
	}
	ok, wait := a.joinLimiter.admit(now, a.table.Len(), a.rand)
	if !ok {
		resp.Later = uint32(wait.Milliseconds())
		resp.Members = a.randomReachable(m.GetName(), maxReferrals)
		return resp
	}
	if a.table.Merge(m, now) {
		a.queueChanges()
	}
	resp.Members = a.table.AllEvents()
	resp.Suspicions = a.config.Suspicions.Strongest(now, maxJoinSuspicions)
	resp.Rollouts = a.config.Rollouts.Complete(now)
	return resp
}

// randomReachable returns up to n random members that are reachable, other than
// this node and the one named except.
func (a *Agent) randomReachable(except string, n int) []*wire.Member {
	var out []*wire.Member
	names := a.table.liveNames
	for range 4 * n {
		name := names[a.rand.IntN(len(names))]
		m := a.table.Get(name)
		taken := slices.ContainsFunc(out, func(o *wire.Member) bool { return o.GetName() == name })
		if len(out) < n && !taken && name != except && m != a.table.self && a.isReachable(name) {
			out = append(out, m)
		}
	}
	return out
}

// JoinDone handles the outcome of a Join. resp is nil when no answer came.
func (a *Agent) JoinDone(now time.Time, act Action, resp *wire.JoinResponse) {
	a.detectPause(now)
	switch {
	case resp == nil:
		a.joinSearch.stopWaiting()
		return
	case resp.GetLater() > 0:
		a.raiseIncarnation(now, act, resp)
		var addrs []string
		for _, m := range resp.GetMembers() {
			addrs = append(addrs, m.GetPeer())
		}
		a.joinSearch.handleBusy(now, time.Duration(resp.GetLater())*time.Millisecond, act.Addr, addrs)
		return
	}
	a.finishSearch(now)
	a.stale = false
	a.raiseIncarnation(now, act, resp)
	a.mergeSuspicions(now, resp.GetSuspicions())
	a.config.Rollouts.Merge(now, resp.GetRollouts(), true)
	a.queueChanges()
	for _, m := range resp.GetMembers() {
		a.table.Merge(m, now)
	}
	for _, m := range a.table.TakeChanges() { // drop the members just received: the other nodes know them
		if m.GetName() == a.table.self.GetName() {
			a.queue.add(m)
		}
	}
}

// finishSearch ends the search for nodes to join through.
func (a *Agent) finishSearch(now time.Time) {
	if !a.joinSearch.joined {
		a.joinedAt = now
		a.scheduleFleetSearch(now)
	}
	a.joinSearch.awaitingAnswer, a.joinSearch.joined, a.joinSearch.alone, a.joinSearch.rounds = false, true, false, 0
}

// raiseIncarnation raises the incarnation of this node above the earlier ones, as
// the answer reports them.
func (a *Agent) raiseIncarnation(now time.Time, act Action, resp *wire.JoinResponse) {
	if resp.GetIncarnation() > act.Join.GetMember().GetIncarnation() {
		a.table.RaiseIncarnation(resp.GetIncarnation(), now)
	}
}

// DiscoverDone handles the outcome of reading the platform's meeting points:
// members are those that they name, nil if they could not be read. All nodes ask them in the same order, since nodes
// that start together and join through different ones form separate fleets until these
// find each other.
func (a *Agent) DiscoverDone(now time.Time, members []*wire.Member) {
	a.detectPause(now)
	if a.joinSearch.joined {
		a.recordMeetingPoints(now, members)
		return
	}
	a.joinSearch.awaitingAnswer = false
	others := false
	for _, m := range members {
		if m.GetName() != a.table.self.GetName() {
			a.joinSearch.referrals, others = append(a.joinSearch.referrals, m.GetPeer()), true
		}
	}
	a.noOthers = members != nil && !others && len(a.joinSearch.seeds) == 0
}

// Joined reports whether the node has joined and its table has settled, or whether
// it goes on alone because no other node answers. It is false while the view is
// stale.
func (a *Agent) Joined() bool {
	return (a.joinSearch.alone || (a.joinSearch.joined && a.settled)) && !a.stale
}

// Parameters of the estimate of the fleet's size while a node knows only part of
// the fleet.
const (
	initialFleetEstimate = 7000                   // nodes
	estimateHalfLife     = 500 * time.Millisecond // after joining
	minLoneEstimate      = 100                    // nodes; least estimate of a node that finds no other
	loneEstimateHalfLife = 2 * time.Second        // while no other node is found
	settleHeartbeats     = 10                     // heartbeats after joining until the node trusts its table
)

// EstimatedSize returns an estimate of the number of nodes in the fleet, by
// which a node computes its share of a common limit. For a while after joining
// the estimate exceeds the number of known members: when a whole fleet starts
// at once, each node first sees only a few of the others and must not take
// these for all. While a node finds no other, its estimate decays, so that it
// can start alone.
func (a *Agent) EstimatedSize(now time.Time) int {
	switch {
	case len(a.joinSearch.seeds) == 0 && !a.config.HasMeetingPoints:
		return a.table.Len()
	case !a.joinSearch.joined:
		return max(minLoneEstimate, initialFleetEstimate>>min(now.Sub(a.joinedAt)/loneEstimateHalfLife, 62))
	}
	return max(a.table.Len(), initialFleetEstimate>>min(now.Sub(a.joinedAt)/estimateHalfLife, 62))
}
