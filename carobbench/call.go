package main

// This file measures the latency that two nodes add to a call, and compares the
// policies that choose backend servers.

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

// addedBound is the latency in ms that two nodes may add to a call at p99.
const addedBound = 0.89

type callCommand struct {
	Time     time.Duration `long:"time" default:"15s" description:"duration of the comparison with direct calls"`
	Phase    time.Duration `long:"phase" default:"5s" description:"duration of each load of a policy"`
	Rate     int           `long:"rate" default:"50" description:"calls a second for each node"`
	Policies string        `long:"policies" default:"all" description:"policies to compare: all, none or names with commas between"`
}

// callSummary is the last line of the output.
type callSummary struct {
	Direct        callTimes               `json:"direct"`
	Proxied       callTimes               `json:"proxied"`
	Added         float64                 `json:"added"` // ms at p99
	Rate          int                     `json:"rate"`  // calls per second and node
	Errors        int                     `json:"errors"`
	DuplicateRuns int                     `json:"doubled"`
	Policies      map[string]policyResult `json:"policies"`
}

// callTimes holds latency quantiles in ms.
type callTimes struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// policyResult is the result of one policy. P99 and P999 are latencies in ms at
// half the capacity. Goodput is the goodput at twice the capacity divided by the
// goodput at the capacity.
type policyResult struct {
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Goodput float64 `json:"goodput"`
}

// Execute runs the measurements, prints the summary, and returns an error if
// a call failed in the comparison with direct calls or a booking ran more than
// once.
func (c *callCommand) Execute([]string) error {
	s := callSummary{Rate: c.Rate, Policies: map[string]policyResult{}}
	if err := c.compareWithDirect(&s); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(call.Policies())) {
		if c.Policies != "all" && !slices.Contains(strings.Split(c.Policies, ","), name) {
			continue
		}
		if err := c.measurePolicy(name, &s); err != nil {
			return err
		}
	}
	if err := printSummary(s); err != nil {
		return err
	}
	if s.Errors > 0 || s.DuplicateRuns > 0 {
		return errors.New("a guarantee was violated")
	}
	return nil
}

// callFleet is a fleet of entry nodes, which have no backend server, and of nodes
// that have one.
type callFleet struct {
	*fleet.Fleet
	entries []*fleet.Instance
	servers []*fleet.Instance
}

// newCallFleet starts entries and servers in one failure domain, with one route
// to one service. config gives the slots and the call time of the servers; policy is
// the body of the service's policy record.
func newCallFleet(entries, servers int, config fleet.InstanceConfig, policy string) (*callFleet, error) {
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	f, err := fleet.New(fleet.Config{Log: log})
	if err != nil {
		return nil, err
	}
	cf := &callFleet{Fleet: f}
	for n := range entries + servers {
		entry := fleet.InstanceConfig{Name: fmt.Sprintf("entry-%d", n), Domain: "xitun", Region: "taichung"}
		if n >= entries {
			entry.Name, entry.Service, entry.Slots, entry.CallTime = fmt.Sprintf("quotes-%d", n-entries), "quotes", config.Slots, config.CallTime
		}
		instance, err := f.Add(entry)
		if err != nil {
			f.Close()
			return nil, err
		}
		if n < entries {
			cf.entries = append(cf.entries, instance)
		} else {
			cf.servers = append(cf.servers, instance)
		}
	}
	if err := cf.configure(policy); err != nil {
		f.Close()
		return nil, err
	}
	return cf, nil
}

