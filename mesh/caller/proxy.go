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

// Config configures a Proxy. Every field but Sinks, Own and Policy is required.
type Config struct {
	Table    func() *revision.Table
	Ready    func() bool // whether the table may be served
	View     func() *member.View
	Own      http.RoundTripper // to the own backend server; nil means through Hop
	Hop      http.RoundTripper // to other nodes
	Evidence func(name string, reached bool)
	Timeout  time.Duration // of a call whose route names none
	Policy   call.Policy   // nil means DefaultPolicy
	Sinks    telemetry.Sinks
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

// Drain refuses new calls and waits for those in progress. When the context
// ends first, the error is a *hop.Cut.
func (p *Proxy) Drain(ctx context.Context) error {
	p.leaving.Store(true)
	return p.calls.Drain(ctx)
}

// ServeHTTP serves one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := p.namer.Next()
	entry := p.calls.Begin(id)
	defer p.calls.End(entry)
	start := time.Now()
	w.Header()[call.HeaderID] = []string{id}
	x := &exchange{proxy: p, w: w, r: r, id: id}
	reason := x.prepare()
	if reason != "" {
		x.refuse(reason)
		return
	}
	defer x.cancel()
	defer x.span.End()
	x.serve()
	p.metrics.latency.RecordDuration(time.Since(start))
}

// prepare routes the call and shapes its header for the next hop. It returns
// why the call cannot be served, or nothing.
func (x *exchange) prepare() call.Reason {
	p, r := x.proxy, x.r
	carried, attempt := r.Header.Get(call.HeaderDeadline), r.Header.Get(call.HeaderAttempt)
	switch {
	case p.leaving.Load():
		x.w.Header()["Connection"] = []string{"close"}
		return call.Leaving
	case !p.config.Ready():
		return call.NotReady
	case hop.Upgrades(r):
		return call.Upgrade
	}
	call.Strip(r.Header)
	call.StripHop(r.Header)
	x.directory = p.renew()
	route := x.directory.router.Match(r.Host, r.Method, r.URL.Path, r.Header)
	if route == nil {
		return call.NoRoute
	}
	x.route = route
	x.service = x.directory.service(p, route.Service)
	x.idempotent = call.Idempotent(route, r.Method)
	x.extra = attempt != "" && attempt != "1"
	x.w.Header()[call.HeaderRevision] = []string{strconv.FormatUint(x.directory.router.Table.Number, 10)}
	timeout := call.Timeout(route.Timeout, p.config.Timeout, carried)
	x.ctx, x.cancel = context.WithTimeout(r.Context(), timeout)
	x.deadline, _ = x.ctx.Deadline()
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
	h[call.HeaderService] = []string{x.route.Service}
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
	hop.Fail(x.w, reason, call.NotRun)
}
