package quota

// This file adds up the calls of a subtree and passes on the totals of the fleet.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"caroblift.dev/wire"
)

const (
	// maxEntries is the number of workspaces in one message; those with most calls are
	// kept.
	maxEntries = 1024
	// reportedFor is how long after its last call a workspace is in the node's reports.
	reportedFor = 5 * time.Second
	// reserveTime is how long the calls of nodes that are no longer heard from remain in
	// the totals, since such nodes may still admit by their last share.
	reserveTime = leaseTime
	// tightReserve is the factor of the reserve while calls are refused: nodes that are cut
	// off may admit up to their share of the quota, of which they had used a part.
	tightReserve = 1.6
	// minPart is the part of the members that a node without a parent must hear from to
	// form totals. With fewer, it is more likely that it is cut off than that the others are
	// gone, and it and its subtree keep their last shares. It is below a half, since half of
	// the nodes may be killed at once.
	minPart = 0.4
	// membersTime is how long members that are gone count for minPart.
	membersTime = time.Minute
	// startTime is how long after its start a node without a parent forms no totals. It may
	// not know the other nodes yet.
	startTime = 3 * time.Second
	// startNodes is the least number of nodes that a starting node takes for the whole.
	startNodes = 16
)

// tree is what a node knows of its subtree and of the fleet.
type tree struct {
	mu       sync.Mutex
	groups   map[string]*group // the children, and the node itself under the empty name
	sums     map[uint64]counts // over the groups
	nodes    int               // in the groups
	measured float64           // sum over the nodes of the end of the counted second, in seconds since the start
	root     bool              // whether the node has no parent
	members  membersSeen       // within reserveTime
	longAgo  membersSeen       // within membersTime

	totals      map[uint64]counts // from the parent, or the last sums and reserve of a root
	totalNodes  int
	totalTime   time.Duration // end of the counted second, as a mean
	receivedAt  time.Duration
	totalsKnown bool
	formed      bool // whether the node formed the totals itself, as a root
	hot         hotList
	reserve     reserve
	reported    snapshot // sums in the last heartbeat to the parent
	answered    snapshot // sums in the heartbeat whose response brought the totals
}

// snapshot is the sums of a subtree at an earlier time.
type snapshot struct {
	calls map[uint64]counts
	nodes int
}

// group is the usage of a child's subtree.
type group struct {
	usage    *wire.Usage
	measured float64 // nodes times the end of the counted second, in seconds since the start
}

// reserve holds calls of nodes that a root no longer hears from.
type reserve struct {
	nodes int
	since time.Duration
	calls map[uint64]counts
	basis map[uint64]counts // totals when the nodes were lost
}

// membersSeen is the largest number of members in the current and the last period.
type membersSeen struct {
	current, previous int
	period, since     time.Duration
}

func (m *membersSeen) add(n int, at time.Duration) {
	if at-m.since > m.period {
		m.previous, m.current, m.since = m.current, 0, at
	}
	m.current = max(m.current, n)
}

func (m *membersSeen) count() int { return max(m.current, m.previous) }

func newTree() tree {
	return tree{
		groups: map[string]*group{}, sums: map[uint64]counts{}, totals: map[uint64]counts{}, root: true, hot: hotList{until: map[uint64]time.Duration{}},
		members: membersSeen{period: reserveTime}, longAgo: membersSeen{period: membersTime},
	}
}

// Subtree returns the usage of the node and of its children's subtrees, for the
// heartbeat to the parent. It is nil until a node has calls of a workspace with a quota.
func (l *Limiter) Subtree(now time.Time) *wire.Usage {
	if !l.active.Load() {
		return nil
	}
	at := now.Sub(l.start)
	l.countOwn(at)
	t := &l.tree
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]uint64, 0, len(t.sums))
	for id := range t.sums {
		ids = append(ids, id)
	}
	t.reported = snapshot{maps.Clone(t.sums), t.nodes}
	return encode(ids, t.sums, t.nodes, at-t.meanTime())
}

