package caller

// This file sends one attempt and classifies what comes back.

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// attemptRequest is one attempt, ready to be sent.
type attemptRequest struct {
	*exchange
	instance *call.Instance
	out      *http.Request
	reused   atomic.Bool // the connection had served other calls
}

// prepared returns one attempt at an instance. Attempts are prepared one after
// another, but may be sent at the same time.
func (x *exchange) prepared(ctx context.Context, i *call.Instance) *attemptRequest {
	x.attempts++
	x.proxy.metrics.attempts.Inc(1)
	a := &attemptRequest{exchange: x, instance: i}
	if x.transport(i) != x.proxy.config.Own {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { a.reused.Store(info.Reused) },
		})
	}
	a.out = x.request(ctx, i, x.body.Attempt(), x.attempts)
	return a
}

// send makes the attempt and classifies what comes back.
func (a *attemptRequest) send() *result {
	start := time.Now()
	a.instance.Begin()
	resp, err := a.transport(a.instance).RoundTrip(a.out)
	now := time.Now()
	if err != nil {
		a.instance.End()
		res := a.failed(a.out.Context(), a.instance, err, a.reused.Load())
		if res.reason == call.Deadline || res.reason == call.Broken {
			a.onWay(min(now.Sub(start), a.route.Objective/2)) // most of it may be the server's
		}
		return res
	}
	res := a.answered(a.instance, resp, now.Sub(start), now)
	if res.resp == nil {
		a.instance.End()
		return res
	}
	resp.Body = hop.OnDone(resp.Body, func(err error) { a.done(res, err) })
	if limit := a.proxy.config.Whole; limit > 0 {
		if err := hop.Whole(resp, limit); err != nil {
			broken := &result{instance: a.instance}
			broken.reason, broken.outcome = classify(a.out.Context(), err)
			a.onWay(time.Since(start))
			return broken
		}
		if res.timed {
			a.onWay(time.Since(start) - res.spent)
		}
	}
	return res
}

// onWay takes the time that a call spent on the way to its instance and back.
func (a *attemptRequest) onWay(d time.Duration) { a.instance.Path(d, a.route.Bulk, time.Now()) }

// done ends an attempt that was answered, once its body is over. Only a whole
// answer counts for its instance, and a broken one against it.
func (a *attemptRequest) done(res *result, err error) {
	a.instance.End()
	switch {
	case err == io.EOF:
		a.judge(res, res.resp.StatusCode < http.StatusInternalServerError, time.Now())
	case err != nil && a.out.Context().Err() == nil:
		a.judge(res, false, time.Now())
	}
}

// transport returns the way to an instance.
func (x *exchange) transport(i *call.Instance) http.RoundTripper {
	if x.proxy.config.Own != nil && i.Name == x.directory.view.Self.GetName() {
		return x.proxy.config.Own
	}
	return x.proxy.config.Hop
}

// request returns the request of one attempt. The first uses the caller's
// header, which nothing else changes from then on.
func (x *exchange) request(ctx context.Context, i *call.Instance, body io.ReadCloser, number int) *http.Request {
	out := x.r.WithContext(ctx)
	if number > 1 {
		out.Header = x.r.Header.Clone()
	}
	target := *x.r.URL
	target.Scheme, target.Host = "http", x.directory.view.Members[i.Name].GetHop()
	out.URL, out.RequestURI, out.GetBody, out.Body = &target, "", nil, body
	out.TransferEncoding, out.Close, out.Trailer = nil, false, x.r.Trailer
	if !x.idempotent && body == http.NoBody {
		out.Body = hop.Empty{}
	}
	if x.route.Objective > 0 {
		out.Header[call.HeaderDemand] = []string{x.demand.Format(time.Now())}
	}
	out.Header[call.HeaderDeadline] = []string{call.FormatLeft(x.deadline, time.Now())}
	if number > 1 || x.extra {
		out.Header[call.HeaderAttempt] = []string{strconv.Itoa(max(2, number))}
	}
	return out
}

