package rollout

// This file decides on the phases, at the node that leads: the first live one in the order of
// names. Any other node may take over at any step, since the states are stored and the
// counts at the gates are sums since the order.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/wire"
)

const (
	// recentWindow is the time over which a version is judged, so that one that turns bad
	// late is not excused by its earlier calls.
	recentWindow = 2 * time.Second
	// minRateSpan is the least time over which the calls of a gate give a rate.
	minRateSpan = 450 * time.Millisecond
	// historyTime is how long earlier counts are kept.
	historyTime = 4 * time.Second
	// evidenceTime is how long the counts of a gate that reports no more are in the verdict.
	evidenceTime = 6 * time.Second
	// freshTime is the age of counts up to which they are preferred, and minFresh the number of
	// them that is enough.
	freshTime = 350 * time.Millisecond
	minFresh  = 3
	// minCanaries and maxCanaries bound the servers of the first phase. Two are needed to tell
	// a bad version from a bad server.
	minCanaries = 2
	maxCanaries = 16
	// usualCanaries is the least number for a service of manyServers, of which three count:
	// servers that differ in speed by a factor of three are not told from slow ones by two.
	usualCanaries = 4
	manyServers   = 16
	// minEvidence and maxEvidence bound the calls that the canaries must have answered before
	// the shift. Of 60 calls of which a tenth fail, fewer than five fail in one case of ten.
	minEvidence = 12
	maxEvidence = 60
	// evidencePart is the part of the service's calls that the canaries must have answered.
	evidencePart = 0.01
	// minCapacity is the share of the slots that the new servers must have of those of the
	// others before the shift.
	minCapacity = 0.6
	// lostTime is the least time after which a node that was lost with a server of another
	// version beside it counts as stopped. Before the time limit it is waited for.
	lostTime = 3 * time.Second
	// doubtWindow is the time over which a version must leave no doubt before the calls move.
	doubtWindow = 3500 * time.Millisecond
	// nearBound is the part of the bound from which a version in doubt is rolled back.
	nearBound = 0.6
)

// Order is an order of the operator.
type Order struct {
	ID       string // differs for each order
	Service  string
	Version  string
	Duration time.Duration
}

// Offer is a backend server in the leader's view of the members.
type Offer struct {
	Instance    string
	Incarnation uint64 // of the node
	Version     string
	Slots       int
	Usable      bool // alive and not leaving
}

// Fleet is the leader's view of the members.
type Fleet struct {
	Offers  []Offer         // servers of the service
	Members map[string]bool // live instances, also those without a server
}

// report is the counts of one gate.
type report struct {
	incarnation uint64 // of the node
	version     string
	epoch       uint64
	idle        uint64 // number of the state by which the gate is closed and its server idle
	at          time.Time
	counts      Tallies
	before      []snapshot // earlier counts, the oldest first
	earlier     int        // calls of earlier incarnations
}

type snapshot struct {
	at     time.Time
	counts Tallies
}

// lead is what the leader knows of one roll-out.
type lead struct {
	order   string
	reports map[string]*report   // by instance
	lost    map[string]time.Time // instances with other servers that are not in the view, and since when
	present map[string]bool      // instances with other servers at the last step

	aloneSince time.Time // when there was no other server any more; zero if there is one
	verdict    Verdict
	doubt      Verdict   // before and while the calls move
	atBound    Verdict   // doubt that ends a roll-out which has nearly used up its bound
	final      float64   // calls of the service until the time limit, as far as is known
	base       []Tallies // of the other servers when PhaseSettle began
}

// Leader collects counts and decides. Its methods may be called concurrently.
type Leader struct {
	board  *Board
	limits Limits
	self   string

	mu    sync.Mutex
	leads map[string]*lead // by service
}

// NewLeader returns the leader on an instance, which acts only when its methods are called.
func NewLeader(board *Board, limits Limits, instance string) *Leader {
	return &Leader{board: board, limits: limits, self: instance, leads: map[string]*lead{}}
}

