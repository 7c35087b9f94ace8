package main

// This file runs a fleet under injected faults and load and checks the
// guarantees.

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// settleBound is the time after the last fault within which every change must be
// in force: the bound of a single change, plus 10 s for restarted nodes to join.
const settleBound = inForceBound + 10*time.Second

type faultsCommand struct {
	Nodes   int           `long:"nodes" default:"12" description:"instances"`
	Callers int           `long:"callers" default:"8" description:"callers at one time"`
	Time    time.Duration `long:"time" default:"20s" description:"duration of the faults"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the schedule"`
	Planned bool          `long:"planned" description:"graceful stops only, under which no call may fail"`
}

// faultRun is the state of one run of the faults command.
type faultRun struct {
	config  *faultsCommand
	fleet   *fleet.Fleet
	load    *closedLoop
	rand    *rand.Rand
	monitor *monitor

	mu          sync.Mutex
	configs     []fleet.InstanceConfig
	live        map[string]*fleet.Instance
	started     []*fleet.Instance // every instance started so far, including those that were stopped
	newest      map[string]uint64 // newest version written, by record key
	faultCounts map[string]int    // injected faults, by name
}

// faultSummary is the last line of the report.
type faultSummary struct {
	Nodes         int            `json:"nodes"`
	Seed          uint64         `json:"seed"`
	Faults        map[string]int `json:"faults"`
	Changes       int            `json:"changes"`
	Calls         int64          `json:"calls"`
	Errors        int64          `json:"errors"`
	DuplicateRuns int            `json:"doubled"`
	FalseRefusals int            `json:"untrue"`   // calls that ran although the refusal said that they did not
	Wrong         int64          `json:"wrong"`    // answers that were truncated or belonged to another call
	Backward      int64          `json:"backward"` // tables older than one that the same instance served before
	Dangling      int64          `json:"dangling"` // routes to a service that the table does not contain
	Settled       int64          `json:"settled"`  // ms from the last fault until all nodes held the newest records
}

// Execute runs the fleet under faults, prints the summary, and returns an error
// if a guarantee was violated.
func (c *faultsCommand) Execute([]string) error {
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	f, err := fleet.New(fleet.Config{Log: log})
	if err != nil {
		return err
	}
	defer f.Close()
	r := &faultRun{
		config: c, fleet: f, rand: rand.New(rand.NewPCG(c.Seed, c.Seed)), live: map[string]*fleet.Instance{},
		newest: map[string]uint64{}, faultCounts: map[string]int{}, load: newClosedLoop(),
	}
	r.monitor = &monitor{live: r.instances, served: map[string]uint64{}}
	if err := r.start(); err != nil {
		return err
	}
	return r.run()
}

// start starts the instances, writes the service and route records, and waits
// until they are in force on every node.
func (r *faultRun) start() error {
	for i := range r.config.Nodes {
		config := fleet.InstanceConfig{
			Name: fmt.Sprintf("i-%d", i+1), Domain: fmt.Sprintf("d-%d", i%4+1), Service: []string{"quotes", "drawings"}[i%2],
			Slots: 6, CallTime: 2 * time.Millisecond,
		}
		r.configs = append(r.configs, config)
		if err := r.add(config); err != nil {
			return err
		}
	}
	for _, name := range []string{"quotes", "drawings"} {
		if err := r.write(wire.Kind_KIND_SERVICE, name, `{}`); err != nil {
			return err
		}
		if err := r.write(wire.Kind_KIND_ROUTE, name, fmt.Sprintf(`{"prefix":"/%s","service":%q}`, name, name)); err != nil {
			return err
		}
	}
	if err := r.write(wire.Kind_KIND_ROUTE, "stock", `{"prefix":"/stock","service":"quotes"}`); err != nil {
		return err
	}
	if !fleet.Await(settleBound, r.settled) {
		return errors.Errorf("the records were not in force everywhere within %s", settleBound)
	}
	return nil
}

func (r *faultRun) add(config fleet.InstanceConfig) error {
	instance, err := r.fleet.Add(config)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[config.Name] = instance
	r.started = append(r.started, instance)
	return nil
}

