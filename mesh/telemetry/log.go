package telemetry

// This file sets up the log: JSON lines that carry the revision in force and
// the id of the call.

import (
	"context"
	"io"
	"log/slog"

	"go.opentelemetry.io/otel/trace"
)

// partKey is the attribute that names a part of the node.
const partKey = "part"

// Log returns a logger that writes JSON lines from a level up. The level may
// change while the logger is in use. Events that repeat are counted, as
// [Limiter] says.
func Log(w io.Writer, level slog.Leveler) *slog.Logger {
	json := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(NewLimiter(json, LimiterConfig{}))
}

// ParseLevel returns the level that a word of the settings names, or info.
func ParseLevel(word string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(word)); err != nil {
		return slog.LevelInfo
	}
	return l
}

// callKey is the context key of a call's id.
type callKey struct{}

// WithCall returns a context whose log lines carry the id of a call.
func WithCall(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, callKey{}, id)
}

// WithRevision returns a logger whose lines carry the revision in force when
// they were written, and the ids of the call and the trace that their context
// belongs to.
func WithRevision(log *slog.Logger, revision func() uint64) *slog.Logger {
	return slog.New(&contextHandler{Handler: log.Handler(), revision: revision})
}

// contextHandler adds what is known when a line is written.
type contextHandler struct {
	slog.Handler
	revision func() uint64
}

// Handle implements slog.Handler.
func (h *contextHandler) Handle(ctx context.Context, r slog.Record) error {
	r = r.Clone()
	r.AddAttrs(slog.Uint64("revision", h.revision()))
	if id, ok := ctx.Value(callKey{}).(string); ok {
		r.AddAttrs(slog.String("call", id))
	}
	if s := trace.SpanContextFromContext(ctx); s.IsValid() {
		r.AddAttrs(slog.String("trace", s.TraceID().String()))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *contextHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &contextHandler{Handler: h.Handler.WithAttrs(attrs), revision: h.revision}
}

// WithGroup implements slog.Handler.
func (h *contextHandler) WithGroup(name string) slog.Handler {
	return &contextHandler{Handler: h.Handler.WithGroup(name), revision: h.revision}
}