// lead returns what is known of a service's roll-out by an order. The caller holds l.mu.
func (l *Leader) lead(service, order string) *lead {
	r := l.leads[service]
	if r == nil || r.order != order {
		r = &lead{order: order, reports: map[string]*report{}, lost: map[string]time.Time{}, present: map[string]bool{}}
		l.leads[service] = r
	}
	return r
}

// AddEvidence takes the counts of a gate.
func (l *Leader) AddEvidence(instance string, incarnation uint64, m *wire.RolloutEvidence, now time.Time) {
	s, ok := l.board.Get(m.GetService())
	if !ok || s.Order != m.GetOrder() || !s.Phase.Active() {
		return
	}
	counts := Tallies{}
	for _, route := range m.GetRoutes()[:min(len(m.GetRoutes()), maxRoutes+1)] {
		t := decodeTally(route)
		counts[route.GetRoute()] = &t
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.lead(s.Service, s.Order)
	old := r.reports[instance]
	next := &report{incarnation: incarnation, version: m.GetVersion(), epoch: m.GetEpoch(), idle: m.GetIdle(), at: now, counts: counts}
	if old != nil && old.incarnation == incarnation && old.version == next.version && old.epoch == next.epoch && old.counts.calls() <= counts.calls() {
		next.before, next.earlier = append(old.before, snapshot{old.at, old.counts}), old.earlier
		for len(next.before) > 1 && now.Sub(next.before[1].at) >= historyTime {
			next.before = next.before[1:]
		}
	} else if old != nil && old.version == next.version {
		next.earlier = old.earlier + old.counts.calls()
	}
	r.reports[instance] = next
}

// recent returns the counts of a report since about a time: since the earlier report nearest to
// it, so that gates which report rarely are not counted over a longer time than others.
func (r *report) recent(since time.Time) Tallies {
	for i, s := range slices.Backward(r.before) {
		if s.at.After(since) {
			continue
		}
		if i+1 < len(r.before) && r.before[i+1].at.Sub(since) < since.Sub(s.at) {
			s = r.before[i+1]
		}
		return r.counts.since(s.counts)
	}
	return r.counts
}

// evidence returns the counts of the servers of the version and of the others. Trouble of the
// service shows first at the canaries, which report most often, so the others' counts are
// those that have just come, if there are some.
func (r *lead) evidence(version string, now time.Time, counts func(*report) Tallies) (next, others []Tallies) {
	var older []Tallies
	for _, instance := range slices.Sorted(maps.Keys(r.reports)) {
		rep := r.reports[instance]
		switch age := now.Sub(rep.at); {
		case age > evidenceTime:
		case rep.version == version:
			next = append(next, counts(rep))
		case age <= freshTime:
			others = append(others, counts(rep))
		default:
			older = append(older, counts(rep))
		}
	}
	if len(others) < minFresh {
		others = append(others, older...)
	}
	return next, others
}

// exposure returns the calls of the version and of all servers since the order.
func (r *lead) exposure(version string) (next, all int) {
	for _, rep := range r.reports {
		n := rep.earlier + rep.counts.calls()
		all += n
		if rep.version == version {
			next += n
		}
	}
	return next, all
}

// rate returns the calls a second of the service, by two reports of each gate that are about
// half a second apart or more, and those of one of the other servers.
func (r *lead) rate(version string, now time.Time) (sum, load float64) {
	others, count := 0.0, 0
	for _, rep := range r.reports {
		if now.Sub(rep.at) > 2*time.Second {
			continue
		}
		for _, s := range slices.Backward(rep.before) {
			if span := rep.at.Sub(s.at); span >= minRateSpan {
				rate := float64(rep.counts.calls()-s.counts.calls()) / span.Seconds()
				sum += rate
				if rep.version != version {
					others += rate
					count++
				}
				break
			}
		}
	}
	return sum, others / max(1, float64(count))
}

// Watch judges the versions that roll out, halts those that are bad, and confirms the states
// to all other nodes if the platform answers this node: others have to take over where it
// does not. It is to be called about ten times a second, makes no call, and returns the
// services whose version was halted just now.
func (l *Leader) Watch(answered bool, now time.Time) (halted []State) {
	for _, s := range l.board.All() {
		if !s.Phase.Active() || s.Leader != l.self {
			continue
		}
		v, rate, load := l.judge(&s, now)
		if v.Bad && !s.Halted {
			s.Halted, s.Reason = true, v.String()
			if l.board.Put(s) {
				halted = append(halted, s)
			}
		}
		if answered {
			l.board.Confirm(s.Service, s.Number, rate, load, now)
		}
	}
	return halted
}

// judge returns the verdict on the version of a roll-out, the rate that the allowances of the
// canaries follow, which is 0 while they have had more calls than their share, and the load
// of one of the other servers.
func (l *Leader) judge(s *State, now time.Time) (v Verdict, rate, load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.lead(s.Service, s.Order)
	rate, load = r.rate(s.Version, now)
	next, all := r.exposure(s.Version)
	elapsed := max(time.Second, now.Sub(s.Ordered))
	r.final = float64(all) * max(1, s.Duration.Seconds()/elapsed.Seconds())
	if s.Phase == PhaseCanary && float64(next) > (l.limits.Share*r.final+l.limits.Slack)/exposureDivisor {
		rate = 0
	}
	if r.verdict.Bad {
		return r.verdict, rate, load
	}
	since := func(window time.Duration) (version, others []Tallies) {
		return r.evidence(s.Version, now, func(rep *report) Tallies { return rep.recent(now.Add(-window)) })
	}
	version, others := since(recentWindow)
	switch s.Phase {
	case PhaseCanary:
		r.base = others
		if r.verdict = Judge(version, others, canaryCriteria); !r.verdict.Bad && Judge(version, others, agreeCriteria).Bad {
			version, others = r.evidence(s.Version, now, func(rep *report) Tallies { return rep.counts })
			r.verdict = Judge(version, others, canaryCriteria)
		}
		version, others = since(doubtWindow)
		if r.doubt = Judge(version, others, doubtCriteria); !r.doubt.Bad {
			version, others = r.evidence(s.Version, now, func(rep *report) Tallies { return rep.counts })
			r.doubt = Judge(version, others, doubtCriteria)
		}
	case PhaseShift:
		r.base = others
		r.verdict = Judge(version, others, shiftCriteria)
		r.atBound = Judge(version, others, doubtAtBound)
	case PhaseSettle:
		r.verdict = Judge(version, r.base, settleCriteria)
	}
	if near := nearBound * (l.limits.Share*r.final + l.limits.Slack); s.Phase == PhaseShift && r.atBound.Bad && float64(next) > near {
		r.verdict = r.atBound
	}
	return r.verdict, rate, load
}

// Step returns the state that the roll-out of an order should have now, and whether it
// differs from the known one, so that it must be stored. held is the known state, or a zero
// State if there is none.
func (l *Leader) Step(order Order, held State, fleet Fleet, now time.Time) (State, bool) {
	if held.Number == 0 || held.Phase == PhaseNone || held.Order != order.ID {
		return l.begin(order, held, now), true
	}
	next := held
	next.Leader = l.self
	if held.Phase.Final() {
		return held, false
	}
	next.Duration = order.Duration
	l.mu.Lock()
	r := l.lead(held.Service, held.Order)
	l.mu.Unlock()
	phase, reason := l.decide(r, &next, fleet, now)
	if phase != held.Phase {
		next.Phase, next.Reason, next.Entered = phase, reason, now
	}
	changed := phase != held.Phase || next.Leader != held.Leader || next.Duration != held.Duration || !slices.Equal(next.Canaries, held.Canaries)
	if changed {
		next.Number++
		next.Heard, next.Halted = now, held.Halted && next.Phase.Active()
	}
	return next, changed
}

// begin returns the first state by an order.
func (l *Leader) begin(order Order, held State, now time.Time) State {
	return State{
		Service: order.Service, Version: order.Version, Number: held.Number + 1, Order: order.ID, Phase: PhaseCanary, Leader: l.self,
		Reason: "ordered", Duration: order.Duration, Ordered: now, Entered: now, Heard: now,
	}
}

// Withdraw returns the state of a service whose order is gone.
func (l *Leader) Withdraw(held State, now time.Time) State {
	return State{
		Service: held.Service, Version: held.Version, Number: held.Number + 1, Order: held.Order, Phase: PhaseNone, Leader: l.self,
		Reason: "order removed", Duration: held.Duration, Ordered: held.Ordered, Entered: now, Heard: now,
	}
}

// decide returns the phase that should be in force, and the reason. It sets the canaries.
func (l *Leader) decide(r *lead, s *State, fleet Fleet, now time.Time) (Phase, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Halted || r.verdict.Bad {
		reason := s.Reason
		if r.verdict.Bad {
			reason = r.verdict.String()
		}
		return PhaseRolledBack, reason
	}
	settled := r.trackOthers(s, fleet, now)
	newSlots, _ := slots(s.Version, fleet.Offers)
	switch {
	case s.Phase == PhaseCanary:
		return l.decideCanary(r, s, fleet, now)
	case newSlots == 0:
		return PhaseRolledBack, "servers of the version are gone"
	case s.Phase == PhaseShift && now.Sub(s.Entered) >= shiftTime:
		return PhaseSettle, "all calls moved"
	case s.Phase == PhaseSettle && settled:
		return PhaseCompleted, "no call runs at the other servers"
	}
	return s.Phase, s.Reason
}

// decideCanary is decide in PhaseCanary. It ends in a roll-back when too little time is left
// to move all calls.
func (l *Leader) decideCanary(r *lead, s *State, fleet Fleet, now time.Time) (Phase, string) {
	s.Canaries = chooseCanaries(s, fleet.Offers, s.canaryShare(l.limits))
	missing := ""
	newSlots, otherSlots := slots(s.Version, fleet.Offers)
	switch {
	case newSlots == 0:
		missing = "no server of the version"
	case float64(newSlots) < minCapacity*float64(otherSlots):
		missing = fmt.Sprintf("servers of the version have %d slots, the others %d", newSlots, otherSlots)
	case r.doubt.Bad:
		missing = "in doubt: " + r.doubt.String()
	default:
		missing = l.missingEvidence(r, s, now)
	}
	if otherSlots > 0 {
		r.aloneSince = time.Time{}
	} else if r.aloneSince.IsZero() {
		r.aloneSince = now
	}
	if otherSlots == 0 && newSlots > 0 && now.Sub(r.aloneSince) >= lostTime {
		return PhaseSettle, "there is no other server"
	}
	last := max(s.Duration-shiftTime-minSettleTime, s.ShiftAt().Sub(s.Ordered)+minSettleTime)
	switch {
	case now.Sub(s.Ordered) >= last:
		return PhaseRolledBack, "no time to move all calls: " + cmp.Or(missing, "ready too late")
	case missing == "" && !now.Before(s.ShiftAt()):
		return PhaseShift, "good so far"
	}
	return s.Phase, s.Reason
}

// slots returns the slots of the usable servers of the version and of the others.
func slots(version string, offers []Offer) (next, others int) {
	for _, o := range offers {
		switch {
		case !o.Usable:
		case o.Version == version:
			next += o.Slots
		default:
			others += o.Slots
		}
	}
	return next, others
}

// missingEvidence returns what is missing before the calls may move, or "". Routes that have
// many calls elsewhere must have some at the canaries.
func (l *Leader) missingEvidence(r *lead, s *State, now time.Time) string {
	all := func(rep *report) Tallies { return rep.counts }
	version, others := r.evidence(s.Version, now, all)
	next, calls := r.exposure(s.Version)
	projected := float64(calls) * s.Duration.Seconds() / max(1, now.Sub(s.Ordered).Seconds())
	if len(others) > 0 && projected <= l.limits.Slack {
		return "" // even all calls are within the bound
	}
	need := min(maxEvidence, max(minEvidence, int(evidencePart*float64(calls))))
	if next < need {
		return fmt.Sprintf("%d of %d calls at servers of the version", next, need)
	}
	answered := func(servers []Tallies, route string) (n int) {
		for _, t := range servers {
			if t[route] != nil {
				n += t[route].Calls
			}
		}
		return n
	}
	routes := map[string]bool{}
	for _, t := range others {
		for route := range t {
			routes[route] = true
		}
	}
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		if n := answered(others, route); n*10 >= calls && answered(version, route) < minEvidence/2 {
			return "few calls on route " + route
		}
	}
	return ""
}

