package caller

// This file checks the retry budget of a service that is called by the backend servers of
// another one.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// Shape of the chain: callers call "front", whose servers call "back".
const (
	chainNodes   = 4 // of each service
	chainCalls   = 2000
	chainLost    = 0.25 // share of answers of each server that are lost after the run
	chainPercent = 20
	chainBurst   = 56
)

// chain is a fleet of nodes in one process that calls each other without sockets, with
// the arrivals at the servers.
type chain struct {
	nodes map[string]*chainNode // by hop address

	mu       sync.Mutex
	random   *rand.Rand
	arrivals map[string]int // by path
}

// chainNode is one node of a chain with its server.
type chainNode struct {
	member *wire.Member
	proxy  *Proxy
	gate   *backend.Gate
	entry  *httptest.Server // for the calls of its server
}

// RoundTrip implements http.RoundTripper between the nodes.
func (c *chain) RoundTrip(r *http.Request) (*http.Response, error) {
	return c.nodes[r.URL.Host].gate.RoundTrip(r)
}

// arrive counts an arrival, and reports how many there were before and whether its answer
// gets lost.
func (c *chain) arrive(path string) (before int, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[path]++
	return c.arrivals[path] - 1, c.random.Float64() < chainLost
}

func newChain(t *testing.T) *chain {
	c := &chain{nodes: map[string]*chainNode{}, random: rand.New(rand.NewPCG(1, 2)), arrivals: map[string]int{}}
	table := &revision.Table{
		Number: 7, Services: map[string]*record.Service{"front": {Name: "front"}, "back": {Name: "back"}}, Policies: map[string]*record.Policy{},
	}
	for _, service := range []string{"front", "back"} {
		table.Routes = append(table.Routes, &record.Route{
			Name: service, Prefix: "/" + service, Service: service, Timeout: time.Minute, Repeat: record.RepeatAlways, MaxAttempts: 3, LatencyObjective: 10 * time.Second,
		})
		for n := range chainNodes {
			name := fmt.Sprint(service, "-", n)
			c.nodes[name+":1"] = &chainNode{member: &wire.Member{
				Name: name, Peer: "127.0.0.1:1", Hop: name + ":1", Domain: "d", State: wire.State_STATE_ALIVE, Incarnation: 1,
				Servers: []*wire.Server{{Service: service, Slots: 50}},
			}}
		}
	}
	for _, n := range c.nodes {
		c.start(t, n, table)
	}
	return c
}

// start starts a node and its server.
func (c *chain) start(t *testing.T, n *chainNode, table *revision.Table) {
	now := time.Now()
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, n.member, now)
	var others []*wire.Member
	for _, o := range c.nodes {
		if o != n {
			others = append(others, o.member)
		}
	}
	agent.HandleProbe(now, &wire.ProbeRequest{Events: others})
	agent.Tick(now.Add(time.Second / 2))
	service := n.member.Servers[0].Service
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(n, w, r) }))
	t.Cleanup(server.Close)
	n.gate = backend.NewGate(backend.GateConfig{
		Policy: func(string) record.Policy { return record.Policy{} }, OwnShare: func(string) float64 { return 0.5 }, Warmup: -1,
		Calls: chainCallees{n},
	})
	t.Cleanup(n.gate.Close)
	n.gate.SetTarget(&backend.Target{Service: service, Address: server.Listener.Addr().String(), Slots: 50})
	n.proxy = New(Config{
		Table: func() *revision.Table { return table }, Ready: func() bool { return true }, View: agent.View, Remote: c, Service: service,
		ReportReachability: func(string, bool) {}, Timeout: time.Minute, ExtraAttempts: ExtraAttempts{Percent: chainPercent, Burst: chainBurst},
	})
	n.entry = httptest.NewServer(n.proxy)
	t.Cleanup(n.entry.Close)
}

// chainCallees is the Callees of a node's gate, whose proxy is created after it.
type chainCallees struct{ node *chainNode }

func (c chainCallees) AddRun() { c.node.proxy.AddRun() }

func (c chainCallees) TakeRepeat() (func(), bool) { return c.node.proxy.TakeRepeat() }

func (c chainCallees) YieldShare(priority int) float64 { return c.node.proxy.YieldShare(priority) }

// serve runs a call. A server of the front calls the back, and names the calls of its
// repeated runs.
func (c *chain) serve(n *chainNode, w http.ResponseWriter, r *http.Request) {
	before, lost := c.arrive(r.URL.Path)
	if id, front := strings.CutPrefix(r.URL.Path, "/front/"); front {
		resp, err := http.Post(fmt.Sprintf("%s/back/%s/%d", n.entry.URL, id, before), "", nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	if lost {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
}

// TestRepeatedRunsDrawOnTheBudgetOfCalledServices guards against uncounted calls of repeats.
func TestRepeatedRunsDrawOnTheBudgetOfCalledServices(t *testing.T) {
	c := newChain(t)
	var wg sync.WaitGroup
	for n := range chainNodes {
		node := c.nodes[fmt.Sprint("front-", n, ":1")]
		wg.Go(func() {
			for i := range chainCalls / chainNodes {
				r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, fmt.Sprintf("/front/%d-%d", n, i), http.NoBody)
				node.proxy.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
	wg.Wait()
	requests, extra, repeatedRuns := 0, 0, 0
	for path, arrivals := range c.arrivals {
		switch {
		case strings.HasPrefix(path, "/front/"):
			repeatedRuns += arrivals - 1
		case strings.HasSuffix(path, "/0"):
			requests++
			extra += arrivals - 1
		default:
			extra += arrivals
		}
	}
	t.Logf("%d requests, %d extra arrivals, %d repeated runs", requests, extra, repeatedRuns)
	require.LessOrEqual(t, extra, chainPercent*requests/100+chainBurst)
	require.Greater(t, repeatedRuns, chainCalls/100, "hardly any call was repeated")
}
