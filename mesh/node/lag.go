package node

// This file measures how long the node's goroutines wait for the processor, which tells a
// node that is short of processor time from one whose calls wait elsewhere.

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// lagInterval is the time between two samples of the lag.
const lagInterval = 200 * time.Millisecond

// lagMeter adds up how much later than asked a goroutine wakes up.
type lagMeter struct {
	total, samples tally.Counter // in ms, and how often it was measured
}

func newLagMeter(scope tally.Scope) *lagMeter {
	return &lagMeter{total: scope.Counter("lag_ms"), samples: scope.Counter("lag_samples")}
}

// run takes samples until the context ends.
func (m *lagMeter) run(ctx context.Context) error {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagInterval)
		timer.Reset(lagInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		m.total.Inc(max(0, time.Since(due).Milliseconds()))
		m.samples.Inc(1)
	}
}
