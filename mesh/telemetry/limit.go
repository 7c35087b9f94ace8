package telemetry

// This file keeps a failure from flooding the log: events that repeat are
// counted in place of written.

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// LimiterConfig configures a Limiter. Zero fields take their defaults.
type LimiterConfig struct {
	Burst    int            // lines of one message in an interval, 5 when zero
	Interval time.Duration  // 10 s when zero
	Messages int            // messages told apart, 256 when zero
	Bursts   map[string]int // by message, in place of Burst
	Left     tally.Counter  // of lines left out; may be nil
}

// Limiter is a slog.Handler that passes the first lines of a message in each
// interval on and counts the others. At the end of the interval it writes the
// last line that it left out, with the number left out as "repeated". Messages
// are told apart by level, text and part; its memory is bounded by their
// number, and messages beyond it share one limit.
type Limiter struct {
	next slog.Handler
	part string
	all  *limits
}

// limits is what the handlers derived from one Limiter share.
type limits struct {
	config LimiterConfig
	mu     sync.Mutex
	open   map[message]*window
}

// message tells events apart.
type message struct {
	level slog.Level
	part  string
	text  string
}

// window counts one message in one interval.
type window struct {
	passed  int
	dropped int
	last    slog.Record
	next    slog.Handler // that of the last line left out
}

// NewLimiter returns a handler in front of another.
func NewLimiter(next slog.Handler, config LimiterConfig) *Limiter {
	if config.Burst == 0 {
		config.Burst = 5
	}
	if config.Interval == 0 {
		config.Interval = 10 * time.Second
	}
	if config.Messages == 0 {
		config.Messages = 256
	}
	if config.Left == nil {
		config.Left = tally.NoopScope.Counter("")
	}
	return &Limiter{next: next, all: &limits{config: config, open: map[message]*window{}}}
}

// Enabled implements slog.Handler.
func (l *Limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := &Limiter{next: l.next.WithAttrs(attrs), part: l.part, all: l.all}
	for _, a := range attrs {
		if a.Key == partKey {
			derived.part = a.Value.String()
		}
	}
	return derived
}

// WithGroup implements slog.Handler.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{next: l.next.WithGroup(name), part: l.part, all: l.all}
}

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	if !l.all.admit(message{r.Level, l.part, r.Message}, r, l.next) {
		return nil
	}
	return l.next.Handle(ctx, r)
}

// admit tells whether a line may be written, and counts it otherwise.
func (s *limits) admit(m message, r slog.Record, next slog.Handler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.open[m]
	if w == nil {
		w = s.start(m)
	}
	burst := s.config.Burst
	if own, ok := s.config.Bursts[m.text]; ok {
		burst = own
	}
	if w.passed < burst {
		w.passed++
		return true
	}
	w.dropped++
	s.config.Left.Inc(1)
	w.last, w.next = r.Clone(), next
	return false
}

// start opens the window of a message, or of all messages beyond the bound.
// The caller holds s.mu.
func (s *limits) start(m message) *window {
	if len(s.open) >= s.config.Messages {
		m = message{}
		if w := s.open[m]; w != nil {
			return w
		}
	}
	w := &window{}
	s.open[m] = w
	time.AfterFunc(s.config.Interval, func() { s.end(m) })
	return w
}

// end closes a window and writes what it left out.
func (s *limits) end(m message) {
	s.mu.Lock()
	w := s.open[m]
	delete(s.open, m)
	s.mu.Unlock()
	if w == nil || w.dropped == 0 {
		return
	}
	w.last.AddAttrs(slog.Int("repeated", w.dropped))
	_ = w.next.Handle(context.Background(), w.last)
}