// instances returns the instances that are running and not being stopped, in the
// order of their configurations.
func (r *faultRun) instances() []*fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*fleet.Instance, 0, len(r.live))
	for _, config := range r.configs {
		if instance := r.live[config.Name]; instance != nil {
			out = append(out, instance)
		}
	}
	return out
}

// entries returns the caller addresses of the instances that are ready.
func (r *faultRun) entries() []string {
	var out []string
	for _, instance := range r.instances() {
		if instance.Node.Holder.Ready() {
			out = append(out, instance.Node.Addresses().Caller)
		}
	}
	return out
}

// write changes a record as an operator does, by compare-and-swap: on a conflict
// it retries with the version that the answer reports. After any other error it
// retries until settleBound has passed.
func (r *faultRun) write(kind wire.Kind, name, spec string) error {
	deadline := time.Now().Add(settleBound)
	var version uint64
	for {
		instances := r.instances()
		client := wireconnect.NewOperatorClient(http.DefaultClient, "http://"+instances[int(version)%len(instances)].Node.Addresses().Operator)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		resp, err := client.Apply(ctx, connect.NewRequest(&wire.ApplyRequest{
			Record: &wire.Record{Kind: kind, Name: name, Schema: 2, Version: version, Body: []byte(spec)},
		}))
		cancel()
		switch {
		case err == nil && len(resp.Msg.GetFindings()) > 0:
			return record.Findings(resp.Msg.GetFindings())
		case err == nil && resp.Msg.GetConflict():
			version = resp.Msg.GetPresent().GetVersion()
			continue
		case err == nil:
			r.mu.Lock()
			defer r.mu.Unlock()
			k := record.Key{Kind: kind, Name: name}.String()
			r.newest[k] = max(r.newest[k], resp.Msg.GetRecord().GetVersion())
			return nil
		case time.Now().After(deadline):
			return errors.Wrapf(err, "write %s", name)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// settled reports whether every running node holds the newest version of every
// record.
func (r *faultRun) settled() bool {
	r.mu.Lock()
	want := map[string]uint64{}
	for k, v := range r.newest {
		want[k] = v
	}
	r.mu.Unlock()
	for _, instance := range r.instances() {
		t := instance.Node.Holder.Table()
		for k, rec := range t.Records {
			if v, ok := want[k.String()]; ok && rec.GetVersion() < v {
				return false
			}
		}
		if len(t.Records) < len(want) {
			return false
		}
	}
	return true
}

func (r *faultRun) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.monitor.run(ctx) })
	for i := range r.config.Callers {
		background.Go(func() { r.load.run(ctx, uint64(i)+r.config.Seed, r.entries) })
	}
	var changes atomic.Int64
	var writeErr atomic.Pointer[error]
	operatorCtx, stopOperators := context.WithCancel(ctx)
	var operators sync.WaitGroup
	for i := range 2 {
		operators.Go(func() {
			if err := r.runOperator(operatorCtx, i, &changes); err != nil {
				writeErr.Store(&err)
			}
		})
	}
	r.injectFaults()
	r.fleet.Store.SetFaults(storetest.Faults{})
	stopOperators()
	operators.Wait()
	ended := time.Now()
	ok := fleet.Await(settleBound, r.settled)
	settled := time.Since(ended)
	cancel()
	background.Wait()
	if err := writeErr.Load(); err != nil {
		return *err
	}
	return r.report(ok, settled, changes.Load())
}