// answered classifies an answer and learns from it.
func (x *exchange) answered(i *call.Instance, resp *http.Response, took time.Duration, now time.Time) *result {
	if got := resp.Header.Get(call.HeaderID); got != x.id {
		_ = resp.Body.Close()
		x.proxy.config.Sinks.Log.Error("crossed answer", "call", x.id, "answer", got, "member", i.Name)
		return &result{instance: i, reason: call.Crossed, outcome: call.Unknown}
	}
	if load, ok := call.ParseReport(resp.Header.Get(call.HeaderLoad)); ok {
		i.Carry(load, now)
		wait, _ := call.ParseLeft(resp.Header.Get(call.HeaderLink))
		i.Link(wait, now)
	}
	if reason := resp.Header.Get(call.HeaderReason); reason != "" {
		x.backlog = backlog(resp.Header)
		_ = resp.Body.Close()
		res := &result{instance: i, reason: call.Reason(reason), outcome: call.ParseOutcome(resp.Header.Get(call.HeaderRan))}
		x.blame(res, now)
		return res
	}
	if resp.StatusCode < http.StatusInternalServerError { // errors are quick
		i.Took(took, now)
		x.service.slow.Add(took)
	}
	res := &result{instance: i, resp: resp, outcome: call.Answered}
	res.spent, res.timed = call.ParseLeft(resp.Header.Get(call.HeaderSpent))
	res.queued, _ = call.ParseLeft(resp.Header.Get(call.HeaderQueued))
	if resp.StatusCode == http.StatusServiceUnavailable {
		res.reason = call.Shed
	}
	return res
}

// blame lets a failure count against its instance. One that takes no calls is
// only avoided for a moment; one that is busy or late is not to blame.
func (x *exchange) blame(res *result, now time.Time) {
	switch res.reason {
	case call.Leaving, call.NoServer:
		res.instance.Avoid(now)
	case call.Dial:
		res.instance.Avoid(now)
		x.judge(res, false, now)
	case call.Broken, call.Crossed, call.Deadline:
		x.judge(res, false, now)
	}
}

// judge takes the result of an attempt for or against its instance.
func (x *exchange) judge(res *result, good bool, now time.Time) {
	if x.service.choice.Judge(res.instance, good, now) {
		x.proxy.metrics.ejections.Inc(1)
		x.proxy.config.Sinks.Log.Warn("instance ejected", "member", res.instance.Name, "reason", string(res.reason))
	}
}

// failed classifies an attempt without an answer. A connection that was in use
// before and broke counts for nothing against the instance, but calls avoid it
// for a moment, in which membership probes it on a fresh connection.
func (x *exchange) failed(ctx context.Context, i *call.Instance, err error, reused bool) *result {
	res := &result{instance: i}
	res.reason, res.outcome = classify(ctx, err)
	if res.reason == call.Canceled {
		return res
	}
	if res.reason != call.Deadline && res.reason != call.Refused {
		i.Avoid(time.Now())
		x.proxy.config.Evidence(i.Name, false)
	}
	if !reused || res.reason == call.Deadline {
		x.blame(res, time.Now())
	}
	return res
}

// classify tells what an error of a transport says about the call.
func classify(ctx context.Context, err error) (call.Reason, call.Outcome) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return call.Dial, call.NotRun
	case untaken(err):
		return call.Refused, call.NotRun
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.Deadline, call.Unknown
	case ctx.Err() != nil:
		return call.Canceled, call.Unknown
	}
	return call.Broken, call.Unknown
}

// untaken tells whether HTTP/2 guarantees that the other node did not take the
// stream: it was refused, or came after the last one that a GOAWAY names.
// net/http has no types for these errors.
func untaken(err error) bool {
	text := err.Error()
	return strings.Contains(text, "REFUSED_STREAM") ||
		strings.Contains(text, "Server's graceful shutdown GOAWAY")
}
