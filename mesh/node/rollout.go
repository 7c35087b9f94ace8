package node

// This file connects the parts that move services to other versions: the states, which spread
// with membership, the guard of the gate, and the duties of the leader.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"caroblift.dev/mesh/rollout"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// rolloutParts holds the parts of a node for roll-outs, which are nil unless the settings
// enable them.
type rolloutParts struct {
	limits rollout.Limits
	board  *rollout.Board
	guard  *rollout.Guard
	leader *rollout.Leader
	duties *store.Rollouts
	watch  Store // for the watch of orders
}

// rolloutTick is how often versions are judged and reports fall due.
const rolloutTick = 100 * time.Millisecond

// evidenceTimeout bounds the report of a gate to the leader.
const evidenceTimeout = 400 * time.Millisecond

// assembleRolloutState creates the parts that need no others.
func (n *Node) assembleRolloutState() {
	s := n.settings.GetPlatform()
	if !s.GetRollouts() || n.platform == nil || n.platform.RolloutOrders == nil {
		return
	}
	name := n.settings.GetInstance().GetName()
	r := &n.rollouts
	r.limits = rollout.Limits{Share: float64(s.GetExposed()) / 100, Slack: float64(s.GetExtra()), Rollback: ms(s.GetRollback())}
	r.board = rollout.NewBoard()
	r.guard = rollout.NewGuard(r.board, r.limits, name)
	r.leader = rollout.NewLeader(r.board, r.limits, name)
}

// assembleRollouts creates the duties of the leader.
func (n *Node) assembleRollouts() {
	if n.rollouts.board == nil {
		return
	}
	n.rollouts.watch = n.platform.OpenStore(n.sinks.ForPart("platform"), n.eras)
	n.rollouts.duties = store.NewRollouts(store.RolloutsConfig{
		Store: n.store, WatchStore: n.rollouts.watch, Orders: *n.platform.RolloutOrders,
		Board: n.rollouts.board, Leader: n.rollouts.leader, Instance: n.settings.GetInstance().GetName(),
		Rank: n.aliveRank, IsAlive: n.isAlive, Fleet: n.rolloutFleet, Sinks: n.sinks.ForPart("rollout"),
	})
}

// close closes the connections of the parts.
func (r *rolloutParts) close() {
	if r.watch != nil {
		r.watch.Close()
	}
}

// calls returns the number of calls of the parts to the platform that Node.PlatformCalls does
// not count otherwise.
func (r *rolloutParts) calls() uint64 {
	if r.watch == nil {
		return 0
	}
	return r.watch.Calls()
}

// aliveRank returns the rank of this node among the live ones in name order, and false while
// the node does not know the others.
func (n *Node) aliveRank() (int, bool) {
	view, rank := n.Members.View(), 0
	for _, name := range view.Names {
		if name == view.Self.GetName() {
			return rank, n.Members.Joined()
		}
		if view.Members[name].GetState() == wire.State_STATE_ALIVE {
			rank++
		}
	}
	return 0, false
}

// isAlive reports whether an instance is a live member.
func (n *Node) isAlive(name string) bool {
	return n.Members.View().Members[name].GetState() == wire.State_STATE_ALIVE
}

// rolloutFleet returns the servers of a service and the live members. A member that leaves is
// still one: calls may run there.
func (n *Node) rolloutFleet(service string) rollout.Fleet {
	view := n.Members.View()
	out := rollout.Fleet{Members: make(map[string]bool, len(view.Names))}
	for _, name := range view.Names {
		out.Members[name] = view.Members[name].GetState() == wire.State_STATE_ALIVE
	}
	for _, o := range view.Offers(service) {
		out.Offers = append(out.Offers, rollout.Offer{
			Instance: o.Node.GetName(), Incarnation: o.Node.GetIncarnation(), Version: o.Server.GetVersion(), Slots: int(o.Server.GetSlots()),
			Usable: o.Node.GetState() == wire.State_STATE_ALIVE && !o.Server.GetLeaving(),
		})
	}
	return out
}

// takeEvidence takes what the gate of a node counted and returns the state of its service.
func (n *Node) takeEvidence(name string, incarnation uint64, evidence *wire.RolloutEvidence) *wire.RolloutNews {
	now := time.Now()
	n.rollouts.leader.AddEvidence(name, incarnation, evidence, now)
	return n.rollouts.board.Answer(evidence.GetService(), now)
}

// runRollouts judges versions while this node leads, and reports what the gate counted, until
// the context ends.
func (n *Node) runRollouts(ctx context.Context) error {
	log := n.sinks.ForPart("rollout")
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	var reportedAt time.Time
	spread := 0.0                       // part of the interval after which the next report is due
	reporting := make(chan struct{}, 1) // holds a token while a report is under way
	seen := n.rollouts.board.Snapshot()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		n.rollouts.guard.Tick(now)
		for _, s := range n.rollouts.leader.Watch(n.rollouts.duties.Answered(now), now) {
			log.Log.Warn("version halted", "service", s.Service, "version", s.Version, "number", s.Number, "reason", s.Reason)
		}
		if states := n.rollouts.board.Snapshot(); states != seen {
			n.logRollouts(log, seen, states)
			seen = states
		}
		interval := n.Gate.RolloutInterval()
		if interval == 0 || now.Sub(reportedAt) < time.Duration(float64(interval)*spread)-rolloutTick/2 {
			continue
		}
		evidence := n.Gate.RolloutEvidence(now)
		if evidence == nil {
			continue
		}
		select {
		case reporting <- struct{}{}:
		default:
			continue // the leader does not answer; the next report may go to another one
		}
		reportedAt, spread = now, 0.5+rand.Float64()
		n.tomb.Go(func() error {
			n.reportEvidence(ctx, evidence)
			<-reporting
			return nil
		})
	}
}

// reportEvidence sends what the gate counted to the leader: the one that the state names, or
// the first live node.
func (n *Node) reportEvidence(ctx context.Context, evidence *wire.RolloutEvidence) {
	view := n.Members.View()
	state, _ := n.rollouts.board.Get(evidence.GetService())
	leader := state.Leader
	if !n.isAlive(leader) {
		i := slices.IndexFunc(view.Names, func(name string) bool { return view.Members[name].GetState() == wire.State_STATE_ALIVE })
		if i < 0 {
			return
		}
		leader = view.Names[i]
	}
	self := view.Self
	if leader == self.GetName() {
		n.rollouts.leader.AddEvidence(leader, self.GetIncarnation(), evidence, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if news := n.Members.SendEvidence(ctx, view.Members[leader].GetPeer(), evidence); news != nil {
		n.rollouts.board.Merge(time.Now(), news, false)
	}
}

// logRollouts logs the states that have changed, and counts them.
func (n *Node) logRollouts(sinks telemetry.Sinks, before, after *map[string]*rollout.State) {
	for service, s := range *after {
		old := (*before)[service]
		if old != nil && old.Number == s.Number && old.Halted == s.Halted {
			continue
		}
		sinks.Scope.Tagged(map[string]string{"service": service}).Gauge("phase").Update(float64(s.Phase))
		if old != nil && old.Phase == s.Phase && old.Halted == s.Halted {
			continue // the canaries or the leader changed, which the leader logs
		}
		sinks.Log.Info("roll-out", "service", service, "version", s.Version, "phase", s.Phase.String(), "number", s.Number, "halted", s.Halted, "reason", s.Reason, "leader", s.Leader,
			"elapsed", time.Since(s.Ordered).Milliseconds())
	}
}
