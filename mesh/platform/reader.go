package platform

// This file drives the reader: it follows the platform's revisions.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	Deliver func(*wire.Update)
	Wait    time.Duration // of one watch
	Every   time.Duration // between two polls of the head
	Sinks   telemetry.Sinks
}

// Reader hands accepted revisions from the platform to its node.
type Reader struct {
	config  ReaderConfig
	checked atomic.Int64
	working atomic.Bool
}

// NewReader returns a reader.
func NewReader(config ReaderConfig) *Reader {
	config.Sinks = config.Sinks.OrDiscard()
	return &Reader{config: config}
}

// Checked returns when the platform last confirmed that the node holds the
// newest revision, in Unix ms.
func (r *Reader) Checked() int64 { return r.checked.Load() }

// Working tells whether the last call to the platform was answered.
func (r *Reader) Working() bool { return r.working.Load() }

// Run follows the platform while the node is a reader.
func (r *Reader) Run(ctx context.Context) error {
	go r.loop(ctx, r.poll)
	r.loop(ctx, r.watch)
	return nil
}

func (r *Reader) loop(ctx context.Context, step func(context.Context) error) {
	for ctx.Err() == nil {
		if !r.config.Active() {
			pause(ctx, retryDelay)
			continue
		}
		err := step(ctx)
		if ctx.Err() != nil {
			return
		}
		r.working.Store(err == nil)
		if err != nil {
			r.config.Sinks.Log.Warn("read platform", "error", err.Error())
			pause(ctx, backoff(err))
		}
	}
}

// poll reads past the table in force.
func (r *Reader) poll(ctx context.Context) error {
	if err := r.Catch(ctx, r.config.Poll); err != nil {
		return err
	}
	pause(ctx, r.config.Every)
	return nil
}

// watch waits for the next revision.
func (r *Reader) watch(ctx context.Context) error {
	objs, version, err := ListAll(ctx, r.config.Store, KindRevision, RevisionName(r.config.Holder.Table().Number))
	if err != nil {
		return err
	}
	for ctx.Err() == nil && r.config.Active() {
		if err := r.take(objs); err != nil {
			return err
		}
		objs, version, err = r.config.Store.Watch(ctx, KindRevision, version, r.config.Wait)
		if err != nil {
			return err
		}
	}
	return nil
}

// Catch reads every revision after the table in force and hands it over.
func (r *Reader) Catch(ctx context.Context, store Store) error {
	objs, _, err := ListAll(ctx, store, KindRevision, RevisionName(r.config.Holder.Table().Number))
	if err != nil {
		return err
	}
	return r.take(objs)
}

func (r *Reader) take(objs []Object) error {
	u := &wire.Update{}
	for _, o := range objs {
		if o.Deleted {
			continue
		}
		rev, err := DecodeRevision(o)
		if err != nil {
			return err
		}
		if rev.GetNumber() > r.config.Holder.Table().Number {
			u.Revisions = append(u.Revisions, rev)
		}
	}
	if n := len(u.Revisions); n > 0 {
		r.config.Deliver(u)
		if last := u.Revisions[n-1].GetNumber(); r.config.Holder.Table().Number < last {
			return errors.Errorf("revision %d was read and not applied", last)
		}
	}
	r.checked.Store(time.Now().UnixMilli())
	return nil
}
