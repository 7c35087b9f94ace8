package main

// This file measures flat gossip: a node that receives a new revision pushes it
// to a few random peers, and each node periodically pulls from a random peer
// (anti-entropy).

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// Parameters of flat gossip.
const (
	gossipFanout        = 4               // random peers that each node pushes a new revision to
	antiEntropyInterval = 5 * time.Second // mean interval between two pulls
	gossipReaders       = 2               // nodes per failure domain that receive each revision from the source
	gossipTimeout       = 2 * time.Second // of a push or fetch
)

// gossipNode is one node of flat gossip.
type gossipNode struct {
	wireconnect.UnimplementedPeerHandler

	peers  *[]*gossipNode
	holder revision.Holder
	pool   *peer.Pool
	in     peer.ByteCounter
	server *http.Server
	addr   string
	ctx    context.Context
	wg     *sync.WaitGroup
}

// Push implements the Peer service. On a gap it fetches the missing revisions
// from the sender.
func (g *gossipNode) Push(_ context.Context, req *connect.Request[wire.PushRequest]) (*connect.Response[wire.PushResponse], error) {
	if g.applyAndPush(req.Msg.GetUpdate()) {
		g.wg.Go(func() { g.fetch(req.Msg.GetName()) })
	}
	return connect.NewResponse(&wire.PushResponse{Revision: g.holder.Table().Number}), nil
}

// Fetch implements the Peer service.
func (g *gossipNode) Fetch(_ context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	u := g.holder.UpdateSince(req.Msg.GetRevision(), req.Msg.GetDigest())
	return connect.NewResponse(&wire.FetchResponse{Update: u, Revision: g.holder.Table().Number}), nil
}

// applyAndPush applies an update and, if it succeeds, pushes the revisions that
// were new to gossipFanout random peers. It reports whether the update could
// not be applied because revisions before it are missing.
func (g *gossipNode) applyAndPush(u *wire.Update) bool {
	old := g.holder.Table()
	if err := g.holder.Apply(u); err != nil {
		return errors.Is(err, revision.ErrGap)
	}
	next := g.holder.UpdateSince(old.Number, old.Digest)
	for range gossipFanout {
		g.wg.Go(func() {
			ctx, cancel := context.WithTimeout(g.ctx, gossipTimeout)
			defer cancel()
			_, _ = g.pool.Client(g.randomPeer()).Push(ctx, connect.NewRequest(&wire.PushRequest{Name: g.addr, Update: next})) // a lost push is repaired by anti-entropy
		})
	}
	return false
}

// fetch pulls the revisions that this node lacks from the peer at addr. It
// ignores failures.
func (g *gossipNode) fetch(addr string) {
	t := g.holder.Table()
	ctx, cancel := context.WithTimeout(g.ctx, gossipTimeout)
	defer cancel()
	resp, err := g.pool.Client(addr).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{Revision: t.Number, Digest: t.Digest}))
	if err == nil && resp.Msg.GetUpdate() != nil {
		g.applyAndPush(resp.Msg.GetUpdate())
	}
}

// randomPeer returns the address of a random other node.
func (g *gossipNode) randomPeer() string {
	for {
		if o := (*g.peers)[rand.IntN(len(*g.peers))]; o != g {
			return o.addr
		}
	}
}

// runAntiEntropy pulls from a random peer about every antiEntropyInterval, with
// jitter, until the context ends.
func (g *gossipNode) runAntiEntropy() {
	for {
		timer := time.NewTimer(antiEntropyInterval*3/4 + rand.N(antiEntropyInterval/2))
		select {
		case <-g.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.fetch(g.randomPeer())
	}
}

func (g *gossipNode) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "gossip")
	}
	g.addr, g.pool = l.Addr().String(), peer.NewPool(peer.PoolConfig{PingTimeout: 400 * time.Millisecond})
	path, rpc := wireconnect.NewPeerHandler(g, peer.HandlerOptions())
	mux := http.NewServeMux()
	mux.Handle(path, g.pool.MessageCounters.WrapHandler(rpc))
	g.server = &http.Server{Handler: mux, Protocols: peer.ServerProtocols(), ReadHeaderTimeout: time.Second}
	g.wg.Go(func() { _ = g.server.Serve(&peer.CountedListener{Listener: l, Counter: &g.in}) })
	return nil
}

// gossipRun is one measurement of flat gossip.
type gossipRun struct {
	*convergeCommand
	peers     []*gossipNode
	followers []*fleet.ActivationLog
	source    revision.Holder // holds the accepted revisions
}

