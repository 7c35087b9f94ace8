package main

// This file measures calls: what two nodes add to one, and how the policies
// that pick backend servers compare.

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/wire"
)

// addedBound is the time that two nodes may add to a call at p99, in ms.
const addedBound = 0.89

type callCommand struct {
	Time     time.Duration `long:"time" default:"15s" description:"duration of the comparison with direct calls"`
	Phase    time.Duration `long:"phase" default:"5s" description:"duration of each load of a policy"`
	Rate     int           `long:"rate" default:"50" description:"calls a second for each node"`
	Policies string        `long:"policies" default:"all" description:"policies to compare: all, none or names with commas between"`
}

// callSummary is the last line of the report.
type callSummary struct {
	Direct   callTimes               `json:"direct"`
	Proxied  callTimes               `json:"proxied"`
	Added    float64                 `json:"added"` // ms at p99
	Rate     int                     `json:"rate"`  // calls a second for each node
	Errors   int                     `json:"errors"`
	Doubled  int                     `json:"doubled"`
	Policies map[string]policyResult `json:"policies"`
}

// callTimes are latencies in ms.
type callTimes struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// policyResult is how a policy did. Goodput is that at twice the capacity as a
// share of that at the capacity.
type policyResult struct {
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Goodput float64 `json:"goodput"`
}

// Execute measures and prints the summary.
func (c *callCommand) Execute([]string) error {
	s := callSummary{Rate: c.Rate, Policies: map[string]policyResult{}}
	if err := c.compare(&s); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(call.Policies())) {
		if c.Policies != "all" && !slices.Contains(strings.Split(c.Policies, ","), name) {
			continue
		}
		if err := c.policy(name, &s); err != nil {
			return err
		}
	}
	if err := printLast(s); err != nil {
		return err
	}
	if s.Errors > 0 || s.Doubled > 0 {
		return errors.New("a promise broke")
	}
	return nil
}

// callFleet is a fleet with entry nodes that have no backend server.
type callFleet struct {
	*fleet.Fleet
	entries []*fleet.Member
	servers []*fleet.Member
}

// newCallFleet starts entries and servers in one failure domain, with one route
// to one service.
func newCallFleet(entries, servers int, p fleet.Place, policy string) (*callFleet, error) {
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	f, err := fleet.New(fleet.Config{Log: log})
	if err != nil {
		return nil, err
	}
	cf := &callFleet{Fleet: f}
	for n := range entries + servers {
		place := fleet.Place{Name: fmt.Sprintf("entry-%d", n), Domain: "xitun", Region: "taichung"}
		if n >= entries {
			place.Name, place.Service, place.Slots, place.Work = fmt.Sprintf("quotes-%d", n-entries), "quotes", p.Slots, p.Work
		}
		m, err := f.Add(place)
		if err != nil {
			f.Close()
			return nil, err
		}
		if n < entries {
			cf.entries = append(cf.entries, m)
		} else {
			cf.servers = append(cf.servers, m)
		}
	}
	if err := cf.configure(policy); err != nil {
		f.Close()
		return nil, err
	}
	return cf, nil
}

// configure writes the records and waits until they are in force.
func (f *callFleet) configure(policy string) error {
	d := &demo{fleet: f.Fleet}
	for _, r := range []*wire.Record{
		{Kind: wire.Kind_KIND_POLICY, Name: "quotes", Schema: 2, Body: []byte(policy)},
		{Kind: wire.Kind_KIND_SERVICE, Name: "quotes", Schema: 2, Body: []byte(`{"policy": "quotes"}`)},
		{Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 2, Body: []byte(`{"prefix": "/", "service": "quotes", "timeout": "1s"}`)},
	} {
		if err := d.apply(r); err != nil {
			return err
		}
	}
	ready := func() bool {
		for _, m := range f.Members() {
			if len(m.Node.Members.View().Offers("quotes")) != len(f.servers) {
				return false
			}
		}
		return d.inForce("route", "quotes", 0)
	}
	if !fleet.Await(30*time.Second, ready) {
		return errors.New("the nodes were not ready within 30 s")
	}
	return nil
}