// configure writes the records and waits until they are in force and every node
// lists all backend servers.
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
		for _, instance := range f.Instances() {
			if len(instance.Node.Members.View().Offers("quotes")) != len(f.servers) {
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

// urls returns the URL of the service on the caller address of each node.
func urls(instances []*fleet.Instance) []string {
	var out []string
	for _, instance := range instances {
		out = append(out, "http://"+instance.Node.Addresses().Caller+"/quotes")
	}
	return out
}

// compareWithDirect sends the same calls directly and through two nodes at the
// same time, and sets the latencies in s.
func (c *callCommand) compareWithDirect(s *callSummary) error {
	const nodes = 4
	f, err := newCallFleet(nodes, nodes, fleet.InstanceConfig{Slots: 6}, `{}`)
	if err != nil {
		return err
	}
	defer f.Close()
	var direct []string
	for _, instance := range f.servers {
		direct = append(direct, "http://"+instance.Server.Address()+"/quotes")
	}
	proxiedLoad := newOpenLoop("proxied", urls(f.entries), nodes*c.Rate)
	directLoad := newOpenLoop("direct", direct, nodes*c.Rate)
	proxiedLoad.run(2*time.Second, directLoad)
	proxiedLoad.reset()
	directLoad.reset()
	proxiedLoad.run(c.Time, directLoad)
	s.Direct, s.Proxied = directLoad.quantiles(), proxiedLoad.quantiles()
	s.Added = roundThousandth(s.Proxied.P99 - s.Direct.P99)
	s.Errors = proxiedLoad.failures() + directLoad.failures()
	s.DuplicateRuns = f.doubled()
	fmt.Printf("direct: %+v\nthrough two nodes: %+v\nadded at p99: %.3f ms, bound %.2f ms\n", s.Direct, s.Proxied, s.Added, addedBound)
	c.printCosts(f, direct)
	return nil
}

// doubled returns the number of bookings that ran more than once.
func (f *callFleet) doubled() int {
	runs, n := map[string]int{}, 0
	for _, instance := range f.servers {
		for key, count := range instance.Server.RunCounts() {
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

// The backend servers of the policy comparison: one is slow, one is cold, one
// fails every call while it announces itself as healthy, the others are healthy.
const (
	policyServers  = 7
	policySlots    = 6
	policyWork     = 60 * time.Millisecond
	slowWork       = 240 * time.Millisecond // added to policyWork on the slow server
	healthyServers = policyServers - 3
)

// capacity returns the calls per second that the healthy servers and the slow one
// can serve together.
func capacity() int {
	return int(healthyServers*policySlots*time.Second/policyWork + policySlots*time.Second/(policyWork+slowWork))
}

// measurePolicy measures one policy at half the capacity, at the capacity and
// at twice the capacity.
func (c *callCommand) measurePolicy(name string, s *callSummary) error {
	f, err := newCallFleet(3, policyServers, fleet.InstanceConfig{Slots: policySlots, CallTime: policyWork}, `{"warmup": "30s"}`)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, instance := range f.entries {
		instance.Node.Proxy.SetPolicy(call.Policies()[name])
	}
	f.servers[0].Server.SetFaults(backendtest.Faults{Slow: slowWork})
	f.servers[1].Server.SetFaults(backendtest.Faults{Cold: true})
	f.servers[2].Server.SetFaults(backendtest.Faults{Fail: true})
	if !fleet.Await(5*time.Second, func() bool { return f.servers[1].Node.Gate.Target().Cold }) {
		return errors.New("the cold server was not announced within 5 s")
	}
	half, _ := c.measureRate(f, capacity()/2)
	_, full := c.measureRate(f, capacity())
	_, twice := c.measureRate(f, 2*capacity())
	res := policyResult{P99: half.P99, P999: half.P999, Goodput: roundThousandth(twice / full)}
	s.Policies[name] = res
	s.DuplicateRuns += f.doubled()
	fmt.Printf("%s: at half the capacity %+v ms; good answers a second %.0f at the capacity of %d, %.0f at twice that\n",
		name, half, full, capacity(), twice)
	return nil
}

// measureRate sends calls at a rate, after a warm-up of one second, and returns
// the latencies and the good answers per second.
func (c *callCommand) measureRate(f *callFleet, rate int) (callTimes, float64) {
	l := newOpenLoop(fmt.Sprintf("phase%d", rate), urls(f.entries), rate)
	l.run(time.Second)
	l.reset()
	l.run(c.Phase)
	fmt.Printf("%d calls a second, not good: %v\n", rate, l.failed)
	return l.quantiles(), float64(len(l.latencies)) / c.Phase.Seconds()
}
