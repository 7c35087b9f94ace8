package store

// This file implements the backoff after failed calls.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Delays of the loops of readers and publishers.
const (
	initialRetryDelay = 250 * time.Millisecond // after the first failed call
	maxRetryDelay     = 5 * time.Second        // upper bound
	roleCheckInterval = 250 * time.Millisecond // between two checks whether this node is to read or publish
)

// backoff computes retry delays that grow exponentially with consecutive
// failures, from initial up to limit. The zero backoff uses initialRetryDelay
// and maxRetryDelay.
type backoff struct {
	initial, limit time.Duration
	failures       int
}

// nextDelay counts one more failure and returns how long to wait. The delay
// doubles with each failure up to the limit and is drawn from its upper half, so
// that clients that failed together do not retry together. If the platform
// limited the rate, the delay is at least the one that it asked for.
func (b *backoff) nextDelay(err error) time.Duration {
	initial, limit := b.initial, b.limit
	if initial == 0 {
		initial, limit = initialRetryDelay, maxRetryDelay
	}
	d := min(initial<<min(b.failures, 8), limit)
	b.failures++
	var limited *RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter + jitter(max(limited.RetryAfter, d)/2)
	}
	return d/2 + jitter(d/2)
}

// reset forgets the failures counted so far.
func (b *backoff) reset() { b.failures = 0 }

// jitter returns a random duration from 0 to d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}

// pause waits for d, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