// urls returns the callers' URLs of nodes.
func urls(members []*fleet.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, "http://"+m.Node.Addresses().Caller+"/quotes")
	}
	return out
}

// compare sends the same calls directly and through two nodes, in turns.
func (c *callCommand) compare(s *callSummary) error {
	const nodes = 4
	f, err := newCallFleet(nodes, nodes, fleet.Place{Slots: 6}, `{}`)
	if err != nil {
		return err
	}
	defer f.Close()
	var direct []string
	for _, m := range f.servers {
		direct = append(direct, "http://"+m.Server.Address()+"/quotes")
	}
	proxied := newSchedule("proxied", urls(f.entries), nodes*c.Rate)
	straight := newSchedule("direct", direct, nodes*c.Rate)
	proxied.run(2*time.Second, straight)
	proxied.reset()
	straight.reset()
	proxied.run(c.Time, straight)
	s.Direct, s.Proxied = straight.quantiles(), proxied.quantiles()
	s.Added = round(s.Proxied.P99 - s.Direct.P99)
	s.Errors = proxied.failures() + straight.failures()
	s.Doubled = f.doubled()
	fmt.Printf("direct: %+v\nthrough two nodes: %+v\nadded at p99: %.3f ms, bound %.2f ms\n", s.Direct, s.Proxied, s.Added, addedBound)
	c.costs(f, direct)
	return nil
}

// doubled counts the keys of calls that must run once and ran more often.
func (f *callFleet) doubled() int {
	runs, n := map[string]int{}, 0
	for _, m := range f.servers {
		for key, count := range m.Server.Runs() {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if count > 1 && isBooking(key) {
			n++
		}
	}
	return n
}

// The instances of the comparison of policies: one is slow, one cold, one fails
// every call while it announces that all is well, the others are good.
const (
	policyServers = 7
	policySlots   = 6
	policyWork    = 60 * time.Millisecond
	slowWork      = 240 * time.Millisecond // added
	good          = policyServers - 3
)

// capacity returns the calls a second that the good and the slow server take.
func capacity() int {
	return int(good*policySlots*time.Second/policyWork + policySlots*time.Second/(policyWork+slowWork))
}

// policy measures one policy at half the capacity, at it and at twice it.
func (c *callCommand) policy(name string, s *callSummary) error {
	f, err := newCallFleet(3, policyServers, fleet.Place{Slots: policySlots, Work: policyWork}, `{"warmup": "30s"}`)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, m := range f.entries {
		m.Node.Proxy.SetPolicy(call.Policies()[name])
	}
	f.servers[0].Server.Set(backendtest.Faults{Slow: slowWork})
	f.servers[1].Server.Set(backendtest.Faults{Cold: true})
	f.servers[2].Server.Set(backendtest.Faults{Fail: true})
	if !fleet.Await(5*time.Second, func() bool { return f.servers[1].Node.Gate.Target().Cold }) {
		return errors.New("the cold server was not announced within 5 s")
	}
	half, _ := c.phase(f, capacity()/2)
	_, full := c.phase(f, capacity())
	_, twice := c.phase(f, 2*capacity())
	res := policyResult{P99: half.P99, P999: half.P999, Goodput: round(twice / full)}
	s.Policies[name] = res
	s.Doubled += f.doubled()
	fmt.Printf("%s: at half the capacity %+v ms; good answers a second %.0f at the capacity of %d, %.0f at twice that\n",
		name, half, full, capacity(), twice)
	return nil
}

// phase sends one load and returns latencies and good answers a second.
func (c *callCommand) phase(f *callFleet, rate int) (callTimes, float64) {
	l := newSchedule(fmt.Sprintf("phase%d", rate), urls(f.entries), rate)
	l.run(time.Second)
	l.reset()
	l.run(c.Phase)
	fmt.Printf("%d calls a second, not good: %v\n", rate, l.failed)
	return l.quantiles(), float64(len(l.took)) / c.Phase.Seconds()
}
