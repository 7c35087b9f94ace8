package main

// This file runs Jieming's deployment in one process: 11 instances in 4 failure
// domains, with a configuration change and a graceful stop under load.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/carobbench/examples"
	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// inForceBound is the time within which a change must be in force on every node.
const inForceBound = 3 * time.Second

type demoCommand struct {
	Callers int           `long:"callers" default:"8" description:"callers at one time"`
	Time    time.Duration `long:"time" default:"2s" description:"duration of each phase"`
}

// demo is the state of one run of the demo command.
type demo struct {
	fleet   *fleet.Fleet
	calls   atomic.Int64
	failed  atomic.Int64
	wrong   atomic.Int64 // answers that were truncated or belonged to another call
	reasons sync.Map     // number of failed calls (*atomic.Int64) by reason (string)

	mu       sync.Mutex
	bookings []string // keys of bookings
}

// demoSummary is the last line of the output.
type demoSummary struct {
	Nodes         int    `json:"nodes"`
	Revision      uint64 `json:"revision"`
	Calls         int64  `json:"calls"`
	Errors        int64  `json:"errors"`
	DuplicateRuns int    `json:"doubled"`
	Converged     int64  `json:"converged"` // ms until the change was in force everywhere
}

// Execute runs the demo, prints the summary, and returns an error if a guarantee
// was violated.
func (c *demoCommand) Execute([]string) error {
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	f, err := fleet.New(fleet.Config{Log: log})
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{fleet: f}
	if err := d.start(); err != nil {
		return err
	}
	return d.run(c)
}

// start starts the instances, applies the example records, and waits until they
// are in force on every node.
func (d *demo) start() error {
	domains := []string{"xitun", "nantun", "beitun", "fengyuan"}
	for i := range 11 {
		p := fleet.InstanceConfig{Name: fmt.Sprintf("quotes-%d", i+1), Service: "quotes", Domain: domains[i%4], Slots: 6, CallTime: 2 * time.Millisecond}
		if i >= 7 {
			p.Name, p.Service = fmt.Sprintf("drawings-%d", i-6), "drawings"
		}
		if _, err := d.fleet.Add(p); err != nil {
			return err
		}
	}
	if !fleet.Await(15*time.Second, d.membershipComplete) {
		return errors.New("the nodes did not all discover each other within 15 s")
	}
	records, err := readRecords(examples.Jieming)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := d.apply(r); err != nil {
			return err
		}
	}
	if !fleet.Await(inForceBound, func() bool { return d.inForce("route", "stock", 0) }) {
		return errors.Errorf("the records were not in force everywhere within %s", inForceBound)
	}
	fmt.Printf("%d nodes in %d failure domains, %d records in force\n", len(d.fleet.Instances()), len(domains), len(records))
	return nil
}

// membershipComplete reports whether every node lists all instances and all
// backend servers.
func (d *demo) membershipComplete() bool {
	for _, instance := range d.fleet.Instances() {
		v := instance.Node.Members.View()
		if len(v.Names) != 11 || len(v.Offers("quotes")) != 7 || len(v.Offers("drawings")) != 4 {
			return false
		}
	}
	return true
}

// readRecords decodes a sequence of JSON record documents.
func readRecords(data []byte) ([]*wire.Record, error) {
	var out []*wire.Record
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var doc struct {
			Kind   string
			Name   string
			Schema uint32
			Spec   json.RawMessage
		}
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "records")
		}
		kind, _ := record.ParseKind(doc.Kind)
		out = append(out, &wire.Record{Kind: kind, Name: doc.Name, Schema: doc.Schema, Body: doc.Spec})
	}
}

// apply writes a record through the last node. Any other node would do.
func (d *demo) apply(r *wire.Record) error {
	ms := d.fleet.Instances()
	c := wireconnect.NewOperatorClient(http.DefaultClient, "http://"+ms[len(ms)-1].Node.Addresses().Operator)
	resp, err := c.Apply(context.Background(), connect.NewRequest(&wire.ApplyRequest{Record: r, Force: true}))
	if err != nil {
		return errors.Wrapf(err, "apply %s", record.KeyOf(r))
	}
	return record.Findings(resp.Msg.GetFindings()).Err()
}

// inForce reports whether every running node holds a version of the record newer
// than the given one.
func (d *demo) inForce(kind, name string, version uint64) bool {
	k, _ := record.ParseKind(kind)
	for _, instance := range d.fleet.Instances() {
		select {
		case <-instance.Node.Dead():
			continue
		default:
		}
		if instance.Node.Holder.Table().Records[record.Key{Kind: k, Name: name}].GetVersion() <= version {
			return false
		}
	}
	return true
}

