package backend

// This file forwards admitted calls to the backend server.

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// ServeHTTP admits a call from another node and answers it.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, readsTrailer := r.Header[call.HeaderFingerprint] // handle removes it
	resp := g.handle(r, r.Header, true)
	defer resp.Body.Close()
	if readsTrailer {
		hop.CopyToEntry(w, resp)
	} else {
		hop.CopyResponse(w, resp)
	}
}

// RefuseForRoom answers a call for which the node has no memory.
func (g *Gate) RefuseForRoom(w http.ResponseWriter, r *http.Request) {
	g.metrics.countRefusal(call.ReasonRoom)
	hop.CopyResponse(w, g.refusalAnswer(r.Header.Get(call.HeaderID), call.ReasonRoom))
}

// RoundTrip admits a call that entered at this node. It does not change the
// request's header. The answer, also of a call that was refused or has failed, is
// the one that another node would get; the error is always nil.
func (g *Gate) RoundTrip(r *http.Request) (*http.Response, error) {
	return g.handle(r, r.Header.Clone(), false), nil
}

// handle admits a call and forwards it. It may change header. remote means
// that the answer goes to another node.
func (g *Gate) handle(r *http.Request, header http.Header, remote bool) *http.Response {
	id := header.Get(call.HeaderID)
	entry, arrivedAt := g.calls.Begin(id), time.Now()
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if timeLeft, ok := call.ParseTimeLeft(header.Get(call.HeaderDeadline)); ok {
		ctx, cancel = context.WithTimeout(ctx, timeLeft)
	}
	ctx, span := g.startSpan(ctx, header)
	finish := func() {
		cancel()
		span.End()
		g.calls.End(entry)
	}
	var target *Target
	var slot *call.Waiter
	request, suspect, reason := g.checkSuspect(header)
	if reason == "" {
		target, slot, reason = g.admit(ctx, header, remote)
	}
	g.logLimited(id, header.Get(call.HeaderAttempt), remote, reason)
	if reason != "" {
		finish()
		g.metrics.countRefusal(reason)
		resp := g.refusalAnswer(id, reason)
		resp.Header[call.HeaderAfter] = []string{strconv.FormatInt(g.expectedWait(slot).Milliseconds(), 10)}
		markNested(resp, slot)
		return resp
	}
	c := &admittedCall{gate: g, id: id, ctx: ctx, target: target, slot: slot, arrivedAt: arrivedAt, admittedAt: time.Now(), finish: finish}
	g.metrics.queued.RecordDuration(c.admittedAt.Sub(arrivedAt))
	c.evidence = evidence{call: id, target: target, sentAt: c.admittedAt}
	c.run = run{call: id, target: target, request: request, suspect: suspect, sentBy: &c.evidence}
	g.runs.begin(&c.run)
	c.counted = g.config.Rollouts.Begin(target.rolloutServer(), slot.Class, c.admittedAt)
	resp, failure := g.forward(withEvidence(ctx, &c.evidence), r, header, target)
	if failure != nil {
		c.endRun(failure)
		c.counted.End(rolloutResult(0, failure), time.Now())
		g.releaseAfterFailure(slot, failure)
		resp = c.fail(failure)
	} else {
		c.counted.End(rolloutResult(resp.StatusCode, nil), time.Now())
		c.logServerError(resp.StatusCode)
		resp = c.prepareAnswer(resp, remote)
	}
	markNested(resp, slot)
	return resp
}

// forward sends a call to the backend server. A call that may run more than once
// and gets no answer on a reused connection is sent again on a new one if it has
// no body; otherwise the node where the call entered decides whether to retry.
func (g *Gate) forward(ctx context.Context, r *http.Request, header http.Header, t *Target) (*http.Response, *callFailure) {
	o := newOutboundCall(ctx, r, header, t, g.config.Dialect)
	if !o.repeatable || g.config.Dialect != nil {
		return g.send(ctx, g.pooled, o.request)
	}
	o.watchForSilence(max(g.config.SilenceTimeout, silenceFactor*g.meanDuration()))
	resp, failure := g.send(ctx, g.pooled, o.request)
	if o.stopWatch() {
		return resp, failure
	}
	if resp != nil { // it arrived as the watch canceled the call, so its body is canceled too
		_ = resp.Body.Close()
		failure = &callFailure{verdict: call.MayHaveRun(call.ReasonBroken), detail: "silent connection"}
	}
	g.pooled.CloseIdleConnections() // other idle connections may be silent too
	g.metrics.countSilent()
	if r.ContentLength != 0 {
		return nil, failure
	}
	return g.send(ctx, g.unpooled, o.request.WithContext(ctx))
}

// silenceFactor is the time without an answer, in multiples of the average
// duration of a call, after which a reused connection counts as silent, unless
// the configured silence is longer.
const silenceFactor = 4

// outboundCall is one call sent to the backend server.
type outboundCall struct {
	request    *http.Request // to send
	repeatable bool          // the call may run more than once

	cancel context.CancelFunc
	timer  *time.Timer
	reused atomic.Bool  // whether the call got a reused connection
	state  atomic.Int32 // one of the states below
}

