// Package telemetry configures logging, metrics and tracing.
//
// # Usage
//
//	metrics := telemetry.NewMetrics()
//	defer metrics.Close()
//	traces, err := telemetry.NewTraces(settings.GetTrace(), os.Stdout, "quotes-1", "xitun")
//	if err != nil {
//		return err
//	}
//	defer traces.Close(ctx)
//	n, err := node.New(settings, telemetry.Sinks{
//		Log: telemetry.NewLogger(os.Stderr, &level, nil), Scope: metrics.Scope,
//		Metrics: metrics.Handler(), Tracer: traces.Tracer,
//	})
package telemetry

// This file defines the destinations of logs, metrics and spans.

import (
	"log/slog"
	"net/http"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Sinks holds the destinations of the logs, metrics and spans of one part of the
// node. Fields may be nil until WithDefaults replaces them.
type Sinks struct {
	Log     *slog.Logger
	Scope   tally.Scope
	Tracer  trace.Tracer
	Metrics http.Handler // serves the values of Scope; may be nil
}

// WithDefaults returns the sinks with a nil Log, Scope or Tracer replaced by one
// that discards everything.
func (s Sinks) WithDefaults() Sinks {
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	if s.Tracer == nil {
		s.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return s
}

// ForPart returns the sinks of one part. Its log lines have the part as an
// attribute and its metric names have it as a prefix.
func (s Sinks) ForPart(part string) Sinks {
	s.Log = s.Log.With(partKey, part)
	s.Scope = s.Scope.SubScope(part)
	return s
}
