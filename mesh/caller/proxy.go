// Package caller speaks to callers: it routes a call by the table in force,
// chooses a backend server and hands the call to the node beside it.
//
// # Usage
//
//	proxy := caller.New(caller.Config{Table: holder.Table, View: members.View, Own: gate, Hop: transport})
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
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
)

// Config configures a Proxy. Every field up to Timeout but Own is required.
type Config struct {
	Table    func() *revision.Table
	Ready    func() bool // whether the table may be served
	View     func() *member.View
	Own      http.RoundTripper // to the own backend server; nil means through Hop
	Hop      http.RoundTripper // to other nodes
	Evidence func(name string, reached bool)
	Timeout  time.Duration // of a call whose route names none
	Policy   call.Policy   // nil means DefaultPolicy
	Service  string        // on the own instance, whose calls enter here; may be empty
	Dialect  Dialect       // nil means the product's own headers
	Whole    int64         // bytes of an answer that is read whole before it is handed on; zero means none
	Extra    Extra         // what bounds extra attempts where no policy does
	Sinks    telemetry.Sinks
}

// Extra bounds the extra attempts of all nodes together. Where it is set, it
// goes before the percentages of policies, and retries and hedges share it.
type Extra struct {
	Percent int // for each hundred calls of a service
	Slack   int // beyond that, of all nodes together
}

// DefaultPolicy returns the policy that picks backend servers.
func DefaultPolicy() call.Policy { return call.TwoChoices[call.Latency]{} }

// Proxy is the handler of the callers' port.
type Proxy struct {
	config  Config
	metrics *metrics
	namer   *hop.Namer
	calls   *hop.Calls
	leaving atomic.Bool
	closing atomic.Bool // answers give notice that their connection closes
	policy  atomic.Pointer[call.Policy]

	directory atomic.Pointer[directory]
	mu        sync.Mutex // held while the directory is renewed
	known     known
}

// New returns a proxy.
func New(config Config) *Proxy {
	config.Sinks = config.Sinks.OrDiscard()
	p := &Proxy{
		config: config, metrics: newMetrics(config.Sinks.Scope), namer: hop.NewNamer(), calls: hop.NewCalls(),
		known: newKnown(),
	}
	if config.Policy == nil {
		config.Policy = DefaultPolicy()
	}
	p.Use(config.Policy)
	return p
}

// Use replaces the policy that picks backend servers.
func (p *Proxy) Use(policy call.Policy) { p.policy.Store(&policy) }

// Notice makes answers tell callers that their connections close.
func (p *Proxy) Notice() { p.closing.Store(true) }

// Drain refuses new calls and waits for those in progress. When the context
// ends first, the error is a *hop.Cut.
func (p *Proxy) Drain(ctx context.Context) error {
	p.leaving.Store(true)
	return p.calls.Drain(ctx)
}

// ServeHTTP serves one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := p.name(r)
	entry := p.calls.Begin(id)
	defer p.calls.End(entry)
	start := time.Now()
	w.Header()[call.HeaderID] = []string{id}
	x := &exchange{proxy: p, w: w, r: r, id: id, start: start}
	if p.closing.Load() || p.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	reason := x.prepare()
	if reason != "" {
		x.refuse(reason)
		return
	}
	defer x.cancel()
	defer x.span.End()
	x.serve()
	took := time.Since(start)
	p.metrics.latency.RecordDuration(took)
	if o := x.route.Objective; o > 0 && took > o && x.answer != nil {
		x.log(telemetry.CallSlow, "spent", ms(x.answer.spent), "queued", ms(x.answer.queued), "objective", ms(o))
	}
}

// name returns the ID of a call: the caller's own where it has one.
func (p *Proxy) name(r *http.Request) string {
	if p.config.Dialect != nil {
		if id := p.config.Dialect.ID(r.Header); id != "" {
			return id
		}
	}
	return p.namer.Next()
}

