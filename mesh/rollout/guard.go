package rollout

// This file decides at a gate which calls may run at its backend server. The gate is the
// only way to the server, so what it refuses has not run.

import (
	"maps"
	"slices"
	"sync"
	"time"

	"caroblift.dev/wire"
)

// Server is a backend server as its gate knows it.
type Server struct {
	Service string
	Version string
	Name    string // of its incarnation
	Epoch   uint64
	Cold    bool
	Unknown bool // the server has not announced itself, so its version is not known
}

// Result is the result of a call for the verdict on a version.
type Result int

// Results of calls.
const (
	ResultAnswered Result = iota
	ResultFailed
	ResultRejected // by the server, without being run
	ResultCanceled // by its caller or by its deadline, or not sent
)

const (
	maxRoutes   = 16                      // that are counted apart
	otherRoutes = "*"                     // the name of all others
	gapLimit    = 1500 * time.Millisecond // between two ticks, from which the node counts as paused
	// resumeTime bounds how long a gate that was paused waits for news of a roll-out before it
	// admits calls again. Nodes hear of each other in heartbeats of 0.5 s.
	resumeTime = 3 * time.Second
)

// Guard decides which calls may run at the backend server of a node while its service moves
// to another version. Its methods may be called concurrently.
type Guard struct {
	board  *Board
	limits Limits
	self   string // name of the instance

	mu         sync.Mutex
	order      string // that is counted
	server     Server
	seenAt     time.Time // of the server
	routes     Tallies
	running    map[*Run]bool
	tokens     float64
	refilledAt time.Time
	tickedAt   time.Time
	resumedAt  time.Time
	refused    uint64
}

// NewGuard returns the guard of the gate of an instance.
func NewGuard(board *Board, limits Limits, instance string) *Guard {
	return &Guard{board: board, limits: limits, self: instance, routes: Tallies{}, running: map[*Run]bool{}}
}

// Tick notices pauses of the process. It is to be called several times a second.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectPause(now)
}

func (g *Guard) detectPause(now time.Time) {
	if !g.tickedAt.IsZero() && now.Sub(g.tickedAt) > gapLimit {
		g.resumedAt = now
	}
	g.tickedAt = now
}

// SetServer records the server beside the node; it counts as cold for some time when it is new.
func (g *Guard) SetServer(server Server, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setServer(server, now)
}

// Admit reports whether a call may run at the server now. It takes the call from the
// allowance of a canary.
func (g *Guard) Admit(server Server, now time.Time) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setServer(server, now)
	ok := g.admit(server, now)
	if !ok {
		g.refused++
	}
	return ok
}

// Refused returns the number of calls refused so far.
func (g *Guard) Refused() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

func (g *Guard) admit(server Server, now time.Time) bool {
	s, ok := g.board.Get(server.Service)
	if !ok || s.Phase == PhaseNone {
		return g.board.Known()
	}
	if server.Unknown {
		return false
	}
	if server.Version != s.Version {
		return g.admitOther(&s, now)
	}
	switch s.Phase {
	case PhaseCanary:
		return !s.Halted && now.Sub(s.Heard) < staleAtGate && slices.Contains(s.Canaries, g.self) && g.takeToken(&s, now)
	case PhaseShift:
		return !s.Halted && now.Sub(s.Heard) < staleAtGate
	case PhaseSettle:
		return !s.Halted
	}
	return s.Phase == PhaseCompleted
}

// admitOther decides for a server that is not of the new version. After a pause the service
// may have moved, and the server may be stopped at any time.
func (g *Guard) admitOther(s *State, now time.Time) bool {
	g.detectPause(now)
	if s.Phase.Active() && now.Sub(g.resumedAt) < resumeTime && s.Heard.Before(g.resumedAt) {
		return false
	}
	return s.Phase == PhaseCanary || s.Phase == PhaseShift || s.Phase == PhaseRolledBack
}

