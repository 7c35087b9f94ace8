package caller_test

// This file defines the stack for end-to-end tests of a call: an entry node, and
// instances with a backend server each that counts its runs, on loopback sockets.

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

const (
	testSlots         = 3
	testSilentTimeout = 500 * time.Millisecond
	testSettleTime    = 250 * time.Millisecond
)

// testInstance is an instance: a gate behind a hop port, and its backend server.
type testInstance struct {
	name        string
	gate        *backend.Gate
	hopServer   *http.Server
	hopListener *backendtest.Listener
	server      *backendtest.Server
	target      backend.Target
}

// stack is an entry node and the instances that it calls.
type stack struct {
	proxy     *caller.Proxy
	entry     *httptest.Server
	instances []*testInstance
	self      *wire.Member
	view      atomic.Pointer[member.View]
	table     *revision.Table
	client    *http.Client
	peers     *http.Transport
}

// Timeouts of routes. Calls that must not time out have longTimeout.
const (
	longTimeout  = time.Minute
	shortTimeout = 2 * time.Second
)

// tableOf returns the table of the tests, whose routes have a given timeout except
// for the short one.
func tableOf(timeout time.Duration) *revision.Table {
	return &revision.Table{
		Number: 7, Services: map[string]*record.Service{"quotes": {Name: "quotes", Policy: "p"}},
		Policies: map[string]*record.Policy{"p": {Name: "p", Hedge: record.Budget{Percent: 100, Delay: 20 * time.Millisecond}}},
		Routes: []*record.Route{
			{Name: "book", Prefix: "/book", Service: "quotes", Timeout: timeout},
			{Name: "once", Prefix: "/once", Service: "quotes", Timeout: timeout, Repeat: record.RepeatNever},
			{Name: "hedge", Prefix: "/hedge", Service: "quotes", Timeout: timeout, Hedge: true},
			{Name: "short", Prefix: "/short", Service: "quotes", Timeout: 150 * time.Millisecond},
		},
	}
}

// shortenTimeouts sets shortTimeout, for tests in which calls are expected to time
// out.
func (s *stack) shortenTimeouts() { s.table = tableOf(shortTimeout) }

// newStack returns a stack whose entry node has no backend server.
func newStack(t testing.TB, instances int) *stack { return newStackAt(t, instances, false) }

// newStackAt returns a stack. If colocated is set, the entry node is the node of
// the first instance.
func newStackAt(t testing.TB, instances int, colocated bool) *stack {
	return newStackWith(t, instances, colocated, func(*caller.Config) {})
}

// newStackWith is newStackAt with changes to the configuration of the entry node.
func newStackWith(t testing.TB, instances int, colocated bool, change func(*caller.Config)) *stack {
	s := &stack{client: &http.Client{Transport: &http.Transport{}}, peers: peer.NewTransport(testSilentTimeout, new(peer.ByteCounter))}
	s.table = tableOf(longTimeout)
	for n := range instances {
		s.instances = append(s.instances, s.newInstance(t, n))
	}
	config := caller.Config{
		Table: func() *revision.Table { return s.table }, Ready: func() bool { return true }, View: s.view.Load,
		Remote: s.peers, ReportReachability: func(string, bool) {}, Timeout: 2 * time.Second,
	}
	s.self = &wire.Member{Name: "entry", Domain: "xitun", State: wire.State_STATE_ALIVE}
	if colocated {
		s.self, config.Local = s.instances[0].member(), s.instances[0].gate
	}
	s.announce()
	change(&config)
	s.proxy = caller.New(config)
	s.entry = httptest.NewUnstartedServer(s.proxy)
	caller.SetLimits(s.entry.Config)
	s.entry.Start()
	t.Cleanup(s.close)
	return s
}

func (s *stack) newInstance(t testing.TB, n int) *testInstance {
	i := &testInstance{name: fmt.Sprintf("quotes-%d", n)}
	i.server = backendtest.New(backendtest.Config{Service: "quotes", Name: i.name, Slots: testSlots})
	addr, err := i.server.Listen("127.0.0.1:0")
	require.NoError(t, err)
	i.target = backend.Target{Service: "quotes", Address: addr, Slots: testSlots}
	i.gate = backend.NewGate(backend.GateConfig{
		Policy: s.tablePolicy, SilenceTimeout: testSilentTimeout, AbortGrace: testSettleTime,
	})
	i.gate.SetTarget(&i.target)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	i.hopListener = backendtest.NewListener(l)
	i.hopServer = &http.Server{Handler: i.gate, Protocols: peer.ServerProtocols(), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = i.hopServer.Serve(i.hopListener) }()
	return i
}

