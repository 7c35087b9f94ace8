package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"caroblift.dev/wire"
)

// buffer collects log output and is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// lines decodes the JSON lines written so far.
func (b *buffer) lines(t *testing.T) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(b.b.String()) {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m))
		out = append(out, m)
	}
	return out
}

func TestLimiterCountsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		log := NewLogger(&b, slog.LevelInfo, nil).With("instance", "quotes-1")
		caller, peer := log.With(partKey, "caller"), log.With(partKey, "peer")
		for i := range 1000 {
			caller.Warn("call failed", "n", i)
		}
		peer.Warn("call failed")
		log.Debug("never")
		require.Len(t, b.lines(t), 6)

		time.Sleep(10 * time.Second)
		synctest.Wait()
		lines := b.lines(t)
		require.Len(t, lines, 7)
		require.EqualValues(t, 995, lines[6]["repeated"])
		require.EqualValues(t, 999, lines[6]["n"])
		require.Equal(t, "caller", lines[6]["part"])
		require.Equal(t, "quotes-1", lines[6]["instance"])

		caller.Warn("call failed", "n", 1000)
		require.Len(t, b.lines(t), 8)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, b.lines(t), 8)
	})
}

func TestLimiterBoundsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		l := NewLimiter(slog.NewJSONHandler(&b, nil), LimiterConfig{MaxMessages: 4, Burst: 2})
		log := slog.New(l)
		for i := range 100 {
			log.Warn(fmt.Sprintf("message %d", i))
		}
		require.Len(t, l.state.windows, 5)
		require.Len(t, b.lines(t), 4+2)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		lines := b.lines(t)
		require.Len(t, lines, 7)
		require.EqualValues(t, 94, lines[6]["repeated"])
		require.Empty(t, l.state.windows)
	})
}

func TestLogRevision(t *testing.T) {
	var b buffer
	level := new(slog.LevelVar)
	revision := uint64(7)
	log := WithRevision(NewLogger(&b, level, nil), func() uint64 { return revision }).With("instance", "quotes-1")
	log.Info("routed", "call", "c-1")
	revision = 8
	level.Set(slog.LevelWarn)
	log.Info("not written")
	level.Set(slog.LevelDebug)
	log.Debug("written")
	lines := b.lines(t)
	require.Len(t, lines, 2)
	require.EqualValues(t, 7, lines[0]["revision"])
	require.Equal(t, "c-1", lines[0]["call"])
	require.EqualValues(t, 8, lines[1]["revision"])
	require.Equal(t, "quotes-1", lines[1]["instance"])
}

// TestErrorsOfLibrariesAreBounded checks that the errors of a library, whose texts all
// differ, share one limit, and that a long text is cut.
func TestErrorsOfLibrariesAreBounded(t *testing.T) {
	var out buffer
	log := NewErrorLog(NewLogger(&out, slog.LevelInfo, nil), "http server")
	for n := range 50 {
		log.Printf("http: panic serving 127.0.0.1:%d: %s", n, strings.Repeat("x", 2*maxErrorText))
	}
	lines := out.lines(t)
	require.Len(t, lines, 5)
	require.Equal(t, "WARN", lines[0]["level"])
	require.Equal(t, "http server", lines[0]["msg"])
	require.Len(t, lines[0]["error"], maxErrorText)
}

func TestMetricsScrape(t *testing.T) {
	m := NewMetrics()
	m.Scope.SubScope("node").Gauge("revision").Update(12)
	m.Scope.SubScope("caller").Tagged(map[string]string{"outcome": "answered"}).Counter("calls").Inc(3)
	m.Scope.Tagged(map[string]string{"other": "tag"}).SubScope("caller").Counter("calls").Inc(1) // has other tags than the metric of this name, so it is dropped
	m.Close()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, w.Code)
	require.Contains(t, w.Body.String(), "caroblift_node_revision 12")
	require.Contains(t, w.Body.String(), `caroblift_caller_calls{outcome="answered"} 3`)
}

func TestMetricsBoundSeries(t *testing.T) {
	m := NewMetrics()
	for i := range maxSeries + 500 {
		m.Scope.Tagged(map[string]string{"path": fmt.Sprint(i)}).Counter("calls").Inc(1)
	}
	m.Close()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, maxSeries, strings.Count(w.Body.String(), "caroblift_calls{"))
}

