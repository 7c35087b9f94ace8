package backend

// This file follows an admitted call from its slot to the end of its answer, and makes the
// answers that report failures.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/rollout"
	"caroblift.dev/mesh/telemetry"
)

// markNested marks the answer to a nested call.
func markNested(resp *http.Response, w *call.Waiter) {
	if w != nil && w.Nested() {
		resp.Header[call.HeaderNested] = []string{call.Yes}
	}
}

// admittedCall is a call that was admitted, while it holds its slot and until its
// answer has been passed on.
type admittedCall struct {
	gate       *Gate
	id         string
	ctx        context.Context
	target     *Target
	slot       *call.Waiter
	arrivedAt  time.Time // when it reached the gate
	admittedAt time.Time // when it got its slot
	counted    *rollout.Run
	finish     func() // ends the call's context, span and record in Gate.calls
	evidence   evidence
	run        run          // in Gate.runs
	cut        *callFailure // how the answer broke off; nil if it did not
}

// endRun ends the call's run, whose answer has come whole or broken off, and finds out
// whether the backend server has ended. failure is nil for a whole answer.
func (c *admittedCall) endRun(failure *callFailure) {
	if failure != nil {
		failure.evidence = &c.evidence
		c.gate.checkEnd(&c.run, failure)
	}
	c.gate.endRun(&c.run, failure)
}

// fail ends and logs a call that the backend server has not answered, and returns
// the answer that reports the failure.
func (c *admittedCall) fail(f *callFailure) *http.Response {
	c.finish()
	c.gate.metrics.countFailure(f.verdict.Reason())
	c.logFailure(f)
	resp := c.gate.failureAnswer(c.id, f.verdict)
	if f.end != nil {
		resp.Header[call.HeaderEnded] = []string{f.end.Format()}
	}
	return resp
}

// logFailure logs a call that was answered too late or not at all.
func (c *admittedCall) logFailure(f *callFailure) {
	args := []any{
		"call", c.id, "service", c.target.Service, "server", c.target.Server,
		"reason", string(f.verdict.Reason()), "ran", f.verdict.Outcome().String(), "proof", string(f.verdict.Proof()), "detail", f.detail,
		"queued", c.admittedAt.Sub(c.arrivedAt).Milliseconds(), "took", time.Since(c.admittedAt).Milliseconds(),
	}
	c.gate.config.Sinks.Log.Info(telemetry.GateFailed, append(args, f.evidence.attributes()...)...)
}

// logServerError logs an answer of the backend server that is passed on although
// it reports a failure, with the evidence that it is the answer to this call.
func (c *admittedCall) logServerError(status int) {
	if status < http.StatusBadRequest {
		return
	}
	args := []any{"call", c.id, "service", c.target.Service, "server", c.target.Server, "took", time.Since(c.admittedAt).Milliseconds()}
	c.gate.config.Sinks.Log.Info(telemetry.ServerError, append(args, c.evidence.attributes()...)...)
}

// prepareAnswer adds the node's headers to the answer of the backend server and
// releases the slot once the answer has ended. A large answer to another node is
// paced.
func (c *admittedCall) prepareAnswer(resp *http.Response, remote bool) *http.Response {
	g := c.gate
	call.StripMeshHeaders(resp.Header)
	empty := resp.Body == http.NoBody
	resp.Body = hop.OnDone(resp.Body, func(err error) error {
		if empty {
			err = io.EOF
		}
		return c.endAnswer(resp, err)
	})
	linkWait := time.Duration(0)
	if remote && g.link != nil {
		var err error
		if linkWait, err = g.pace(c.ctx, resp, c.slot.Class); err != nil {
			return c.fail(c.cut)
		}
	}
	resp.Body = hop.OnDone(resp.Body, func(err error) error {
		switch ended := c.ctx.Err(); {
		case ended != nil:
			f := g.classify(c.ctx, ended)
			f.detail = resp.Status + ", but the call had already ended"
			c.logFailure(f)
		case c.cut != nil && err != nil:
			g.metrics.countFailure(c.cut.verdict.Reason())
			c.logFailure(c.cut)
		}
		c.finish()
		return err
	})
	g.setAnswerHeaders(resp, c.id)
	if wait := c.admittedAt.Sub(c.arrivedAt).Milliseconds(); wait > 0 {
		resp.Header[call.HeaderQueued] = []string{strconv.FormatInt(wait, 10)}
	}
	resp.Header[call.HeaderSpent] = []string{strconv.FormatInt((time.Since(c.arrivedAt) + linkWait).Milliseconds(), 10)}
	return resp
}

