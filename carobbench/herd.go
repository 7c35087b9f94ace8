package main

// This file kills and restarts a whole fleet at once and measures the herd that
// comes back.

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

// herded is the result of one size.
type herded struct {
	Nodes int     `json:"nodes"`
	Whole int64   `json:"whole"` // ms until all hold the current table
	Known int64   `json:"known"` // ms until all know all
	Peak  float64 `json:"peak"`  // platform calls/s
	Bytes float64 `json:"bytes"` // peak of control bytes/s of one node
}

// herdSlopes are per node.
type herdSlopes struct {
	Whole float64 `json:"whole"` // ms
	Peak  float64 `json:"peak"`  // platform calls/s
	Bytes float64 `json:"bytes"` // bytes/s
}

// Execute runs one herd of each size and fails when the platform's rates were
// exceeded or a node did not come back.
func (c *herdCommand) Execute([]string) error {
	var all []herded
	for _, n := range c.Nodes {
		h, err := c.herd(n)
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
		herded
		Slopes *herdSlopes `json:"slopes,omitempty"`
	}{herded: last}
	if n := float64(last.Nodes - first.Nodes); n > 0 {
		out.Slopes = &herdSlopes{
			Whole: tenth(float64(last.Whole-first.Whole) / n), Peak: tenth((last.Peak - first.Peak) / n), Bytes: tenth((last.Bytes - first.Bytes) / n),
		}
	}
	printLine(out)
	if last.Peak > platformReads {
		return errors.Errorf("%.0f platform calls/s exceed its %d", last.Peak, platformReads)
	}
	return nil
}

// platformReads is what the platform takes, in calls/s.
const platformReads = 2000

// herd is one fleet that is killed and comes back.
type herd struct {
	fleet    *fleet.Fleet
	settings []*wire.Settings
	nodes    []*node.Node
	revision uint64
}

func (c *herdCommand) herd(n int) (herded, error) {
	f, err := fleet.New(fleet.Config{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return herded{}, err
	}
	defer f.Close()
	h := &herd{fleet: f, nodes: make([]*node.Node, n)}
	defer h.kill()
	if err := h.prepare(c.Seeds); err != nil {
		return herded{}, err
	}
	if !fleet.Await(c.Bound, func() bool { return h.known() && h.whole() }) {
		return herded{}, errors.Errorf("the fleet was not whole within %s", c.Bound)
	}
	h.kill()
	return h.comeBack(c.Bound)
}

// prepare starts the fleet for the first time, at ports that it keeps.
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
		s := h.fleet.Settings(fleet.Place{Name: fmt.Sprintf("node-%03d", i), Domain: fmt.Sprintf("domain-%d", i%7), Region: fmt.Sprintf("region-%d", i%3)})
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

// comeBack restarts every node and watches until all hold the current table.
func (h *herd) comeBack(bound time.Duration) (herded, error) {
	m := newMeter(h)
	start := time.Now()
	if err := h.start(); err != nil {
		return herded{}, err
	}
	out := herded{Nodes: len(h.nodes)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { m.run(stop) })
	ok := fleet.Await(bound, func() bool {
		if out.Whole == 0 && h.whole() {
			out.Whole = time.Since(start).Milliseconds()
		}
		return out.Whole > 0 && h.known()
	})
	out.Known = time.Since(start).Milliseconds()
	close(stop)
	wg.Wait()
	out.Peak, out.Bytes = m.calls, m.bytes
	if !ok {
		return out, errors.Errorf("not all nodes came back within %s; %d ms until all held the table", bound, out.Whole)
	}
	return out, nil
}

// start starts every node at once.
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

// known tells whether every node knows all the others.
func (h *herd) known() bool {
	for _, n := range h.nodes {
		if len(n.Members.View().Names) != len(h.nodes) {
			return false
		}
	}
	return true
}

// whole tells whether every node serves the newest table.
func (h *herd) whole() bool {
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
