package caller

// This file sends one attempt and classifies its answer or error.

import (
	"context"
	"io"
	"math/rand/v2"
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
	req      *http.Request
	gotConn  atomic.Bool // the transport had a connection to send the call on
	reused   atomic.Bool // that connection had carried earlier calls
}

// newAttemptRequest returns an attempt at an instance. Calls to it must not
// overlap, but the attempts may be sent concurrently.
func (x *exchange) newAttemptRequest(ctx context.Context, i *call.Instance) *attemptRequest {
	x.attempts++
	x.proxy.metrics.attempts.Inc(1)
	a := &attemptRequest{exchange: x, instance: i}
	if x.transport(i) != x.proxy.config.Local {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) {
				a.gotConn.Store(true)
				a.reused.Store(info.Reused)
			},
		})
	}
	a.req = x.newRequest(ctx, i, x.body.ForAttempt(), x.attempts)
	return a
}

// send makes the attempt and returns its result. If Config.BufferLimit is set,
// it also reads the answer's body up to that size, so that an answer that
// breaks off can be retried.
func (a *attemptRequest) send() *result {
	start := time.Now()
	a.instance.Begin()
	resp, err := a.transport(a.instance).RoundTrip(a.req)
	now := time.Now()
	if err != nil {
		a.instance.End()
		res := a.handleError(err)
		if reason := res.verdict.Reason(); reason == call.ReasonDeadline || reason == call.ReasonBroken {
			a.addPathTime(min(now.Sub(start), a.route.LatencyObjective/2)) // the backend server may account for most of the time
		}
		return res
	}
	res := a.handleResponse(a.instance, resp, now.Sub(start), now)
	if res.resp == nil {
		a.instance.End()
		return res
	}
	resp.Body = hop.OnDone(resp.Body, func(err error) error { return a.bodyDone(res, err) })
	if limit := a.bufferLimit(resp.ContentLength); limit > 0 {
		length := resp.ContentLength
		if err := hop.BufferResponse(resp, limit); err != nil {
			reason := brokenReason(a.req.Context())
			if _, ended := hop.EndOf(resp, err, now); ended {
				reason = call.ReasonEnded
			}
			broken := &result{instance: a.instance, verdict: call.MayHaveRun(reason)}
			a.addPathTime(time.Since(start))
			return broken
		}
		a.adjustBuffer(length, resp.ContentLength)
		if resp.ContentLength >= 0 && resp.ContentLength <= limit {
			a.endUpload() // the backend server is done, however slowly the caller takes the response
		}
		if res.hasTimes {
			a.addPathTime(time.Since(start) - res.remoteTime)
		}
	}
	return res
}

// addPathTime records the time that a call spent on the network to the instance
// and back.
func (a *attemptRequest) addPathTime(d time.Duration) {
	a.instance.RecordTransit(d, a.route.Bulk, time.Now())
}

// bodyDone ends an answered attempt when its body ends or is closed. A complete
// answer is recorded as a success unless its status is a server error. An answer
// that breaks off is a failure, and one that the caller gave up is not recorded. It returns
// the error that the reader of the body gets.
func (a *attemptRequest) bodyDone(res *result, err error) error {
	a.instance.End()
	if end, ok := hop.EndOf(res.resp, err, time.Now()); ok {
		a.recordEnd(end)
		a.instance.Avoid(time.Now())
		return &hop.EndedError{End: end}
	}
	switch {
	case err == io.EOF:
		if res.verdict.Reason() == "" {
			a.recordAnswer(time.Now())
		}
		a.recordResult(res, res.resp.StatusCode < http.StatusInternalServerError, time.Now())
	case err != nil && a.req.Context().Err() == nil:
		a.recordResult(res, false, time.Now())
	}
	return err
}

// transport returns the transport for calls to an instance.
func (x *exchange) transport(i *call.Instance) http.RoundTripper {
	if x.proxy.config.Local != nil && i.Name == x.directory.view.Self.GetName() {
		return x.proxy.config.Local
	}
	return x.proxy.config.Remote
}

