package telemetry

// This file sets up the log: JSON lines that carry the revision in force.

import (
	"context"
	"io"
	"log/slog"
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

// WithRevision returns a logger whose lines carry the revision in force when
// they were written.
func WithRevision(log *slog.Logger, revision func() uint64) *slog.Logger {
	return slog.New(&revisionHandler{Handler: log.Handler(), revision: revision})
}

// revisionHandler adds the revision in force to each line.
type revisionHandler struct {
	slog.Handler
	revision func() uint64
}

// Handle implements slog.Handler.
func (h *revisionHandler) Handle(ctx context.Context, r slog.Record) error {
	r = r.Clone()
	r.AddAttrs(slog.Uint64("revision", h.revision()))
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *revisionHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &revisionHandler{Handler: h.Handler.WithAttrs(attrs), revision: h.revision}
}

// WithGroup implements slog.Handler.
func (h *revisionHandler) WithGroup(name string) slog.Handler {
	return &revisionHandler{Handler: h.Handler.WithGroup(name), revision: h.revision}
}
