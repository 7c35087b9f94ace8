package store

// This file implements the reader, which follows the platform's revisions.

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// ReaderConfig configures a Reader. Every field but Sinks is required.
type ReaderConfig struct {
	Store        Store
	PollStore    Store       // on separate connections, since a watch can stop responding
	Active       func() bool // whether this node is a reader now
	Holder       *revision.Holder
	Deliver      func(*wire.Update) // applies an update to the holder
	WatchTimeout time.Duration      // longest duration of one watch
	PollInterval time.Duration      // between two polls of the head
	Sinks        telemetry.Sinks
}

// Reader delivers accepted revisions from the platform to its node. It watches
// them and also polls the head on other connections. Each poll and each watch is
// one call, whatever the size of the fleet.
type Reader struct {
	config      ReaderConfig
	follower    follower
	confirmedAt atomic.Int64
	reachable   atomic.Bool
}

// NewReader returns a reader; Run starts it.
func NewReader(config ReaderConfig) *Reader {
	config.Sinks = config.Sinks.WithDefaults()
	return &Reader{config: config, follower: follower{holder: config.Holder, deliver: config.Deliver}}
}

// ConfirmedAt returns when the platform last confirmed that the node holds the
// newest revision, in Unix ms.
func (r *Reader) ConfirmedAt() int64 { return r.confirmedAt.Load() }

// Reachable reports whether the last call to the platform succeeded.
func (r *Reader) Reachable() bool { return r.reachable.Load() }

// Load reads the newest snapshot and the revisions after it once, whether or not
// the node is a reader. A node that starts and reaches no peer calls it to get
// its first table. It is safe to call at any time and from several goroutines.
// The number of calls does not grow with the history: one for the pointer, one
// for each piece and one for each page of revisions.
func (r *Reader) Load(ctx context.Context) error {
	return r.record(r.follower.load(ctx, r.config.PollStore))
}

// Run follows the platform while the node is a reader, until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return r.loop(ctx, r.poll) })
		return r.loop(ctx, r.watch)
	})
	<-t.Dead()
	return nil
}

// loop repeats a step while the node is a reader.
func (r *Reader) loop(ctx context.Context, step func(context.Context) error) error {
	var failures backoff
	for ctx.Err() == nil {
		if !r.config.Active() {
			pause(ctx, roleCheckInterval)
			continue
		}
		err := step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if r.record(err) == nil {
			failures.reset()
			continue
		}
		r.config.Sinks.Log.Warn("reading the platform failed", "error", err.Error())
		pause(ctx, failures.nextDelay(err))
	}
	return nil
}

// record stores the result of a read for Reachable and ConfirmedAt, and returns
// err.
func (r *Reader) record(err error) error {
	r.reachable.Store(err == nil)
	if err == nil {
		r.confirmedAt.Store(time.Now().UnixMilli())
	}
	return err
}

// poll applies the revisions after the table in force and waits for the next poll.
func (r *Reader) poll(ctx context.Context) error {
	if err := r.follower.catchUp(ctx, r.config.PollStore); err != nil {
		return err
	}
	_ = r.record(nil)
	pause(ctx, r.config.PollInterval)
	return nil
}

// watch applies revisions as they appear, until a call fails or the node stops
// being a reader.
func (r *Reader) watch(ctx context.Context) error {
	objs, version, err := r.follower.list(ctx, r.config.Store)
	for err == nil && ctx.Err() == nil && r.config.Active() {
		if err = r.follower.applyOrLoad(ctx, r.config.Store, objs); err != nil {
			return err
		}
		_ = r.record(nil)
		objs, version, err = r.config.Store.Watch(ctx, KindRevision, version, r.config.WatchTimeout)
	}
	return err
}
