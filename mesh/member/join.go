package member

// This file decides how a node joins, and how it serves those that join.

import (
	"math/rand/v2"
	"slices"
	"time"

	"caroblift.dev/wire"
)

const (
	maxBackoff = 10 * time.Second
	// maxMeetBackoff bounds the delay where only the meeting points lead to
	// others: a platform that was away is asked again within seconds.
	maxMeetBackoff = 2 * time.Second
	lastResort     = 2 // rounds over the seeds before the platform is asked
	aloneRounds    = 4 // rounds without an answer after which a node goes on alone
	referrals      = 4 // other members that a joiner is told of
	patience       = 2 // beats after which the next address is asked beside one that has not answered
)

// joiner decides whom a node that joins asks next, and when.
type joiner struct {
	seeds    []string
	rand     *rand.Rand
	beat     time.Duration
	resort   int           // rounds before the platform is asked
	most     time.Duration // between two rounds
	joined   bool
	alone    bool      // nobody answered; the search goes on
	waiting  bool      // for an answer
	asked    time.Time // when the one was asked that is waited for
	queue    []string  // addresses of this round
	referred []string
	met      bool // whether the platform was asked in this round
	rounds   int
	next     time.Time
	until    map[string]time.Time // when an address that was too busy may be asked again
}

// restart begins a new search with addresses that were known before.
func (j *joiner) restart(now time.Time, known []string) {
	*j = joiner{seeds: j.seeds, rand: j.rand, beat: j.beat, resort: j.resort, most: j.most, queue: known, next: now}
}

// step returns the address to ask now, or whether to ask the platform.
func (j *joiner) step(now time.Time) (addr string, meet bool) {
	if j.joined || now.Before(j.next) || j.waiting && now.Sub(j.asked) < patience*j.beat {
		return "", false
	}
	j.asked = now
	for len(j.referred) > 0 {
		addr, j.referred = j.referred[0], j.referred[1:]
		if !j.until[addr].After(now) {
			j.waiting = true
			return addr, false
		}
	}
	if len(j.queue) == 0 && j.rounds >= j.resort && !j.met {
		j.met, j.waiting = true, true
		return "", true
	}
	if len(j.queue) == 0 {
		j.round(now)
		return "", false
	}
	return j.due(now), false
}

