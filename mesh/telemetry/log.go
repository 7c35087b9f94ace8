// Package telemetry sets up logs, metrics and traces.
//
// # Usage
//
//	log := telemetry.Log(os.Stderr, "info")
package telemetry

import (
	"io"
	"log/slog"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Sinks are where a part of the node reports to. The zero Sinks discards
// everything once it went through OrDiscard.
type Sinks struct {
	Log    *slog.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
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
	s.Log = s.Log.With("part", part)
	s.Scope = s.Scope.SubScope(part)
	return s
}

// Log returns a logger that writes JSON lines from a level up.
func Log(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l}))
}