// measureGossip measures flat gossip among nodes that do not use the platform.
func (c *convergeCommand) measureGossip() (*convergenceStats, error) {
	f, err := fleet.New(fleet.Config{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := c.seed(f); err != nil {
		return nil, err
	}
	records, _, err := store.ListRecords(context.Background(), f.Store)
	if err != nil {
		return nil, err
	}
	g := &gossipRun{convergeCommand: c}
	if _, err := g.accept(records); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer g.close()
	defer cancel()
	for range c.Nodes {
		n := &gossipNode{peers: &g.peers, ctx: ctx, wg: &wg}
		if err := n.start(); err != nil {
			return nil, err
		}
		if err := n.holder.Apply(&wire.Update{Snapshot: g.source.Table().Snapshot()}); err != nil {
			return nil, err
		}
		g.peers, g.followers = append(g.peers, n), append(g.followers, fleet.LogActivations(ctx, &n.holder))
	}
	for _, n := range g.peers {
		wg.Go(n.runAntiEntropy)
	}
	return g.measure()
}

func (g *gossipRun) close() {
	for _, n := range g.peers {
		_ = n.server.Close()
		n.pool.Close()
	}
}

// accept appends a revision with the changed records to the source and returns
// the update that carries it.
func (g *gossipRun) accept(records []*wire.Record) (*wire.Update, error) {
	rev, err := revision.Next(g.source.Table(), revision.Result{Changed: records}, "gossip", "bench", time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	u := &wire.Update{Revisions: []*wire.Revision{rev}}
	return u, g.source.Apply(u)
}

func (g *gossipRun) controlBytes() int64 {
	var sum int64
	for _, n := range g.peers {
		sum += n.in.Total() + n.pool.ConnCounter.Total()
	}
	return sum
}

func (g *gossipRun) measure() (*convergenceStats, error) {
	out := &convergenceStats{Nodes: g.Nodes, Changes: g.Changes}
	time.Sleep(g.Idle / 2)
	bytes, begin := g.controlBytes(), time.Now()
	time.Sleep(g.Idle)
	out.Idle = int64(float64(g.controlBytes()-bytes) / time.Since(begin).Seconds() / float64(g.Nodes))
	bytes, begin = g.controlBytes(), time.Now()
	accepted := map[uint64]time.Time{}
	for i := range g.Changes {
		if i == g.Changes/2 { // crash the last two nodes; the readers are the first ones
			_, _ = g.peers[g.Nodes-1].server.Close(), g.peers[g.Nodes-2].server.Close()
		}
		name := g.serviceOf(i)
		old := g.source.Table().Records[routeKey(name)]
		u, err := g.accept([]*wire.Record{{
			Kind: old.GetKind(), Name: name, Schema: 2, Version: old.GetVersion() + 100_000, Body: []byte(routeBody(name, i+1)),
		}})
		if err != nil {
			return nil, err
		}
		accepted[spread.PositionAfter(u).Number] = time.Now()
		for _, n := range g.peers[:min(gossipReaders*g.Domains, g.Nodes-2)] {
			n.wg.Go(func() { n.applyAndPush(u) })
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * g.Every)))
	}
	if !fleet.Await(20*time.Second, g.converged) {
		return nil, errors.New("the last change did not reach every gossip node within 20 s")
	}
	out.Bytes = (g.controlBytes() - bytes) / int64(g.Nodes) / int64(g.Changes)
	out.P50, out.P99, out.Max = quantiles(g.convergenceTimes(accepted))
	fmt.Printf("gossip to %d peers: its results exclude bytes and calls of the platform\n", gossipFanout)
	return out, nil
}

// survivors returns the number of nodes that are not crashed during the run.
func (g *gossipRun) survivors() int { return g.Nodes - 2 }

func (g *gossipRun) converged() bool {
	for _, n := range g.peers[:g.survivors()] {
		if n.holder.Table().Number < g.source.Table().Number {
			return false
		}
	}
	return true
}

// convergenceTimes returns, for each accepted revision, the time until the last
// surviving node held it or a newer one.
func (g *gossipRun) convergenceTimes(accepted map[uint64]time.Time) []time.Duration {
	var out []time.Duration
	for number, at := range accepted {
		var last time.Duration
		for _, f := range g.followers[:g.survivors()] {
			since, _ := f.InForceSince(number)
			last = max(last, since.Sub(at))
		}
		out = append(out, last)
	}
	return out
}