// The states of an outboundCall that is watched for silence.
const (
	stateWaiting  int32 = iota // for an answer or an error
	stateFinished              // the answer or the error came
	stateSilent                // canceled, since the connection was silent
)

// newOutboundCall builds the request for the backend server from header, which it
// changes. The request of a call that must run at most once, or whose repeats only the
// entry node decides (with a dialect), is formed so that net/http never resends it: it
// has no combination of method, body and headers that net/http treats as replayable.
// Otherwise net/http would try a failing server on one idle connection after the other.
func newOutboundCall(ctx context.Context, r *http.Request, header http.Header, t *Target, dialect Dialect) *outboundCall {
	o := &outboundCall{repeatable: header.Get(call.HeaderRepeat) == call.Yes}
	empty := r.ContentLength == 0 || header.Get(call.HeaderEmpty) == call.Yes
	if dialect == nil {
		keepOwnHeaders(header)
	} else {
		a := Attempt{Server: t.Server, Caller: header.Get(call.HeaderCaller), Workspace: header.Get(call.HeaderWorkspace)}
		if deadline, ok := ctx.Deadline(); ok {
			a.TimeLeft, a.HasDeadline = time.Until(deadline), true
		}
		call.StripMeshHeaders(header)
		dialect.RewriteHeader(header, a)
	}
	call.StripHopByHop(header)
	out := r.WithContext(ctx)
	target := *r.URL
	target.Scheme, target.Host = "http", t.Address
	out.URL, out.Header, out.RequestURI, out.GetBody = &target, header, "", nil
	out.TransferEncoding, out.Close, out.Trailer = nil, false, r.Trailer
	if empty {
		out.ContentLength, out.Body = 0, http.NoBody
	}
	if !o.repeatable || dialect != nil {
		call.HideIdempotencyKeys(header)
		if empty && usuallyLacksBody(r.Method) {
			out.Body = hop.EmptyBody{}
		}
	}
	o.request = out
	return o
}

// keepOwnHeaders removes the Caroblift-* headers but for those that the backend
// server gets: the call's ID, its deadline and the number of the attempt.
func keepOwnHeaders(header http.Header) {
	id, deadline, attempt := header[call.HeaderID], header[call.HeaderDeadline], header[call.HeaderAttempt]
	call.StripMeshHeaders(header)
	header[call.HeaderID] = id
	if len(deadline) > 0 {
		header[call.HeaderDeadline] = deadline
	}
	if len(attempt) > 0 {
		header[call.HeaderAttempt] = attempt
	}
}

// usuallyLacksBody reports whether net/http, for a request with this method and a
// body of length 0, reads from the body to see whether it is empty before it
// sends the header.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, http.MethodTrace, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// watchForSilence cancels the call when it got a reused connection and has no
// answer after the timeout.
func (o *outboundCall) watchForSilence(timeout time.Duration) {
	ctx, cancel := context.WithCancel(o.request.Context())
	o.cancel = cancel
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.reused.Store(info.Reused) }}
	o.request = o.request.WithContext(httptrace.WithClientTrace(ctx, trace))
	o.timer = time.AfterFunc(timeout, func() {
		if o.reused.Load() && o.state.CompareAndSwap(stateWaiting, stateSilent) {
			cancel()
		}
	})
}

// stopWatch ends the watch and reports whether the call was not canceled by it.
func (o *outboundCall) stopWatch() bool {
	o.timer.Stop()
	return o.state.CompareAndSwap(stateWaiting, stateFinished)
}

// send sends a request and classifies the answer or the error.
func (g *Gate) send(ctx context.Context, transport hop.Transport, out *http.Request) (*http.Response, *callFailure) {
	resp, err := transport.RoundTrip(out)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		err = errors.New("backend server switched protocols")
	}
	if err != nil {
		return nil, g.classify(ctx, err)
	}
	g.recordAnswer(ctx, resp)
	if g.config.Dialect == nil {
		return resp, nil
	}
	verdict := Judge(g.config.Dialect, out.Header, resp)
	g.recordStatement(ctx, verdict, resp)
	if verdict.Reason() == "" {
		return resp, nil
	}
	_ = resp.Body.Close()
	if verdict.Outcome() == call.OutcomeUnknown {
		closeConn(ctx)
	}
	return nil, &callFailure{verdict: verdict, detail: resp.Status}
}

// classify returns the failure that an error of a transport or of an answer's body
// stands for.
func (g *Gate) classify(ctx context.Context, err error) *callFailure {
	switch {
	case hop.IsDialError(err) && !gotConn(ctx):
		return &callFailure{verdict: call.NotRun(call.ReasonDial, call.ProofNotSent), detail: err.Error(), refused: errors.Is(err, syscall.ECONNREFUSED)}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &callFailure{verdict: call.MayHaveRun(call.ReasonDeadline)}
	case ctx.Err() != nil:
		return &callFailure{verdict: call.MayHaveRun(call.ReasonCanceled)}
	}
	return &callFailure{verdict: call.MayHaveRun(call.ReasonBroken), detail: err.Error()}
}
