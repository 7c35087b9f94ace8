package member

// This file simulates a fleet of agents whose messages are delivered with faults.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// world is a simulated fleet with its clock and the faults of its network. loss,
// duplicate and reorder are probabilities per message.
type world struct {
	rand             *rand.Rand
	now              time.Time
	nodes            map[string]*host
	names            []string
	cut              func(from, to string) bool
	loss             float64 // of requests and answers
	duplicate        float64
	reorder          float64 // of a second delivery of a request, later
	delayed          []delayedMessage
	sent             int
	sentByKind       map[ActionKind]int
	platformDown     bool
	seeds            []string
	hasMeetingPoints bool              // nodes have meeting points in place of seeds
	points           []*wire.Member    // meeting points; nil for one joined node of each failure domain
	onDiscover       func(name string) // called with each node that reads the meeting points; may be nil
}

// host is one simulated instance.
type host struct {
	agent    *Agent
	domain   string
	starts   uint64
	up       bool
	paused   bool
	leftAt   time.Time         // when it began to leave; zero before
	deadSeen map[string]uint64 // newest dead incarnation that this instance has seen, by name
}

// delayedMessage is a message that is delivered later than it was sent.
type delayedMessage struct {
	dueAt   time.Time
	to      string
	deliver func(a *Agent)
}

const testHeartbeat = time.Second

func newWorld(seed uint64, domains ...string) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000), nodes: map[string]*host{},
		cut: func(string, string) bool { return false }, seeds: []string{"n0", "n1"},
	}
	for i, d := range domains {
		name := fmt.Sprintf("n%d", i)
		w.names = append(w.names, name)
		w.nodes[name] = &host{domain: d}
		w.start(name, uint64(w.now.UnixMilli()))
		w.run(testHeartbeat)
	}
	return w
}

// start starts or restarts an instance without state.
func (w *world) start(name string, incarnation uint64) {
	n := w.nodes[name]
	n.up, n.paused, n.leftAt, n.deadSeen = true, false, time.Time{}, map[string]uint64{}
	n.starts++
	n.agent = New(Config{
		Heartbeat: testHeartbeat, SuspicionTimeout: 3 * testHeartbeat, Seeds: w.seeds, HasMeetingPoints: w.hasMeetingPoints, Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	}, &wire.Member{
		Name: name, Peer: name, Hop: name, Domain: n.domain, Incarnation: incarnation, State: wire.State_STATE_ALIVE,
		Servers: []*wire.Server{{Service: "quotes", Slots: 1, Epoch: n.starts}},
	}, w.now)
}

// run advances the clock, delivers the messages that are due and ticks the agents.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testHeartbeat / beatTicks)
		var rest []delayedMessage
		due := w.delayed
		w.delayed = nil
		for _, msg := range due {
			if n := w.nodes[msg.to]; msg.dueAt.After(w.now) || n.paused {
				rest = append(rest, msg)
			} else if n.up {
				msg.deliver(n.agent)
			}
		}
		w.delayed = append(w.delayed, rest...)
		for _, name := range w.names {
			if n := w.nodes[name]; n.up && !n.paused {
				w.perform(name, n.agent.Tick(w.now))
				n.recordDead()
			}
		}
	}
}

// recordDead updates deadSeen from the table.
func (n *host) recordDead() {
	for name, e := range n.agent.table.entries {
		n.deadSeen[name] = max(n.deadSeen[name], e.deadIncarnation)
	}
}

// perform carries out actions and those that follow from their outcomes.
func (w *world) perform(from string, actions []Action) {
	for _, act := range actions {
		w.perform(from, w.send(from, act))
	}
}

// deliver returns the agent that a message reaches, or nil. A paused instance reads
// the message when it runs again. Duplicated deliveries call do.
func (w *world) deliver(from, to string, do func(*Agent)) *Agent {
	n := w.nodes[to]
	if n == nil || !n.up || w.cut(from, to) || w.rand.Float64() < w.loss {
		return nil
	}
	if n.paused {
		w.delayed = append(w.delayed, delayedMessage{w.now, to, do})
		return nil
	}
	if w.rand.Float64() < w.duplicate {
		do(n.agent)
	}
	if w.rand.Float64() < w.reorder {
		w.delayed = append(w.delayed, delayedMessage{w.now.Add(time.Duration(w.rand.IntN(10000)) * time.Millisecond), to, do})
	}
	return n.agent
}

// answered reports whether the answer to a request arrives.
func (w *world) answered(from, to string) bool { return !w.cut(to, from) && w.rand.Float64() >= w.loss }