// newRequest returns the request of one attempt. The first attempt uses the
// header of the caller's request itself, which must not change afterwards.
func (x *exchange) newRequest(ctx context.Context, i *call.Instance, body io.ReadCloser, attempt int) *http.Request {
	req := x.r.WithContext(ctx)
	if attempt > 1 {
		req.Header = x.r.Header.Clone()
	}
	target := *x.r.URL
	target.Scheme, target.Host = "http", x.directory.view.Members[i.Name].GetHop()
	req.URL, req.RequestURI, req.GetBody, req.Body = &target, "", nil, body
	req.TransferEncoding, req.Close, req.Trailer = nil, false, x.r.Trailer
	if !x.idempotent && body == http.NoBody {
		req.Body = hop.EmptyBody{}
	}
	if x.route.LatencyObjective > 0 {
		req.Header[call.HeaderDemand] = []string{x.demand.Format(time.Now())}
	}
	req.Header[call.HeaderDeadline] = []string{call.FormatTimeLeft(x.deadline, time.Now())}
	delete(req.Header, call.HeaderStated) // of the instance tried before
	if stated := i.Memory.Stated().Format(); stated != "" {
		req.Header[call.HeaderStated] = []string{stated}
	}
	if x.arrivals > 0 {
		req.Header[call.HeaderRepeated] = []string{call.Yes}
	}
	if attempt > 1 || x.inExtraAttempt {
		req.Header[call.HeaderAttempt] = []string{strconv.Itoa(max(2, attempt))}
	}
	return req
}

// handleResponse classifies an answer and records the load and latency that it
// shows.
func (x *exchange) handleResponse(i *call.Instance, resp *http.Response, took time.Duration, now time.Time) *result {
	if got := resp.Header.Get(call.HeaderID); got != x.id {
		_ = resp.Body.Close()
		x.proxy.config.Sinks.Log.Error("crossed answer", "call", x.id, "answer", got, "member", i.Name)
		return &result{instance: i, verdict: call.MayHaveRun(call.ReasonCrossed)}
	}
	if load, ok := call.ParseLoadReport(resp.Header.Get(call.HeaderLoad)); ok {
		i.RecordLoad(load, now)
		wait, _ := call.ParseTimeLeft(resp.Header.Get(call.HeaderLink))
		i.RecordLinkWait(wait, now)
	}
	if resp.Header[call.HeaderNested] != nil {
		x.nested.Store(true)
	}
	if tallies := call.ParseTallies(resp.Header.Get(call.HeaderTally)); tallies != nil {
		i.RecordTallies(tallies, now)
	}
	i.Memory.Record(call.ParseStated(resp.Header.Get(call.HeaderStated)), resp.Header.Get(call.HeaderReason) == "", now.Add(-took), now)
	if resp.Header.Get(call.HeaderReason) != "" {
		x.backlog = parseBacklog(resp.Header)
		_ = resp.Body.Close()
		res := &result{instance: i, verdict: call.ParseVerdict(resp.Header)}
		if res.verdict.Reason().LacksRoom() && now.Before(x.demand.Objective) {
			i.RecordRoom(false, x.route.Bulk, now)
		}
		if end, ok := call.ParseEnd(resp.Header.Get(call.HeaderEnded), now); ok {
			x.recordEnd(end)
		}
		x.recordFailure(res, now)
		return res
	}
	if x.proxy.config.Dialect != nil && call.Promises(resp.StatusCode) { // without one, callers read call.HeaderRan
		_ = resp.Body.Close()
		res := &result{instance: i, verdict: call.Answered(call.ReasonUnproven)}
		x.recordFailure(res, now)
		return res
	}
	if resp.StatusCode < http.StatusInternalServerError { // errors are fast and would lower the latency estimates
		i.RecordLatency(took, now)
		x.service.latencies.Observe(took)
	}
	i.RecordRoom(true, x.route.Bulk, now)
	res := &result{instance: i, resp: resp, verdict: call.Success()}
	res.remoteTime, res.hasTimes = call.ParseTimeLeft(resp.Header.Get(call.HeaderSpent))
	res.queueTime, _ = call.ParseTimeLeft(resp.Header.Get(call.HeaderQueued))
	if resp.StatusCode == http.StatusServiceUnavailable {
		res.verdict = call.Answered(call.ReasonShed)
	}
	return res
}

