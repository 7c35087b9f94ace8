package caller

// This file runs the attempts of one call.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/connlimit"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/quota"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/telemetry"
)

// Defaults for a policy that sets no retries.
const (
	defaultAttempts = 3
	defaultPercent  = 10 // of calls, for retries and for hedges each
)

// exchange is one call, its attempts and its answer.
type exchange struct {
	proxy *Proxy
	w     http.ResponseWriter
	r     *http.Request

	id             string
	entry          *hop.CallEntry // in proxy.calls
	start          time.Time
	directory      *directory
	route          *record.Route
	workspace      *record.Workspace // that makes the call; nil if the caller sent no known key
	keyCheck       keyCheck
	overQuota      quota.Decision // set if the call is refused with call.ReasonQuota
	target         string         // name of the service that the call is routed to
	service        *service
	idempotent     bool
	inExtraAttempt bool // the call is itself part of a retry or hedge made upstream
	body           *hop.Body
	upload         *upload                        // nil if Config.LimitUploads is not set
	buffered       atomic.Int64                   // memory taken for buffered responses, in bytes
	responseTurn   atomic.Pointer[connlimit.Turn] // of a response that is not buffered for lack of room
	noRoom         atomic.Bool                    // the response can be neither buffered nor streamed
	stream         *streamedBody                  // what body reads from if it is streamed
	left           atomic.Bool                    // the caller has closed its connection, and net/http has not ended the context for it
	ctx            context.Context
	cancel         context.CancelFunc
	stopInterrupt  func() bool // stops the interruption of the body at the end of ctx; nil if there is no body to interrupt
	deadline       time.Time
	span           trace.Span

	placement    call.Placement
	demand       call.Demand
	backlog      time.Duration // expected wait that the last gate reported
	attempts     int
	arrivals     int         // attempts that may have reached a backend server, hedges included
	answer       *result     // the last result if it succeeded; else nil
	nested       atomic.Bool // a gate recognized it as a call of the backend server of this instance
	fingerprint  call.Fingerprint
	headerValues []string     // that setHeader has set
	suspicion    string       // fingerprint for log lines; empty if the request was not suspected when the call entered
	onProbation  bool         // the request is suspected of ending backend servers
	onTrial      bool         // it is condemned, and this call is a trial
	endedServers atomic.Int32 // servers that ended while they ran this call, in attempts of a race too
}

// result is the result of one attempt.
type result struct {
	instance *call.Instance
	resp     *http.Response // the backend server's answer, which may be its own refusal; else nil
	verdict  call.Verdict

	hasTimes   bool          // the backend server's node reported the times below
	remoteTime time.Duration // from the call's arrival at that node to the start of the answer
	queueTime  time.Duration // part of remoteTime spent waiting for a slot
}

func (r *result) close() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
}

// serve makes attempts until one succeeds or no further one is allowed, and
// answers the caller.
func (x *exchange) serve() {
	x.service.retryBudget.Deposit(budgetPercent(x.proxy.config.ExtraAttempts, x.service.policy.Retry))
	last := &result{verdict: call.NotRun(call.ReasonNoServer, call.ProofNotSent)}
	for {
		instance := x.pick()
		if instance == nil {
			break
		}
		next := x.attempt(instance)
		last.close()
		reason := next.verdict.Reason()
		if reason == "" || reason.MayHaveArrived() {
			x.arrivals++
		}
		if reason != "" {
			next.verdict = next.verdict.Combine(last.verdict)
			x.placement.RecordFailure(next.instance, reason, x.demand.ShortWait)
		}
		last = next
		if reason == "" || !x.mayRetry(last.verdict) {
			break
		}
		if reason.MayHaveArrived() {
			x.log(telemetry.CallRetried, verdictAttributes(last.verdict)...)
		}
		x.proxy.metrics.retries.Inc(1)
	}
	x.proxy.fanOut.AddCall(x.route.Name, x.target, x.nested.Load(), time.Now())
	x.finish(last)
}

// pick returns the instance for the next attempt and records it as tried, or
// returns nil if none is left. Without an objective, no instance is tried twice.
func (x *exchange) pick() *call.Instance {
	if x.onProbation {
		return x.pickOnProbation()
	}
	if x.route.LatencyObjective > 0 {
		return x.place()
	}
	now := time.Now()
	chosen, other := x.chooseVersion(now)
	i := chosen.Pick(*x.proxy.policy.Load(), x.placement.Tried, now, rand.IntN)
	if i == nil && other != nil {
		i = other.Pick(*x.proxy.policy.Load(), x.placement.Tried, now, rand.IntN)
	}
	if i != nil {
		x.placement.Tried = append(x.placement.Tried, i)
	}
	return i
}

// attempt sends the call to an instance. A first attempt may be hedged.
func (x *exchange) attempt(i *call.Instance) *result {
	if len(x.placement.Tried) == 1 && x.route.Hedge && x.idempotent && !x.inExtraAttempt && !x.body.Streamed() {
		return x.sendHedged(i)
	}
	return x.newAttemptRequest(x.ctx, i).send()
}

// mayRetry reports whether another attempt may follow a failed one. It takes
// from the retry budget unless the retry is free.
func (x *exchange) mayRetry(last call.Verdict) bool {
	maxAttempts := x.route.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = x.service.policy.Retry.MaxAttempts
	}
	if maxAttempts == 0 {
		maxAttempts = defaultAttempts
	}
	switch {
	case x.ctx.Err() != nil, x.arrivals >= maxAttempts, len(x.placement.Tried) >= maxAttempts+maxRejections, x.body.Streamed():
		return false
	case last.Reason() == call.ReasonOverload: // other instances call the same service
		return false
	case !x.mayRunElsewhere(last):
		return false
	case !call.CanRetry(last.Outcome(), x.idempotent, x.inExtraAttempt):
		return false
	}
	rejected := x.route.LatencyObjective > 0 && !last.Reason().MayHaveArrived()
	return rejected || last.Reason().ExemptFromBudget() || x.service.retryBudget.Withdraw()
}

// maxRejections is the number of instances that a call may try beyond its
// maximum attempts, since a rejection by a gate does not count as an attempt.
const maxRejections = 3

// finish reports the call and answers the caller with the last result.
func (x *exchange) finish(last *result) {
	x.report(last)
	if x.onTrial && x.arrivals == 0 {
		x.proxy.config.Suspects.ReturnTrial(x.fingerprint)
	}
	if last.resp == nil {
		verdict := last.verdict
		switch {
		case x.ctx.Err() == nil || verdict.Outcome() == call.OutcomeNotRun:
		case x.proxy.cutting.Load() && x.ctx.Err() == context.Canceled:
			verdict = call.MayHaveRun(call.ReasonLeaving)
		default:
			verdict = call.MayHaveRun(call.ReasonDeadline)
		}
		x.fail(verdict)
		return
	}
	defer last.resp.Body.Close()
	if x.noRoom.Load() {
		x.proxy.metrics.count("failures", call.ReasonRoom)
		panic(http.ErrAbortHandler) // the connection ends, since the call has run
	}
	call.StripMeshHeaders(last.resp.Header)
	if reason := last.verdict.Reason(); reason != "" {
		x.w.Header()[call.HeaderReason] = []string{string(reason)}
		x.w.Header()[call.HeaderRan] = []string{last.verdict.Outcome().String()}
	}
	x.announceClose()
	hop.CopyResponse(x.w, last.resp)
}
