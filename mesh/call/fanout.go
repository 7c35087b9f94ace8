package call

// This file measures the calls that a backend server makes while it runs others. A run of
// a repeated call makes its calls again, and these are extra calls to the called services.

import (
	"math"
	"sync"
	"time"
)

const (
	// fanOutHalfLife is the time in which a run or a call loses half of its weight.
	fanOutHalfLife = 30 * time.Second
	// minFanOut is the number of calls in a run below which a service is left out.
	minFanOut = 0.01
	// nestedTime is how long a class counts as nested after a gate last recognized it. Only
	// the gates that get enough of its calls do.
	nestedTime = 30 * time.Second
)

// FanOut measures how many calls to each service a backend server makes in one run. The
// zero value has seen none. Its methods may be called concurrently.
type FanOut struct {
	mu     sync.Mutex
	at     time.Time            // to which the weights below belong
	runs   float64              // since the first call was counted
	calls  map[string]float64   // by service
	nested map[string]time.Time // when a class was last recognized as nested
}

// AddRun counts a call that the server runs.
func (f *FanOut) AddRun(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	if len(f.calls) > 0 {
		f.runs++
	}
}

// AddCall counts a call of a class that enters at this instance, if it is the server that
// makes it. nested says that a gate has recognized the call as nested.
func (f *FanOut) AddCall(class, service string, nested bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	if f.calls == nil || len(f.nested) > maxClasses {
		f.calls, f.nested = map[string]float64{}, map[string]time.Time{}
	}
	if nested {
		f.nested[class] = now
	}
	if seen, ok := f.nested[class]; ok && now.Sub(seen) <= nestedTime {
		f.calls[service]++
	}
}

// PerRun returns the mean number of calls in one run, by service.
func (f *FanOut) PerRun() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	perRun := make(map[string]float64, len(f.calls))
	for service, calls := range f.calls {
		if mean := calls / max(f.runs, 1); mean >= minFanOut {
			perRun[service] = mean
		}
	}
	return perRun
}

// decay brings the weights to a time.
func (f *FanOut) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(f.at)) / float64(fanOutHalfLife))
	f.at = now
	f.runs *= factor
	for service := range f.calls {
		if f.calls[service] *= factor; f.calls[service] < minFanOut {
			delete(f.calls, service)
		}
	}
}