// due returns the first address of the round that may be asked now.
func (j *joiner) due(now time.Time) string {
	first := now.Add(j.most)
	for i, addr := range j.queue {
		if at := j.until[addr]; at.After(now) {
			first = earlier(first, at)
			continue
		}
		j.queue = slices.Delete(j.queue, i, i+1)
		j.waiting = true
		return addr
	}
	j.next = first
	return ""
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// round begins another round over the seeds after a jittered delay.
func (j *joiner) round(now time.Time) {
	j.queue = slices.Clone(j.seeds)
	j.rand.Shuffle(len(j.queue), func(a, b int) { j.queue[a], j.queue[b] = j.queue[b], j.queue[a] })
	j.met = false
	if j.rounds > 0 || len(j.queue) == 0 {
		j.next = now.Add(j.delay())
	}
	j.rounds++
	j.alone = j.rounds > aloneRounds
}

// delay returns a backoff that grows with the rounds.
func (j *joiner) delay() time.Duration {
	bound := min(j.most, j.beat<<min(j.rounds, 16))
	return bound/4 + time.Duration(j.rand.Int64N(int64(bound)*3/4+1))
}

// refer names a node that lives and can be asked at once.
func (j *joiner) refer(now time.Time, addr string) {
	if !slices.Contains(j.referred, addr) {
		j.referred = append(j.referred, addr)
		j.next = now
	}
}

// failed takes that an address did not answer.
func (j *joiner) failed() { j.waiting = false }

// later takes the answer of a node that is too busy.
func (j *joiner) later(now time.Time, wait time.Duration, addr string, others []string) {
	j.waiting = false
	j.rounds = min(j.rounds, 1) // someone lives, the platform is not needed
	j.referred = append(j.referred, others...)
	j.referred = j.referred[max(0, len(j.referred)-2*referrals):]
	if !slices.Contains(j.queue, addr) {
		j.queue = append(j.queue, addr)
	}
	if j.until == nil {
		j.until = map[string]time.Time{}
	}
	j.until[addr] = now.Add(wait)
	j.next = now.Add(time.Duration(j.rand.Int64N(int64(j.beat)/4 + 1)))
}

// Bounds of what a node spends on those that join.
const (
	joinRate  = 10 << 10 // bytes/s
	joinBurst = 64 << 10 // bytes
	joinEntry = 40       // bytes of a member in a compressed answer
)

// door bounds the joiners that a node serves.
type door struct {
	perSecond int
	budget    float64 // bytes; negative after a large answer
	filled    time.Time
	second    time.Time
	served    int
}

// admit tells whether a joiner is served now, or else how long it must wait.
func (d *door) admit(now time.Time, entries int, r *rand.Rand) (bool, time.Duration) {
	d.budget = min(joinBurst, d.budget+now.Sub(d.filled).Seconds()*joinRate)
	d.filled = now
	if now.Sub(d.second) >= time.Second {
		d.second, d.served = now, 0
	}
	if d.budget > 0 && d.served < d.perSecond {
		d.budget -= float64(entries * joinEntry)
		d.served++
		return true, 0
	}
	wait := time.Second + time.Duration(max(0, -d.budget)/joinRate*float64(time.Second))
	return false, wait/2 + time.Duration(r.Int64N(int64(wait)))
}

// Joins answers a node that joins.
func (a *Agent) Joins(now time.Time, req *wire.JoinRequest) *wire.JoinResponse {
	a.wake(now)
	m := req.GetMember()
	resp := &wire.JoinResponse{Incarnation: a.table.Incarnation(m.GetName())}
	if a.config.Floor != nil {
		resp.Floor = a.config.Floor(m.GetName())
	}
	ok, later := a.door.admit(now, a.table.Len(), a.rand)
	if !ok {
		resp.Later = uint32(later.Milliseconds())
		resp.Members = a.others(m.GetName(), referrals)
		return resp
	}
	if a.table.Merge(m, now) {
		a.collect()
	}
	resp.Members = a.table.All()
	return resp
}

// others returns random members that answer, without the own node and one
// more.
func (a *Agent) others(but string, n int) []*wire.Member {
	var out []*wire.Member
	names := a.table.names
	for range 4 * n {
		name := names[a.rand.IntN(len(names))]
		m := a.table.Get(name)
		taken := slices.ContainsFunc(out, func(o *wire.Member) bool { return o.GetName() == name })
		if len(out) < n && !taken && name != but && m != a.table.self && a.usable(name) {
			out = append(out, m)
		}
	}
	return out
}

// JoinDone takes the answer to a Join, nil when there was none.
func (a *Agent) JoinDone(now time.Time, act Action, resp *wire.JoinResponse) {
	a.wake(now)
	switch {
	case resp == nil:
		a.joiner.failed()
		return
	case resp.GetLater() > 0:
		a.rise(now, act, resp)
		var addrs []string
		for _, m := range resp.GetMembers() {
			addrs = append(addrs, m.GetPeer())
		}
		a.joiner.later(now, time.Duration(resp.GetLater())*time.Millisecond, act.Addr, addrs)
		return
	}
	a.found(now)
	a.stale = false
	a.rise(now, act, resp)
	a.collect()
	for _, m := range resp.GetMembers() {
		a.table.Merge(m, now)
	}
	for _, m := range a.table.News() { // the others know it
		if m.GetName() == a.table.self.GetName() {
			a.queue.add(m)
		}
	}
}

// found ends the search for others.
func (a *Agent) found(now time.Time) {
	if !a.joiner.joined {
		a.since = now
	}
	a.joiner.waiting, a.joiner.joined, a.joiner.alone, a.joiner.rounds = false, true, false, 0
}

// rise lifts the own incarnation above an earlier life.
func (a *Agent) rise(now time.Time, act Action, resp *wire.JoinResponse) {
	if resp.GetIncarnation() > act.Join.GetMember().GetIncarnation() {
		a.table.Raise(resp.GetIncarnation(), now)
	}
}

// MeetDone takes the members that the platform's meeting points name.
func (a *Agent) MeetDone(now time.Time, members []*wire.Member) {
	a.wake(now)
	a.joiner.waiting = false
	for _, m := range members {
		if m.GetName() != a.table.self.GetName() {
			a.joiner.referred = append(a.joiner.referred, m.GetPeer())
		}
	}
}

// Joined tells whether the node has found the others and agrees with one of
// them, or knows that there are none to be found, and acts on what is current.
func (a *Agent) Joined() bool {
	return (a.joiner.alone || (a.joiner.joined && a.settled)) && !a.stale
}

// Bounds of what a node assumes of a fleet that it is only getting to know.
const (
	unknownFleet = 7000                   // nodes
	halving      = 500 * time.Millisecond // time after joining in which the assumption halves
	loneFleet    = 100                    // least assumed by a node that finds nobody
	loneHalving  = 2 * time.Second        // time of finding nobody in which the assumption halves
	settleBeats  = 10                     // heartbeats after which the node trusts its table
)

// Size returns the number of nodes that the own node reckons with when it
// shares something with all: more than it knows until it has joined for a
// while, so that a fleet that starts at once does not take the few that it
// first sees for all. One that finds nobody reckons with fewer as time goes by,
// so that it can start alone.
func (a *Agent) Size(now time.Time) int {
	switch {
	case len(a.joiner.seeds) == 0 && !a.config.Meet:
		return a.table.Len()
	case !a.joiner.joined:
		return max(loneFleet, unknownFleet>>min(now.Sub(a.since)/loneHalving, 62))
	}
	return max(a.table.Len(), unknownFleet>>min(now.Sub(a.since)/halving, 62))
}
