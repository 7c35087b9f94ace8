package feeder

// This file generates the churn of the simulated fleet and sends it to the node
// as heartbeats with membership events.

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

// senders is the number of members that send heartbeats and events to the node:
// as many as a real node has neighbours.
const senders = 5

const (
	sendInterval      = 100 * time.Millisecond // interval at which events are sent
	heartbeatInterval = time.Second            // interval of heartbeats without events
	maxEvents         = 64                     // events in one message
)

// stages is the number of events by which an instance is replaced.
const stages = 4 // leaving, dead, back and cold, warm

// Run sends heartbeats and membership events to the node until ctx ends.
func (f *Feeder) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.churn(ctx) })
	for i := range senders {
		wg.Go(func() { f.runSender(ctx, i) })
	}
	wg.Wait()
}

// churn replaces random instances one after another, at the configured rate of
// events.
func (f *Feeder) churn(ctx context.Context) {
	due, stage, instance := 0.0, 0, 0
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for due += f.rate * sendInterval.Seconds(); due >= 1; due-- {
			if stage == 0 {
				instance = 1 + rand.IntN(len(f.members)-1) // the first member is the seed and stays
			}
			f.addEvent(instance, stage)
			stage = (stage + 1) % stages
		}
		f.mu.Unlock()
	}
}

// addEvent generates the event of a stage of the replacement of instance i and
// queues it for every sender. The caller holds f.mu.
func (f *Feeder) addEvent(i, stage int) {
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

// runSender sends the heartbeats and queued events of sender w until ctx ends.
func (f *Feeder) runSender(ctx context.Context, w int) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		events := f.queues[w][:min(maxEvents, len(f.queues[w]))]
		f.queues[w] = f.queues[w][len(events):]
		self := f.members[(w+1)%len(f.members)]
		req := &wire.ProbeRequest{Name: self.GetName(), Incarnation: self.GetIncarnation(), Digest: f.table.Digest(), Events: events}
		addr := f.node.GetPeer()
		f.mu.Unlock()
		if len(events) == 0 && n%int(heartbeatInterval/sendInterval) != 0 {
			continue
		}
		f.send(ctx, addr, req)
	}
}

// send sends one heartbeat and merges the events of the answer. It ignores
// failures.
func (f *Feeder) send(ctx context.Context, addr string, req *wire.ProbeRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	resp, err := wireconnect.NewPeerClient(f.client, "http://"+addr).Probe(ctx, connect.NewRequest(req))
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(resp.Msg.GetEvents())
}
