package store

// This file drives the reader: it follows the platform's revisions.

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
	Store   Store
	Poll    Store       // on connections of its own, since a watch can go silent
	Active  func() bool // whether this node is a reader now
	Holder  *revision.Holder
	Deliver func(*wire.Update) // applies an update to the holder
	Wait    time.Duration      // of one watch
	Every   time.Duration      // between two polls of the head
	Sinks   telemetry.Sinks
}

// Reader hands accepted revisions from the platform to its node. It watches,
// and polls the head beside the watch on other connections: one call a poll
// and one a watch, whatever the size of the fleet.
type Reader struct {
	config   ReaderConfig
	follower follower
	checked  atomic.Int64
	working  atomic.Bool
}

// NewReader returns a reader.
func NewReader(config ReaderConfig) *Reader {
	config.Sinks = config.Sinks.OrDiscard()
	return &Reader{config: config, follower: follower{holder: config.Holder, deliver: config.Deliver}}
}

// Checked returns when the platform last confirmed that the node holds the
// newest revision, in Unix ms.
func (r *Reader) Checked() int64 { return r.checked.Load() }

// Working tells whether the last call to the platform was answered.
func (r *Reader) Working() bool { return r.working.Load() }

// Load reads the newest snapshot and the revisions after it, once, whether or
// not the node is a reader. A node that starts and reaches no peer calls it to
// get its first table; it is safe to call at any time, and from several
// goroutines. The calls it costs do not grow with the history: one for the
// pointer, one for each piece, one for each page of revisions.
func (r *Reader) Load(ctx context.Context) error {
	return r.settle(r.follower.load(ctx, r.config.Poll))
}

// Run follows the platform while the node is a reader.
func (r *Reader) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return r.loop(ctx, r.poll) })
		return r.loop(ctx, r.watch)
	})
	<-t.Dead()
	return nil
}

func (r *Reader) loop(ctx context.Context, step func(context.Context) error) error {
	var failures backoff
	for ctx.Err() == nil {
		if !r.config.Active() {
			pause(ctx, idleDelay)
			continue
		}
		err := step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if r.settle(err) == nil {
			failures.reset()
			continue
		}
		r.config.Sinks.Log.Warn("read platform", "error", err.Error())
		pause(ctx, failures.next(err))
	}
	return nil
}

// settle notes what a read showed.
func (r *Reader) settle(err error) error {
	r.working.Store(err == nil)
	if err == nil {
		r.checked.Store(time.Now().UnixMilli())
	}
	return err
}

// poll reads past the table in force.
func (r *Reader) poll(ctx context.Context) error {
	if err := r.follower.catch(ctx, r.config.Poll); err != nil {
		return err
	}
	_ = r.settle(nil)
	pause(ctx, r.config.Every)
	return nil
}

// watch waits for the next revision, over and over, until the node is no
// reader any more.
func (r *Reader) watch(ctx context.Context) error {
	objs, version, err := r.follower.list(ctx, r.config.Store)
	for err == nil && ctx.Err() == nil && r.config.Active() {
		if err = r.follower.take(ctx, r.config.Store, objs); err != nil {
			return err
		}
		_ = r.settle(nil)
		objs, version, err = r.config.Store.Watch(ctx, KindRevision, version, r.config.Wait)
	}
	return err
}
