package main

// This file kills a whole fleet, restarts all its nodes at once and measures the
// thundering herd.

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/carobbench/examples"
	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

type herdCommand struct {
	Nodes []int         `long:"nodes" default:"200" description:"sizes of the fleet"`
	Bound time.Duration `long:"bound" default:"60s" description:"time in which all nodes must hold the current table"`
	Seeds int           `long:"seeds" default:"3" description:"nodes that the others join by"`
}

// restartResult is the result for one size of the fleet.
type restartResult struct {
	Nodes              int     `json:"nodes"`
	TablesCurrent      int64   `json:"whole"` // ms until every node serves the current table
	MembershipComplete int64   `json:"known"` // ms until, in addition, every node lists all members
	Peak               float64 `json:"peak"`  // peak platform calls/s
	Bytes              float64 `json:"bytes"` // peak control bytes/s of any one node
}

// herdSlopes holds the growth of the results per additional node.
type herdSlopes struct {
	TablesCurrent float64 `json:"whole"` // ms
	Peak          float64 `json:"peak"`  // platform calls/s
	Bytes         float64 `json:"bytes"` // bytes/s
}

// Execute restarts a fleet of each size and prints the results. It returns an
// error if the largest run exceeded the platform's read rate, or if a node did
// not recover within the bound.
func (c *herdCommand) Execute([]string) error {
	var all []restartResult
	for _, n := range c.Nodes {
		h, err := c.measure(n)
		if err != nil {
			return errors.Wrapf(err, "%d nodes", n)
		}
		all = append(all, h)
		if len(c.Nodes) > 1 {
			printLine(h)
		}
	}
	first, last := all[0], all[len(all)-1]
	out := struct {
		restartResult
		Slopes *herdSlopes `json:"slopes,omitempty"`
	}{restartResult: last}
	if n := float64(last.Nodes - first.Nodes); n > 0 {
		out.Slopes = &herdSlopes{
			TablesCurrent: truncateTenths(float64(last.TablesCurrent-first.TablesCurrent) / n), Peak: truncateTenths((last.Peak - first.Peak) / n), Bytes: truncateTenths((last.Bytes - first.Bytes) / n),
		}
	}
	printLine(out)
	if last.Peak > platformReadLimit {
		return errors.Errorf("%.0f platform calls/s exceed its %d", last.Peak, platformReadLimit)
	}
	return nil
}

// platformReadLimit is the platform's limit, in calls/s.
const platformReadLimit = 2000

// herd is a fleet whose nodes are killed and restarted together.
type herd struct {
	fleet    *fleet.Fleet
	settings []*wire.Settings
	nodes    []*node.Node
	revision uint64 // newest that any node served
}

func (c *herdCommand) measure(n int) (restartResult, error) {
	f, err := fleet.New(fleet.Config{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return restartResult{}, err
	}
	defer f.Close()
	h := &herd{fleet: f, nodes: make([]*node.Node, n)}
	defer h.kill()
	if err := h.prepare(c.Seeds); err != nil {
		return restartResult{}, err
	}
	if !fleet.Await(c.Bound, func() bool { return h.membershipComplete() && h.tablesCurrent() }) {
		return restartResult{}, errors.Errorf("not every node held the table and all members within %s", c.Bound)
	}
	h.kill()
	return h.measureRestart(c.Bound)
}

// prepare writes the records and starts the fleet for the first time. The nodes
// keep their ports for the restart.
func (h *herd) prepare(seeds int) error {
	records, err := readRecords(examples.Jieming)
	if err != nil {
		return err
	}
	for _, r := range records {
		body, err := store.EncodeRecord(r, "herd", nil)
		if err != nil {
			return err
		}
		name := store.RecordName(record.KeyOf(r))
		if _, err := h.fleet.Store.Create(context.Background(), store.KindRecord, name, body); err != nil {
			return errors.Wrapf(err, "record %s", name)
		}
	}
	h.revision = 1
	for i := range h.nodes {
		s := h.fleet.Settings(fleet.InstanceConfig{Name: fmt.Sprintf("node-%03d", i), Domain: fmt.Sprintf("domain-%d", i%7), Region: fmt.Sprintf("region-%d", i%3)})
		s.Peers.Seeds = nil
		for j := range min(i, seeds) {
			s.Peers.Seeds = append(s.Peers.Seeds, h.settings[j].GetListen().GetPeer())
		}
		n, err := node.New(s, telemetry.Sinks{})
		if err != nil {
			return err
		}
		a := n.Addresses()
		s = proto.CloneOf(s)
		s.Listen = &wire.Listen{Caller: a.Caller, Hop: a.Hop, Peer: a.Peer, Backend: a.Backend, Operator: a.Operator}
		h.settings = append(h.settings, s)
		h.nodes[i] = n
		n.Start()
	}
	for _, s := range h.settings {
		s.Peers.Seeds = nil
		for j := range min(seeds, len(h.settings)) {
			s.Peers.Seeds = append(s.Peers.Seeds, h.settings[j].GetListen().GetPeer())
		}
	}
	return nil
}

// measureRestart restarts every node and measures until each serves the current
// table and lists all members, or until the bound has passed.
func (h *herd) measureRestart(bound time.Duration) (restartResult, error) {
	m := newMeter(h)
	start := time.Now()
	if err := h.start(); err != nil {
		return restartResult{}, err
	}
	out := restartResult{Nodes: len(h.nodes)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { m.run(stop) })
	ok := fleet.Await(bound, func() bool {
		if out.TablesCurrent == 0 && h.tablesCurrent() {
			out.TablesCurrent = time.Since(start).Milliseconds()
		}
		return out.TablesCurrent > 0 && h.membershipComplete()
	})
	out.MembershipComplete = time.Since(start).Milliseconds()
	close(stop)
	wg.Wait()
	out.Peak, out.Bytes = m.peakCalls, m.peakBytes
	if !ok {
		return out, errors.Errorf("not all nodes recovered within %s; %d ms until all held the table (0: never)", bound, out.TablesCurrent)
	}
	return out, nil
}

// start starts all nodes concurrently.
func (h *herd) start() error {
	errs := make([]error, len(h.nodes))
	var wg sync.WaitGroup
	for i, s := range h.settings {
		wg.Go(func() {
			h.nodes[i], errs[i] = node.New(s, telemetry.Sinks{})
			if errs[i] == nil {
				h.nodes[i].Start()
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *herd) kill() {
	var wg sync.WaitGroup
	for i, n := range h.nodes {
		if n != nil {
			wg.Go(n.Kill)
		}
		h.nodes[i] = nil
	}
	wg.Wait()
}

// membershipComplete reports whether every node lists all members.
func (h *herd) membershipComplete() bool {
	for _, n := range h.nodes {
		if len(n.Members.View().Names) != len(h.nodes) {
			return false
		}
	}
	return true
}

// tablesCurrent reports whether every node is ready and serves the newest table
// that any node has served.
func (h *herd) tablesCurrent() bool {
	for _, n := range h.nodes {
		h.revision = max(h.revision, n.Holder.Table().Number)
	}
	for _, n := range h.nodes {
		if n.Holder.Table().Number < h.revision || !n.Holder.Ready() {
			return false
		}
	}
	return true
}
