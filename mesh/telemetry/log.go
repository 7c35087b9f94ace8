package telemetry

// This file sets up the log: JSON lines that carry the revision in force.

import (
	"context"
	"io"
	"log/slog"

	"github.com/uber-go/tally/v4"
)

// partKey is the attribute that names a part of the node.
const partKey = "part"

// The messages of lines that tell what became of one call. They have limits of
// their own, since each concerns another call.
const (
	CallRefused = "call refused" // it was not run
	CallFailed  = "call lost"    // it may have run, or was answered with a failure of the node's own
	CallSlow    = "call slow"    // it was answered after its objective
	CallGone    = "call gone"    // its caller went away
	CallRetried = "call retried" // an attempt failed and another follows
	GateFailed  = "gate failed"  // the backend server did not answer an admitted call
)

// callLines bounds the lines of each of these messages in an interval of ten
// seconds: at 300 bytes a line and 50 lines a second, 15 KB/s for a message.
const callLines = 500

// beliefBursts are the limits of lines that each concern another call or member.
var beliefBursts = map[string]int{
	CallRefused: callLines, CallFailed: callLines, CallSlow: callLines / 5, CallGone: callLines / 5,
	CallRetried: callLines / 5, GateFailed: callLines,
	"member found": callLines / 5, "member changed": callLines / 5, "member lost": callLines / 5,
}

// Log returns a logger that writes JSON lines from a level up. The level may
// change while the logger is in use. Events that repeat are counted, as
// [Limiter] says, and all lines left out in a counter, which may be nil.
func Log(w io.Writer, level slog.Leveler, left tally.Counter) *slog.Logger {
	json := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(NewLimiter(json, LimiterConfig{Bursts: beliefBursts, Left: left}))
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
