package caller

// This file sends hedged requests for slow calls that may run more than once.

import (
	"context"
	"time"

	"caroblift.dev/mesh/call"
)

// sendHedged sends the call, and sends it again to another instance if the
// first attempt is slow and the hedge budget allows it. It returns the first
// successful result and cancels the other attempt. If both fail, it returns the
// later result with the worse outcome of the two.
func (x *exchange) sendHedged(i *call.Instance) *result {
	hedge := x.service.policy.Hedge
	if x.service.hedgeBudget != x.service.retryBudget {
		x.service.hedgeBudget.Deposit(budgetPercent(x.proxy.config.ExtraAttempts, hedge))
	}
	delay, ok := x.service.latencies.HedgeDelay(hedge.Delay)
	if !ok {
		return x.newAttemptRequest(x.ctx, i).send()
	}
	r := &race{exchange: x, results: make(chan *result, 2)}
	r.start(i)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var first *result // the attempt that ended first, if it failed
	for {
		select {
		case <-timer.C:
			r.startHedge()
		case res := <-r.results:
			r.running--
			if res.verdict.Reason() == "" {
				r.cancelOthers(res)
				return res
			}
			if first != nil {
				res.verdict = res.verdict.Combine(first.verdict)
			}
			if r.running == 0 {
				return res
			}
			first = res
			res.close()
		}
	}
}

// race is the attempts of one hedged call that run concurrently.
type race struct {
	*exchange
	results chan *result
	running int
	started []raceAttempt
}

// raceAttempt is one attempt of a race.
type raceAttempt struct {
	instance *call.Instance
	cancel   context.CancelFunc
}

// start sends an attempt in a goroutine, which ends when the attempt does.
func (r *race) start(i *call.Instance) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.started = append(r.started, raceAttempt{i, cancel})
	r.running++
	attempt := r.newAttemptRequest(ctx, i)
	go func() { r.results <- attempt.send() }()
}

// startHedge sends the hedge if the budget allows it and an instance is left.
func (r *race) startHedge() {
	if r.ctx.Err() != nil || !r.service.hedgeBudget.Withdraw() {
		return
	}
	i := r.pick()
	if i == nil {
		return
	}
	r.proxy.metrics.hedges.Inc(1)
	r.arrivals++
	r.start(i)
}

// cancelOthers cancels every attempt but the winner and closes their results.
// The winner's context ends with the call.
func (r *race) cancelOthers(winner *result) {
	for _, l := range r.started {
		if l.instance != winner.instance {
			l.cancel()
		}
	}
	for range r.running {
		go func() { (<-r.results).close() }()
	}
}