func (w *world) send(from string, act Action) []Action {
	w.sent++
	if w.sentByKind != nil {
		w.sentByKind[act.Kind]++
	}
	a := w.nodes[from].agent
	switch act.Kind {
	case Sync, SyncPush:
		var resp *wire.SyncResponse
		req := proto.CloneOf(act.Sync)
		if to := w.deliver(from, act.Addr, func(b *Agent) { b.HandleSync(w.now, proto.CloneOf(req)) }); to != nil {
			resp = proto.CloneOf(to.HandleSync(w.now, req))
		}
		if act.Kind == SyncPush {
			return nil
		}
		if !w.answered(from, act.Addr) {
			resp = nil
		}
		return a.SyncDone(w.now, act, resp)
	case Join:
		var resp *wire.JoinResponse
		req := proto.CloneOf(act.Join)
		if to := w.deliver(from, act.Addr, func(b *Agent) { b.HandleJoin(w.now, proto.CloneOf(req)) }); to != nil && w.answered(from, act.Addr) {
			resp = proto.CloneOf(to.HandleJoin(w.now, req))
		}
		a.JoinDone(w.now, act, resp)
		return nil
	case Discover, DiscoverFleets:
		if w.onDiscover != nil {
			w.onDiscover(from)
		}
		a.DiscoverDone(w.now, w.meetingPoints())
		return nil
	}
	resp := w.probe(from, act)
	if act.Kind == Gossip {
		return nil
	}
	return a.ProbeDone(w.now, act, resp)
}

// meetingPoints returns one member of each failure domain, as the platform's
// meeting points do.
func (w *world) meetingPoints() []*wire.Member {
	if w.points != nil && !w.platformDown {
		return w.points
	}
	var out []*wire.Member
	domains := map[string]bool{}
	for _, name := range w.names {
		n := w.nodes[name]
		if !w.platformDown && n.up && n.agent.Joined() && !domains[n.domain] {
			domains[n.domain] = true
			out = append(out, &wire.Member{Name: name, Peer: name})
		}
	}
	return out
}

func (w *world) probe(from string, act Action) *wire.ProbeResponse {
	req := proto.CloneOf(act.Probe)
	to := w.deliver(from, act.Addr, func(b *Agent) { b.HandleProbe(w.now, proto.CloneOf(req)) })
	if to == nil {
		return nil
	}
	resp := proto.CloneOf(to.HandleProbe(w.now, req))
	if req.GetTarget() != "" {
		n := w.nodes[req.GetTarget()]
		resp.Reached = n.up && !n.paused && !w.cut(act.Addr, req.GetTarget()) && w.answered(act.Addr, req.GetTarget())
	}
	if !w.answered(from, act.Addr) {
		return nil
	}
	return resp
}

func (w *world) crash(name string) { w.nodes[name].up = false }

func (w *world) pause(name string, d time.Duration) {
	w.nodes[name].paused = true
	w.run(d)
	w.nodes[name].paused = false
}

func (w *world) leave(name string) {
	n := w.nodes[name]
	if n.up && !n.paused && n.leftAt.IsZero() {
		n.leftAt = w.now
		w.perform(name, n.agent.Leave(w.now))
	}
}

// partition cuts off the instances of one failure domain from all others.
func (w *world) partition(domain string) {
	w.cut = func(from, to string) bool {
		return (w.nodes[from].domain == domain) != (w.nodes[to].domain == domain)
	}
}

func (w *world) heal() {
	w.cut = func(string, string) bool { return false }
	w.loss, w.duplicate, w.reorder = 0, 0, 0
}

// routable returns the instances that a node would send new work to.
func (w *world) routable(name string) []string {
	var out []string
	for _, o := range w.nodes[name].agent.View().Offers("quotes") {
		if o.Node.GetState() == wire.State_STATE_ALIVE && !o.Server.GetLeaving() {
			out = append(out, o.Node.GetName())
		}
	}
	return out
}

// expectedRoutable returns the sorted names of the instances that may get new work.
func (w *world) expectedRoutable() []string {
	var out []string
	for _, name := range w.names {
		if n := w.nodes[name]; n.up && n.leftAt.IsZero() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// checkConverged checks that every node that runs has joined and routes to just the
// instances that may get new work.
func (w *world) checkConverged(t require.TestingT) {
	for _, name := range w.names {
		n := w.nodes[name]
		if !n.up || n.paused {
			continue
		}
		require.Equal(t, w.expectedRoutable(), w.routable(name), "what %s routes to", name)
		require.True(t, n.agent.Joined(), "%s has joined", name)
	}
}

// checkInvariants checks what must hold at any time: no table shows an incarnation
// that it has seen dead, and no gossip queue overflows.
func (w *world) checkInvariants(t require.TestingT) {
	for _, name := range w.names {
		n := w.nodes[name]
		if !n.up || n.paused {
			continue
		}
		for _, other := range n.agent.table.liveNames {
			m := n.agent.table.Get(other)
			require.Greater(t, m.GetIncarnation(), n.deadSeen[other], "%s shows a dead incarnation of %s", name, other)
		}
		require.Less(t, n.agent.queue.len(), maxQueuedEvents)
	}
}

// TestMain fixes the seed and the number of checks of rapid, unless they are set on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// TestWorldConverges checks the simulation itself: without faults all views
// converge.
func TestWorldConverges(t *testing.T) {
	w := newWorld(1, "a", "a", "a", "b", "b", "b", "c", "c")
	w.run(10 * testHeartbeat)
	w.checkConverged(t)
	w.checkInvariants(t)
}
