package telemetry

// This file sets up the traces: a span for each hop of a call, W3C context,
// and an exporter by setting.

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

// Propagator reads and writes the W3C trace context of a call's headers.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// The bounds of the export of spans. A full queue drops spans, never calls.
const (
	spanQueue   = 2048
	spanBatch   = 256
	spanTimeout = 2 * time.Second
)

// Traces is a tracer and the exporter behind it.
type Traces struct {
	Tracer trace.Tracer

	provider *sdktrace.TracerProvider // nil without an exporter
}

// NewTraces returns the tracer that the settings ask for. The decision of a
// call's parent to sample goes first; percent decides on calls without one.
// Spans of the exporter "stdout" go to the writer, one JSON object a line.
func NewTraces(s *wire.Trace, out io.Writer, instance, domain string) (*Traces, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.GetExporter() {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		exporter, err = otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(s.GetEndpoint()), otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(spanTimeout))
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
			sdktrace.WithMaxQueueSize(spanQueue), sdktrace.WithMaxExportBatchSize(spanBatch), sdktrace.WithExportTimeout(spanTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(float64(s.GetPercent())/100))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "caroblift"),
			attribute.String("service.instance.id", instance),
			attribute.String("caroblift.domain", domain),
		)),
	)
	return &Traces{Tracer: provider.Tracer("caroblift"), provider: provider}
}

// Close exports the spans that wait. The context bounds the wait.
func (t *Traces) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "export spans")
}
