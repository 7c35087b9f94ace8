package member

// This file decides whom a node suspects: heartbeats, a second try on a new
// connection, and the word of others.

import (
	"maps"
	"slices"
	"time"

	"caroblift.dev/wire"
)

const (
	helpers      = 2  // nodes asked to try a member that does not answer
	lostRounds   = 3  // rounds without an answering helper that stand for a denial
	maxDoubts    = 64 // members examined at one time
	avoidBeats   = 10 // heartbeats during which a member that others reach is avoided
	minMass      = 3  // suspect members that make a mass
	largeMass    = 8  // suspect members of one failure domain that are no coincidence
	massShare    = 4  // one in so many is a mass too
	partedShare  = 30 // percent of suspects that part a failure domain
	rejoinsShare = 15 // percent of suspects below which it is whole again
)

// doubt is the examination of a member that did not answer.
type doubt struct {
	since  time.Time
	beats  int // failed heartbeats in a row
	asked  int // helpers asked in this round
	denied int // helpers that could not reach it either
	lost   int // helpers that did not answer
	rounds int // rounds in which no helper answered
}

// heartbeats returns the heartbeats that are due, and what else goes by beat.
func (a *Agent) heartbeats(now time.Time) []Action {
	var out []Action
	n := a.around()
	for _, name := range n.Alive {
		out = append(out, a.beatTo(now, name)...)
	}
	for i, name := range n.Silent {
		if a.held(name) && (a.beats+i)%silentBeats != 0 {
			continue
		}
		out = append(out, a.beatTo(now, name)...)
	}
	if a.joiner.joined && now.Sub(a.since) > settleBeats*a.config.Beat {
		a.settled = true
	}
	if a.beats%healBeats == 0 || a.healsSooner(now) {
		out = append(out, a.heal(now)...)
	}
	for name, until := range a.avoided { // order does not matter
		if now.After(until) {
			a.embrace(name)
		}
	}
	return out
}

func (a *Agent) beatTo(now time.Time, name string) []Action {
	if a.busy[name] || a.table.Get(name) == nil {
		return nil
	}
	a.busy[name] = true
	act := a.probe(now, Beat, name)
	if e := a.table.members[name]; e.state() == wire.State_STATE_SUSPECT {
		act.Probe.Events = []*wire.Member{NewVerdict(name, e.suspected, wire.State_STATE_SUSPECT)}
	}
	return []Action{act}
}

const (
	// soonLost is how long after a member was lost the others try to reach it at
	// the pace of heartbeats: a process that was killed or stopped is back within
	// seconds, and may find nobody by itself while the platform is away.
	soonLost = 30 * time.Second
	// soonTries bounds these attempts to so many a beat of the whole fleet.
	soonTries = 8
)

// healsSooner tells whether this node is among those that try, in this beat, to
// reach a member that was lost not long ago.
func (a *Agent) healsSooner(now time.Time) bool {
	return !a.lostAt.IsZero() && now.Sub(a.lostAt) < soonLost && a.rand.IntN(max(1, a.table.Len())) < soonTries
}

// heal tries to reach a member that is silent, one that is leaving and may be
// back by now, one that was found dead, or a seed that is not known: two parts
// of a fleet that took each other for dead meet again by it.
func (a *Agent) heal(now time.Time) []Action {
	known := map[string]bool{}
	var silent []string
	for _, name := range a.table.names {
		if a.usable(name) && a.table.State(name) != wire.State_STATE_LEAVING {
			known[a.table.Get(name).GetPeer()] = true
		} else if name != a.table.self.GetName() {
			silent = append(silent, name)
		}
	}
	if len(silent) > 0 {
		return a.beatTo(now, silent[a.rand.IntN(len(silent))])
	}
	if lost := a.table.lost(now); len(lost) > 0 && a.rand.IntN(2) == 0 {
		name := lost[a.rand.IntN(len(lost))]
		e := a.table.members[name]
		act := Action{Kind: News, Addr: e.addr, At: now, Probe: &wire.ProbeRequest{
			Name: a.table.self.GetName(), Incarnation: a.table.self.GetIncarnation(), Digest: a.table.Digest(),
			Events: []*wire.Member{a.table.self, NewVerdict(name, e.died, wire.State_STATE_DEAD)},
		}}
		return []Action{act}
	}
	for _, s := range a.joiner.seeds {
		if !known[s] && a.joiner.joined {
			act := a.probe(now, News, "")
			act.Addr, act.Probe.Events = s, []*wire.Member{a.table.self}
			return []Action{act}
		}
	}
	return nil
}

