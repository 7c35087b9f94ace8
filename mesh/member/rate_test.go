package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// TestNewsDoNotGrowWithTheFleet guards against a cost of gossip for each node that grows with the number of nodes.
func TestNewsDoNotGrowWithTheFleet(t *testing.T) {
	const seconds = 5
	perNode := map[int]float64{}
	for _, size := range []int{30, 295} {
		w := newSplitWorld(1, size, 5)
		w.heal()
		w.run(20 * testHeartbeat)
		w.checkConverged(t)
		w.sentByKind = map[ActionKind]int{}
		steps := seconds * beatTicks
		for step := range steps {
			// Each server announces itself anew once in five seconds.
			for n := step * size / steps; n < (step+1)*size/steps; n++ {
				h := w.nodes[w.names[n]]
				h.starts++
				w.perform(w.names[n], h.agent.Announce(w.now, []*wire.Server{{Service: "quotes", Slots: 2, Epoch: h.starts}}))
			}
			w.run(testHeartbeat / beatTicks)
		}
		perNode[size] = float64(w.sentByKind[Gossip]) / float64(size) / seconds
		w.run(2 * testHeartbeat)
		for _, name := range w.names {
			for _, o := range w.nodes[name].agent.View().Offers("quotes") {
				require.EqualValues(t, 2, o.Server.GetSlots(), "what %s knows of %s", name, o.Node.GetName())
			}
		}
		t.Log(fmt.Sprint(size, " nodes: "), perNode[size], " messages of gossip a node and second")
	}
	require.LessOrEqual(t, perNode[295], 1.3*perNode[30])
}
