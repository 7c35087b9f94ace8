package backend

// This file reports the work of the gate: its metrics, and a span for each call.

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/pace"
)

// metrics holds the gate's metrics.
type metrics struct {
	scope   tally.Scope
	answers tally.Counter
	silence tally.Counter // reused connections found silent
	ends    tally.Counter // of the server's process while it ran calls
	// concurrency is the calls that the server may run at a time, while that is limited
	concurrency tally.Gauge
	limit       tally.Gauge     // requests a second that the server takes; noLimit if it names none
	work        tally.Histogram // time from getting a slot to the end of the answer
	queued      tally.Histogram // time that admitted calls waited for a slot
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:       scope,
		answers:     scope.Counter("answers"),
		silence:     scope.Counter("silent"),
		ends:        scope.Counter("ends"),
		limit:       scope.Gauge("limit"),
		concurrency: scope.Gauge("concurrency"),
		work:        scope.Histogram("work", tally.MustMakeExponentialDurationBuckets(time.Millisecond/2, 2, 16)),
		queued:      scope.Histogram("queued", tally.MustMakeExponentialDurationBuckets(time.Millisecond/2, 2, 16)),
	}
	m.setLimit(call.NamedLimit{})
	return m
}

// noLimit is the value of the metric while the server names no limit.
const noLimit = -1

func (m *metrics) setLimit(l call.NamedLimit) {
	if !l.Named {
		l.Rate = noLimit
	}
	m.limit.Update(l.Rate)
}

func (m *metrics) recordAnswer(took time.Duration) {
	m.answers.Inc(1)
	m.work.RecordDuration(took)
}

func (m *metrics) countRefusal(reason call.Reason) { m.count("refusals", reason) }

func (m *metrics) countFailure(reason call.Reason) { m.count("failures", reason) }

// countPacing counts the start or the end of a limit of the concurrency.
func (m *metrics) countPacing(c pace.Change) {
	state := "end"
	if c.Active {
		state = "start"
	}
	m.scope.Tagged(map[string]string{"state": state, "cause": string(c.Cause)}).Counter("paced").Inc(1)
}

func (m *metrics) countEnd() { m.ends.Inc(1) }

func (m *metrics) countSilent() { m.silence.Inc(1) }

func (m *metrics) count(name string, reason call.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
}

// startSpan starts the span of one call at the backend server's node. A sampled
// span's context is written to the header for the backend server.
func (g *Gate) startSpan(ctx context.Context, header http.Header) (context.Context, trace.Span) {
	carrier := propagation.HeaderCarrier(header)
	if header["Traceparent"] != nil {
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	ctx, span := g.config.Sinks.Tracer.Start(ctx, "serve", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("call", header.Get(call.HeaderID)),
			attribute.String("service", header.Get(call.HeaderService)),
		)
		propagation.TraceContext{}.Inject(ctx, carrier)
	}
	return ctx, span
}
