package member

// This file passes on the states of roll-outs. A change is urgent, as news of suspicions are.
// Heartbeats repeat the states of roll-outs under way, since gates need to know that the
// leader still confirms them.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Rollouts holds what a node knows of roll-outs. Its methods may be called concurrently.
type Rollouts interface {
	// News returns the states that changed since they were last returned, or nil.
	News(now time.Time) *wire.RolloutNews
	// Current returns the states for a heartbeat, or nil.
	Current(now time.Time) *wire.RolloutNews
	// Complete returns all states.
	Complete(now time.Time) *wire.RolloutNews
	// Merge takes the states of another node; complete means that they are all that it has.
	Merge(now time.Time, news *wire.RolloutNews, complete bool)
	// NewsReady returns a channel that receives when there are news; nil if there never are.
	NewsReady() <-chan struct{}
}

// noRollouts knows of none.
type noRollouts struct{}

func (noRollouts) News(time.Time) *wire.RolloutNews         { return nil }
func (noRollouts) Current(time.Time) *wire.RolloutNews      { return nil }
func (noRollouts) Complete(time.Time) *wire.RolloutNews     { return nil }
func (noRollouts) Merge(time.Time, *wire.RolloutNews, bool) {}
func (noRollouts) NewsReady() <-chan struct{}               { return nil }

// missingRollouts returns all states for a node whose heartbeat says that it does not know them
// all yet: one that the platform rejects may have joined through a node that knew none either.
func (a *Agent) missingRollouts(now time.Time, req *wire.ProbeRequest) *wire.RolloutNews {
	if r := req.GetRollouts(); r == nil || r.GetKnown() || r.GetEvidence() != nil {
		return nil
	}
	return a.config.Rollouts.Complete(now)
}

// rolloutNews returns the states to send to the neighbours now. They may exceed the gossip
// rate as far as news of suspicions.
func (a *Agent) rolloutNews(now time.Time, neighbours int) *wire.RolloutNews {
	if neighbours == 0 || a.queue.refill(now) <= -suspicionOverdraft {
		return nil
	}
	news := a.config.Rollouts.News(now)
	if news != nil {
		a.queue.budget -= float64(proto.Size(news) * neighbours)
	}
	return news
}