// carried returns how long the caller waits, as HeaderDeadline carries it.
func (p *Proxy) carried(h http.Header) string {
	if p.config.Dialect == nil {
		return h.Get(call.HeaderDeadline)
	}
	left, ok := p.config.Dialect.Left(h)
	if !ok {
		return ""
	}
	return strconv.FormatInt(left.Milliseconds(), 10)
}

// prepare routes the call and shapes its header for the next hop. It returns
// why the call cannot be served, or nothing.
func (x *exchange) prepare() call.Reason {
	p, r := x.proxy, x.r
	carried, attempt := p.carried(r.Header), r.Header.Get(call.HeaderAttempt)
	switch {
	case p.leaving.Load():
		return call.Leaving
	case !p.config.Ready():
		return call.NotReady
	case hop.Upgrades(r):
		return call.Upgrade
	}
	call.Strip(r.Header)
	call.StripHop(r.Header)
	x.directory = p.renew()
	if reason := exceeds(x.directory.router.Table.Limits, r); reason != "" {
		return reason
	}
	route := x.directory.router.Match(r.Host, r.Method, r.URL.Path, r.Header)
	if route == nil {
		return call.NoRoute
	}
	x.route = route
	x.target = call.Part(route, rand.IntN)
	x.service = x.directory.service(p, x.target)
	x.idempotent = call.Idempotent(route, r.Method)
	x.extra = attempt != "" && attempt != "1"
	x.w.Header()[call.HeaderRevision] = []string{strconv.FormatUint(x.directory.router.Table.Number, 10)}
	timeout := call.Timeout(route.Timeout, p.config.Timeout, carried)
	x.ctx, x.cancel = context.WithTimeout(r.Context(), timeout)
	x.deadline, _ = x.ctx.Deadline()
	if route.Objective > 0 {
		left, known := call.ParseLeft(carried)
		x.ask(time.Now(), left, known)
	}
	x.ctx, x.span = p.startSpan(x.ctx, x)
	return x.shape()
}

// shape reads a small body and sets the headers of the first attempt.
func (x *exchange) shape() call.Reason {
	body, err := hop.NewBody(x.r)
	if err != nil {
		x.cancel()
		x.span.End()
		return call.ShortBody
	}
	x.body = body
	if body.Streamed() {
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	h := x.r.Header
	h[call.HeaderID] = []string{x.id}
	h[call.HeaderService] = []string{x.target}
	if service := x.proxy.config.Service; service != "" {
		h[call.HeaderCaller] = []string{service}
	}
	if x.idempotent {
		h[call.HeaderRepeat] = []string{call.Yes}
	} else {
		call.SendOnce(h)
	}
	if body.Empty() {
		h[call.HeaderEmpty] = []string{call.Yes}
	}
	return ""
}

// refuse answers a call that was not run.
func (x *exchange) refuse(reason call.Reason) {
	x.proxy.metrics.refused(reason)
	x.log(telemetry.CallRefused, "reason", string(reason), "ran", call.NotRun.String())
	x.fail(reason, call.NotRun)
}

// fail answers with a failure of the node's own.
func (x *exchange) fail(reason call.Reason, outcome call.Outcome) {
	if d := x.proxy.config.Dialect; d != nil {
		after := time.Duration(0)
		if outcome == call.NotRun {
			after = comeBack(reason, x.backlog, x.left(), rand.Float64())
		}
		hop.Explain(x.w.Header(), reason, outcome, after)
		d.Refused(x.w.Header(), after)
		x.w.WriteHeader(reason.Status())
		return
	}
	hop.Fail(x.w, reason, outcome, reason.After())
}

// left returns how long the caller will wait: as it says, or what is left of
// the deadline.
func (x *exchange) left() time.Duration {
	if left, ok := x.proxy.config.Dialect.Left(x.r.Header); ok {
		return left - time.Since(x.start)
	}
	if !x.deadline.IsZero() {
		return time.Until(x.deadline)
	}
	return x.proxy.config.Timeout
}