// usable tells whether a member answers as far as the own node knows.
func (a *Agent) usable(name string) bool {
	e := a.table.members[name]
	s := e.state()
	return (s == wire.State_STATE_ALIVE || s == wire.State_STATE_LEAVING) && !a.avoid(e)
}

// avoid tells whether the own node cannot reach a member, or does not try to.
func (a *Agent) avoid(e *entry) bool {
	m := e.member
	if m == a.table.self {
		return false
	}
	_, ok := a.avoided[m.GetName()]
	return ok || a.parted[m.GetDomain()]
}

// ProbeDone takes the outcome of a Beat, Fresh or Relay; resp is nil when no
// answer came.
func (a *Agent) ProbeDone(now time.Time, act Action, resp *wire.ProbeResponse) []Action {
	a.wake(now)
	if act.Kind == Relay {
		return a.relayed(now, act, resp)
	}
	delete(a.busy, act.Name)
	if resp != nil {
		a.absorb(now, resp.GetEvents())
	}
	if resp != nil && (resp.GetName() == act.Name || act.Name == "") {
		return a.answered(now, act, resp)
	}
	if act.At.Before(a.gap) || a.table.Get(act.Name) == nil {
		return nil // the own node slept, or the member is gone
	}
	return a.failed(now, act)
}

// answered takes a sign of life.
func (a *Agent) answered(now time.Time, act Action, resp *wire.ProbeResponse) []Action {
	delete(a.doubts, act.Name)
	a.embrace(act.Name)
	if act.Kind != Beat {
		return nil
	}
	if e := a.table.members[act.Name]; e != nil && e.member != nil && resp.GetIncarnation() != e.member.GetIncarnation() {
		// Another life of the instance, which may know nobody and use a clock
		// that is behind.
		news := a.probe(now, News, act.Name)
		news.Probe.Events = []*wire.Member{a.table.self, e.member}
		return []Action{news}
	}
	if string(resp.GetDigest()) == string(a.table.Digest()) {
		a.settled = a.settled || a.joiner.joined
		delete(a.mismatch, act.Name)
		return nil
	}
	a.mismatch[act.Name]++
	if a.mismatch[act.Name] < mismatchBeats {
		return nil
	}
	a.mismatch[act.Name] = 0
	return []Action{{Kind: Sync, Name: act.Name, Addr: act.Addr, At: now, Sync: a.table.SyncRequest()}}
}

// failed takes that a heartbeat was not answered.
func (a *Agent) failed(now time.Time, act Action) []Action {
	d := a.doubts[act.Name]
	if d == nil {
		if len(a.doubts) >= maxDoubts {
			return nil
		}
		d = &doubt{since: now}
		a.doubts[act.Name] = d
	}
	if act.Kind == Beat {
		d.beats++
		if _, ok := a.avoided[act.Name]; ok {
			a.avoided[act.Name] = now.Add(2 * avoidBeats * a.config.Beat)
		}
		if a.table.State(act.Name) == wire.State_STATE_SUSPECT || d.asked > 0 {
			return nil
		}
		fresh := a.probe(now, Fresh, act.Name)
		return []Action{fresh}
	}
	return a.ask(now, act.Name, d)
}

// ask lets others try a member.
func (a *Agent) ask(now time.Time, name string, d *doubt) []Action {
	d.asked, d.denied, d.lost = 0, 0, 0
	var out []Action
	for _, m := range a.others(name, helpers) {
		if a.doubts[m.GetName()] != nil {
			continue
		}
		act := a.probe(now, Relay, name)
		act.Addr, act.Probe.Target = m.GetPeer(), name
		d.asked++
		out = append(out, act)
	}
	if d.asked == 0 {
		a.conclude(now, name, d)
	}
	return out
}

// relayed takes the word of a helper.
func (a *Agent) relayed(now time.Time, act Action, resp *wire.ProbeResponse) []Action {
	d := a.doubts[act.Name]
	if d == nil || d.asked == 0 || act.At.Before(a.gap) {
		return nil
	}
	switch {
	case resp == nil:
		d.lost++
	case resp.GetReached():
		// Others reach it: only the way from here is broken.
		delete(a.doubts, act.Name)
		a.shun(now, act.Name)
		return nil
	default:
		d.denied++
	}
	if d.denied+d.lost < d.asked {
		return nil
	}
	d.asked = 0
	a.conclude(now, act.Name, d)
	return nil
}

