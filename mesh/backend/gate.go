// Package backend speaks to the backend server beside the node: it takes its
// announcements, admits calls to it and hands them over.
//
// # Usage
//
//	gate := backend.NewGate(backend.GateConfig{Policy: policyOf})
//	gate.Serve(&backend.Target{Service: "quotes", Address: "127.0.0.1:9001", Slots: 6})
//	http.Serve(listener, gate)         // calls from other nodes
//	resp, err := gate.RoundTrip(req)   // calls that enter at this node
package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/telemetry"
)

// Target is the backend server as it announced itself.
type Target struct {
	Service string
	Server  string // name of the server's present life; empty when it names none
	Address string // IP:port
	Slots   int
	Cold    bool
	Leaving bool
}

// GateConfig configures a Gate.
type GateConfig struct {
	Policy func(service string) record.Policy
	Silent time.Duration // silence after which a reused connection is doubted
	Settle time.Duration // in which the backend server ends a call that was broken off; zero means 20 ms
	// Dialect is how the backend server is spoken to; nil means the product's
	// own headers. With one, each call reaches the server once at most: what
	// more may be sent is the entry node's decision.
	Dialect Dialect
	Warmup  time.Duration // of slow start where the policy names none; less than zero means none
	Link    float64       // rate of the link to other nodes in bytes/s; zero means that it never binds
	Sent    func() int64  // all bytes that the instance has sent over it so far; nil counts nothing beside large answers
	Sinks   telemetry.Sinks
}

// Gate admits calls to the backend server and hands them over. It knows the
// true count in progress, since every call passes it.
type Gate struct {
	config  GateConfig
	reuse   *http.Transport // keeps connections
	fresh   *http.Transport // a connection for each call
	target  atomic.Pointer[Target]
	calls   *hop.Calls
	metrics *metrics

	mu        sync.Mutex // held for one decision at a time
	admission call.Admission
	link      *call.Link
	draining  bool
}

const (
	// maxServerConns bounds the connections to the backend server, which takes
	// 110; some are left for others.
	maxServerConns = 100
	// idleConn is how long an unused connection is kept. It is short, since a
	// connection can go silent while nobody uses it, servers may forget one that
	// has rested for 0.3 s, and a new one costs 1 ms.
	idleConn = 200 * time.Millisecond
	// defaultSettle is how long the slot of a call that was broken off is kept.
	defaultSettle = 20 * time.Millisecond
)

// NewGate returns a gate without a backend server.
func NewGate(config GateConfig) *Gate {
	config.Sinks = config.Sinks.OrDiscard()
	if config.Silent <= 0 {
		config.Silent = 400 * time.Millisecond
	}
	if config.Settle <= 0 {
		config.Settle = defaultSettle
	}
	g := &Gate{config: config, calls: hop.NewCalls(), metrics: newMetrics(config.Sinks.Scope), link: call.NewLink(config.Link)}
	g.admission.Through(g.link)
	g.reuse = &http.Transport{
		DialContext: hop.Dialer(config.Silent).DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: maxServerConns, MaxConnsPerHost: maxServerConns, IdleConnTimeout: idleConn,
	}
	g.fresh = g.reuse.Clone()
	g.fresh.DisableKeepAlives = true
	return g
}

// Serve sets the backend server; nil means there is none. One that is leaving
// gets no new call, and calls that wait for it are refused as not run.
func (g *Gate) Serve(t *Target) {
	old := g.target.Swap(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case t == nil || t.Leaving:
		g.wake(g.admission.Close())
	case !g.draining:
		g.admission.Open()
	}
	if old == nil || t == nil || old.Address != t.Address || old.Server != t.Server {
		g.admission.Cold(false, now)
		g.reuse.CloseIdleConnections() // they lead to a server that is gone
	}
	if t != nil {
		g.admission.Cold(t.Cold, now)
	}
}

