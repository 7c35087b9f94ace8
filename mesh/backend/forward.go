package backend

// This file hands an admitted call to the backend server.

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/telemetry"
)

// ServeHTTP admits a call from another node and answers it.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	resp := g.run(r, r.Header, true)
	defer resp.Body.Close()
	hop.Copy(w, resp)
}

// RoundTrip admits a call that enters at this node. It leaves the request's
// header as it is. The answer is the same as another node would get; the error
// is always nil.
func (g *Gate) RoundTrip(r *http.Request) (*http.Response, error) {
	return g.run(r, r.Header.Clone(), false), nil
}

// run admits a call and hands it over. It owns the header. remote tells that the
// answer goes to another node.
func (g *Gate) run(r *http.Request, header http.Header, remote bool) *http.Response {
	id := header.Get(call.HeaderID)
	entry, came := g.calls.Begin(id), time.Now()
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if left, ok := call.ParseLeft(header.Get(call.HeaderDeadline)); ok {
		ctx, cancel = context.WithTimeout(ctx, left)
	}
	ctx, span := g.startSpan(ctx, header)
	done := func() {
		cancel()
		span.End()
		g.calls.End(entry)
	}
	target, slot, reason := g.enter(ctx, header, remote)
	if target == nil {
		done()
		g.metrics.refused(reason)
		resp := g.refusal(id, reason)
		class := call.ParseDemand(header.Get(call.HeaderDemand), time.Now()).Class
		resp.Header[call.HeaderAfter] = []string{strconv.FormatInt(g.backlog(class).Milliseconds(), 10)}
		return resp
	}
	v := &visit{gate: g, id: id, ctx: ctx, target: target, slot: slot, came: came, start: time.Now(), done: done}
	g.metrics.queued.RecordDuration(v.start.Sub(came))
	resp, failure := g.forward(ctx, r, header, target)
	if failure != nil {
		g.leaveFailed(slot, failure)
		return v.failed(failure)
	}
	return v.answered(resp, remote)
}

// visit is a call that holds a slot, or has held one.
type visit struct {
	gate   *Gate
	id     string
	ctx    context.Context
	target *Target
	slot   *call.Waiter
	came   time.Time // when it came to the gate
	start  time.Time // when it got the slot
	done   func()    // ends the call here
}

// failed answers a call that the backend server has not answered.
func (v *visit) failed(f *failed) *http.Response {
	v.done()
	v.gate.metrics.failed(f.reason)
	v.log(f)
	return v.gate.failure(v.id, f)
}

// log writes one line about a call that was not answered in time, or not at
// all.
func (v *visit) log(f *failed) {
	v.gate.config.Sinks.Log.Info(telemetry.GateFailed, "call", v.id, "service", v.target.Service, "server", v.target.Server,
		"reason", string(f.reason), "ran", f.outcome.String(), "detail", f.detail,
		"queued", v.start.Sub(v.came).Milliseconds(), "took", time.Since(v.start).Milliseconds())
}

// answered prepares the answer of the backend server for whoever waits for it.
func (v *visit) answered(resp *http.Response, remote bool) *http.Response {
	g := v.gate
	call.Strip(resp.Header)
	empty := resp.Body == http.NoBody
	resp.Body = hop.OnDone(resp.Body, func(err error) {
		if empty {
			err = io.EOF
		}
		g.leaveAnswered(v.slot, resp.StatusCode, err, v.ctx.Err() != nil)
		g.metrics.answered(time.Since(v.start))
	})
	turn := time.Duration(0)
	if remote && g.link != nil {
		var err error
		if turn, err = g.turn(v.ctx, resp, v.slot.Class); err != nil {
			return v.failed(g.classify(v.ctx, err))
		}
	}
	resp.Body = hop.OnDone(resp.Body, func(error) {
		if err := v.ctx.Err(); err != nil {
			f := g.classify(v.ctx, err)
			f.detail = resp.Status + ", nobody waited for it any more"
			v.log(f)
		}
		v.done()
	})
	g.mark(resp, v.id)
	if wait := v.start.Sub(v.came).Milliseconds(); wait > 0 {
		resp.Header[call.HeaderQueued] = []string{strconv.FormatInt(wait, 10)}
	}
	resp.Header[call.HeaderSpent] = []string{strconv.FormatInt((time.Since(v.came) + turn).Milliseconds(), 10)}
	return resp
}