func (d *demo) run(c *demoCommand) error {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range c.Callers {
		wg.Go(func() { d.sendCalls(ctx, i) })
	}
	time.Sleep(c.Time)
	converged, err := d.change()
	time.Sleep(c.Time)
	if err == nil {
		err = d.drain()
	}
	time.Sleep(c.Time)
	cancel()
	wg.Wait()
	if err != nil {
		return err
	}
	return d.report(converged)
}

// change moves the route of /stock to the quotes service and returns the time
// until that was in force on every node.
func (d *demo) change() (time.Duration, error) {
	key := record.Key{Kind: wire.Kind_KIND_ROUTE, Name: "stock"}
	old := d.fleet.Instances()[0].Node.Holder.Table().Records[key].GetVersion()
	start := time.Now()
	body := []byte(`{"prefix": "/stock", "service": "quotes", "timeout": "2s"}`)
	if err := d.apply(&wire.Record{Kind: key.Kind, Name: key.Name, Schema: 2, Body: body}); err != nil {
		return 0, err
	}
	if !fleet.Await(inForceBound, func() bool { return d.inForce("route", "stock", old) }) {
		return 0, errors.Errorf("the changed route was not in force everywhere within %s", inForceBound)
	}
	took := time.Since(start)
	fmt.Printf("route stock moved to quotes, in force on every node after %d ms\n", took.Milliseconds())
	return took, nil
}

// drain stops one instance gracefully.
func (d *demo) drain() error {
	instance := d.fleet.Instances()[2]
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	start := time.Now()
	if err := instance.Drain(ctx); err != nil {
		return errors.Wrapf(err, "drain %s", instance.Config.Name)
	}
	fmt.Printf("instance %s drained and stopped in %d ms\n", instance.Config.Name, time.Since(start).Milliseconds())
	return nil
}

// sendCalls sends calls one after another until ctx ends. It never uses the
// instance that is drained as its entry.
func (d *demo) sendCalls(ctx context.Context, caller int) {
	client := &http.Client{Timeout: 10 * time.Second}
	paths := []string{"/quotes/7", "/orders", "/drawings/9", "/stock/3"}
	entries := d.fleet.Instances()
	entries = append(entries[:2:2], entries[3:]...)
	for i := 0; ctx.Err() == nil; i++ {
		path := paths[i%len(paths)]
		method := http.MethodGet
		if path == "/orders" {
			method = http.MethodPost
		}
		key := fmt.Sprintf("%d-%d", caller, i)
		entry := entries[(caller+i)%len(entries)].Node.Addresses().Caller
		d.send(client, method, "http://"+entry+path, key)
	}
}

func (d *demo) send(client *http.Client, method, url, key string) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader("body of "+key))
	if err != nil {
		panic(err) // the URL is built here, so it is valid
	}
	req.Header.Set("Key", key)
	if method == http.MethodPost {
		d.mu.Lock()
		d.bookings = append(d.bookings, key)
		d.mu.Unlock()
	}
	d.calls.Add(1)
	resp, err := client.Do(req)
	if err != nil {
		d.fail(err.Error())
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		d.fail(err.Error())
	case resp.StatusCode != http.StatusOK:
		d.fail(fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Caroblift-Reason")))
	case !strings.HasSuffix(string(body), key+" body of "+key):
		d.wrong.Add(1)
	}
}

func (d *demo) fail(reason string) {
	d.failed.Add(1)
	n, _ := d.reasons.LoadOrStore(reason, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// doubled counts the bookings that ran more than once.
func (d *demo) doubled() int {
	runs := map[string]int{}
	for _, instance := range d.fleet.Instances() {
		for key, n := range instance.Server.RunCounts() {
			runs[key] += n
		}
	}
	n := 0
	for _, key := range d.bookings {
		if runs[key] > 1 {
			n++
		}
	}
	return n
}

func (d *demo) report(converged time.Duration) error {
	s := demoSummary{
		Nodes: len(d.fleet.Instances()), Revision: d.fleet.Instances()[0].Node.Holder.Table().Number,
		Calls: d.calls.Load(), Errors: d.failed.Load() + d.wrong.Load(), DuplicateRuns: d.doubled(), Converged: converged.Milliseconds(),
	}
	fmt.Printf("%d calls, %d failed, %d wrong answers, %d bookings ran more than once\n", s.Calls, d.failed.Load(), d.wrong.Load(), s.DuplicateRuns)
	d.reasons.Range(func(reason, n any) bool {
		fmt.Printf("  %d calls failed: %s\n", n.(*atomic.Int64).Load(), reason)
		return true
	})
	if err := printSummary(s); err != nil {
		return err
	}
	if s.Errors > 0 || s.DuplicateRuns > 0 {
		return errors.New("a guarantee was violated")
	}
	return nil
}
