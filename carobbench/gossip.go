package main

// This file measures flat gossip: each node that takes a revision pushes it to
// a few others at random, and asks one at random now and then.

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

// Settings of flat gossip.
const (
	gossipCopies   = 4               // peers that each node pushes a revision to
	gossipExchange = 5 * time.Second // between two questions to a random peer
	gossipReaders  = 2               // nodes of each failure domain that get revisions first
	gossipTimeout  = 2 * time.Second
)

// gossiper is a node that gossips.
type gossiper struct {
	wireconnect.UnimplementedPeerHandler

	peers  *[]*gossiper
	holder revision.Holder
	pool   *peer.Pool
	in     peer.ByteCounter
	server *http.Server
	addr   string
	ctx    context.Context
	wg     *sync.WaitGroup
}

// Push implements the Peer service.
func (g *gossiper) Push(_ context.Context, req *connect.Request[wire.PushRequest]) (*connect.Response[wire.PushResponse], error) {
	if g.take(req.Msg.GetUpdate()) {
		g.wg.Go(func() { g.fetch(req.Msg.GetName()) })
	}
	return connect.NewResponse(&wire.PushResponse{Revision: g.holder.Table().Number}), nil
}

// Fetch implements the Peer service.
func (g *gossiper) Fetch(_ context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	u := g.holder.UpdateSince(req.Msg.GetRevision(), req.Msg.GetDigest())
	return connect.NewResponse(&wire.FetchResponse{Update: u, Revision: g.holder.Table().Number}), nil
}

// take applies an update and passes on what was new. It tells whether the
// update left a gap.
func (g *gossiper) take(u *wire.Update) bool {
	old := g.holder.Table()
	if err := g.holder.Apply(u); err != nil {
		return errors.Is(err, revision.ErrGap)
	}
	next := g.holder.UpdateSince(old.Number, old.Digest)
	for range gossipCopies {
		g.wg.Go(func() {
			ctx, cancel := context.WithTimeout(g.ctx, gossipTimeout)
			defer cancel()
			_, _ = g.pool.Client(g.other()).Push(ctx, connect.NewRequest(&wire.PushRequest{Name: g.addr, Update: next})) // loss is repaired
		})
	}
	return false
}

// fetch asks a peer for what this node lacks.
func (g *gossiper) fetch(addr string) {
	t := g.holder.Table()
	ctx, cancel := context.WithTimeout(g.ctx, gossipTimeout)
	defer cancel()
	resp, err := g.pool.Client(addr).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{Revision: t.Number, Digest: t.Digest}))
	if err == nil && resp.Msg.GetUpdate() != nil {
		g.take(resp.Msg.GetUpdate())
	}
}

func (g *gossiper) other() string {
	for {
		if o := (*g.peers)[rand.IntN(len(*g.peers))]; o != g {
			return o.addr
		}
	}
}

// exchange asks a random peer until the context ends.
func (g *gossiper) exchange() {
	for {
		timer := time.NewTimer(gossipExchange*3/4 + rand.N(gossipExchange/2))
		select {
		case <-g.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.fetch(g.other())
	}
}

func (g *gossiper) start() error {
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

// gossip is a run of gossipers.
type gossip struct {
	*convergeCommand
	peers     []*gossiper
	followers []*fleet.Follower
	source    revision.Holder // what was accepted
}

func (c *convergeCommand) gossip() (*figures, error) {
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
	g := &gossip{convergeCommand: c}
	if _, err := g.accept(records); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer g.close()
	defer cancel()
	for range c.Nodes {
		one := &gossiper{peers: &g.peers, ctx: ctx, wg: &wg}
		if err := one.start(); err != nil {
			return nil, err
		}
		if err := one.holder.Apply(&wire.Update{Snapshot: g.source.Table().Snapshot()}); err != nil {
			return nil, err
		}
		g.peers, g.followers = append(g.peers, one), append(g.followers, fleet.Follow(ctx, &one.holder))
	}
	for _, one := range g.peers {
		wg.Go(one.exchange)
	}
	return g.measure()
}

func (g *gossip) close() {
	for _, one := range g.peers {
		_ = one.server.Close()
		one.pool.Close()
	}
}

// accept appends a revision with the records.
func (g *gossip) accept(records []*wire.Record) (*wire.Update, error) {
	rev, err := revision.Next(g.source.Table(), revision.Result{Changed: records}, "gossip", "bench", time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	u := &wire.Update{Revisions: []*wire.Revision{rev}}
	return u, g.source.Apply(u)
}

func (g *gossip) total() int64 {
	var sum int64
	for _, one := range g.peers {
		sum += one.in.Total() + one.pool.ConnCounter.Total()
	}
	return sum
}

func (g *gossip) measure() (*figures, error) {
	out := &figures{Nodes: g.Nodes, Changes: g.Changes}
	time.Sleep(g.Idle / 2)
	bytes, begin := g.total(), time.Now()
	time.Sleep(g.Idle)
	out.Idle = int64(float64(g.total()-bytes) / time.Since(begin).Seconds() / float64(g.Nodes))
	bytes, begin = g.total(), time.Now()
	accepted := map[uint64]time.Time{}
	for i := range g.Changes {
		if i == g.Changes/2 { // two crash; the readers are the first ones
			_, _ = g.peers[g.Nodes-1].server.Close(), g.peers[g.Nodes-2].server.Close()
		}
		name := g.changed(i)
		old := g.source.Table().Records[routeKey(name)]
		u, err := g.accept([]*wire.Record{{
			Kind: old.GetKind(), Name: name, Schema: 2, Version: old.GetVersion() + 100_000, Body: []byte(routeBody(name, i+1)),
		}})
		if err != nil {
			return nil, err
		}
		accepted[spread.PositionAfter(u).Number] = time.Now()
		for _, one := range g.peers[:min(gossipReaders*g.Domains, g.Nodes-2)] {
			one.wg.Go(func() { one.take(u) })
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * g.Every)))
	}
	if !fleet.Await(20*time.Second, g.converged) {
		return nil, errors.New("gossip did not bring the last change to every node within 20 s")
	}
	out.Bytes = (g.total() - bytes) / int64(g.Nodes) / int64(g.Changes)
	out.P50, out.P99, out.Max = quantiles(g.took(accepted))
	fmt.Printf("gossip to %d peers: platform bytes and calls are not in its figures\n", gossipCopies)
	return out, nil
}

// live returns the number of nodes that run to the end.
func (g *gossip) live() int { return g.Nodes - 2 }

func (g *gossip) converged() bool {
	for _, one := range g.peers[:g.live()] {
		if one.holder.Table().Number < g.source.Table().Number {
			return false
		}
	}
	return true
}

func (g *gossip) took(accepted map[uint64]time.Time) []time.Duration {
	var out []time.Duration
	for number, at := range accepted {
		var last time.Duration
		for _, f := range g.followers[:g.live()] {
			since, _ := f.Since(number)
			last = max(last, since.Sub(at))
		}
		out = append(out, last)
	}
	return out
}