// leaveFailed gives back the slot of a call that was not answered.
func (g *Gate) leaveFailed(slot *call.Waiter, f *failed) {
	switch {
	case f.reason == call.Canceled || f.reason == call.Moved:
		g.leaveLater(slot, call.Untold)
	case f.outcome == call.NotRun:
		g.leave(slot, call.Untold)
		g.judge(false)
	default:
		g.leaveLater(slot, call.Bad)
	}
}

// leaveAnswered gives back the slot of a call whose answer has ended: whole with
// io.EOF, broken off with another error, or closed early with none. over tells
// that the call was canceled or its deadline has passed.
func (g *Gate) leaveAnswered(slot *call.Waiter, status int, err error, over bool) {
	switch {
	case err == io.EOF && (status < http.StatusInternalServerError || over):
		g.leave(slot, call.Good)
	case err == io.EOF:
		g.leave(slot, call.Bad)
	case err != nil && !over:
		g.leaveLater(slot, call.Bad)
	default:
		g.leaveLater(slot, call.Untold)
	}
}

// mark sets what every answer of a node carries.
func (g *Gate) mark(resp *http.Response, id string) {
	report, link, _ := g.load()
	resp.Header[call.HeaderID] = []string{id}
	if wait := link.Milliseconds(); wait > 0 {
		resp.Header[call.HeaderLink] = []string{strconv.FormatInt(wait, 10)}
	}
	resp.Header[call.HeaderLoad] = []string{report.String()}
}

// failed is why an admitted call was not answered.
type failed struct {
	reason  call.Reason
	outcome call.Outcome
	detail  string // for the log
}

// refusal answers a call that was not run.
func (g *Gate) refusal(id string, reason call.Reason) *http.Response {
	return g.failure(id, &failed{reason: reason, outcome: call.NotRun})
}

// failure answers a call that has failed.
func (g *Gate) failure(id string, f *failed) *http.Response {
	resp := &http.Response{
		StatusCode: f.reason.Status(), ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
		Header: http.Header{
			call.HeaderReason: {string(f.reason)},
			call.HeaderRan:    {f.outcome.String()},
			"Content-Length":  {"0"},
		},
	}
	if f.outcome == call.NotRun {
		resp.Header[call.HeaderRefused] = []string{string(f.reason)}
	}
	g.mark(resp, id)
	return resp
}

// forward sends the call. A call that may run more than once and meets silence
// on a reused connection is sent again on a fresh one, if it has no body;
// otherwise the entry node decides.
func (g *Gate) forward(ctx context.Context, r *http.Request, header http.Header, t *Target) (*http.Response, *failed) {
	f := newFlight(ctx, r, header, t, g.config.Dialect)
	if !f.repeat || g.config.Dialect != nil {
		return g.result(ctx, g.reuse, f.out)
	}
	_, _, work := g.load()
	f.watch(max(g.config.Silent, silentWorks*work))
	resp, failure := g.result(ctx, g.reuse, f.out)
	if f.settle() {
		return resp, failure
	}
	if resp != nil { // it came as the watch struck, and is canceled with it
		_ = resp.Body.Close()
		failure = &failed{call.Broken, call.Unknown, "silent connection"}
	}
	g.reuse.CloseIdleConnections() // others may be silent too
	g.metrics.silent()
	if r.ContentLength != 0 {
		return nil, failure
	}
	return g.result(ctx, g.fresh, f.out.WithContext(ctx))
}

// silentWorks is how many times the average duration of a call counts as
// silence.
const silentWorks = 4

