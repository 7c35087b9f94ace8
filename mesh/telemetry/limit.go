package telemetry

// This file limits how often a message is logged, so that a recurring failure
// does not flood the log.

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// LimiterConfig configures a Limiter. Zero fields take their defaults.
type LimiterConfig struct {
	Burst         int            // lines of each message per interval, default 5
	Interval      time.Duration  // default 10 s
	MaxMessages   int            // distinct messages tracked at once, default 256
	MessageBursts map[string]int // overrides Burst, by message text
	Suppressed    tally.Counter  // counts suppressed lines; may be nil
}

// Limiter is a slog.Handler that writes the first lines of a message in each
// interval and suppresses the rest. At the end of the interval it writes the
// last suppressed line, with the number of suppressed lines in the attribute
// "repeated". Two lines belong to the same message if they have the same level,
// text and part. The number of messages tracked at once is bounded, to bound
// memory; messages beyond it share one limit.
type Limiter struct {
	next  slog.Handler
	part  string
	state *limiterState
}

// limiterState is the state shared by all handlers derived from one Limiter.
type limiterState struct {
	config  LimiterConfig
	mu      sync.Mutex
	windows map[messageKey]*window
}

// messageKey identifies the log lines that share one limit.
type messageKey struct {
	level slog.Level
	part  string
	text  string
}

// window counts the lines of one message in one interval.
type window struct {
	written    int
	suppressed int
	last       slog.Record
	next       slog.Handler // handler of the last suppressed line
}

// NewLimiter returns a Limiter that writes to next.
func NewLimiter(next slog.Handler, config LimiterConfig) *Limiter {
	if config.Burst == 0 {
		config.Burst = 5
	}
	if config.Interval == 0 {
		config.Interval = 10 * time.Second
	}
	if config.MaxMessages == 0 {
		config.MaxMessages = 256
	}
	if config.Suppressed == nil {
		config.Suppressed = tally.NoopScope.Counter("")
	}
	return &Limiter{next: next, state: &limiterState{config: config, windows: map[messageKey]*window{}}}
}

// Enabled implements slog.Handler.
func (l *Limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := &Limiter{next: l.next.WithAttrs(attrs), part: l.part, state: l.state}
	for _, a := range attrs {
		if a.Key == partKey {
			derived.part = a.Value.String()
		}
	}
	return derived
}

// WithGroup implements slog.Handler.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{next: l.next.WithGroup(name), part: l.part, state: l.state}
}

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	if !l.state.admit(messageKey{r.Level, l.part, r.Message}, r, l.next) {
		return nil
	}
	return l.next.Handle(ctx, r)
}

// admit reports whether a line may be written. If not, it counts the line as
// suppressed.
func (s *limiterState) admit(m messageKey, r slog.Record, next slog.Handler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[m]
	if w == nil {
		w = s.openWindow(m)
	}
	burst := s.config.Burst
	if messageBurst, ok := s.config.MessageBursts[m.text]; ok {
		burst = messageBurst
	}
	if w.written < burst {
		w.written++
		return true
	}
	w.suppressed++
	s.config.Suppressed.Inc(1)
	w.last, w.next = r.Clone(), next
	return false
}

// openWindow opens the window of a message, or returns the shared window if the
// maximum number of messages is being tracked. The caller holds s.mu.
func (s *limiterState) openWindow(m messageKey) *window {
	if len(s.windows) >= s.config.MaxMessages {
		m = messageKey{}
		if w := s.windows[m]; w != nil {
			return w
		}
	}
	w := &window{}
	s.windows[m] = w
	time.AfterFunc(s.config.Interval, func() { s.closeWindow(m) })
	return w
}

// closeWindow closes a window and writes its last suppressed line, if any.
func (s *limiterState) closeWindow(m messageKey) {
	s.mu.Lock()
	w := s.windows[m]
	delete(s.windows, m)
	s.mu.Unlock()
	if w == nil || w.suppressed == 0 {
		return
	}
	w.last.AddAttrs(slog.Int("repeated", w.suppressed))
	_ = w.next.Handle(context.Background(), w.last)
}