// countOwn renews the node's own part of the sums.
func (l *Limiter) countOwn(at time.Duration) {
	own := &wire.Usage{Nodes: 1, Age: uint32((at - time.Duration(slotOf(at))*slotTime).Milliseconds())}
	l.mu.RLock()
	idle := false
	for _, b := range l.buckets {
		b.mu.Lock()
		if at-b.called <= reportedFor {
			own.Workspaces = append(own.Workspaces, b.id)
			own.Offered = append(own.Offered, b.offered.before(at, reported))
			own.Admitted = append(own.Admitted, b.admitted.before(at, reported))
		}
		idle = idle || at-b.called > idleAfter
		b.mu.Unlock()
	}
	l.mu.RUnlock()
	if idle {
		l.removeIdle(at)
	}
	l.tree.mu.Lock()
	defer l.tree.mu.Unlock()
	l.tree.setGroup("", own, at)
}

// meanTime returns when the counted second ended, as a mean over the nodes.
func (t *tree) meanTime() time.Duration {
	return time.Duration(t.measured / float64(max(t.nodes, 1)) * float64(time.Second))
}

// setGroup replaces the usage of a group in the sums; nil removes it.
func (t *tree) setGroup(name string, u *wire.Usage, at time.Duration) {
	if old := t.groups[name]; old != nil {
		t.nodes -= int(old.usage.GetNodes())
		t.measured -= old.measured
		for i, id := range old.usage.GetWorkspaces() {
			c := t.sums[id]
			c.offered -= old.usage.Offered[i]
			c.admitted -= old.usage.Admitted[i]
			t.sums[id] = c
		}
		if lost := int(old.usage.GetNodes()) - int(u.GetNodes()); lost > 0 {
			t.addLost(old.usage, lost, at)
		}
	}
	if u != nil {
		g := &group{usage: u, measured: float64(u.GetNodes()) * (at - time.Duration(u.GetAge())*time.Millisecond).Seconds()}
		t.nodes += int(u.GetNodes())
		t.measured += g.measured
		for i, id := range u.GetWorkspaces() {
			c := t.sums[id]
			c.offered += u.Offered[i]
			c.admitted += u.Admitted[i]
			t.sums[id] = c
		}
		t.groups[name] = g
	} else {
		delete(t.groups, name)
	}
}

// valid reports whether the parts of a usage from another node fit together.
func valid(u *wire.Usage) bool {
	n := len(u.GetWorkspaces())
	return u.GetNodes() > 0 && len(u.GetOffered()) == n && len(u.GetAdmitted()) == n && n <= maxEntries
}

// HandleChild records the usage of a child's subtree, and returns the totals for the
// response: of the workspaces that the child reports, and of those that are close to
// their quota or whose calls increase.
func (l *Limiter) HandleChild(name string, u *wire.Usage, now time.Time) *wire.Usage {
	at := now.Sub(l.start)
	t := &l.tree
	t.mu.Lock()
	defer t.mu.Unlock()
	if valid(u) {
		l.active.Store(true)
		t.setGroup(name, u, at)
	} else if !l.active.Load() {
		return nil
	}
	if t.root && (t.minority() || !t.totalsKnown) {
		return &wire.Usage{} // only tells the child to count calls
	}
	if t.root {
		if t.hot.due(at) {
			for id := range t.sums {
				t.hot.note(id, t.rootTotal(id), at)
			}
		}
		return t.rootTotals(t.hot.add(u.GetWorkspaces()), at)
	}
	if !t.totalsKnown || at-t.receivedAt > relevantTime {
		return nil
	}
	ids := t.hot.add(u.GetWorkspaces())
	all := make(map[uint64]counts, len(ids))
	for _, id := range ids {
		all[id] = t.currentTotal(id)
	}
	return encode(ids, all, t.totalNodes, at-t.totalTime)
}

// currentTotal returns the total of a node with a parent, with the changes in its
// subtree since the heartbeat whose response brought the total. An increase in the
// subtree beyond chance is expected in the whole fleet. The calls of nodes that have
// joined the subtree since are in the total already, so that the earlier sums are scaled
// to the present nodes, and the total is left as it is if these are very different.
func (t *tree) currentTotal(id uint64) counts {
	c, now, then := t.totals[id], t.sums[id], t.answered.calls[id]
	scale := float64(t.nodes) / float64(max(t.answered.nodes, 1))
	if math.Abs(scale-1) > maxScale {
		return c
	}
	return counts{extrapolate(c.offered, now.offered, then.offered, scale), extrapolate(c.admitted, now.admitted, then.admitted, scale)}
}

// maxScale is the relative change in the number of nodes of a subtree up to which the
// calls before and after it are compared.
const maxScale = 0.25