func (s *stack) tablePolicy(service string) record.Policy { return s.table.Policy(service) }

// member returns the instance's record in the membership.
func (i *testInstance) member() *wire.Member {
	return &wire.Member{
		Name: i.name, Peer: "127.0.0.1:1", Hop: i.hopListener.Addr().String(), Domain: "xitun", State: wire.State_STATE_ALIVE, Incarnation: 1,
		Servers: []*wire.Server{{Service: "quotes", Slots: testSlots}},
	}
}

// announce replaces the entry node's view by one with all instances, in which the
// named ones are leaving.
func (s *stack) announce(leaving ...string) {
	var members []*wire.Member
	for _, i := range s.instances {
		m := i.member()
		if slices.Contains(leaving, i.name) {
			m.State = wire.State_STATE_LEAVING
		}
		members = append(members, m)
	}
	s.setView(members)
}

// setView replaces the entry node's view by one with the given members.
func (s *stack) setView(members []*wire.Member) {
	now := time.Now()
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, s.self, now)
	agent.HandleProbe(now, &wire.ProbeRequest{Events: members})
	agent.Tick(now.Add(time.Second / 2))
	s.view.Store(agent.View())
}

// redirect replaces the instances in the view by one at another hop address.
func (s *stack) redirect(addr string) {
	m := s.instances[0].member()
	m.Name, m.Hop = "elsewhere", addr
	s.setView([]*wire.Member{m})
}

func (s *stack) close() {
	s.entry.CloseClientConnections()
	s.entry.Close()
	for _, i := range s.instances {
		_ = i.hopServer.Close()
		i.server.Close()
		i.gate.Close()
	}
	s.peers.CloseIdleConnections()
	s.client.CloseIdleConnections()
}

// runs returns how many times a key ran on all backend servers together.
func (s *stack) runs(key string) int {
	n := 0
	for _, i := range s.instances {
		n += i.server.RunCounts()[key]
	}
	return n
}

// answer is what a caller received.
type answer struct {
	status int
	reason string
	ran    string
	after  string
	body   string
	err    error // no answer, or one that broke off
}

// do sends one call and reads its answer.
func (s *stack) do(ctx context.Context, method, path, key string, body io.Reader) answer {
	req, err := http.NewRequestWithContext(ctx, method, s.entry.URL+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Key", key)
	req.Header["idempotency-key"] = []string{key} // net/http resends a request with an Idempotency-Key; in lower case the test's own client does not
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, reason: resp.Header.Get(call.HeaderReason), ran: resp.Header.Get(call.HeaderRan),
		after: resp.Header.Get("Retry-After"), body: string(data), err: err,
	}
}

// check verifies the guarantees for one call and its answer.
func (s *stack) check(t require.TestingT, method, path, key, body string, a answer) {
	runs := s.runs(key)
	if method == http.MethodPost || strings.HasPrefix(path, "/once") {
		require.LessOrEqual(t, runs, 1, "call %s ran more than once", key)
	}
	if a.err != nil {
		return // the caller can tell that the answer is incomplete
	}
	if a.status == http.StatusOK {
		require.Equal(t, "quotes "+key+" "+body, a.body, "call %s", key)
		require.GreaterOrEqual(t, runs, 1)
		return
	}
	require.NotEmpty(t, a.reason+a.body, "call %s failed with status %d and no reason", key, a.status)
	if a.ran == call.OutcomeNotRun.String() {
		require.Zero(t, runs, "call %s was refused as not run: %s", key, a.reason)
	}
}

// load sends calls of all kinds from concurrent callers and checks each.
func (s *stack) load(t require.TestingT, prefix string, callers, perCaller int) []answer {
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		all    []answer
		checks = map[string]func(){}
	)
	for c := range callers {
		wg.Go(func() {
			for n := range perCaller {
				key := fmt.Sprintf("%s-%d-%d", prefix, c, n)
				method, path, body := http.MethodGet, "/book", ""
				switch n % 4 {
				case 0:
					method, body = http.MethodPost, "body of "+key
				case 1:
					method = http.MethodPost
				case 2:
					path = "/once"
				}
				a := s.do(context.Background(), method, path, key, strings.NewReader(body))
				mu.Lock()
				all = append(all, a)
				checks[key] = func() { s.check(t, method, path, key, body, a) }
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, check := range checks {
		check()
	}
	return all
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}
