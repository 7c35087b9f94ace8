package member

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// TestEventTurnsUrgent checks that an event that turns urgent while it is queued is
// sent first and survives when the normal events overflow, where its key was.
func TestEventTurnsUrgent(t *testing.T) {
	var q eventQueue
	event := func(name string, state wire.State) *wire.Member { return &wire.Member{Name: name, State: state} }
	q.add(event("leaver", wire.State_STATE_ALIVE))
	q.add(event("leaver", wire.State_STATE_LEAVING))
	for i := range maxQueuedEvents {
		q.add(event("other-"+strconv.Itoa(i), wire.State_STATE_ALIVE))
	}
	first := q.pop()
	require.Equal(t, "leaver", first.GetName())
	require.Equal(t, wire.State_STATE_LEAVING, first.GetState())
	sent := 0
	for q.pop() != nil {
		sent++
	}
	require.Equal(t, maxQueuedEvents, sent)
	require.Zero(t, q.len())
}
