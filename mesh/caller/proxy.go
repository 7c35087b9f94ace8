// Package caller implements the proxy that serves callers: it routes a call by
// the current table, chooses an instance and forwards the call to its node.
//
// # Usage
//
//	proxy := caller.New(caller.Config{Table: holder.Table, View: members.View, Local: gate, Remote: transport})
//	http.Serve(listener, proxy)
package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/quota"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/rollout"
	"caroblift.dev/mesh/telemetry"
)

// Config configures a Proxy. The fields up to Timeout are required, except Local.
type Config struct {
	Table              func() *revision.Table
	Ready              func() bool // whether the table may be used for calls
	View               func() *member.View
	Local              http.RoundTripper               // sends to this node's own backend server; nil if it is called like those of other nodes
	Remote             http.RoundTripper               // sends to other nodes
	ReportReachability func(name string, reached bool) // reports to membership whether a node was reached
	Timeout            time.Duration                   // of a call whose route has none
	Policy             call.Policy                     // nil means DefaultPolicy
	Service            string                          // name of the service on this instance, which is the caller; may be empty
	Dialect            Dialect                         // nil means the Caroblift headers
	BufferLimit        int64                           // size in bytes up to which an answer is buffered before it is forwarded; zero means none
	ExtraAttempts      ExtraAttempts                   // limit of extra attempts, instead of the policies'; zero means none
	Currency           func() Currency                 // how current the table in force is; nil if it always is
	RequestUpdate      func()                          // asks a peer for a newer table and does not block; nil if there is none to ask
	OfferedRates       call.OfferedRates               // of all nodes, by workspace; nil for those of this node's calls alone
	LimitUploads       bool                            // leaves slots of a service to calls whose bodies have come whole
	Suspects           *call.Suspects                  // requests suspected of ending backend servers; nil for suspects of the proxy's own
	Quotas             *quota.Limiter                  // quotas of workspaces; nil for none
	Rollouts           *rollout.Board                  // states of services that move to another version; nil if none does
	RolloutLimits      rollout.Limits                  // of what a new version may do
	Sinks              telemetry.Sinks
}

// ExtraAttempts limits the extra attempts, which are retries and hedges, of all
// nodes together. If it is set, it overrides the percentages of policies, and
// retries and hedges of a service share one budget.
type ExtraAttempts struct {
	Percent int // extra attempts per 100 calls of a service
	Burst   int // burst beyond the percentage, of all nodes together
}

// DefaultPolicy returns the policy that a Proxy uses if Config.Policy is nil.
func DefaultPolicy() call.Policy { return call.TwoChoices[call.LatencyLoad]{} }

// Proxy is the HTTP handler that serves callers. Its methods may be called
// concurrently.
type Proxy struct {
	config     Config
	metrics    *metrics
	ids        *hop.IDGenerator
	calls      *hop.CallRegistry
	leaving    atomic.Bool
	cutting    atomic.Bool               // see Cut
	stopAt     atomic.Pointer[time.Time] // see RefuseBeyond; nil while the node isn't stopping
	closeConns atomic.Bool               // answers carry Connection: close
	policy     atomic.Pointer[call.Policy]

	directory atomic.Pointer[directory]
	mu        sync.Mutex // guards retained, and the replacement of directory and of its services
	retained  retainedState
	fanOut    call.FanOut // of the backend server of this instance

	workspaces     workspaceMeter
	sharedServices atomic.Int64 // services that are short and shared by workspaces

	shortage   atomic.Pointer[shortageState]
	shortageMu sync.Mutex // guards the replacement of shortage, and the starvation of all services
}

// New returns a proxy that serves calls as config says.
func New(config Config) *Proxy {
	config.Sinks = config.Sinks.WithDefaults()
	p := &Proxy{
		config: config, metrics: newMetrics(config.Sinks.Scope), ids: hop.NewIDGenerator(), calls: hop.NewCallRegistry(),
		retained: newRetainedState(),
	}
	if config.Policy == nil {
		config.Policy = DefaultPolicy()
	}
	if config.Suspects == nil {
		p.config.Suspects = call.NewSuspects(time.Now())
	}
	p.SetPolicy(config.Policy)
	return p
}

// SetPolicy replaces the policy that picks an instance for a call without an
// objective.
func (p *Proxy) SetPolicy(policy call.Policy) { p.policy.Store(&policy) }

// DisableKeepAlives adds Connection: close to all later answers, so that
// callers do not reuse their connections.
func (p *Proxy) DisableKeepAlives() { p.closeConns.Store(true) }

// RefuseBeyond refuses new calls with a deadline after stopAt, at which calls in
// progress are cut: they might be among those.
func (p *Proxy) RefuseBeyond(stopAt time.Time) { p.stopAt.Store(&stopAt) }

// Drain refuses new calls and waits for those in progress. If the context ends
// first, it returns a *hop.DrainError that names the calls left.
func (p *Proxy) Drain(ctx context.Context) error {
	p.leaving.Store(true)
	return p.calls.Drain(ctx)
}

