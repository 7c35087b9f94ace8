package caller

// This file hedges slow calls that may run more than once.

import (
	"context"
	"time"

	"caroblift.dev/mesh/call"
)

// race sends the call, and once more to another instance when the first
// attempt is slow and the budget allows it. The first good answer wins and the
// other attempt is canceled. Without a good answer the last result counts.
func (x *exchange) race(i *call.Instance) *result {
	hedge := x.service.policy.Hedge
	if x.service.hedge != x.service.retry {
		x.service.hedge.Pay(x.service.percent(x.proxy.config.Extra, hedge))
	}
	delay, ok := x.service.slow.Delay(hedge.After)
	if !ok {
		return x.prepared(x.ctx, i).send()
	}
	r := &race{exchange: x, results: make(chan *result, 2)}
	r.start(i)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	failed := call.NotRun
	for {
		select {
		case <-timer.C:
			r.hedge()
		case res := <-r.results:
			r.running--
			if res.reason == "" {
				r.abandon(res)
				return res
			}
			res.outcome = res.outcome.Worst(failed)
			if r.running == 0 {
				return res
			}
			failed = res.outcome
			res.close()
		}
	}
}

// race is two attempts of one call that run at the same time.
type race struct {
	*exchange
	results chan *result
	running int
	cancels []lane
}

// lane is one attempt of a race.
type lane struct {
	instance *call.Instance
	cancel   context.CancelFunc
}

// start sends one attempt in a goroutine that ends with the attempt.
func (r *race) start(i *call.Instance) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels = append(r.cancels, lane{i, cancel})
	r.running++
	attempt := r.prepared(ctx, i)
	go func() { r.results <- attempt.send() }()
}

func (r *race) hedge() {
	if r.ctx.Err() != nil || !r.service.hedge.Take() {
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

// abandon cancels every attempt but the winner's, whose context ends with the
// call.
func (r *race) abandon(winner *result) {
	for _, l := range r.cancels {
		if l.instance != winner.instance {
			l.cancel()
		}
	}
	for range r.running {
		go func() { (<-r.results).close() }()
	}
}
