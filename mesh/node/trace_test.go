package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"caroblift.dev/mesh/telemetry"
)

// TestTraceOfTwoHops checks that a call that enters at one node and runs at another
// produces one span on each, that both belong to the caller's trace, and that the
// nodes follow the caller's sampling decision.
func TestTraceOfTwoHops(t *testing.T) {
	spans := map[string]*tracetest.SpanRecorder{"entry": tracetest.NewSpanRecorder(), "quotes-1": tracetest.NewSpanRecorder()}
	p := newPair(t, func(name string) telemetry.Sinks {
		provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans[name]),
			sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())))
		return telemetry.Sinks{Tracer: provider.Tracer("caroblift")}
	})
	p.apply(t)
	const (
		trace  = "0af7651916cd43dd8448eb211c80319c"
		parent = "b7ad6b7169203331"
	)
	code, body := get(t, p.entry.Addresses().Caller, "/quotes/1")
	require.Equal(t, http.StatusOK, code, body)
	require.Empty(t, spans["entry"].Started(), "a call without a sampling decision is not sampled")

	code, body = get(t, p.entry.Addresses().Caller, "/quotes/1", "Traceparent", "00-"+trace+"-"+parent+"-01")
	require.Equal(t, http.StatusOK, code, body)
	require.Len(t, spans["entry"].Started(), 1)
	require.Len(t, spans["quotes-1"].Started(), 1)
	first, second := spans["entry"].Started()[0], spans["quotes-1"].Started()[0]
	require.Equal(t, trace, first.SpanContext().TraceID().String())
	require.Equal(t, parent, first.Parent().SpanID().String())
	require.Equal(t, trace, second.SpanContext().TraceID().String())
	require.Equal(t, first.SpanContext().SpanID(), second.Parent().SpanID())

	code, body = get(t, p.entry.Addresses().Caller, "/quotes/1", "Traceparent", strings.Join([]string{"00", trace, parent, "00"}, "-"))
	require.Equal(t, http.StatusOK, code, body)
	require.Len(t, spans["entry"].Started(), 1, "the parent decided not to sample")
}
