package caller

// This file takes one call through its attempts.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/telemetry"
)

// The shape of retries where the policy names none.
const (
	defaultAttempts = 3
	defaultPercent  = 10 // of calls, for retries and for hedges
)

// exchange is one call and its answer.
type exchange struct {
	proxy *Proxy
	w     http.ResponseWriter
	r     *http.Request

	id         string
	start      time.Time
	directory  *directory
	route      *record.Route
	target     string // service that the call goes to
	service    *service
	idempotent bool
	extra      bool // the call is part of an extra attempt upstream
	body       *hop.Body
	ctx        context.Context
	cancel     context.CancelFunc
	deadline   time.Time
	span       trace.Span

	tried    []*call.Instance
	spent    []*call.Instance // those of tried that are not worth another attempt
	demand   call.Demand
	looks    int           // gates asked for a slot at once
	backlog  time.Duration // that the last gate named
	attempts int
	arrivals int     // attempts that may have reached a backend server
	waits    int     // gates asked to let the call wait
	answer   *result // a backend server's own, once it is known to be the last; else nil
}

// result is what became of an attempt.
type result struct {
	instance *call.Instance
	resp     *http.Response // of an answer, which may be the backend server's own refusal
	reason   call.Reason    // empty when the attempt succeeded
	outcome  call.Outcome

	timed  bool          // the node beside the backend server told the times below
	spent  time.Duration // there, until the answer began
	queued time.Duration // of that, until it had a slot
}

func (r *result) close() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
}

// serve makes attempts until one succeeds or none may follow.
func (x *exchange) serve() {
	x.service.retry.Pay(x.service.percent(x.proxy.config.Extra, x.service.policy.Retry))
	last := &result{reason: call.NoServer, outcome: call.NotRun}
	for {
		instance := x.pick()
		if instance == nil {
			break
		}
		next := x.attempt(instance)
		last.close()
		if next.reason == "" || next.reason.Arrived() {
			x.arrivals++
		}
		if next.reason != "" {
			next.outcome = next.outcome.Worst(last.outcome)
		}
		last = next
		if last.reason != "" {
			x.turned(last)
		}
		if last.reason == "" || !x.again(last) {
			break
		}
		if last.reason.Arrived() {
			x.log(telemetry.CallRetried, "reason", string(last.reason), "ran", last.outcome.String())
		}
		x.proxy.metrics.retries.Inc(1)
	}
	x.finish(last)
}

// pick chooses an instance that was not tried, or nil.
func (x *exchange) pick() *call.Instance {
	if x.route.Objective > 0 {
		return x.place()
	}
	i := x.service.choice.Pick(*x.proxy.policy.Load(), x.tried, time.Now(), rand.IntN)
	if i != nil {
		x.tried = append(x.tried, i)
	}
	return i
}

// attempt sends the call once, or twice where it may be hedged.
func (x *exchange) attempt(i *call.Instance) *result {
	if len(x.tried) == 1 && x.route.Hedge && x.idempotent && !x.extra && !x.body.Streamed() {
		return x.race(i)
	}
	return x.prepared(x.ctx, i).send()
}

// again tells whether another attempt may follow a failed one.
func (x *exchange) again(last *result) bool {
	most := x.route.Attempts
	if most == 0 {
		most = x.service.policy.Retry.Attempts
	}
	if most == 0 {
		most = defaultAttempts
	}
	switch {
	case x.ctx.Err() != nil, x.arrivals >= most, len(x.tried) >= most+maxTurned, x.body.Streamed():
		return false
	case !call.Repeatable(last.outcome, x.idempotent, x.extra):
		return false
	}
	turned := x.route.Objective > 0 && !last.reason.Arrived()
	return turned || last.reason.Free() || x.service.retry.Take()
}

// maxTurned bounds the gates that may turn a call away beyond its attempts.
const maxTurned = 3

// finish answers the caller.
func (x *exchange) finish(last *result) {
	x.report(last)
	if last.resp == nil {
		reason := last.reason
		if x.ctx.Err() != nil && last.outcome != call.NotRun {
			reason = call.Deadline
		}
		x.fail(reason, last.outcome)
		return
	}
	defer last.resp.Body.Close()
	call.Strip(last.resp.Header)
	if last.reason != "" {
		x.w.Header()[call.HeaderReason] = []string{string(last.reason)}
		x.w.Header()[call.HeaderRan] = []string{last.outcome.String()}
	}
	hop.Copy(x.w, last.resp)
}
