package main

// This file measures the peak rates of platform calls and control bytes.

import "time"

// Sampling of the rates.
const (
	meterStep   = 100 * time.Millisecond
	meterWindow = 10 // steps: one second
)

// meter tracks the highest rates over any window of one second.
type meter struct {
	herd      *herd
	peakCalls float64  // platform calls/s
	peakBytes float64  // control bytes/s of one node
	window    []sample // samples of the last second, oldest first
}

// sample holds the counters at one time.
type sample struct {
	calls uint64  // calls to the platform
	bytes []int64 // control bytes by node
}

func newMeter(h *herd) *meter { return &meter{herd: h} }

// run samples every meterStep until stop is closed, and once more then.
func (m *meter) run(stop <-chan struct{}) {
	ticker := time.NewTicker(meterStep)
	defer ticker.Stop()
	for {
		m.addSample()
		select {
		case <-stop:
			m.addSample()
			return
		case <-ticker.C:
		}
	}
}

// addSample adds a sample and updates the peaks with the difference to the
// sample of a second ago.
func (m *meter) addSample() {
	now := sample{}
	for _, n := range m.herd.fleet.Store.Calls() {
		now.calls += n
	}
	for _, n := range m.herd.nodes {
		now.bytes = append(now.bytes, n.ControlBytes())
	}
	m.window = append(m.window, now)
	if len(m.window) > meterWindow+1 {
		m.window = m.window[1:]
	}
	old := m.window[0]
	m.peakCalls = max(m.peakCalls, float64(now.calls-old.calls))
	for i := range now.bytes {
		m.peakBytes = max(m.peakBytes, float64(now.bytes[i]-old.bytes[i]))
	}
}
