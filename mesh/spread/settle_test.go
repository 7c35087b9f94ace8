package spread_test

// This file tests how a starting node learns the lowest revision that it may
// serve.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

// TestFloor starts a node among three peers and checks which floor it derives
// from their responses and from the platform.
func TestFloor(t *testing.T) {
	knows := func(floor, number uint64) *wire.FetchResponse {
		return &wire.FetchResponse{Ready: true, Floor: floor, Revision: number}
	}
	starting := &wire.FetchResponse{}
	for name, c := range map[string]struct {
		answers  []*wire.FetchResponse // nil if a peer does not answer
		head     uint64                // newest revision on the platform; 0 if it does not answer
		checked  int64                 // when the platform was last read; 0 for never
		settled  bool
		floor    uint64
		askHeads int
	}{
		"one peer remembers":         {answers: []*wire.FetchResponse{knows(5, 2), nil, starting}, settled: true, floor: 5, askHeads: 1},
		"a peer is ahead":            {answers: []*wire.FetchResponse{knows(5, 2), knows(0, 6), nil}, settled: true, floor: 6, askHeads: 1},
		"the platform is ahead":      {answers: []*wire.FetchResponse{knows(5, 2), nil, nil}, head: 7, settled: true, floor: 7, askHeads: 1},
		"the platform is stale":      {answers: []*wire.FetchResponse{knows(5, 2), nil, nil}, head: 3, settled: true, floor: 5, askHeads: 1},
		"all start":                  {answers: []*wire.FetchResponse{starting, starting, starting}},
		"nobody answers":             {answers: []*wire.FetchResponse{nil, nil, nil}},
		"all start, a reader reads":  {answers: []*wire.FetchResponse{starting, starting, starting}, checked: 1, settled: true},
		"one remembers, reader read": {answers: []*wire.FetchResponse{starting, knows(5, 5), nil}, checked: 1, settled: true, floor: 5},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 4, 1)
			holder, now := &revision.Holder{}, f.now
			s := spread.New(spread.Config{Tree: f.tree, Holder: holder, HeartbeatInterval: heartbeat, ExchangeInterval: time.Minute, CanReadHead: true}, f.instances[0].view, now)
			s.Tick(now, f.instances[0].view, c.checked)
			asks := s.Actions()
			require.Len(t, asks, 3)
			heads := 0
			for n, a := range asks {
				require.True(t, a.Fetch.GetAsk())
				require.False(t, s.FloorKnown())
				s.HandleFetchResponse(a, c.answers[n], now)
				for _, next := range s.Actions() {
					if next.Kind == spread.ActionReadHead {
						heads++
						require.False(t, s.FloorKnown())
						s.HandleHead(max(next.From.Number, c.head), c.head > 0, now)
					}
				}
			}
			require.Equal(t, c.askHeads, heads)
			require.Equal(t, c.settled, s.FloorKnown())
			require.Equal(t, c.floor, holder.Floor())
		})
	}
}

// TestFetchAgain leaves every fetch of a node that is behind unanswered. It
// guards against a backoff between fetches that grows beyond inForceBound.
func TestFetchAgain(t *testing.T) {
	f := newFleet(1, 4, 1)
	now, view := f.now, f.instances[0].view
	s := spread.New(spread.Config{Tree: f.tree, Holder: &revision.Holder{}, HeartbeatInterval: heartbeat, ExchangeInterval: time.Hour}, view, now)
	var last time.Time
	fetches := 0
	for range 400 {
		now = now.Add(heartbeat / 10)
		s.Tick(now, view, 1)
		for _, a := range s.Actions() {
			switch {
			case a.Kind == spread.ActionAttach:
				s.HandleAttachResponse(a, nil, now)
			case a.Fetch.GetAsk():
				s.HandleFetchResponse(a, nil, now)
			default:
				fetches++
				last = now
				s.HandleFetchResponse(a, nil, now)
			}
		}
		if s.FloorKnown() && last.IsZero() {
			last = now
			s.RecordRevision("n1", 5, now)
		}
		require.False(t, !last.IsZero() && now.Sub(last) > inForceBound, "no fetch for %s", now.Sub(last))
	}
	require.Positive(t, fetches)
}
