package feeder

// This file makes the churn of the fleet and tells the node of it.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// watchers is how many members send heartbeats and news to one node: as many
// as it has neighbours.
const watchers = 5

const (
	tick    = 100 * time.Millisecond // between two messages of news
	beat    = time.Second
	maxNews = 64 // events in one message
)

// stages are what happens to an instance that is replaced.
const stages = 4 // leaving, dead, back and cold, warm

// Feed sends heartbeats and news to the node until the context ends.
func (f *Feeder) Feed(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.churn(ctx) })
	for i := range watchers {
		wg.Go(func() { f.watch(ctx, i) })
	}
	wg.Wait()
}

// churn replaces one instance after another, event by event.
func (f *Feeder) churn(ctx context.Context) {
	due, stage, victim := 0.0, 0, 0
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for due += f.rate * tick.Seconds(); due >= 1; due-- {
			if stage == 0 {
				victim = 1 + rand.IntN(len(f.members)-1) // the first is the seed
			}
			f.replace(victim, stage)
			stage = (stage + 1) % stages
		}
		f.mu.Unlock()
	}
}

// replace makes the next event of an instance. The caller holds f.mu.
func (f *Feeder) replace(i, stage int) {
	m := proto.CloneOf(f.members[i])
	switch stage {
	case 0:
		m.State, m.Serial = wire.State_STATE_LEAVING, m.GetSerial()+1
	case 1:
		m = member.NewVerdict(m.GetName(), m.GetIncarnation(), wire.State_STATE_DEAD)
	case 2:
		m = f.member(i, m.GetPeer(), uint64(time.Now().UnixMilli()))
		m.Servers[0].Cold = true
	case 3:
		m.Servers[0].Cold, m.Serial = false, m.GetSerial()+1
	}
	if stage != 1 {
		f.members[i] = m
	}
	f.table.Merge(m, time.Now())
	f.table.TakeChanges()
	f.events++
	for w := range f.queues {
		f.queues[w] = append(f.queues[w], m)
	}
}

// watch sends the heartbeats and news of one watcher.
func (f *Feeder) watch(ctx context.Context, w int) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		events := f.queues[w][:min(maxNews, len(f.queues[w]))]
		f.queues[w] = f.queues[w][len(events):]
		self := f.members[(w+1)%len(f.members)]
		req := &wire.ProbeRequest{Name: self.GetName(), Incarnation: self.GetIncarnation(), Digest: f.table.Digest(), Events: events}
		addr := f.node.GetPeer()
		f.mu.Unlock()
		if len(events) == 0 && n%int(beat/tick) != 0 {
			continue
		}
		f.send(ctx, addr, req)
	}
}

func (f *Feeder) send(ctx context.Context, addr string, req *wire.ProbeRequest) {
	ctx, cancel := context.WithTimeout(ctx, beat)
	defer cancel()
	resp, err := wireconnect.NewPeerClient(f.client, "http://"+addr).Probe(ctx, connect.NewRequest(req))
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(resp.Msg.GetEvents())
}
