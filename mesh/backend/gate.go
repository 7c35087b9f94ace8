// Package backend connects a node to the backend server on its instance: it
// receives the server's announcements, admits calls to it and forwards them.
//
// # Usage
//
//	gate := backend.NewGate(backend.GateConfig{Policy: policyOf})
//	gate.SetTarget(&backend.Target{Service: "quotes", Address: "127.0.0.1:9001", Slots: 6})
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
	"caroblift.dev/mesh/rollout"
	"caroblift.dev/mesh/telemetry"
)

// Target is the backend server as it announced itself.
type Target struct {
	Service string
	Server  string // name of the server's current incarnation; empty when it has none
	Epoch   uint64 // of that incarnation; zero when it is not known
	Address string // IP:port
	Slots   int
	Cold    bool
	Leaving bool
	Version string // of the server's software; may be empty
	Found   bool   // the node found the server, which has not announced itself, so its version is not known
	// RunningMS is how long the server had been running when it announced itself, in ms;
	// zero when it is not known.
	RunningMS int64
}

// GateConfig configures a Gate.
type GateConfig struct {
	Policy         func(service string) record.Policy // in force for a service
	MaxConns       func(service string) int           // connections that a backend server of the service accepts; zero means unknown, and so does a nil function
	SilenceTimeout time.Duration                      // shortest silence after which a reused connection counts as broken; zero means 400 ms
	AbortGrace     time.Duration                      // time in which the backend server ends a call that was broken off; zero means 20 ms
	// Dialect maps calls for the backend server; nil means the Caroblift-*
	// headers. With a dialect the gate sends each call at most once: whether it
	// is sent again is decided by the node where it entered.
	Dialect   Dialect
	Warmup    time.Duration                // duration of slow start where the policy sets none; negative means no slow start
	Pace      bool                         // the concurrency of a server that starts or recovers follows its responses where the policy does not say
	LinkRate  float64                      // rate of the link to other nodes in bytes/s; zero means unlimited
	OwnShare  func(service string) float64 // returns the share of instances that run a service; nil means unknown
	SentBytes func() int64                 // returns all bytes that the instance has sent over the link so far; with nil only large answers count
	Sinks     telemetry.Sinks
	// Calls accounts for the calls that the backend server makes; nil means that it makes none.
	Calls Callees
	// ServerLeaving is called when the backend server, as it was set, states in an answer
	// that it is leaving; it may be nil. The gate admits no new call to it from then on.
	ServerLeaving func(*Target)
	// ServerEnded is called when the backend server, as it was set, accepts no connections
	// any more although it has not said that it leaves; it may be nil.
	ServerEnded func(*Target)
	Instance    string         // name of this instance, which identifies its servers to other nodes; may be empty
	Rollouts    *rollout.Guard // decides which calls may run while a service moves to another version; nil if none does
	Suspects    *call.Suspects // requests suspected of ending backend servers, shared with the entry node of this instance; nil for suspects of the gate's own
}

// Callees is the services that the backend server calls in its runs. Its methods may be
// called concurrently.
type Callees interface {
	// AddRun counts a call that the backend server runs.
	AddRun()
	// TakeRepeat takes what another run of a call costs from the budgets of the services
	// that the server calls. It returns false if one of them has not enough, and otherwise
	// a function that gives all back.
	TakeRepeat() (giveBack func(), ok bool)
	// YieldShare returns the share of the calls of a priority to refuse before they run, so
	// that the called services have room for more urgent calls.
	YieldShare(priority int) float64
}

// Gate admits calls to the backend server and forwards them. Every call to the
// server passes the gate, so its count of calls in progress is exact.
type Gate struct {
	config   GateConfig
	pooled   hop.Transport // keeps idle connections
	unpooled hop.Transport // opens a connection for each call
	target   atomic.Pointer[Target]
	calls    *hop.CallRegistry
	metrics  *metrics

	connections atomic.Uint64 // opened to backend servers so far
	buffered    atomic.Int64  // bytes of answers that are buffered
	runs        runs

	mu        sync.Mutex // guards the fields below
	admission call.Admission
	foreseen  foreseenLimit
	// lastServer is the last backend server that was in force; nil if none was.
	lastServer *Target
	left       *Target // the last server that stated in an answer that it is leaving; nil if none
	leftLate   *Target // as left, but not in force when it stated so
	link       *call.Link
	draining   bool
}

const (
	// maxServerConns bounds the connections to a backend server, of which most accept
	// 110; the rest are left for other clients.
	maxServerConns = 100
	// idleConnTimeout is how long an unused connection is kept. It is short: a
	// connection can go silent while it is idle, servers may drop one that was
	// idle for 0.3 s, and a new one costs 1 ms.
	idleConnTimeout = 200 * time.Millisecond
	// defaultAbortGrace is how long the slot of a call that was broken off is kept.
	defaultAbortGrace = 20 * time.Millisecond
)