func extrapolate(total, now, then uint32, scale float64) uint32 {
	then = uint32(math.Round(float64(then) * scale))
	changed := max(total+now, then) - then
	if g := growth(now, then); g > 1 {
		return max(changed, uint32(float64(total)*g))
	}
	return changed
}

// rootTotals returns the totals of a node without a parent.
func (t *tree) rootTotals(ids []uint64, at time.Duration) *wire.Usage {
	all := make(map[uint64]counts, len(ids))
	for _, id := range ids {
		all[id] = t.rootTotal(id)
	}
	return encode(ids, all, t.rootNodes(), at-t.meanTime())
}

// rootTotal returns the total of one workspace at a node without a parent. While more
// nodes are counted than there are, since some have moved to another parent, the sums
// are scaled down.
func (t *tree) rootTotal(id uint64) counts {
	c, r := t.sums[id], t.reserve.calls[id]
	if n := t.members.count(); t.nodes > n {
		part := float64(n) / float64(t.nodes)
		c.offered, c.admitted = uint32(math.Round(float64(c.offered)*part)), uint32(math.Round(float64(c.admitted)*part))
	}
	basis := t.reserve.basis[id]
	reserved := counts{grown(r.offered, c.offered, basis.offered), grown(r.admitted, c.admitted, basis.admitted)}
	if c.tight() {
		reserved.admitted = max(reserved.admitted, uint32(tightReserve*float64(r.admitted)))
	}
	return counts{c.offered + reserved.offered, c.admitted + reserved.admitted}
}

// grown returns the reserved calls of missing nodes. As far as the nodes that are heard
// from have more calls than all nodes had together, callers that moved do not explain it,
// and the missing nodes are expected to have proportionally more as well.
func grown(reserved, heard, basis uint32) uint32 {
	if reserved == 0 || heard <= basis {
		return reserved
	}
	return uint32(float64(reserved) * float64(heard) / float64(max(basis, 1)))
}

// starting reports whether the node may not know yet which nodes there are.
func (t *tree) starting(members int, at time.Duration) bool {
	return !t.totalsKnown && at < startTime && (members < 2 || t.nodes < members)
}

// minority reports whether the node hears from too few nodes to form totals.
func (t *tree) minority() bool { return float64(t.nodes) < minPart*float64(t.longAgo.count()) }

// rootNodes returns the number of nodes in the total of a node without a parent. Nodes
// that report nothing have no calls.
func (t *tree) rootNodes() int { return max(t.members.count(), 1) }

// encode returns the counts of the given workspaces, without duplicates.
func encode(ids []uint64, of map[uint64]counts, nodes int, age time.Duration) *wire.Usage {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) > maxEntries {
		slices.SortFunc(ids, func(a, b uint64) int { return cmp.Compare(of[b].offered, of[a].offered) })
		ids = ids[:maxEntries]
	}
	u := &wire.Usage{
		Workspaces: ids, Offered: make([]uint32, len(ids)), Admitted: make([]uint32, len(ids)),
		Nodes: uint32(nodes), Age: uint32(max(age, 0).Milliseconds()),
	}
	for i, id := range ids {
		u.Offered[i], u.Admitted[i] = of[id].offered, of[id].admitted
	}
	return u
}

// DropChild removes a child that has moved to another parent or is no longer heard
// from.
func (l *Limiter) DropChild(name string, now time.Time) {
	l.tree.mu.Lock()
	defer l.tree.mu.Unlock()
	l.tree.setGroup(name, nil, now.Sub(l.start))
}

// HandleTotals records the totals in a parent's response; nil if it had none.
func (l *Limiter) HandleTotals(u *wire.Usage, now time.Time) {
	if u != nil {
		l.active.Store(true)
	}
	if !valid(u) {
		return
	}
	at := now.Sub(l.start)
	t := &l.tree
	t.mu.Lock()
	t.root, t.formed, t.reserve, t.answered = false, false, reserve{}, t.reported
	t.totals = make(map[uint64]counts, len(u.GetWorkspaces()))
	for i, id := range u.GetWorkspaces() {
		t.totals[id] = counts{u.Offered[i], u.Admitted[i]}
	}
	t.totalNodes, t.totalTime, t.receivedAt, t.totalsKnown = int(u.GetNodes()), at-time.Duration(u.GetAge())*time.Millisecond, at, true
	for id, c := range t.totals {
		t.hot.note(id, c, at)
		if _, ok := t.answered.calls[id]; !ok { // the parent lists it to all its children
			t.hot.keep(id, at)
		}
	}
	t.hot.finish(t.totals, at)
	t.mu.Unlock()
	l.apply(at)
}

