package caller

// This file reports calls in metrics, log lines and spans.

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// metrics is the metrics of a proxy.
type metrics struct {
	scope                      tally.Scope
	outcomes                   [call.OutcomeAnswered + 1]tally.Counter
	retries, hedges, ejections tally.Counter
	attempts                   tally.Counter
	starved                    tally.Gauge // priorities that the called services starve
	shared                     tally.Gauge // services that are short and shared by workspaces
	latency                    tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope: scope, retries: scope.Counter("retries"), hedges: scope.Counter("hedges"), ejections: scope.Counter("ejections"),
		attempts: scope.Counter("attempts"), starved: scope.Gauge("starved"), shared: scope.Gauge("shared"),
		latency: scope.Histogram("latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond/2, 2, 16)),
	}
	for _, o := range []call.Outcome{call.OutcomeUnknown, call.OutcomeNotRun, call.OutcomeAnswered} {
		m.outcomes[o] = scope.Tagged(map[string]string{"ran": o.String()}).Counter("calls")
	}
	return m
}

// countRefusal counts a call that was not run.
func (m *metrics) countRefusal(reason call.Reason) {
	m.outcomes[call.OutcomeNotRun].Inc(1)
	m.count("refusals", reason)
}

// countFailure counts a call that failed and may have run.
func (m *metrics) countFailure(reason call.Reason, outcome call.Outcome) {
	m.outcomes[outcome].Inc(1)
	m.count("failures", reason)
}

// countLeft counts a call whose caller left unseen by net/http.
func (m *metrics) countLeft(streamed bool) {
	m.scope.Tagged(map[string]string{"streamed": strconv.FormatBool(streamed)}).Counter("left_unseen").Inc(1)
}

// countShare counts a call of a workspace that was served, or refused for want of capacity.
func (m *metrics) countShare(class call.ShareClass, served bool) {
	m.scope.Tagged(map[string]string{"share": class.String(), "served": strconv.FormatBool(served)}).Counter("shares").Inc(1)
}

func (m *metrics) count(name string, reason call.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
}

// report records the final result of a call in metrics, the log and the span.
func (x *exchange) report(last *result) {
	m := x.proxy.metrics
	reason, outcome := last.verdict.Reason(), last.verdict.Outcome()
	switch {
	case reason == "":
		m.outcomes[outcome].Inc(1)
	case outcome == call.OutcomeNotRun:
		m.countRefusal(reason)
		m.scope.Tagged(map[string]string{"service": x.target}).Counter("unserved").Inc(1)
	default:
		m.countFailure(reason, outcome)
	}
	x.recordShare(last.verdict)
	x.logResult(last)
	if !x.span.IsRecording() {
		return
	}
	x.span.SetAttributes(attribute.Int("attempts", x.attempts), attribute.String("ran", outcome.String()))
	if reason != "" {
		x.span.SetStatus(codes.Error, string(reason))
	}
}

// logResult logs a failed call, and sets x.answer for a successful one.
func (x *exchange) logResult(last *result) {
	attributes := verdictAttributes(last.verdict)
	switch {
	case last.verdict.Reason() == "":
		x.answer = last
	case x.left.Load() || x.r.Context().Err() != nil:
		x.log(telemetry.CallGone, attributes...)
	case last.verdict.Outcome() == call.OutcomeNotRun:
		x.log(telemetry.CallRefused, attributes...)
	default:
		x.log(telemetry.CallLost, attributes...)
	}
}

// verdictAttributes returns a verdict for a log line.
func verdictAttributes(v call.Verdict) []any {
	args := []any{"reason", string(v.Reason()), "ran", v.Outcome().String()}
	if v.Proof() != "" {
		args = append(args, "proof", string(v.Proof()))
	}
	return args
}

// log writes one line about the call with its routing, the instances tried and
// the time left, on which decisions about it depend.
func (x *exchange) log(message string, args ...any) {
	args = append([]any{"call", x.id, "path", x.r.URL.Path, "service", x.target, "took", ms(time.Since(x.start))}, args...)
	if x.directory != nil && x.route != nil {
		args = append(args, "route", x.route.Name, "table", x.directory.router.Table.Number)
		if !x.deadline.IsZero() { // else the call was refused before it got one
			args = append(args, "left", ms(time.Until(x.deadline)))
		}
	}
	if x.workspace != nil {
		args = append(args, "workspace", x.workspace.Name, "share", x.demand.Share.String())
	}
	if x.left.Load() {
		args = append(args, "unseen", true, "streamed", x.body.Streamed())
	}
	if x.suspicion != "" {
		args = append(args, "request", x.suspicion)
	}
	if len(x.placement.Tried) > 0 {
		tried := make([]string, len(x.placement.Tried))
		for i, instance := range x.placement.Tried {
			tried[i] = instance.Name
		}
		args = append(args, "tried", tried, "arrivals", x.arrivals, "instances", len(x.service.balancer.Near)+len(x.service.balancer.Far))
	}
	x.proxy.config.Sinks.Log.Info(message, args...)
}

// ms returns a duration in whole milliseconds, for log lines.
func ms(d time.Duration) int64 { return d.Milliseconds() }

// startSpan starts the span of a call at its entry node, as a child of the
// caller's span if there is one, and sets the trace header for the next hop.
func (p *Proxy) startSpan(ctx context.Context, x *exchange) (context.Context, trace.Span) {
	carrier := propagation.HeaderCarrier(x.r.Header)
	if x.r.Header["Traceparent"] != nil {
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	ctx, span := p.config.Sinks.Tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("call", x.id),
			attribute.String("route", x.route.Name),
			attribute.String("service", x.route.Service),
		)
		propagation.TraceContext{}.Inject(ctx, carrier)
	}
	return ctx, span
}

// InProgress returns the number of calls in progress.
func (p *Proxy) InProgress() int { return p.calls.Count() }