// NewGate returns a gate without a backend server.
func NewGate(config GateConfig) *Gate {
	config.Sinks = config.Sinks.WithDefaults()
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = 400 * time.Millisecond
	}
	if config.AbortGrace <= 0 {
		config.AbortGrace = defaultAbortGrace
	}
	if config.Suspects == nil {
		config.Suspects = call.NewSuspects(time.Now())
	}
	g := &Gate{config: config, calls: hop.NewCallRegistry(), metrics: newMetrics(config.Sinks.Scope), link: call.NewLink(config.LinkRate)}
	g.admission.SetLink(g.link)
	g.pooled = hop.Transport{Transport: &http.Transport{
		DialContext: g.dialServer(hop.NewDialer(config.SilenceTimeout).DialContext), DisableCompression: true,
		MaxIdleConnsPerHost: maxServerConns, MaxConnsPerHost: maxServerConns, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: hop.MaxHeaderBytes,
	}}
	g.unpooled = hop.Transport{Transport: g.pooled.Clone()}
	g.unpooled.DisableKeepAlives = true
	return g
}

// SetTarget sets the backend server; nil means there is none. A server that is
// leaving, or has stated it in an answer, gets no new call, and calls queued for it are
// refused as not run.
func (g *Gate) SetTarget(t *Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setTarget(t)
}

// setTarget is SetTarget for a caller that holds g.mu.
func (g *Gate) setTarget(t *Target) {
	if t != nil && t.sameIncarnation(g.left) && !t.Leaving {
		leaving := *t
		leaving.Leaving, t = true, &leaving
	}
	old := g.target.Swap(t)
	if !t.sameServer(old) {
		g.resetLimit(old)
		g.adoptForeseen(t)
		g.noteReplacement(old, t)
	}
	now := time.Now()
	switch {
	case t == nil || t.Leaving:
		g.wake(g.admission.Close(now))
	case !g.draining:
		g.admission.Open(now)
	}
	if old == nil || t == nil || old.Address != t.Address || old.Server != t.Server || old.Version != t.Version {
		g.admission.SetCold(false, now)
		g.pooled.CloseIdleConnections() // they lead to the previous server
	}
	if t != nil {
		g.admission.SetCold(t.Cold, now)
		g.config.Rollouts.SetServer(t.rolloutServer(), now)
	}
	g.updatePacing(old, t, now)
}

// Target returns the backend server, or nil.
func (g *Gate) Target() *Target { return g.target.Load() }

// InFlight returns the number of calls that hold a slot.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.InProgress()
}

// SlotTime returns the slot time that calls have used since the gate exists.
func (g *Gate) SlotTime() call.SlotTime {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.SlotTime(time.Now())
}

// StopAdmission refuses new and queued calls as not run from now on, even if a
// backend server is set later.
func (g *Gate) StopAdmission() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.wake(g.admission.Close(time.Now()))
}

// Drain refuses new and queued calls and waits for those in progress. It returns
// a *hop.DrainError when the context ends first.
func (g *Gate) Drain(ctx context.Context) error {
	g.StopAdmission()
	return g.calls.Drain(ctx)
}

// Close closes the idle connections to the backend server.
func (g *Gate) Close() {
	g.pooled.CloseIdleConnections()
	g.unpooled.CloseIdleConnections()
}

// wake wakes the calls that were admitted or rejected. The caller holds g.mu.
func (g *Gate) wake(decided []*call.Waiter) {
	for _, w := range decided {
		close(w.Ready)
	}
}

// admit takes a slot for a call, waiting in the queue if all are in use. remote
// means that the answer goes to another node. It returns the backend server and
// the waiter that holds the slot, or the reason why the call was not admitted. The
// waiter is nil if the gate has no backend server of the service.
func (g *Gate) admit(ctx context.Context, header http.Header, remote bool) (*Target, *call.Waiter, call.Reason) {
	t := g.target.Load()
	if t == nil || t.Service != header.Get(call.HeaderService) {
		return nil, nil, call.ReasonNoServer
	}
	caller := header.Get(call.HeaderCaller)
	w := &call.Waiter{Outside: caller != "" && caller != t.Service, Repeated: header[call.HeaderAttempt] != nil, Suspect: header[call.HeaderSuspect] != nil}
	if remote {
		w.MarkRemote()
	}
	w.Deadline, _ = ctx.Deadline()
	if demand := header.Get(call.HeaderDemand); demand != "" {
		w.Demand = call.ParseDemand(demand, time.Now())
	}
	if g.adoptStated(header, t) {
		return nil, w, call.ReasonLeaving
	}
	if g.config.Calls != nil {
		w.YieldShare = g.config.Calls.YieldShare(w.Priority)
	}
	giveBack := func() {}
	if g.config.Calls != nil && header[call.HeaderRepeated] != nil {
		var ok bool
		if giveBack, ok = g.config.Calls.TakeRepeat(); !ok {
			return nil, w, call.ReasonBudget
		}
	}
	if reason := g.enter(ctx, w, t); reason != "" {
		giveBack()
		return nil, w, reason
	}
	if g.config.Calls != nil {
		g.config.Calls.AddRun()
	}
	return t, w, ""
}

