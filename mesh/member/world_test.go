package member

// This file lets agents exchange their messages by hand, with faults.

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

// world holds agents and what happens to messages between them.
type world struct {
	rand    *rand.Rand
	now     time.Time
	nodes   map[string]*host
	names   []string
	cut     func(from, to string) bool
	loss    float64 // of requests and of answers
	double  float64
	reorder float64 // requests that come once more, later
	late    []late
	sent    int
	down    bool // the platform
	seeds   []string
	meets   bool // nodes have meeting points in place of seeds
}

// host is one instance of the world.
type host struct {
	agent  *Agent
	domain string
	life   uint64
	up     bool
	paused bool
	left   time.Time         // when it began to leave
	tombs  map[string]uint64 // incarnations that this instance has seen dead
}

// late is a message that is delivered after its time.
type late struct {
	at time.Time
	to string
	do func(a *Agent)
}

const testBeat = time.Second

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
		w.run(testBeat)
	}
	return w
}

// start begins a new, empty life of an instance.
func (w *world) start(name string, incarnation uint64) {
	n := w.nodes[name]
	n.up, n.paused, n.left, n.tombs = true, false, time.Time{}, map[string]uint64{}
	n.life++
	n.agent = New(Config{
		Beat: testBeat, Suspect: 3 * testBeat, Seeds: w.seeds, Meet: w.meets, Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	}, &wire.Member{
		Name: name, Peer: name, Hop: name, Domain: n.domain, Incarnation: incarnation, State: wire.State_STATE_ALIVE,
		Servers: []*wire.Server{{Service: "quotes", Slots: 1, Epoch: n.life}},
	}, w.now)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testBeat / ticksPerBeat)
		var rest []late
		due := w.late
		w.late = nil
		for _, l := range due {
			if n := w.nodes[l.to]; l.at.After(w.now) || n.paused {
				rest = append(rest, l)
			} else if n.up {
				l.do(n.agent)
			}
		}
		w.late = append(w.late, rest...)
		for _, name := range w.names {
			if n := w.nodes[name]; n.up && !n.paused {
				w.perform(name, n.agent.Tick(w.now))
				n.note()
			}
		}
	}
}

// note remembers the dead that an instance has seen.
func (n *host) note() {
	for name, e := range n.agent.table.members {
		n.tombs[name] = max(n.tombs[name], e.died)
	}
}

func (w *world) perform(from string, actions []Action) {
	for _, act := range actions {
		w.perform(from, w.send(from, act))
	}
}

// reach returns the agent that a message gets to, or nil. What is sent to a
// paused instance is read when it runs again.
func (w *world) reach(from, to string, do func(*Agent)) *Agent {
	n := w.nodes[to]
	if n == nil || !n.up || w.cut(from, to) || w.rand.Float64() < w.loss {
		return nil
	}
	if n.paused {
		w.late = append(w.late, late{w.now, to, do})
		return nil
	}
	if w.rand.Float64() < w.double {
		do(n.agent)
	}
	if w.rand.Float64() < w.reorder {
		w.late = append(w.late, late{w.now.Add(time.Duration(w.rand.IntN(10000)) * time.Millisecond), to, do})
	}
	return n.agent
}

// back tells whether an answer gets back.
func (w *world) back(from, to string) bool { return !w.cut(to, from) && w.rand.Float64() >= w.loss }

func (w *world) send(from string, act Action) []Action {
	w.sent++
	a := w.nodes[from].agent
	switch act.Kind {
	case Sync, Return:
		var resp *wire.SyncResponse
		req := proto.CloneOf(act.Sync)
		if to := w.reach(from, act.Addr, func(b *Agent) { b.Synced(w.now, proto.CloneOf(req)) }); to != nil {
			resp = proto.CloneOf(to.Synced(w.now, req))
		}
		if act.Kind == Return {
			return nil
		}
		if !w.back(from, act.Addr) {
			resp = nil
		}
		return a.SyncDone(w.now, act, resp)
	case Join:
		var resp *wire.JoinResponse
		req := proto.CloneOf(act.Join)
		if to := w.reach(from, act.Addr, func(b *Agent) { b.Joins(w.now, proto.CloneOf(req)) }); to != nil && w.back(from, act.Addr) {
			resp = proto.CloneOf(to.Joins(w.now, req))
		}
		a.JoinDone(w.now, act, resp)
		return nil
	case Meet:
		a.MeetDone(w.now, w.meet())
		return nil
	}
	resp := w.probe(from, act)
	if act.Kind == News {
		return nil
	}
	return a.ProbeDone(w.now, act, resp)
}

// meet returns a member of each failure domain, as the platform's meeting
// points do.
func (w *world) meet() []*wire.Member {
	var out []*wire.Member
	domains := map[string]bool{}
	for _, name := range w.names {
		n := w.nodes[name]
		if !w.down && n.up && n.agent.Joined() && !domains[n.domain] {
			domains[n.domain] = true
			out = append(out, &wire.Member{Name: name, Peer: name})
		}
	}
	return out
}

func (w *world) probe(from string, act Action) *wire.ProbeResponse {
	req := proto.CloneOf(act.Probe)
	to := w.reach(from, act.Addr, func(b *Agent) { b.Probed(w.now, proto.CloneOf(req)) })
	if to == nil {
		return nil
	}
	resp := proto.CloneOf(to.Probed(w.now, req))
	if req.GetTarget() != "" {
		n := w.nodes[req.GetTarget()]
		resp.Reached = n.up && !n.paused && !w.cut(act.Addr, req.GetTarget()) && w.back(act.Addr, req.GetTarget())
	}
	if !w.back(from, act.Addr) {
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
	if n.up && !n.paused && n.left.IsZero() {
		n.left = w.now
		w.perform(name, n.agent.Leave(w.now))
	}
}

// part cuts the instances of one failure domain from all others.
func (w *world) part(domain string) {
	w.cut = func(from, to string) bool {
		return (w.nodes[from].domain == domain) != (w.nodes[to].domain == domain)
	}
}

func (w *world) heal() {
	w.cut = func(string, string) bool { return false }
	w.loss, w.double, w.reorder = 0, 0, 0
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

// truth returns the instances that may get new work.
func (w *world) truth() []string {
	var out []string
	for _, name := range w.names {
		if n := w.nodes[name]; n.up && n.left.IsZero() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// check compares every view with the truth.
func (w *world) check(t require.TestingT) {
	for _, name := range w.names {
		n := w.nodes[name]
		if !n.up || n.paused {
			continue
		}
		require.Equal(t, w.truth(), w.routable(name), "what %s routes to", name)
		require.True(t, n.agent.Joined(), "%s has joined", name)
	}
}

// safe checks what holds at every moment.
func (w *world) safe(t require.TestingT) {
	for _, name := range w.names {
		n := w.nodes[name]
		if !n.up || n.paused {
			continue
		}
		for _, other := range n.agent.table.names {
			m := n.agent.table.Get(other)
			require.Greater(t, m.GetIncarnation(), n.tombs[other], "%s shows a dead incarnation of %s", name, other)
		}
		require.Less(t, n.agent.queue.len(), maxNewsQueue)
	}
}

// TestMain fixes what rapid draws, unless the command line says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

func TestWorldConverges(t *testing.T) {
	w := newWorld(1, "a", "a", "a", "b", "b", "b", "c", "c")
	w.run(10 * testBeat)
	w.check(t)
	w.safe(t)
}
