package store

// This file decides how long to wait after a failed call.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Delays of a driver.
const (
	retryDelay    = 250 * time.Millisecond // after a first failed call
	maxRetryDelay = 5 * time.Second        // after many
	idleDelay     = 250 * time.Millisecond // between two looks at whether there is work
)

// backoff counts failures in a row. The zero backoff has seen none and waits
// from retryDelay to maxRetryDelay.
type backoff struct {
	first, most time.Duration
	failures    int
}

// next returns how long to wait after one more failure. The wait doubles with
// each failure up to a bound and is spread over its upper half, so that those
// who failed together do not come back together. A busy platform names the
// least wait itself.
func (b *backoff) next(err error) time.Duration {
	first, most := b.first, b.most
	if first == 0 {
		first, most = retryDelay, maxRetryDelay
	}
	d := min(first<<min(b.failures, 8), most)
	b.failures++
	var busy *BusyError
	if errors.As(err, &busy) {
		return busy.After + jitter(max(busy.After, d)/2)
	}
	return d/2 + jitter(d/2)
}

func (b *backoff) reset() { b.failures = 0 }

func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}

// pause waits, or returns early when the context ends.
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
