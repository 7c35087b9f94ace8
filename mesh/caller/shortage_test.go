package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// reportingGates is a transport to gates that serve every call and report the given
// tallies, by hop address. The calls of the service "back" count as nested.
type reportingGates map[string]string

func (g reportingGates) RoundTrip(r *http.Request) (*http.Response, error) {
	resp := &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Header: http.Header{
		call.HeaderID: r.Header[call.HeaderID], call.HeaderTally: {g[r.URL.Host]},
	}}
	if strings.HasPrefix(r.URL.Host, "back") {
		resp.Header[call.HeaderNested] = []string{call.Yes}
	}
	return resp, nil
}

// newFrontProxy returns the proxy of a node whose server, of the service "front", calls the
// service "back". Each has three instances. Back's calls have priority 1, front's 2.
func newFrontProxy(gates reportingGates) *Proxy {
	table := &revision.Table{Number: 7, Services: map[string]*record.Service{}, Policies: map[string]*record.Policy{}}
	var others []*wire.Member
	for n, service := range []string{"back", "front"} {
		table.Services[service] = &record.Service{Name: service}
		table.Routes = append(table.Routes, &record.Route{
			Name: service, Prefix: "/" + service, Service: service, Timeout: time.Minute, LatencyObjective: time.Second, Priority: n + 1,
		})
		for i := range 3 {
			name := fmt.Sprint(service, "-", i)
			others = append(others, &wire.Member{
				Name: name, Peer: "127.0.0.1:1", Hop: name, Domain: "d", State: wire.State_STATE_ALIVE, Incarnation: 1,
				Servers: []*wire.Server{{Service: service, Slots: 50}},
			})
		}
	}
	now := time.Now()
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, &wire.Member{Name: "self", Peer: "127.0.0.1:2", Domain: "d"}, now)
	agent.HandleProbe(now, &wire.ProbeRequest{Events: others})
	agent.Tick(now.Add(time.Second / 2))
	return New(Config{
		Table: func() *revision.Table { return table }, Ready: func() bool { return true }, View: agent.View, Remote: gates,
		ReportReachability: func(string, bool) {}, Timeout: time.Minute, Service: "front",
	})
}

// callBoth sends calls to both services for some time, and returns the share of front's that
// the gate of the node must refuse then.
func callBoth(ctx context.Context, p *Proxy, duration time.Duration) float64 {
	share := 0.0
	for range duration / (20 * time.Millisecond) {
		for _, path := range []string{"/back", "/front"} {
			p.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody))
		}
		share = p.YieldShare(2)
		time.Sleep(20 * time.Millisecond)
	}
	return share
}

// TestShortageIsOfAllGates guards against calls refused for a shortage that only some gates
// of the called service have.
func TestShortageIsOfAllGates(t *testing.T) {
	const serves, refuses = "1:20.0:0.0,2:20.0:0.0", "1:0.0:20.0,2:20.0:0.0"
	synctest.Test(t, func(t *testing.T) {
		gates := reportingGates{}
		for _, service := range []string{"back", "front"} {
			for i := range 3 {
				gates[fmt.Sprint(service, "-", i)] = serves
			}
		}
		p := newFrontProxy(gates)
		gates["back-0"] = refuses
		require.Zero(t, callBoth(t.Context(), p, time.Minute), "one gate of three")
		gates["back-1"] = refuses
		require.InDelta(t, 2.0/3-0.15, callBoth(t.Context(), p, time.Minute), 0.01, "two gates of three")
		require.Zero(t, p.YieldShare(1), "not less urgent")
		gates["front-0"], gates["front-1"], gates["front-2"] = "2:20.0:20.0", "2:20.0:20.0", "2:20.0:20.0"
		require.InDelta(t, (2.0/3-0.15-0.5)/0.5, callBoth(t.Context(), p, time.Minute), 0.01, "half of the own calls are refused anyway")
		time.Sleep(5 * time.Second)
		require.Zero(t, p.YieldShare(2), "the reports are old")
	})
}