// endAnswer ends the call's run when the answer has come to its end, which err says by io.EOF,
// has broken off, or was closed early, for which err is nil. An answer whose trailer is not
// valid counts as broken off. It returns the error that the reader of the answer gets.
func (c *admittedCall) endAnswer(resp *http.Response, err error) error {
	g, ended := c.gate, c.ctx.Err() != nil
	if err == io.EOF {
		if invalid := hop.CheckTrailer(resp); invalid != nil {
			err = invalid
		}
	}
	call.StripMeshHeaders(resp.Trailer)
	switch err {
	case io.EOF:
		c.endRun(nil)
		if conn := c.evidence.conn.Load(); conn != nil {
			conn.answered(resp.Close && !endsWithConnection(resp))
		}
	case nil:
		c.endRun(&callFailure{verdict: call.MayHaveRun(call.ReasonCanceled)})
	default:
		if !ended {
			c.counted.Broken()
		}
		c.cut = g.classify(c.ctx, err)
		c.cut.detail = resp.Status + ", then " + err.Error()
		c.endRun(c.cut)
		if c.cut.end != nil {
			err = &hop.EndedError{End: *c.cut.end}
		}
	}
	g.releaseAfterAnswer(c.slot, resp.StatusCode, err, ended)
	g.metrics.recordAnswer(time.Since(c.admittedAt))
	return err
}

// endsWithConnection reports whether the body of an answer ends with its connection, also if
// the server's process has ended.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// releaseAfterFailure returns the slot of a call that was not answered. Calls
// that were canceled, have moved or may still run at the backend server keep it
// for the abort grace.
func (g *Gate) releaseAfterFailure(slot *call.Waiter, f *callFailure) {
	switch {
	case f.verdict.Reason() == call.ReasonCanceled || f.verdict.Reason() == call.ReasonMoved:
		g.releaseSlotLater(slot, call.ResultInconclusive)
	case f.verdict.Outcome() == call.OutcomeNotRun:
		g.releaseRejected(slot)
	default:
		g.releaseSlotLater(slot, call.ResultFailure)
	}
}

// releaseAfterAnswer returns the slot of a call whose answer has ended. err is
// io.EOF for a complete answer, another error for one that broke off, and nil for
// one that was closed early. ended means that the call was canceled or its
// deadline has passed.
func (g *Gate) releaseAfterAnswer(slot *call.Waiter, status int, err error, ended bool) {
	switch {
	case err == io.EOF && (status < http.StatusInternalServerError || ended):
		g.releaseSlot(slot, call.ResultSuccess)
	case err == io.EOF:
		g.releaseSlot(slot, call.ResultFailure)
	case err != nil && !ended:
		g.releaseSlotLater(slot, call.ResultFailure)
	default:
		g.releaseSlotLater(slot, call.ResultInconclusive)
	}
}

// setAnswerHeaders sets the headers that every answer of a node carries.
func (g *Gate) setAnswerHeaders(resp *http.Response, id string) {
	report, tallies, link := g.load()
	resp.Header[call.HeaderID] = []string{id}
	if wait := link.Milliseconds(); wait > 0 {
		resp.Header[call.HeaderLink] = []string{strconv.FormatInt(wait, 10)}
	}
	resp.Header[call.HeaderLoad] = []string{report.String()}
	if tallies != "" {
		resp.Header[call.HeaderTally] = []string{tallies}
	}
	if stated := g.stated().Format(); stated != "" {
		resp.Header[call.HeaderStated] = []string{stated}
	}
}

// callFailure is the reason why a call was not answered.
type callFailure struct {
	verdict  call.Verdict
	detail   string    // for the log
	evidence *evidence // nil if the call was not sent
	refused  bool      // nothing listens at the server's address
	end      *call.End // of the server while it ran the call; nil if it goes on, as far as is known
}

// refusalAnswer returns the answer to a call that was refused before it was sent.
func (g *Gate) refusalAnswer(id string, reason call.Reason) *http.Response {
	return g.failureAnswer(id, call.NotRun(reason, call.ProofNotSent))
}

// failureAnswer returns the answer to a call that has failed.
func (g *Gate) failureAnswer(id string, v call.Verdict) *http.Response {
	resp := &http.Response{
		StatusCode: v.Status(), ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
		Header: http.Header{"Content-Length": {"0"}},
	}
	v.SetHeaders(resp.Header)
	g.setAnswerHeaders(resp, id)
	return resp
}
