package main

// This file measures the peaks of platform calls and control bytes.

import "time"

// Windows of the peaks.
const (
	meterStep   = 100 * time.Millisecond
	meterWindow = 10 // steps: one second
)

// meter keeps the highest rates over one second.
type meter struct {
	herd  *herd
	calls float64  // platform calls/s
	bytes float64  // control bytes/s of one node
	seen  []sample // of the last second
}

// sample is what was counted up to one moment.
type sample struct {
	calls uint64
	bytes []int64
}

func newMeter(h *herd) *meter { return &meter{herd: h} }

func (m *meter) run(stop <-chan struct{}) {
	ticker := time.NewTicker(meterStep)
	defer ticker.Stop()
	for {
		m.take()
		select {
		case <-stop:
			m.take()
			return
		case <-ticker.C:
		}
	}
}

// take adds a sample and compares it with the one of a second ago.
func (m *meter) take() {
	now := sample{}
	for _, n := range m.herd.fleet.Store.Calls() {
		now.calls += n
	}
	for _, n := range m.herd.nodes {
		now.bytes = append(now.bytes, n.ControlBytes())
	}
	m.seen = append(m.seen, now)
	if len(m.seen) > meterWindow+1 {
		m.seen = m.seen[1:]
	}
	old := m.seen[0]
	m.calls = max(m.calls, float64(now.calls-old.calls))
	for i := range now.bytes {
		m.bytes = max(m.bytes, float64(now.bytes[i]-old.bytes[i]))
	}
}
