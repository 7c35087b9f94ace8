package caller

// This file follows what services refuse, by the tallies in their gates' answers, so that
// the gate of this node makes room at the services that its backend server calls.

import (
	"maps"
	"slices"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// shortageInterval is the shortest time between two evaluations of the tallies. It is
// short beside the time in which they change.
const shortageInterval = 100 * time.Millisecond

// shortageState is what is known of the called services at a time. It doesn't change.
type shortageState struct {
	at        time.Time
	shortages []call.Shortage // largest of the services that the backend server calls, by priority
	own       []call.Tally    // sums of the service on this instance; nil without shortages
}

// YieldShare implements backend.Callees.
func (p *Proxy) YieldShare(priority int) float64 {
	now := time.Now()
	state := p.shortage.Load()
	if (state == nil || now.Sub(state.at) >= shortageInterval) && p.shortageMu.TryLock() {
		state = p.evaluateShortages(state, now)
		p.shortage.Store(state)
		p.shortageMu.Unlock()
	}
	if state == nil || len(state.shortages) == 0 {
		return 0
	}
	return call.YieldShare(priority, state.shortages, state.own)
}

// evaluateShortages returns the state at a time, which replaces before. The caller holds
// p.shortageMu.
func (p *Proxy) evaluateShortages(before *shortageState, now time.Time) *shortageState {
	d, state := p.currentDirectory(), &shortageState{at: now}
	called := slices.Sorted(maps.Keys(p.fanOut.PerRun()))
	for _, name := range called {
		if d.router.Table.Services[name] == nil {
			continue
		}
		s := d.service(p, name)
		sums, gates := s.balancer.Tallies(now)
		shortages := s.starvation.Update(sums, now)
		if (len(shortages) > 0) != (s.starved > 0) {
			p.config.Sinks.Log.Info(telemetry.ServiceShort, "service", name, "short", len(shortages) > 0, "tallies", call.FormatTallies(sums),
				"gates", gates, "instances", s.balancer.Len())
		}
		s.starved = len(shortages)
		state.shortages = largestShortages(state.shortages, shortages)
	}
	if own := p.config.Service; len(state.shortages) > 0 && d.router.Table.Services[own] != nil {
		state.own, _ = d.service(p, own).balancer.Tallies(now)
	}
	if before == nil || len(before.shortages) != len(state.shortages) {
		p.metrics.starved.Update(float64(len(state.shortages)))
	}
	return state
}

// largestShortages adds shortages to those of other services. Of each priority the largest
// one stays.
func largestShortages(all, shortages []call.Shortage) []call.Shortage {
	for _, s := range shortages {
		i := slices.IndexFunc(all, func(o call.Shortage) bool { return o.Priority == s.Priority })
		if i < 0 {
			all = append(all, s)
			continue
		}
		all[i].Refused = max(all[i].Refused, s.Refused)
	}
	return all
}
