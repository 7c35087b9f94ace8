package member

// This file passes on what nodes know of requests that end backend servers. It is urgent,
// so each node sends news to its neighbours at once, as it does with events. Members that
// join get what is known from the node that they join through, and heartbeats repeat it
// for nodes that were cut off.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Suspicions holds what a node knows of requests that end backend servers. Its methods
// may be called concurrently.
type Suspicions interface {
	// News returns up to limit suspicions that changed since they were last returned.
	News(now time.Time, limit int) []*wire.Suspicion
	// Strongest returns up to limit suspicions, those with the most evidence first.
	Strongest(now time.Time, limit int) []*wire.Suspicion
	// Merge takes the suspicions of another node.
	Merge(now time.Time, suspicions []*wire.Suspicion)
	// NewsReady returns a channel that receives when there are news; nil if there never are.
	NewsReady() <-chan struct{}
}

const (
	maxNewSuspicions    = 16 // in one message, some 100 bytes each
	maxBeatSuspicions   = 4  // in one heartbeat
	maxJoinSuspicions   = 64 // in the answer to a join
	maxMergedSuspicions = 64 // taken of one message
)

// noSuspicions knows of none.
type noSuspicions struct{}

func (noSuspicions) News(time.Time, int) []*wire.Suspicion      { return nil }
func (noSuspicions) Strongest(time.Time, int) []*wire.Suspicion { return nil }
func (noSuspicions) Merge(time.Time, []*wire.Suspicion)         {}
func (noSuspicions) NewsReady() <-chan struct{}                 { return nil }

// suspicionOverdraft is how far news of suspicions may exceed the gossip rate, in bytes:
// events that came before must not delay them.
const suspicionOverdraft = gossipBurstBytes / 4

// PassOn returns the actions that send news of suspicions to the neighbours at once. News
// that follow others within the interval of ticks wait for the next tick, so that the number of
// messages is bounded whatever comes up.
func (a *Agent) PassOn(now time.Time) []Action {
	a.detectPause(now)
	if now.Sub(a.newsSentAt) < a.Interval() {
		return nil
	}
	return a.flush(now)
}

// suspicionNews returns the suspicions to send to the neighbours now, within the gossip
// rate and suspicionOverdraft.
func (a *Agent) suspicionNews(now time.Time, neighbours int) []*wire.Suspicion {
	if neighbours == 0 || a.queue.refill(now) <= -suspicionOverdraft {
		return nil
	}
	news := a.config.Suspicions.News(now, maxNewSuspicions)
	for _, s := range news {
		a.queue.budget -= float64(proto.Size(s) * neighbours)
	}
	return news
}

// mergeSuspicions takes the suspicions in a message of another node.
func (a *Agent) mergeSuspicions(now time.Time, suspicions []*wire.Suspicion) {
	a.config.Suspicions.Merge(now, suspicions[:min(len(suspicions), maxMergedSuspicions)])
}
