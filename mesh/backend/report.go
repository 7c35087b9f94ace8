package backend

// This file reports what the gate does: metrics and a span for each call.

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/mesh/call"
)

// metrics are the gate's metrics, made once.
type metrics struct {
	scope   tally.Scope
	answers tally.Counter
	silence tally.Counter
	work    tally.Histogram
	queued  tally.Histogram // of admitted calls
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:   scope,
		answers: scope.Counter("answers"),
		silence: scope.Counter("silent"),
		work:    scope.Histogram("work", tally.MustMakeExponentialDurationBuckets(time.Millisecond/2, 2, 16)),
		queued:  scope.Histogram("queued", tally.MustMakeExponentialDurationBuckets(time.Millisecond/2, 2, 16)),
	}
}

func (m *metrics) answered(took time.Duration) {
	m.answers.Inc(1)
	m.work.RecordDuration(took)
}

func (m *metrics) refused(reason call.Reason) { m.count("refusals", reason) }

func (m *metrics) failed(reason call.Reason) { m.count("failures", reason) }

func (m *metrics) silent() { m.silence.Inc(1) }

func (m *metrics) count(name string, reason call.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
}

// startSpan starts the span of one call at the backend server's node, and
// writes its context for the backend server.
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
