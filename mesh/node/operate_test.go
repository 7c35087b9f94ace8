package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// nodePair is an entry node without a backend server and a node with one.
type nodePair struct {
	entry, server *Node
	backend       *backendtest.Server
	metrics       map[*Node]*telemetry.Metrics
}

// newPair starts two nodes of one fleet with a backend server of the service quotes.
func newPair(t *testing.T, sinks func(name string) telemetry.Sinks) *nodePair {
	store := httptest.NewServer(storetest.New())
	t.Cleanup(store.Close)
	p := &nodePair{metrics: map[*Node]*telemetry.Metrics{}}
	start := func(name string, seeds ...string) *Node {
		s := settings.Defaults()
		s.Instance = &wire.Instance{Name: name, Domain: "xitun"}
		const anyPort = "127.0.0.1:0"
		s.Listen = &wire.Listen{Caller: anyPort, Hop: anyPort, Peer: anyPort, Backend: anyPort, Operator: anyPort}
		s.Platform.Addresses = []string{strings.TrimPrefix(store.URL, "http://")}
		s.Peers.Beat, s.Peers.Exchange, s.Peers.Seeds = 50, 100, seeds
		nodeSinks := sinks(name)
		m := telemetry.NewMetrics()
		nodeSinks.Scope, nodeSinks.Metrics = m.Scope, m.Handler()
		n, err := New(s, nodeSinks)
		require.NoError(t, err)
		p.metrics[n] = m
		n.Start()
		t.Cleanup(n.Kill)
		return n
	}
	p.entry = start("entry")
	p.server = start("quotes-1", p.entry.Addresses().Peer)
	p.backend = backendtest.New(backendtest.Config{Service: "quotes", Name: "quotes-1", Slots: 6, Epoch: 1})
	_, err := p.backend.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(p.backend.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.backend.Announce(ctx, "http://"+p.server.Addresses().Backend+"/announce")
	return p
}

// apply writes a service and a route and waits until both nodes hold them and know
// the backend server.
func (p *nodePair) apply(t *testing.T) {
	c := wireconnect.NewOperatorClient(http.DefaultClient, "http://"+p.entry.Addresses().Operator)
	for _, r := range []*wire.Record{
		{Kind: wire.Kind_KIND_SERVICE, Name: "quotes", Schema: 2, Body: []byte(`{}`)},
		{Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 2, Body: []byte(`{"prefix": "/quotes", "service": "quotes"}`)},
	} {
		resp, err := c.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{Record: r}))
		require.NoError(t, err)
		require.Empty(t, resp.Msg.GetFindings())
	}
	ready := func(n *Node) bool {
		return len(n.Holder.Table().Routes) == 1 && len(n.Members.View().Offers("quotes")) == 1
	}
	require.Eventually(t, func() bool { return ready(p.entry) && ready(p.server) }, 30*time.Second, 10*time.Millisecond)
}

// get returns the status and the body of a response; header alternates names and
// values.
func get(t *testing.T, addr, path string, header ...string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+path, nil)
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// scrape returns the sum over all series of a metric, and whether it has any.
func scrape(t *testing.T, n *Node, name string) (sum float64, found bool) {
	code, text := get(t, n.Addresses().Operator, "/metrics")
	require.Equal(t, http.StatusOK, code)
	for _, m := range regexp.MustCompile(`(?m)^`+name+`(?:\{[^}]*\})? (\S+)$`).FindAllStringSubmatch(text, -1) {
		v, err := strconv.ParseFloat(m[1], 64)
		require.NoError(t, err)
		sum, found = sum+v, true
	}
	return sum, found
}

// TestScrape checks the metrics of two nodes after a configuration change and a
// call that entered at one and ran at the other.
func TestScrape(t *testing.T) {
	p := newPair(t, func(string) telemetry.Sinks { return telemetry.Sinks{} })
	p.apply(t)
	code, body := get(t, p.entry.Addresses().Caller, "/quotes/1")
	require.Equal(t, http.StatusOK, code, body)
	require.Eventually(t, func() bool {
		held, _ := scrape(t, p.server, "caroblift_node_revision")
		bytes, _ := scrape(t, p.server, "caroblift_node_control_bytes")
		return held == float64(p.server.Holder.Table().Number) && bytes > 0
	}, 30*time.Second, 50*time.Millisecond)
	for name, want := range map[string]float64{
		"caroblift_node_ready":    1,
		"caroblift_node_held":     0,
		"caroblift_node_laggards": 0,
		"caroblift_node_members":  2,
		"caroblift_node_broken":   0,
	} {
		got, found := scrape(t, p.entry, name)
		require.True(t, found, name)
		require.Equal(t, want, got, name)
	}
	for _, name := range []string{
		"caroblift_node_platform_calls", "caroblift_node_message_bytes", "process_resident_memory_bytes",
	} {
		got, _ := scrape(t, p.entry, name)
		require.Positive(t, got, name)
	}
}

// TestConvergenceIsMeasured checks that each node records the convergence time of a
// change to a record in force.
func TestConvergenceIsMeasured(t *testing.T) {
	p := newPair(t, func(string) telemetry.Sinks { return telemetry.Sinks{} })
	p.apply(t)
	before := p.entry.Holder.Table().Number
	c := wireconnect.NewOperatorClient(http.DefaultClient, "http://"+p.server.Addresses().Operator)
	_, err := c.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{Force: true, Record: &wire.Record{
		Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 2, Body: []byte(`{"prefix": "/", "service": "quotes"}`),
	}}))
	require.NoError(t, err)
	for _, n := range []*Node{p.entry, p.server} {
		require.Eventually(t, func() bool {
			count, _ := scrape(t, n, "caroblift_node_convergence_seconds_count")
			return n.Holder.Table().Number > before && count > 0
		}, 30*time.Second, 50*time.Millisecond)
	}
}

// TestPortsAreApart checks that each port serves only its own pages.
func TestPortsAreApart(t *testing.T) {
	p := newPair(t, func(string) telemetry.Sinks { return telemetry.Sinks{} })
	p.apply(t)
	a := p.entry.Addresses()
	for _, page := range []string{"/", "/live", "/ready", "/table", "/members", "/status", "/metrics", "/caroblift.Operator/Status"} {
		code, _ := get(t, a.Operator, page)
		require.NotEqual(t, http.StatusNotFound, code, page)
		for port, addr := range map[string]string{"caller": a.Caller, "peer": a.Peer, "backend": a.Backend} {
			code, _ := get(t, addr, page)
			require.Equal(t, http.StatusNotFound, code, "%s%s", port, page)
		}
		code, _ = get(t, a.Hop, page)
		require.NotEqual(t, http.StatusOK, code, page)
	}
	code, _ := get(t, a.Operator, "/quotes/1")
	require.Equal(t, http.StatusNotFound, code)
}