// flight is one call on its way to the backend server.
type flight struct {
	out    *http.Request
	repeat bool

	cancel context.CancelFunc
	timer  *time.Timer
	reused atomic.Bool
	state  atomic.Int32
}

// The states of a flight.
const (
	flying int32 = iota
	settled
	silenced
)

// newFlight returns the request for the backend server. A call that must run
// at most once is shaped so that net/http never sends it again by itself: it
// has no method, body or header that net/http takes for repeatable.
func newFlight(ctx context.Context, r *http.Request, header http.Header, t *Target, dialect Dialect) *flight {
	f := &flight{repeat: header.Get(call.HeaderRepeat) == call.Yes}
	empty := r.ContentLength == 0 || header.Get(call.HeaderEmpty) == call.Yes
	if dialect == nil {
		own(header)
	} else {
		a := Attempt{Server: t.Server, Caller: header.Get(call.HeaderCaller)}
		if deadline, ok := ctx.Deadline(); ok {
			a.Left, a.Deadline = time.Until(deadline), true
		}
		call.Strip(header)
		dialect.Ask(header, a)
	}
	call.StripHop(header)
	out := r.WithContext(ctx)
	target := *r.URL
	target.Scheme, target.Host = "http", t.Address
	out.URL, out.Header, out.RequestURI, out.GetBody = &target, header, "", nil
	out.TransferEncoding, out.Close, out.Trailer = nil, false, r.Trailer
	if empty {
		out.ContentLength, out.Body = 0, http.NoBody
	}
	if !f.repeat {
		call.SendOnce(header)
		if empty && lacksBody(r.Method) {
			out.Body = hop.Empty{}
		}
	}
	f.out = out
	return f
}

// own leaves the product's own headers for the backend server.
func own(header http.Header) {
	id, deadline, attempt := header[call.HeaderID], header[call.HeaderDeadline], header[call.HeaderAttempt]
	call.Strip(header)
	header[call.HeaderID] = id
	if len(deadline) > 0 {
		header[call.HeaderDeadline] = deadline
	}
	if len(attempt) > 0 {
		header[call.HeaderAttempt] = attempt
	}
}

// lacksBody tells for which methods net/http looks into a body of length 0
// before it announces one.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, http.MethodTrace, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// watch cancels the flight when a reused connection stays silent.
func (f *flight) watch(silent time.Duration) {
	ctx, cancel := context.WithCancel(f.out.Context())
	f.cancel = cancel
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { f.reused.Store(info.Reused) }}
	f.out = f.out.WithContext(httptrace.WithClientTrace(ctx, trace))
	f.timer = time.AfterFunc(silent, func() {
		if f.reused.Load() && f.state.CompareAndSwap(flying, silenced) {
			cancel()
		}
	})
}

// settle ends the watch and tells whether it had not struck.
func (f *flight) settle() bool {
	f.timer.Stop()
	return f.state.CompareAndSwap(flying, settled)
}

// result sends a request and classifies what comes back.
func (g *Gate) result(ctx context.Context, transport *http.Transport, out *http.Request) (*http.Response, *failed) {
	resp, err := transport.RoundTrip(out)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		err = errors.New("the backend server switched protocols")
	}
	if err != nil {
		return nil, g.classify(ctx, err)
	}
	if g.config.Dialect == nil {
		return resp, nil
	}
	if reason, outcome := g.config.Dialect.Judge(out.Header, resp); reason != "" {
		_ = resp.Body.Close()
		return nil, &failed{reason, outcome, resp.Status}
	}
	return resp, nil
}

func (g *Gate) classify(ctx context.Context, err error) *failed {
	var op *net.OpError
	dial := asDial(err, &op)
	switch {
	case dial:
		return &failed{call.Dial, call.NotRun, err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failed{call.Deadline, call.Unknown, ""}
	case ctx.Err() != nil:
		return &failed{call.Canceled, call.Unknown, ""}
	}
	return &failed{call.Broken, call.Unknown, err.Error()}
}