// Cut ends the calls in progress, whose callers are told that they may have run, and waits
// until they have been answered or the context ends.
func (p *Proxy) Cut(ctx context.Context) {
	p.leaving.Store(true)
	p.cutting.Store(true)
	p.calls.Cut()
	_ = p.calls.Drain(ctx) // the calls that are left have no answer
}

// ServeHTTP routes one call, makes its attempts and answers the caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := p.callID(r)
	entry := p.calls.Begin(id)
	defer p.calls.End(entry)
	start := time.Now()
	w.Header()[call.HeaderID] = []string{id}
	x := &exchange{proxy: p, w: w, r: r, id: id, start: start, entry: entry}
	if p.closeConns.Load() || p.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	reason := x.prepare()
	if reason != "" {
		x.refuse(reason)
		return
	}
	defer x.endContext()
	defer x.span.End()
	defer x.endUpload()
	defer x.returnBuffer()
	answered := false
	defer func() {
		if !answered {
			x.resetAtClose()
		}
		x.endStream(answered)
	}()
	x.serve()
	answered = true
	took := time.Since(start)
	p.metrics.latency.RecordDuration(took)
	if o := x.route.LatencyObjective; o > 0 && took > o && x.answer != nil {
		x.log(telemetry.CallSlow, "spent", ms(x.answer.remoteTime), "queued", ms(x.answer.queueTime), "objective", ms(o))
	}
}

// RefuseForRoom answers a call for which the node has no memory.
func (p *Proxy) RefuseForRoom(w http.ResponseWriter, r *http.Request) {
	x := &exchange{proxy: p, w: w, r: r, id: p.callID(r), start: time.Now()}
	w.Header()[call.HeaderID] = []string{x.id}
	x.refuse(call.ReasonRoom)
}

// callID returns the ID that the caller gave the call, or else a new one.
func (p *Proxy) callID(r *http.Request) string {
	if p.config.Dialect != nil {
		if id := p.config.Dialect.ID(r.Header); id != "" {
			return id
		}
	}
	return p.ids.Next()
}

// deadlineHeader returns the time that the caller will wait in the format of
// call.HeaderDeadline, or "" if the caller does not state it.
func (p *Proxy) deadlineHeader(h http.Header) string {
	if p.config.Dialect == nil {
		return h.Get(call.HeaderDeadline)
	}
	left, ok := p.config.Dialect.TimeLeft(h)
	if !ok {
		return ""
	}
	return strconv.FormatInt(left.Milliseconds(), 10)
}

// prepare routes the call and prepares its request for the next hop. It returns
// the reason if the call must be refused. If it returns "", x.endContext and
// x.span.End must be called at the end of the call.
func (x *exchange) prepare() call.Reason {
	p, r := x.proxy, x.r
	keys := x.takeKeys()
	timeLeft, attempt := p.deadlineHeader(r.Header), r.Header.Get(call.HeaderAttempt)
	switch {
	case p.leaving.Load():
		return call.ReasonLeaving
	case !p.config.Ready():
		return call.ReasonNotReady
	case hop.IsUpgrade(r):
		return call.ReasonUpgrade
	}
	call.StripMeshHeaders(r.Header)
	call.StripHopByHop(r.Header)
	x.directory = p.currentDirectory()
	if reason := exceededLimit(x.directory.router.Table.Limits, r); reason != "" {
		return reason
	}
	route := x.directory.router.Match(r.Host, r.Method, r.URL.Path, r.Header)
	if route == nil {
		return call.ReasonNoRoute
	}
	x.route = route
	if reason := x.checkKey(keys); reason != "" {
		return reason
	}
	if route.Unusable {
		return call.ReasonNoParts
	}
	if x.exceedsQuota() {
		return call.ReasonQuota
	}
	x.target = call.PickService(route, rand.IntN)
	x.service = x.directory.service(p, x.target)
	x.placement = call.Placement{Balancer: x.service.balancer, Search: x.service.searchBudget, Bulk: route.Bulk, Objective: route.LatencyObjective}
	x.placement.Begin()
	x.idempotent = call.Idempotent(route, r.Method)
	x.inExtraAttempt = attempt != "" && attempt != "1"
	x.w.Header()[call.HeaderRevision] = []string{strconv.FormatUint(x.directory.router.Table.Number, 10)}
	timeout := call.Timeout(route.Timeout, p.config.Timeout, timeLeft)
	if stopAt := p.stopAt.Load(); stopAt != nil && time.Now().Add(timeout).After(*stopAt) {
		return call.ReasonLeaving
	}
	x.ctx, x.cancel = context.WithTimeout(r.Context(), timeout)
	x.deadline, _ = x.ctx.Deadline()
	p.calls.OnCut(x.entry, x.cancel)
	if route.LatencyObjective > 0 {
		left, ok := call.ParseTimeLeft(timeLeft)
		x.setDemand(time.Now(), left, ok)
	}
	x.ctx, x.span = p.startSpan(x.ctx, x)
	return x.prepareRequest()
}

