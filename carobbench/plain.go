package main

// This file measures the plain way: every node polls the platform for the whole
// configuration and waits for its next change.

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/store"
)

// The plain way keeps the whole configuration in one object.
const (
	plainKind = "plain"
	plainName = "all"
	plainWait = 20 * time.Second // of one watch
)

// plainRecord is what a node needs of a record's object.
type plainRecord struct {
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Schema uint32          `json:"schema"`
	Spec   json.RawMessage `json:"spec"`
}

// plain is a fleet of nodes that only know the platform.
type plain struct {
	fleet *fleet.Fleet

	mu    sync.Mutex
	times map[uint64][]time.Time // of taking each version of the object
}

func (c *convergeCommand) base() (*figures, error) {
	f, err := fleet.New(fleet.Config{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := c.seed(f); err != nil {
		return nil, err
	}
	p := &plain{fleet: f, times: map[uint64][]time.Time{}}
	object, err := p.publish(0)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range c.Nodes {
		wg.Go(func() { p.follow(ctx) })
	}
	if !fleet.Await(time.Minute, func() bool { return p.taken(object) == c.Nodes }) {
		return nil, errors.New("the plain nodes did not all hold the records within a minute")
	}
	return c.measurePlain(p, object)
}

func (c *convergeCommand) measurePlain(p *plain, version uint64) (*figures, error) {
	out := &figures{Nodes: c.Nodes, Changes: c.Changes}
	time.Sleep(c.Idle / 2)
	bytes, begin := p.fleet.Bytes.Total(), time.Now()
	time.Sleep(c.Idle)
	out.Idle = int64(float64(p.fleet.Bytes.Total()-bytes) / time.Since(begin).Seconds() / float64(c.Nodes))

	bytes, calls, begin := p.fleet.Bytes.Total(), platformCalls(p.fleet), time.Now()
	published := map[uint64]time.Time{}
	for i := range c.Changes {
		at := time.Now()
		next, err := p.publish(version)
		if err != nil {
			return nil, err
		}
		version, published[next] = next, at
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * c.Every)))
	}
	span := time.Since(begin).Seconds()
	if !fleet.Await(20*time.Second, func() bool { return p.taken(version) == c.Nodes }) {
		return nil, errors.New("the last change did not reach every plain node within 20 s")
	}
	out.Bytes = (p.fleet.Bytes.Total() - bytes) / int64(c.Nodes) / int64(c.Changes)
	out.Calls = float64(platformCalls(p.fleet)-calls) / span
	out.P50, out.P99, out.Max = quantiles(p.took(published, c.Nodes))
	return out, nil
}

// publish writes the whole configuration and returns its version.
func (p *plain) publish(version uint64) (uint64, error) {
	ctx := context.Background()
	objs, _, err := store.ListAll(ctx, p.fleet.Store, store.KindRecord, "")
	if err != nil {
		return 0, err
	}
	var all []plainRecord
	for _, o := range objs {
		var r plainRecord
		if err := json.Unmarshal(o.Body, &r); err != nil {
			return 0, errors.Wrapf(err, "decode %s", o.Name)
		}
		all = append(all, r)
	}
	body, err := json.Marshal(all)
	if err != nil {
		return 0, errors.Wrap(err, "encode the whole configuration")
	}
	if version == 0 {
		fmt.Printf("plain way: %d bytes of configuration\n", len(body))
		o, err := p.fleet.Store.Create(ctx, plainKind, plainName, body)
		return o.Version, err
	}
	o, err := p.fleet.Store.Update(ctx, plainKind, plainName, version, body)
	return o.Version, err
}

// follow watches the configuration as one node does.
func (p *plain) follow(ctx context.Context) {
	client := store.New(store.ClientConfig{Addresses: []string{p.fleet.Address()}})
	defer client.Close()
	var version uint64
	for ctx.Err() == nil {
		objs, next, err := client.Watch(ctx, plainKind, version, plainWait)
		if err != nil {
			p.wait(ctx, err)
			continue
		}
		version = next
		for _, o := range objs {
			var all []json.RawMessage
			if json.Unmarshal(o.Body, &all) == nil {
				p.note(o.Version)
			}
		}
	}
}

// wait comes back when the platform says so.
func (p *plain) wait(ctx context.Context, err error) {
	after := 100 * time.Millisecond
	var busy *store.RateLimitError
	if errors.As(err, &busy) {
		after = busy.RetryAfter
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (p *plain) note(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times[version] = append(p.times[version], time.Now())
}

// taken returns the number of nodes that took a version.
func (p *plain) taken(version uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.times[version])
}

// took returns the time until the last node held each version or a newer one.
// Only versions that every node took by themselves are told apart.
func (p *plain) took(published map[uint64]time.Time, nodes int) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []time.Duration
	for version, at := range published {
		var last time.Duration
		for _, t := range p.times[version] {
			last = max(last, t.Sub(at))
		}
		if len(p.times[version]) == nodes {
			out = append(out, last)
		}
	}
	return out
}