// chooseCanaries returns the instances whose servers get calls in PhaseCanary: as many as get
// the load of an old server each, and those that are canaries already first.
func chooseCanaries(s *State, offers []Offer, share float64) []string {
	var candidates []string
	others := 0
	for _, o := range offers {
		switch {
		case !o.Usable:
		case o.Version == s.Version:
			candidates = append(candidates, o.Instance)
		default:
			others++
		}
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(s.Order + "\x00" + name) }
	slices.SortFunc(candidates, func(a, b string) int {
		isCanary := func(name string) int {
			if slices.Contains(s.Canaries, name) {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(isCanary(a), isCanary(b)), cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	count := max(minCanaries, min(maxCanaries, int(share*float64(others))))
	if others >= manyServers {
		count = max(count, usualCanaries)
	}
	kept := 0 // canaries stay when other servers are out of view for a moment
	for _, name := range candidates {
		if slices.Contains(s.Canaries, name) {
			kept++
		}
	}
	count = max(count, kept)
	out := slices.Clone(candidates[:min(count, len(candidates))])
	slices.Sort(out)
	return out
}

// trackOthers reports whether nothing runs at the other servers: their gates have reported it
// for the present state, or they are gone for longer than a call takes. A node that was lost
// may still run calls, so it is waited for until shortly before the time limit.
func (r *lead) trackOthers(s *State, fleet Fleet, now time.Time) bool {
	offered, settled := map[string]bool{}, true
	for _, o := range fleet.Offers {
		offered[o.Instance] = true
		delete(r.lost, o.Instance)
		if o.Version == s.Version {
			continue
		}
		r.present[o.Instance] = true
		rep := r.reports[o.Instance]
		if rep == nil || rep.idle != s.Number || rep.incarnation != o.Incarnation {
			settled = false
		}
	}
	for instance := range r.present {
		if offered[instance] {
			continue
		}
		if r.lost[instance].IsZero() {
			r.lost[instance] = now
		}
		rep := r.reports[instance]
		confirmed := rep != nil && rep.idle == s.Number
		gone := now.Sub(r.lost[instance]) >= lostTime && (fleet.Members[instance] || now.Sub(s.Ordered) >= s.Duration-time.Second)
		if !confirmed && !gone {
			settled = false
		}
	}
	return settled
}

// Progress is what operators see of a roll-out.
type Progress struct {
	State
	Share   float64 // of attempts that entry nodes send to the new version
	Calls   int     // of the version since the order
	Total   int     // of the service since the order
	Verdict Verdict
}

// Progress returns what this node knows of all roll-outs. Counts are known to the leader only.
func (l *Leader) Progress(now time.Time) (out []Progress) {
	for _, s := range l.board.All() {
		p := Progress{State: s, Share: s.EntryShare(l.limits, now)}
		l.mu.Lock()
		if r := l.leads[s.Service]; r != nil && r.order == s.Order {
			p.Calls, p.Total = r.exposure(s.Version)
			p.Verdict = r.verdict
		}
		l.mu.Unlock()
		out = append(out, p)
	}
	return out
}

// OrderID returns the identifier of an order by the era and the revision of its creation.
func OrderID(era, revision uint64) string {
	return strconv.FormatUint(era, 10) + "." + strconv.FormatUint(revision, 10)
}