// prepareRequest reads a small body and sets the headers of the first attempt.
// On failure it ends the call's context and span.
func (x *exchange) prepareRequest() call.Reason {
	x.stream = newStreamedBody(x.r)
	x.stream.atEOF = x.cleanTrailer
	if x.r.ProtoMajor == 1 && x.r.ContentLength != 0 {
		x.stopInterrupt = x.stream.interruptAt(x.ctx, x.w)
	}
	body, err := hop.NewBody(limitBody(x.directory.router.Table.Limits, x.r.ContentLength, x.stream), x.r.ContentLength)
	if err != nil {
		reason := call.ReasonShortBody
		if x.ctx.Err() != nil { // the body did not come in time
			reason = x.endedEarly()
		}
		x.endContext()
		x.span.End()
		return reason
	}
	x.body = body
	x.watchCaller()
	if body.Streamed() {
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	h := x.r.Header
	x.headerValues = make([]string, 0, maxSetHeaders)
	x.setHeader(call.HeaderID, x.id)
	x.setHeader(call.HeaderService, x.target)
	if service := x.proxy.config.Service; service != "" {
		x.setHeader(call.HeaderCaller, service)
	}
	if x.workspace != nil {
		x.setHeader(call.HeaderWorkspace, x.workspace.Name)
	}
	if x.idempotent {
		x.setHeader(call.HeaderRepeat, call.Yes)
	} else {
		call.HideIdempotencyKeys(h)
	}
	if body.Empty() {
		x.setHeader(call.HeaderEmpty, call.Yes)
	}
	reason := call.Reason("")
	if x.ctx.Err() != nil {
		reason = x.endedEarly()
	}
	if reason == "" {
		reason = x.checkStanding()
	}
	if reason == "" {
		reason = x.beginUpload()
	}
	if reason != "" {
		x.endContext()
		x.span.End()
	}
	return reason
}

// maxSetHeaders is the number of headers that setHeader sets.
const maxSetHeaders = 7

// setHeader sets a header of all attempts, whose value it keeps in the exchange to save an
// allocation.
func (x *exchange) setHeader(name, value string) {
	x.headerValues = append(x.headerValues, value)
	n := len(x.headerValues)
	x.r.Header[name] = x.headerValues[n-1 : n : n]
}

// announceClose adds Connection: close to an answer that precedes the end of a
// streamed body: the rest of the body must not be taken for a request.
func (x *exchange) announceClose() {
	if x.body != nil && x.body.Streamed() && x.r.ProtoMajor == 1 && !x.stream.complete.Load() {
		x.w.Header()["Connection"] = []string{"close"}
	}
}

// endContext ends the context of the call without an effect on its connection.
func (x *exchange) endContext() {
	if x.stopInterrupt != nil {
		x.stopInterrupt()
	}
	x.cancel()
}

// endStream ends the reads of a streamed body. HTTP/2 keeps the bodies of a
// connection's calls apart by itself.
func (x *exchange) endStream(answered bool) {
	if x.body.Streamed() && x.r.ProtoMajor == 1 {
		x.stream.end(x.w, answered)
	}
}

// refuse counts, logs and answers a call that was not sent.
func (x *exchange) refuse(reason call.Reason) {
	verdict := call.NotRun(reason, call.ProofNotSent)
	x.proxy.metrics.countRefusal(reason)
	attributes := append(verdictAttributes(verdict), x.keyAttributes(reason)...)
	if reason == call.ReasonQuota {
		attributes = append(attributes, x.quotaAttributes()...)
	}
	message := telemetry.CallRefused
	if reason == call.ReasonCanceled {
		message = telemetry.CallGone
	}
	x.log(message, attributes...)
	x.fail(verdict)
}

// fail answers the call with a failure that this node generates.
func (x *exchange) fail(verdict call.Verdict) {
	reason := verdict.Reason()
	x.announceClose()
	if d := x.proxy.config.Dialect; d != nil {
		after := time.Duration(0)
		if verdict.Outcome() == call.OutcomeNotRun {
			after = retryAfter(reason, x.backlog, x.remaining(), rand.Float64())
		}
		if reason == call.ReasonQuota {
			after = max(x.overQuota.RetryAfter, minRetryAfter)
		}
		hop.SetFailureHeaders(x.w.Header(), verdict, after)
		d.WriteRetryAfter(x.w.Header(), after)
		x.w.WriteHeader(verdict.Status())
		return
	}
	after := reason.RetryAfter()
	if reason == call.ReasonQuota {
		after = x.overQuota.RetryAfter
	}
	hop.WriteFailure(x.w, verdict, after)
}

// remaining returns how long the caller will still wait: the time that it stated,
// or else the time to the call's deadline, or else the default timeout. Config
// must have a Dialect.
func (x *exchange) remaining() time.Duration {
	if left, ok := x.proxy.config.Dialect.TimeLeft(x.r.Header); ok {
		return left - time.Since(x.start)
	}
	if !x.deadline.IsZero() {
		return time.Until(x.deadline)
	}
	return x.proxy.config.Timeout
}
