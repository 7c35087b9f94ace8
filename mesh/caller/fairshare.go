package caller

// This file keeps, for each service, the fair shares of the workspaces in a shortage, and
// gives each call its class. Without workspaces in the table it does nothing.

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// shareInterval is the shortest time between two evaluations of the shares of a service. It
// is short beside the time in which tallies and rates change.
const shareInterval = 250 * time.Millisecond

// shareState is the fair shares of a service at a time. It doesn't change.
type shareState struct {
	at     time.Time
	shares *call.FairShares // nil while the service is not short
}

// serviceShares follows the shortage of one service.
type serviceShares struct {
	state    atomic.Pointer[shareState]
	mu       sync.Mutex // guards outcomes and the replacement of state
	outcomes call.OutcomeMeter
}

// workspaceMeter measures the rates of workspaces at this node.
type workspaceMeter struct {
	mu    sync.Mutex
	meter call.RateMeter
}

// shareClass counts the call for its workspace and returns its class in the shares of its
// service.
func (x *exchange) shareClass(now time.Time) call.ShareClass {
	if x.workspace == nil {
		return call.ShareOrdinary
	}
	p, s := x.proxy, &x.service.shares
	p.workspaces.mu.Lock()
	p.workspaces.meter.Add(x.workspace.Name, now)
	p.workspaces.mu.Unlock()
	state := s.state.Load()
	if (state == nil || now.Sub(state.at) >= shareInterval) && s.mu.TryLock() {
		state = x.evaluateShares(state, now)
		s.state.Store(state)
		s.mu.Unlock()
	}
	if state == nil {
		return call.ShareOrdinary
	}
	return state.shares.Class(x.workspace.Name, x.demand.Priority, rand.Float64())
}

// evaluateShares returns the shares of the call's service at a time, which replace before.
// The caller holds x.service.shares.mu.
func (x *exchange) evaluateShares(before *shareState, now time.Time) *shareState {
	p := x.proxy
	sums, gates := x.service.balancer.Tallies(now)
	own := x.service.shares.outcomes.Tallies(now)
	rates, fleet := p.offeredRates(now)
	state := &shareState{at: now, shares: call.NewFairShares(rates, sums, own)}
	was := before != nil && before.shares != nil
	if short := state.shares != nil; short != was {
		shared := p.sharedServices.Add(map[bool]int64{true: 1, false: -1}[short])
		p.metrics.shared.Update(float64(shared))
		p.config.Sinks.Log.Info(telemetry.ServiceShared, "service", x.target, "short", short, "priorities", state.shares.Short(), "workspaces", len(rates), "fleet", fleet,
			"tallies", call.FormatTallies(sums), "gates", gates, "own", call.FormatTallies(own))
	}
	return state
}

// offeredRates returns the rates that the workspaces offer to all nodes, or else to this
// one, and whether they are those of all nodes.
func (p *Proxy) offeredRates(now time.Time) (rates map[string]float64, fleet bool) {
	if p.config.OfferedRates != nil {
		if rates = p.config.OfferedRates(now); rates != nil {
			return rates, true
		}
	}
	p.workspaces.mu.Lock()
	defer p.workspaces.mu.Unlock()
	return p.workspaces.meter.Rates(now), false
}

// recordShare records the outcome of the call for the shares of its service. Calls that
// failed for another reason than a shortage show nothing of it, and nested ones go first
// at gates in any case.
func (x *exchange) recordShare(v call.Verdict) {
	if !x.directory.router.Table.NeedsKeys() || x.demand.Objective.IsZero() || x.nested.Load() {
		return
	}
	served := v.Reason() == ""
	if !served && !(v.Outcome() == call.OutcomeNotRun && lacksCapacity(v.Reason())) {
		return
	}
	s := &x.service.shares
	s.mu.Lock()
	s.outcomes.Add(x.demand.Priority, served, time.Now())
	s.mu.Unlock()
	if x.workspace != nil {
		x.proxy.metrics.countShare(x.demand.Share, served)
	}
}

// lacksCapacity reports whether a call was refused since its service is short.
func lacksCapacity(r call.Reason) bool {
	switch r {
	case call.ReasonBusy, call.ReasonLate, call.ReasonLimited, call.ReasonOverload:
		return true
	}
	return false
}