// Target returns the backend server, or nil.
func (g *Gate) Target() *Target { return g.target.Load() }

// Progress returns the number of calls that hold a slot.
func (g *Gate) Progress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Progress()
}

// Refuse refuses new calls, and those that wait, as not run from now on.
func (g *Gate) Refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.wake(g.admission.Close())
}

// Drain refuses new calls and waits for those in progress. When the context
// ends first, the error is a *hop.Cut.
func (g *Gate) Drain(ctx context.Context) error {
	g.Refuse()
	return g.calls.Drain(ctx)
}

// Close releases the connections to the backend server.
func (g *Gate) Close() {
	g.reuse.CloseIdleConnections()
	g.fresh.CloseIdleConnections()
}

// wake tells waiters that they are decided. The caller holds g.mu.
func (g *Gate) wake(decided []*call.Waiter) {
	for _, w := range decided {
		close(w.Ready)
	}
}

// enter takes a slot for a call of a service, waiting in the queue if need be.
// It returns the backend server and the slot, or why the call was not admitted.
func (g *Gate) enter(ctx context.Context, header http.Header, remote bool) (*Target, *call.Waiter, call.Reason) {
	t := g.target.Load()
	if t == nil || t.Service != header.Get(call.HeaderService) {
		return nil, nil, call.NoServer
	}
	w := &call.Waiter{}
	if remote {
		w.Remote()
	}
	w.Deadline, _ = ctx.Deadline()
	if demand := header.Get(call.HeaderDemand); demand != "" {
		w.Demand = call.ParseDemand(demand, time.Now())
	}
	if g.ask(w, t) == call.Waiting {
		g.wait(ctx, w)
	}
	if w.Verdict() == call.Admitted {
		return t, w, ""
	}
	return nil, nil, w.Reason()
}

func (g *Gate) ask(w *call.Waiter, t *Target) call.Verdict {
	limits := g.limits(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.wake(g.admission.Limit(limits, now))
	verdict := g.admission.Enter(w, now)
	if verdict == call.Waiting {
		w.Ready = make(chan struct{})
	}
	return verdict
}

// wait waits until a queued call is decided or gives up.
func (g *Gate) wait(ctx context.Context, w *call.Waiter) {
	timer := time.NewTimer(time.Until(w.Until()))
	defer timer.Stop()
	select {
	case <-w.Ready:
		return
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Abandon(w, time.Now())
}

// limits returns what the policy allows at a backend server.
func (g *Gate) limits(t *Target) call.Limits {
	p := g.config.Policy(t.Service)
	l := call.Limits{Slots: t.Slots, Queue: p.Queue.Length, Wait: p.Queue.Wait, Warmup: p.Warmup}
	if p.Warmup == 0 {
		l.Warmup = g.config.Warmup
	}
	if p.Slots > 0 {
		l.Slots = p.Slots
	}
	l.Slots = min(l.Slots, maxServerConns) // each call in progress takes a connection
	return l
}

// leave gives back a slot.
func (g *Gate) leave(w *call.Waiter, end call.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.admission.Finish(w, end, time.Now()))
}

// leaveLater gives back the slot of a call that was broken off, once the
// backend server has had the time to notice; until then it may be at work.
func (g *Gate) leaveLater(w *call.Waiter, end call.End) {
	time.AfterFunc(g.config.Settle, func() { g.leave(w, end) })
}

// judge takes that the backend server did or did not answer a call whose time
// tells nothing.
func (g *Gate) judge(good bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Judge(good, time.Now())
}

// backlog returns how long a new call of a class would wait for a slot, or its
// answer for the link.
func (g *Gate) backlog(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return max(g.admission.Backlog(now), g.link.Expected(class, now))
}

// load returns the load as answers carry it, how long another large answer
// would wait for the link, and the average duration of calls.
func (g *Gate) load() (report call.Report, link, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.admission.Report(now), g.link.Backlog(now), g.admission.Work()
}