// takeToken takes a call from the allowance, of which each canary has its part.
func (g *Guard) takeToken(s *State, now time.Time) bool {
	canaries := float64(len(s.Canaries))
	rate := s.canaryRate(g.limits, now) / canaries
	burst := max(2, g.limits.Slack/exposureDivisor/canaries/2, rate*pulsePeriod.Seconds())
	g.tokens = min(burst, g.tokens+rate*max(0, now.Sub(g.refilledAt).Seconds()))
	g.refilledAt = now
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// setServer forgets what concerns an earlier server or order.
func (g *Guard) setServer(server Server, now time.Time) {
	s, _ := g.board.Get(server.Service)
	same := server.Service == g.server.Service && server.Version == g.server.Version && server.Name == g.server.Name && server.Epoch == g.server.Epoch
	if !same {
		g.seenAt = now
	}
	g.server = server
	if same && s.Order == g.order {
		return
	}
	g.order, g.routes, g.tokens, g.refilledAt = s.Order, Tallies{}, 0, now
	clear(g.running)
}

// Run is a call that runs at the server.
type Run struct {
	guard *Guard
	route string
	began time.Time
	cold  bool // the server had just started when the call began
}

// Begin counts a call that was admitted. It returns nil if the service does not move.
func (g *Guard) Begin(server Server, route string, now time.Time) *Run {
	if g == nil {
		return nil
	}
	if s := (*g.board.Snapshot())[server.Service]; s == nil || !s.Phase.Active() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setServer(server, now)
	r := &Run{guard: g, route: route, began: now, cold: server.Cold || now.Sub(g.seenAt) < warmTime}
	g.running[r] = true
	return r
}

// End records the result of a call. A nil Run records nothing.
func (r *Run) End(result Result, now time.Time) {
	if r == nil {
		return
	}
	g := r.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running[r] {
		return // of an earlier server or order
	}
	delete(g.running, r)
	t := g.tally(r.route)
	bucket := r.bucket(now)
	switch result {
	case ResultAnswered:
		t.Calls++
		t.Durations[bucket]++
	case ResultFailed:
		t.Calls++
		t.Failures++
	case ResultRejected:
		t.Rejected++
	case ResultCanceled:
		t.Pending[bucket]++
	}
}

// Broken records that the answer to a call that was recorded as answered broke off.
func (r *Run) Broken() {
	if r == nil {
		return
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.guard.tally(r.route).Failures++
}

// tally returns the counts of a route.
func (g *Guard) tally(route string) *Tally {
	if g.routes[route] == nil && len(g.routes) >= maxRoutes {
		route = otherRoutes
	}
	if g.routes[route] == nil {
		g.routes[route] = &Tally{}
	}
	return g.routes[route]
}

// bucket returns the bucket of the duration of a call until now, as a warm server would have
// taken.
func (r *Run) bucket(now time.Time) int {
	d := now.Sub(r.began)
	if r.cold {
		d /= coldFactor
	}
	return bucketOf(d)
}

// Evidence returns what the leader needs of this gate, or nil if the service of its server
// does not move. idle says that no call runs at the server or waits for it. It must be read
// while no call can be admitted.
func (g *Guard) Evidence(server Server, idle bool, now time.Time) *wire.RolloutEvidence {
	s, ok := g.board.Get(server.Service)
	if !ok || !s.Phase.Active() || server.Unknown {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setServer(server, now)
	out := &wire.RolloutEvidence{Service: server.Service, Version: server.Version, Order: s.Order, Epoch: server.Epoch}
	if idle && s.Phase == PhaseSettle && server.Version != s.Version {
		out.Idle = s.Number
	}
	pending := map[string]*Histogram{}
	for r := range g.running {
		if pending[r.route] == nil {
			pending[r.route] = &Histogram{}
		}
		pending[r.route][r.bucket(now)]++
		g.tally(r.route)
	}
	for _, route := range slices.Sorted(maps.Keys(g.routes)) {
		t := *g.routes[route]
		if p := pending[route]; p != nil {
			t.Pending.add(p)
		}
		out.Routes = append(out.Routes, encodeTally(route, &t))
	}
	return out
}

// ReportInterval returns how often the gate is to report to the leader, or 0 if not at all:
// often where the verdict or the next phase depends on it, and rarely at the other servers.
// The reports of gates that learned of an order at the same time have to be spread by chance.
func (g *Guard) ReportInterval(server Server) time.Duration {
	s, ok := g.board.Get(server.Service)
	if !ok || !s.Phase.Active() {
		return 0
	}
	isNew := server.Version == s.Version
	switch {
	case s.Phase == PhaseCanary && isNew && slices.Contains(s.Canaries, g.self):
		return s.interval(maxNewInterval)
	case s.Phase == PhaseCanary && isNew:
		return 0
	case s.Phase == PhaseCanary:
		return s.interval(maxOtherInterval)
	case isNew || s.Phase == PhaseSettle:
		return s.interval(maxNewInterval)
	}
	return s.interval(maxOtherInterval)
}

const (
	// intervalPerServer bounds the reports to the leader to 80 a second, where the intervals
	// below allow it.
	intervalPerServer = 12 * time.Millisecond
	minInterval       = 100 * time.Millisecond
	maxNewInterval    = 300 * time.Millisecond // of gates on which the verdict or the next phase depends
	maxOtherInterval  = time.Second
	// unknownInterval holds until the number of servers is known. The canaries get no calls
	// before the rate of the service is known.
	unknownInterval = 500 * time.Millisecond
)

// interval returns how often gates report: the more servers there are, the less often.
func (s *State) interval(longest time.Duration) time.Duration {
	if s.Load <= 0 || s.Rate <= 0 {
		return min(unknownInterval, longest)
	}
	return min(longest, max(minInterval, time.Duration(s.Rate/s.Load*float64(intervalPerServer))))
}
