package telemetry

// This file configures tracing: a span for each hop of a call, W3C trace context
// propagation, and the exporter selected in the settings.

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"caroblift.dev/wire"
)

// Propagator reads and writes the W3C trace context in the headers of a call.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// Limits of the span export. When the queue is full, spans are dropped; calls are
// not delayed.
const (
	maxQueuedSpans    = 2048
	maxSpanBatch      = 256
	spanExportTimeout = 2 * time.Second
)

// Traces holds a tracer and the provider that exports its spans.
type Traces struct {
	Tracer trace.Tracer

	provider *sdktrace.TracerProvider // nil without an exporter
}

// NewTraces returns the tracer configured by the settings. A call with a parent
// span follows the sampling decision of the parent; percent applies to calls
// without one. The exporter "stdout" writes spans to out, one JSON object per
// line.
func NewTraces(s *wire.Trace, out io.Writer, instance, domain string) (*Traces, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.GetExporter() {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		exporter, err = otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(s.GetEndpoint()), otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(spanExportTimeout))
	default:
		return &Traces{Tracer: noop.NewTracerProvider().Tracer("caroblift")}, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "trace.exporter %s", s.GetExporter())
	}
	return newTraces(s, exporter, instance, domain), nil
}

func newTraces(s *wire.Trace, exporter sdktrace.SpanExporter, instance, domain string) *Traces {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter,
			sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithMaxExportBatchSize(maxSpanBatch), sdktrace.WithExportTimeout(spanExportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(float64(s.GetPercent())/100))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "caroblift"),
			attribute.String("service.instance.id", instance),
			attribute.String("caroblift.domain", domain),
		)),
	)
	return &Traces{Tracer: provider.Tracer("caroblift"), provider: provider}
}

// Close exports the spans still in the queue, until the context is done.
func (t *Traces) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "export spans")
}