// shun keeps the own node's calls away from a member for a while.
func (a *Agent) shun(now time.Time, name string) {
	a.avoided[name] = now.Add(avoidBeats * a.config.Beat)
	a.table.shape, a.table.changed = true, true
}

// embrace ends that a member is shunned.
func (a *Agent) embrace(name string) {
	if _, ok := a.avoided[name]; ok {
		delete(a.avoided, name)
		a.table.shape, a.table.changed = true, true
	}
}

// conclude ends a round of examination.
func (a *Agent) conclude(now time.Time, name string, d *doubt) {
	a.shun(now, name)
	if d.denied == 0 {
		d.rounds++
	}
	switch {
	case a.isolated():
		return
	case d.denied == 0 && d.rounds < lostRounds && a.table.Len() > 2:
		return
	case a.table.State(name) == wire.State_STATE_LEAVING:
		a.table.Judge(name, wire.State_STATE_DEAD, now)
	default:
		a.table.Judge(name, wire.State_STATE_SUSPECT, now)
	}
	a.collect()
}

// isolated tells whether so many neighbours are silent that the own node is
// the likelier cause.
func (a *Agent) isolated() bool {
	n := a.around()
	watched := len(n.Alive) + len(n.Silent)
	silent := 0
	for _, names := range [][]string{n.Alive, n.Silent} {
		for _, name := range names {
			if a.doubts[name] != nil {
				silent++
			}
		}
	}
	return silent >= 2 && 2*silent > watched
}

// ripen lets suspicions that the own node shares end in death.
func (a *Agent) ripen(now time.Time) {
	if len(a.doubts) == 0 || a.stale {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.doubts)) {
		d, e := a.doubts[name], a.table.members[name]
		if e == nil || e.member == nil || (d.beats == 0 && now.Sub(d.since) > 2*avoidBeats*a.config.Beat) {
			delete(a.doubts, name)
			continue
		}
		if e.state() != wire.State_STATE_SUSPECT || d.beats < 2 {
			continue
		}
		silent := now.Sub(e.since)
		if silent < a.config.Suspect || (silent < keepSilent && (a.held(name) || a.isolated())) {
			continue
		}
		a.table.Judge(name, wire.State_STATE_DEAD, now)
		delete(a.doubts, name)
	}
	a.collect()
}

// tally counts the members of a failure domain and the suspect among them.
type tally struct{ members, suspects int }

// census counts members by failure domain.
type census map[string]tally

// count renews the census and the failure domains that are parted.
func (a *Agent) count() {
	if !a.table.changed {
		return
	}
	a.census = census{}
	for i, name := range a.table.names {
		e := a.table.list[i]
		n := a.census[e.member.GetDomain()]
		n.members++
		if _, avoided := a.avoided[name]; avoided || e.state() == wire.State_STATE_SUSPECT {
			n.suspects++
		}
		a.census[e.member.GetDomain()] = n
	}
	for domain, n := range a.census {
		was := a.parted[domain]
		is := n.suspects >= minMass && 100*n.suspects >= partedShare*n.members
		if was {
			is = 100*n.suspects >= rejoinsShare*n.members && n.suspects > 0
		}
		is = is && domain != a.table.self.GetDomain()
		if is != was {
			a.parted[domain] = is
			a.table.shape = true
		}
	}
}

// held tells whether so many members of a failure domain are suspect at once
// that nobody of it is declared dead.
func (a *Agent) held(name string) bool {
	n := a.census[a.table.Get(name).GetDomain()]
	if n.suspects >= 2 && n.suspects == n.members {
		return true
	}
	return n.suspects >= minMass && (n.suspects >= largeMass || massShare*n.suspects >= n.members)
}

// Evidence takes what a call learned about a node.
func (a *Agent) Evidence(now time.Time, name string, reached bool) []Action {
	a.wake(now)
	e := a.table.members[name]
	if e == nil || e.member == nil || name == a.table.self.GetName() {
		return nil
	}
	if reached {
		a.embrace(name)
		return nil
	}
	if a.doubts[name] != nil || len(a.doubts) >= maxDoubts || e.state() == wire.State_STATE_SUSPECT {
		return nil
	}
	a.doubts[name] = &doubt{since: now}
	return []Action{a.probe(now, Fresh, name)}
}
