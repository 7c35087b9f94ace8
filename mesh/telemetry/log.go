package telemetry

// This file configures logging: JSON lines that carry the revision in force.

import (
	"context"
	"io"
	"log"
	"log/slog"
	"strings"

	"github.com/uber-go/tally/v4"
)

// partKey is the log attribute that names the part of the node that logs.
const partKey = "part"

// The messages that report the outcome of a single call. They have higher limits
// than other messages, since each line concerns a different call.
const (
	CallRefused = "call refused" // the call was not run
	CallLost    = "call lost"    // the call may have run, or the node itself answered it with an error
	CallSlow    = "call slow"    // the answer came after the latency objective
	CallGone    = "call gone"    // the caller disconnected
	CallRetried = "call retried" // an attempt failed and another one follows
	GateFailed  = "gate failed"  // the backend server did not answer an admitted call
	ServerError = "server error" // the backend server answered an admitted call with status 400 or above
	CallLimited = "call limited" // the call was sent under a limit that the backend server names, or refused for it
)

// RequestSuspected reports that a backend server ended while it ran a request, and how
// the request is treated since.
const RequestSuspected = "backend server ended in request"

// CallOnProbation reports that a call of a suspected request is sent, and what is known of
// the request at its entry node.
const CallOnProbation = "call on probation"

// SuspicionCleared reports that a suspected request was answered.
const SuspicionCleared = "suspicion cleared"

// ServiceShort reports that a service which the backend server calls begins or ends to
// starve some calls.
const ServiceShort = "called service short"

// ServiceShared reports that a service begins or ends to be short, so that workspaces are
// served by their fair shares.
const ServiceShared = "service shared by workspaces"

// ConnectionsClosed reports connections of a port that were closed or refused since room
// ran short, or since their clients exceeded the limits.
const ConnectionsClosed = "connections closed"

// maxCallLines bounds the lines of each of these messages in an interval of ten
// seconds: 50 lines/s of about 300 bytes, so 15 KB/s per message.
const maxCallLines = 500

// messageBursts holds the limits of messages of which each line concerns a
// different call or member.
var messageBursts = map[string]int{
	CallRefused: maxCallLines, CallLost: maxCallLines, CallSlow: maxCallLines / 5, CallGone: maxCallLines / 5,
	CallRetried: maxCallLines / 5, GateFailed: maxCallLines, ServerError: maxCallLines / 5,
	RequestSuspected: maxCallLines / 5, CallOnProbation: maxCallLines / 5, SuspicionCleared: maxCallLines / 5,
	CallLimited: maxCallLines, ConnectionsClosed: maxCallLines / 5, "server limit": maxCallLines / 5,
	"member found": maxCallLines / 5, "member changed": maxCallLines / 5, "member lost": maxCallLines / 5,
}

// NewLogger returns a logger that writes JSON lines of the given level and above.
// The level may change while the logger is in use. Repeated messages are limited
// by a [Limiter]; suppressed counts the suppressed lines and may be nil.
func NewLogger(w io.Writer, level slog.Leveler, suppressed tally.Counter) *slog.Logger {
	json := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(NewLimiter(json, LimiterConfig{MessageBursts: messageBursts, Suppressed: suppressed}))
}

// NewErrorLog returns a logger for the errors of a library, of which each becomes a
// warning with a fixed message and the library's text as the attribute "error".
func NewErrorLog(l *slog.Logger, message string) *log.Logger {
	return log.New(errorLogWriter{l, message}, "", 0)
}

// RedirectStandardLog makes each line of the standard logger of package log a warning
// "library", as NewErrorLog does. net/http's transports write to it, with texts that all
// differ. A later slog.SetDefault undoes it.
func RedirectStandardLog(l *slog.Logger) {
	errorLog := NewErrorLog(l, "library")
	log.SetOutput(errorLog.Writer())
	log.SetFlags(errorLog.Flags())
}

// errorLogWriter writes each line to a structured logger.
type errorLogWriter struct {
	log     *slog.Logger
	message string
}

// Write implements io.Writer.
func (w errorLogWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p[:min(len(p), maxErrorText)]))
	w.log.Warn(w.message, "error", text)
	return len(p), nil
}

// maxErrorText bounds the text of a library's error in a line, in bytes. A panic's stack
// begins with the frames that matter.
const maxErrorText = 4 << 10

// ParseLevel returns the level that a settings value names, or info if it names
// none.
func ParseLevel(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}

// WithRevision returns a logger that adds to each line the revision in force at
// the time of writing.
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

// ServerPaced reports that the concurrency of the backend server begins or ends to be
// limited by its responses.
const ServerPaced = "server concurrency"