// runOperator switches the route of /stock between the two services until ctx
// ends, in competition with the other operator.
func (r *faultRun) runOperator(ctx context.Context, id int, changes *atomic.Int64) error {
	for i := 0; ctx.Err() == nil; i++ {
		service := []string{"quotes", "drawings"}[(i+id)%2]
		spec := fmt.Sprintf(`{"prefix":"/stock","service":%q,"timeout":"%dms"}`, service, 2000+i)
		if err := r.write(wire.Kind_KIND_ROUTE, "stock", spec); err != nil {
			return err
		}
		changes.Add(1)
		sleep(ctx, 300*time.Millisecond)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// injectFaults injects random faults one after another for the configured
// duration.
func (r *faultRun) injectFaults() {
	faults := []struct {
		name string
		run  func(time.Duration)
	}{
		{"drain", r.drain},
		{"crash", r.crash},
		{"pair", func(d time.Duration) { r.fleet.Store.SetFaults(storetest.Faults{Down: true}); r.crash(d) }},
		{"down", r.platformFault(storetest.Faults{Down: true})},
		{"slow", r.platformFault(storetest.Faults{Latency: 300 * time.Millisecond})},
		{"lose", r.platformFault(storetest.Faults{LoseResponses: true})},
		{"stale", r.platformFault(storetest.Faults{StaleReads: true})},
		{"silent", r.platformFault(storetest.Faults{SilentWatches: true})},
	}
	if r.config.Planned {
		faults = faults[:1]
	}
	for end := time.Now().Add(r.config.Time); time.Now().Before(end); {
		f := faults[r.rand.IntN(len(faults))]
		r.faultCounts[f.name]++
		f.run(time.Duration(200+r.rand.IntN(1300)) * time.Millisecond)
		r.fleet.Store.SetFaults(storetest.Faults{})
		time.Sleep(time.Duration(r.rand.IntN(300)) * time.Millisecond)
	}
}

func (r *faultRun) platformFault(f storetest.Faults) func(time.Duration) {
	return func(d time.Duration) {
		r.fleet.Store.SetFaults(f)
		time.Sleep(d)
	}
}

// removeRandom removes a random instance from the live ones and returns it.
func (r *faultRun) removeRandom() *fleet.Instance {
	instances := r.instances()
	instance := instances[r.rand.IntN(len(instances))]
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.live, instance.Config.Name)
	return instance
}

// restart starts a new instance with a configuration, without the state of the old
// one.
func (r *faultRun) restart(config fleet.InstanceConfig) {
	if err := r.add(config); err != nil {
		fmt.Fprintln(os.Stderr, "restart:", err)
	}
}

func (r *faultRun) crash(d time.Duration) {
	instance := r.removeRandom()
	instance.Kill()
	time.Sleep(d)
	r.restart(instance.Config)
}

// drain stops an instance gracefully. The callers no longer use it as their entry
// by then, as they do when an instance reports that it is leaving.
func (r *faultRun) drain(time.Duration) {
	instance := r.removeRandom()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := instance.Drain(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "drain:", err)
	}
	r.restart(instance.Config)
}

func (r *faultRun) report(settled bool, took time.Duration, changes int64) error {
	s := faultSummary{
		Nodes: r.config.Nodes, Seed: r.config.Seed, Faults: r.faultCounts, Changes: int(changes),
		Calls: r.load.calls.Load(), Errors: r.load.errors.Load(), Wrong: r.load.wrong.Load(),
		Backward: r.monitor.backward.Load(), Dangling: r.monitor.dangling.Load(), Settled: took.Milliseconds(),
	}
	runs := map[string]int{}
	for _, instance := range r.started {
		for key, n := range instance.Server.RunCounts() {
			runs[key] += n
		}
	}
	s.DuplicateRuns, s.FalseRefusals = r.load.verifyRuns(runs)
	fmt.Printf("%d calls, failures by reason: %v\n", s.Calls, r.load.failureReasons())
	if err := printSummary(s); err != nil {
		return err
	}
	switch {
	case !settled:
		return errors.Errorf("the newest records were not in force everywhere within %s", settleBound)
	case s.DuplicateRuns+s.FalseRefusals > 0 || s.Wrong+s.Backward+s.Dangling > 0:
		return errors.New("a guarantee was violated")
	case r.config.Planned && s.Errors > 0:
		return errors.New("calls failed during a graceful stop")
	}
	return nil
}

// monitor checks the tables that the nodes serve every 2 ms.
type monitor struct {
	live     func() []*fleet.Instance
	served   map[string]uint64 // newest revision served, by name of the instance
	backward atomic.Int64
	dangling atomic.Int64
}

func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, instance := range m.live() {
			m.check(instance)
		}
		sleep(ctx, 2*time.Millisecond)
	}
}

func (m *monitor) check(instance *fleet.Instance) {
	if !instance.Node.Holder.Ready() {
		return
	}
	t := instance.Node.Holder.Table()
	if t.Number < m.served[instance.Config.Name] {
		m.backward.Add(1)
	}
	m.served[instance.Config.Name] = max(t.Number, m.served[instance.Config.Name])
	for _, route := range t.Routes {
		if t.Services[route.Service] == nil {
			m.dangling.Add(1)
		}
	}
}