func TestTraceSampling(t *testing.T) {
	parent := func(sampled bool) context.Context {
		config := trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, Remote: true}
		if sampled {
			config.TraceFlags = trace.FlagsSampled
		}
		return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(config))
	}
	for name, c := range map[string]struct {
		percent int64
		ctx     context.Context
		want    int
	}{
		"no parent, none":     {0, context.Background(), 0},
		"no parent, all":      {100, context.Background(), 1},
		"sampled parent":      {0, parent(true), 1},
		"parent not sampled":  {100, parent(false), 0},
		"sampled parent, all": {100, parent(true), 1},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			traces, err := NewTraces(&wire.Trace{Percent: c.percent, Exporter: "stdout"}, &out, "quotes-1", "xitun")
			require.NoError(t, err)
			_, span := traces.Tracer.Start(c.ctx, "hop")
			span.End()
			require.NoError(t, traces.Close(t.Context()))
			require.Equal(t, c.want, strings.Count(out.String(), `"Name":"hop"`), out.String())
		})
	}
}

func TestTracesWithoutExporterPropagate(t *testing.T) {
	traces, err := NewTraces(&wire.Trace{Exporter: "none"}, nil, "quotes-1", "xitun")
	require.NoError(t, err)
	sc := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled, Remote: true})
	ctx, span := traces.Tracer.Start(trace.ContextWithRemoteSpanContext(t.Context(), sc), "hop")
	defer span.End()
	require.Equal(t, sc.TraceID(), trace.SpanContextFromContext(ctx).TraceID())
	require.NoError(t, traces.Close(t.Context()))
}

// TestTracesOverOTLP checks that a span reaches a collector over HTTP.
func TestTracesOverOTLP(t *testing.T) {
	var path string
	var body []byte
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		path = r.URL.Path
		body, _ = io.ReadAll(r.Body)
	}))
	traces, err := NewTraces(&wire.Trace{
		Percent: 100, Exporter: "otlp", Endpoint: strings.TrimPrefix(collector.URL, "http://"),
	}, nil, "quotes-1", "xitun")
	require.NoError(t, err)
	_, span := traces.Tracer.Start(t.Context(), "hop")
	span.End()
	require.NoError(t, traces.Close(t.Context()))
	collector.Close()
	require.Equal(t, "/v1/traces", path)
	for _, want := range []string{"hop", "quotes-1", "xitun"} {
		require.Contains(t, string(body), want)
	}
}

// blockedExporter blocks each export until its context is done.
type blockedExporter struct{ sdktrace.SpanExporter }

func (blockedExporter) ExportSpans(ctx context.Context, _ []sdktrace.ReadOnlySpan) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestBlockedExporterDoesNotDelaySpans guards against calls that wait for a
// collector which does not answer: ending a span must not block, even when the
// queue is full.
func TestBlockedExporterDoesNotDelaySpans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		traces := newTraces(&wire.Trace{Percent: 100}, blockedExporter{tracetest.NewInMemoryExporter()}, "quotes-1", "xitun")
		before := time.Now()
		for range 10 * maxQueuedSpans {
			_, span := traces.Tracer.Start(t.Context(), "hop")
			span.End()
		}
		require.Zero(t, time.Since(before))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Error(t, traces.Close(ctx))
		time.Sleep(time.Minute)
	})
}

// BenchmarkLog measures a line that is written and one that is suppressed because
// its burst is used up.
func BenchmarkLog(b *testing.B) {
	for name, burst := range map[string]int{"written": 1 << 30, "counted": 1} {
		b.Run(name, func(b *testing.B) {
			l := NewLimiter(slog.NewJSONHandler(io.Discard, nil), LimiterConfig{Burst: burst})
			log := slog.New(l).With(partKey, "caller")
			for b.Loop() {
				log.Warn("call failed", "error", "deadline")
			}
		})
	}
}

// BenchmarkScrape measures a scrape of a node with 200 series besides those of the
// process and the Go runtime.
func BenchmarkScrape(b *testing.B) {
	m := NewMetrics()
	for i := range 200 {
		m.Scope.Tagged(map[string]string{"kind": fmt.Sprint(i)}).Counter("calls").Inc(1)
	}
	m.Close()
	for b.Loop() {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		b.SetBytes(int64(w.Body.Len()))
	}
}
