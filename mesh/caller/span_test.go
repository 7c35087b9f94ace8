package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
)

// TestSpans checks that each hop makes a span in the caller's trace, and that the
// backend server receives the context of the last one.
func TestSpans(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	seen := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header }))
	defer server.Close()
	s := newStack(t, 1)
	gate := backend.NewGate(backend.GateConfig{
		Policy: func(string) record.Policy { return record.Policy{} }, Sinks: telemetry.Sinks{Tracer: tracer},
	})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Address: server.Listener.Addr().String(), Slots: 1})
	proxy := caller.New(caller.Config{
		Table: func() *revision.Table { return s.table }, Ready: func() bool { return true }, View: s.view.Load,
		Remote: gate, ReportReachability: func(string, bool) {}, Timeout: time.Second, Sinks: telemetry.Sinks{Tracer: tracer},
	})
	r := httptest.NewRequest(http.MethodGet, "/book", nil)
	r.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	proxy.ServeHTTP(httptest.NewRecorder(), r)
	ended := spans.Ended()
	require.Len(t, ended, 2)
	serve, entry := ended[0], ended[1]
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", serve.SpanContext().TraceID().String())
	require.Equal(t, "b7ad6b7169203331", entry.Parent().SpanID().String())
	require.Equal(t, entry.SpanContext().SpanID(), serve.Parent().SpanID())
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(<-seen))
	require.Equal(t, serve.SpanContext().SpanID(), trace.SpanContextFromContext(ctx).SpanID())
}
