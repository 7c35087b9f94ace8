// Package telemetry sets up logs, metrics and traces.
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
//		Log: telemetry.Log(os.Stderr, &level, nil), Scope: metrics.Scope,
//		Metrics: metrics.Handler(), Tracer: traces.Tracer,
//	})
package telemetry

// This file defines the sinks that the parts of a node report to.

import (
	"log/slog"
	"net/http"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Sinks are where a part of the node reports to. The zero Sinks discards
// everything once it went through OrDiscard.
type Sinks struct {
	Log     *slog.Logger
	Scope   tally.Scope
	Tracer  trace.Tracer
	Metrics http.Handler // serves what went into Scope; may be nil
}

// OrDiscard fills in what is missing.
func (s Sinks) OrDiscard() Sinks {
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

// Sub returns the sinks of one part, whose metrics carry its name.
func (s Sinks) Sub(part string) Sinks {
	s.Log = s.Log.With(partKey, part)
	s.Scope = s.Scope.SubScope(part)
	return s
}