// Tick performs the periodic work. root says whether the node has no parent, and
// members is the number of live members that it knows.
func (l *Limiter) Tick(now time.Time, root bool, members int) {
	at := now.Sub(l.start)
	t := &l.tree
	if !l.active.Load() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.root = root
		t.members.add(members, at)
		t.longAgo.add(members, at)
		l.setNodes(t.members.count(), at)
		return
	}
	l.countOwn(at)
	t.mu.Lock()
	t.members.add(members, at)
	t.longAgo.add(members, at)
	t.root = root
	t.removeUnreported()
	if !root || t.minority() || t.starting(members, at) {
		known, n := t.totalsKnown, t.members.count()
		t.mu.Unlock()
		if !known {
			l.setNodes(n, at)
		}
		return
	}
	t.updateReserve(at)
	t.totals = make(map[uint64]counts, len(t.sums))
	for id := range t.sums {
		t.totals[id] = t.rootTotal(id)
	}
	for id := range t.reserve.calls {
		t.totals[id] = t.rootTotal(id)
	}
	t.totalNodes, t.totalTime, t.receivedAt, t.totalsKnown, t.formed = t.rootNodes(), t.meanTime(), at, true, true
	for id, c := range t.totals {
		t.hot.note(id, c, at)
	}
	t.hot.finish(t.totals, at)
	t.mu.Unlock()
	l.apply(at)
}

// setNodes sets the number of nodes that is used before the first total.
func (l *Limiter) setNodes(n int, at time.Duration) {
	if at < startTime {
		n = max(n, startNodes)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.nodes, l.fleet.settled = max(n, 1), at >= startTime
}

// removeUnreported removes workspaces that no group reports any more from the sums.
func (t *tree) removeUnreported() {
	reported := make(map[uint64]bool, len(t.sums))
	for _, g := range t.groups {
		for _, id := range g.usage.GetWorkspaces() {
			reported[id] = true
		}
	}
	maps.DeleteFunc(t.sums, func(id uint64, _ counts) bool { return !reported[id] })
}

// updateReserve compares the nodes that a root hears from with those of its last
// totals. The calls of missing nodes remain in the totals for a time.
func (t *tree) updateReserve(at time.Duration) {
	r := &t.reserve
	if !t.formed { // the totals are of another root
		*r = reserve{nodes: max(t.totalNodes-t.nodes, 0), since: at, calls: map[uint64]counts{}, basis: t.totals}
		for id, total := range t.totals {
			c := t.sums[id]
			r.calls[id] = counts{max(total.offered, c.offered) - c.offered, max(total.admitted, c.admitted) - c.admitted}
		}
	}
	missing := min(t.totalNodes, max(t.members.count(), t.nodes)) - t.nodes
	if missing <= 0 || at-r.since > reserveTime {
		*r = reserve{}
	} else if missing < r.nodes {
		r.scale(float64(missing) / float64(r.nodes))
		r.nodes = missing
	}
}

// addLost adds the calls of nodes that a group no longer has, as their part of the group.
func (t *tree) addLost(u *wire.Usage, nodes int, at time.Duration) {
	r := &t.reserve
	if r.calls == nil {
		r.calls = map[uint64]counts{}
	}
	r.nodes, r.since, r.basis = r.nodes+nodes, at, t.totals
	part := float64(nodes) / float64(u.GetNodes())
	for i, id := range u.GetWorkspaces() {
		c := r.calls[id]
		c.offered += uint32(math.Round(float64(u.Offered[i]) * part))
		c.admitted += uint32(math.Round(float64(u.Admitted[i]) * part))
		r.calls[id] = c
	}
}

func (r *reserve) scale(factor float64) {
	for id, c := range r.calls {
		r.calls[id] = counts{uint32(float64(c.offered) * factor), uint32(float64(c.admitted) * factor)}
	}
}

// apply passes the totals to the buckets.
func (l *Limiter) apply(at time.Duration) {
	l.tree.mu.Lock()
	defer l.tree.mu.Unlock()
	t := &l.tree
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = fleet{known: true, nodes: max(t.totalNodes, 1), measuredAt: t.totalTime, receivedAt: at, interval: l.interval}
	for id, c := range t.totals {
		if b := l.byID[id]; b != nil {
			b.handleTotal(c, l.fleet)
		}
	}
}