// enter asks for a slot and waits for it. It returns the reason if there is none.
func (g *Gate) enter(ctx context.Context, w *call.Waiter, t *Target) call.Reason {
	state, allowed := g.requestSlot(w, t)
	if !allowed {
		return call.ReasonVersion
	}
	if state == call.Waiting {
		g.awaitDecision(ctx, w)
	}
	if w.State() != call.Admitted {
		return w.Reason()
	}
	return ""
}

// requestSlot applies the current limits and asks for a slot. When the call must
// wait, w.Ready is closed once it is decided. allowed is false if no call may run at a
// server of this version now.
func (g *Gate) requestSlot(w *call.Waiter, t *Target) (state call.WaiterState, allowed bool) {
	limits, ownShare := g.limits(t), 0.0
	if g.config.OwnShare != nil {
		ownShare = g.config.OwnShare(t.Service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.admission.SetOwnShare(ownShare)
	g.wake(g.admission.SetLimits(limits, now))
	if !g.config.Rollouts.Admit(t.rolloutServer(), now) {
		return state, false
	}
	defer g.reportPacing(t, now)
	verdict := g.admission.Enter(w, now)
	if verdict == call.Waiting {
		w.Ready = make(chan struct{})
	}
	return verdict, true
}

// awaitDecision waits until a queued call is decided, and abandons it when its
// context ends or its time in the queue is over.
func (g *Gate) awaitDecision(ctx context.Context, w *call.Waiter) {
	timer := time.NewTimer(time.Until(w.AbandonAt()))
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

// limits returns the limits of a backend server under the policy of its service.
func (g *Gate) limits(t *Target) call.Limits {
	p := g.config.Policy(t.Service)
	l := call.Limits{Slots: t.Slots, Queue: p.Queue.MaxLength, Wait: p.Queue.MaxWait, Warmup: p.Warmup}
	if p.Warmup == 0 {
		l.Warmup = g.config.Warmup
	}
	if p.Slots > 0 {
		l.Slots = p.Slots
	}
	l.Pace = g.paces(p)
	l.Slots = min(l.Slots, g.usableConns(t.Service)) // each call in progress uses a connection
	return l
}

// usableConns returns the number of connections to a backend server of a service that
// calls may use: all but an eleventh, which is left for other clients.
func (g *Gate) usableConns(service string) int {
	if g.config.MaxConns != nil {
		if n := g.config.MaxConns(service); n > 0 {
			return max(1, min(n*10/11, maxServerConns))
		}
	}
	return maxServerConns
}

// releaseSlot returns the slot of a call that ended with result.
func (g *Gate) releaseSlot(w *call.Waiter, result call.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.wake(g.admission.Finish(w, result, now))
	g.reportPacing(g.target.Load(), now)
}

// releaseSlotLater returns the slot of a call that was broken off once the
// backend server has had time to notice; until then it may still run the call.
func (g *Gate) releaseSlotLater(w *call.Waiter, result call.Result) {
	time.AfterFunc(g.config.AbortGrace, func() { g.releaseSlot(w, result) })
}

// releaseRejected returns the slot of a call that the backend server has not run.
func (g *Gate) releaseRejected(w *call.Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.admission.RecordRejection(w, now)
	g.wake(g.admission.Finish(w, call.ResultInconclusive, now))
	g.admission.RecordResult(false, now)
	g.reportPacing(g.target.Load(), now)
}

// expectedWait returns how long a new call like the refused w would wait for a slot, its
// answer for the link, or the call for the limit of the server, whichever is longest.
// w is nil if the gate has no backend server of the service.
func (g *Gate) expectedWait(w *call.Waiter) time.Duration {
	if w == nil {
		w = &call.Waiter{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return max(g.admission.ExpectedWait(now), g.link.ExpectedSendTime(w.Class, now), g.admission.LimitWait(w, now))
}

// load returns the load and the tallies that are reported in answers, and how long
// another large answer would wait for the link.
func (g *Gate) load() (report call.LoadReport, tallies string, link time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.admission.Report(now), g.admission.Tallies(now), g.link.QueueDelay(now)
}

// meanDuration returns the average duration of calls.
func (g *Gate) meanDuration() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.MeanDuration()
}
