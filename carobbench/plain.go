package main

// This file measures the polling baseline: every node long-polls the platform for
// the whole configuration.

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

// The baseline keeps the whole configuration in one object.
const (
	baselineKind      = "plain"
	baselineName      = "all"
	baselineWatchTime = 20 * time.Second // longest duration of one watch
)

// baselineRecord holds the fields of a stored record that a node needs.
type baselineRecord struct {
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Schema uint32          `json:"schema"`
	Spec   json.RawMessage `json:"spec"`
}

// baseline is a fleet of nodes that communicate with the platform only.
type baseline struct {
	fleet *fleet.Fleet

	mu       sync.Mutex
	arrivals map[store.Version][]time.Time // when each node received the object, by version
}

// measureBaseline measures the polling baseline.
func (c *convergeCommand) measureBaseline() (*convergenceStats, error) {
	f, err := fleet.New(fleet.Config{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := c.seed(f); err != nil {
		return nil, err
	}
	p := &baseline{fleet: f, arrivals: map[store.Version][]time.Time{}}
	object, err := p.publish(store.Version{})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range c.Nodes {
		wg.Go(func() { p.poll(ctx) })
	}
	if !fleet.Await(time.Minute, func() bool { return p.holders(object) == c.Nodes }) {
		return nil, errors.New("the nodes of the polling baseline did not all hold the records within a minute")
	}
	return c.measurePolling(p, object)
}

func (c *convergeCommand) measurePolling(p *baseline, version store.Version) (*convergenceStats, error) {
	out := &convergenceStats{Nodes: c.Nodes, Changes: c.Changes}
	time.Sleep(c.Idle / 2)
	bytes, begin := p.fleet.PlatformBytes.Total(), time.Now()
	time.Sleep(c.Idle)
	out.Idle = int64(float64(p.fleet.PlatformBytes.Total()-bytes) / time.Since(begin).Seconds() / float64(c.Nodes))

	bytes, calls, begin := p.fleet.PlatformBytes.Total(), platformCalls(p.fleet), time.Now()
	published := map[store.Version]time.Time{}
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
	if !fleet.Await(20*time.Second, func() bool { return p.holders(version) == c.Nodes }) {
		return nil, errors.New("the last change did not reach every node of the polling baseline within 20 s")
	}
	out.Bytes = (p.fleet.PlatformBytes.Total() - bytes) / int64(c.Nodes) / int64(c.Changes)
	out.Calls = float64(platformCalls(p.fleet)-calls) / span
	out.P50, out.P99, out.Max = quantiles(p.convergenceTimes(published, c.Nodes))
	return out, nil
}

// publish writes the whole configuration over the given version, or creates it if
// version is zero, and returns the new version.
func (p *baseline) publish(version store.Version) (store.Version, error) {
	ctx := context.Background()
	objs, _, err := store.ListAll(ctx, p.fleet.Store, store.KindRecord, "")
	if err != nil {
		return store.Version{}, err
	}
	var all []baselineRecord
	for _, o := range objs {
		var r baselineRecord
		if err := json.Unmarshal(o.Body, &r); err != nil {
			return store.Version{}, errors.Wrapf(err, "decode %s", o.Name)
		}
		all = append(all, r)
	}
	body, err := json.Marshal(all)
	if err != nil {
		return store.Version{}, errors.Wrap(err, "encode the whole configuration")
	}
	if version.IsZero() {
		fmt.Printf("polling baseline: %d bytes of configuration\n", len(body))
		o, err := p.fleet.Store.Create(ctx, baselineKind, baselineName, body)
		return o.Version, err
	}
	o, err := p.fleet.Store.Update(ctx, baselineKind, baselineName, version, body)
	return o.Version, err
}

// poll watches the configuration like one node, until ctx ends.
func (p *baseline) poll(ctx context.Context) {
	client := store.New(store.ClientConfig{Addresses: []string{p.fleet.PlatformAddress()}})
	defer client.Close()
	var version store.Version
	for ctx.Err() == nil {
		objs, next, err := client.Watch(ctx, baselineKind, version, baselineWatchTime)
		if err != nil {
			p.backOff(ctx, err)
			continue
		}
		version = next
		for _, o := range objs {
			var all []json.RawMessage
			if json.Unmarshal(o.Body, &all) == nil {
				p.recordArrival(o.Version)
			}
		}
	}
}

// backOff waits before the next watch after err: as long as the platform asks
// for if it is busy, otherwise 100 ms.
func (p *baseline) backOff(ctx context.Context, err error) {
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

func (p *baseline) recordArrival(version store.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[version] = append(p.arrivals[version], time.Now())
}

// holders returns the number of nodes that received a version.
func (p *baseline) holders(version store.Version) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.arrivals[version])
}

// convergenceTimes returns, for each published version, the time until the last
// node had received it. Versions that some node skipped for a newer one are
// left out.
func (p *baseline) convergenceTimes(published map[store.Version]time.Time, nodes int) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []time.Duration
	for version, at := range published {
		var last time.Duration
		for _, t := range p.arrivals[version] {
			last = max(last, t.Sub(at))
		}
		if len(p.arrivals[version]) == nodes {
			out = append(out, last)
		}
	}
	return out
}
