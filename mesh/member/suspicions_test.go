package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// endlessNews has news whenever it is asked.
type endlessNews struct{ noSuspicions }

func (endlessNews) News(_ time.Time, limit int) []*wire.Suspicion {
	out := make([]*wire.Suspicion, limit)
	for i := range out {
		out[i] = &wire.Suspicion{Request: make([]byte, 16), Ends: []*wire.End{{Server: 1, Weight: 1, Age: 1}}}
	}
	return out
}

// newsAgent returns an agent with one neighbour.
func newsAgent(now time.Time, suspicions Suspicions) *Agent {
	a := New(Config{Heartbeat: testHeartbeat, SuspicionTimeout: 3 * testHeartbeat, Rand: rand.New(rand.NewPCG(1, 2)), Suspicions: suspicions},
		&wire.Member{Name: "a", Peer: "a", Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE}, now)
	a.mergeEvents(now, []*wire.Member{{Name: "b", Peer: "b", Domain: "x", Incarnation: 1, State: wire.State_STATE_ALIVE}})
	return a
}

// TestSuspicionsAreSentAtOnce checks that news of suspicions don't wait for a tick, also
// when events have used up the gossip rate.
func TestSuspicionsAreSentAtOnce(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	a := newsAgent(now, endlessNews{})
	a.Tick(now)
	now = now.Add(a.Interval())
	a.queue.budget = 0
	out := a.PassOn(now)
	require.Len(t, out, 1)
	require.Equal(t, "b", out[0].Name)
	require.Len(t, out[0].Probe.GetSuspicions(), maxNewSuspicions)
}

// TestSuspicionsWithoutEndAreBounded checks the messages and bytes that news without end
// take.
func TestSuspicionsWithoutEndAreBounded(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	a := newsAgent(now, endlessNews{})
	const ticks = 20 * beatTicks
	messages, suspicions := 0, 0
	for step := range 100 * ticks {
		now = now.Add(a.Interval() / 100)
		out := a.PassOn(now)
		if step%100 == 0 {
			out = append(out, a.Tick(now)...)
		}
		for _, act := range out {
			if act.Kind == Gossip {
				messages++
				suspicions += len(act.Probe.GetSuspicions())
			}
		}
	}
	require.Positive(t, suspicions)
	require.LessOrEqual(t, messages, 2*ticks)
	const size = 18 + 2 + 9 + 2 + 2 // of a suspicion as encoded
	seconds := 20 * testHeartbeat.Seconds()
	require.LessOrEqual(t, float64(suspicions*size), gossipBurstBytes+suspicionOverdraft+gossipBytesPerSecond*seconds+maxNewSuspicions*size)
}