// recordFailure records a failed attempt against its instance. An instance that
// takes no calls is only avoided for a moment, and one that is busy or late is
// not at fault.
func (x *exchange) recordFailure(res *result, now time.Time) {
	switch res.verdict.Reason() {
	case call.ReasonLeaving, call.ReasonNoServer, call.ReasonEnded:
		res.instance.Avoid(now)
	case call.ReasonLimited:
		res.instance.RecordLimited(x.backlog, len(x.directory.view.Names), now, rand.IntN)
	case call.ReasonDial:
		res.instance.Avoid(now)
		x.recordResult(res, false, now)
	case call.ReasonBroken, call.ReasonCrossed, call.ReasonDeadline, call.ReasonUnproven:
		x.recordResult(res, false, now)
	}
}

// recordResult records a success or failure of an instance, and reports the
// ejection that a failure may cause.
func (x *exchange) recordResult(res *result, good bool, now time.Time) {
	if x.service.balancerOf(res.instance).RecordResult(res.instance, good, now) {
		x.proxy.metrics.ejections.Inc(1)
		x.proxy.config.Sinks.Log.Warn("instance ejected", "member", res.instance.Name, "reason", string(res.verdict.Reason()))
	}
}

// handleError classifies an attempt that got no answer. A broken connection that
// had carried earlier calls is no failure of the instance, but calls avoid the
// instance for a moment, in which membership probes it on a new connection.
func (a *attemptRequest) handleError(err error) *result {
	res := &result{instance: a.instance, verdict: classify(a.req.Context(), err, a.gotConn.Load())}
	reason := res.verdict.Reason()
	if reason == call.ReasonCanceled {
		return res
	}
	if reason != call.ReasonDeadline && reason != call.ReasonRefused {
		a.instance.Avoid(time.Now())
		a.proxy.config.ReportReachability(a.instance.Name, false)
	}
	if !a.reused.Load() || reason == call.ReasonDeadline {
		a.recordFailure(res, time.Now())
	}
	return res
}

// classify returns the verdict on a call that got no answer. gotConn says whether
// the transport had a connection to send it on: it may then have been sent, and the
// error be that of another try.
func classify(ctx context.Context, err error, gotConn bool) call.Verdict {
	switch {
	case hop.IsDialError(err) && !gotConn:
		return call.NotRun(call.ReasonDial, call.ProofNotSent)
	case notProcessed(err):
		return call.NotRun(call.ReasonRefused, call.ProofStream)
	}
	return call.MayHaveRun(brokenReason(ctx))
}

// brokenReason returns the reason of a call that was sent and got no complete
// answer.
func brokenReason(ctx context.Context) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonDeadline
	case ctx.Err() != nil:
		return call.ReasonCanceled
	}
	return call.ReasonBroken
}

// Texts of the errors that net/http returns for HTTP/2 streams, for which it exports
// no types. The last one encloses another error's text.
const (
	streamErrorText  = "stream error: stream ID "
	refusedByPeer    = "; REFUSED_STREAM; received from peer"
	goAwayText       = "http2: Transport received Server's graceful shutdown GOAWAY"
	notResentByHTTP2 = "http2: Transport: cannot retry err ["
)

// notProcessed reports whether HTTP/2 guarantees that the other node did not
// process the stream: the other node refused the stream, or its ID is above the
// last one in a GOAWAY frame. A text with these words at another place may quote the
// other node or concern the caller's stream.
func notProcessed(err error) bool {
	text := strings.TrimPrefix(err.Error(), notResentByHTTP2)
	return strings.HasPrefix(text, goAwayText) ||
		strings.HasPrefix(text, streamErrorText) && strings.Contains(text, refusedByPeer)
}
