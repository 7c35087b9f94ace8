package platform

// This file drives the publisher: it composes the records into the next
// revision and appends it.

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// rankDelay is how long a candidate waits for each candidate before it.
const rankDelay = 300 * time.Millisecond

// retryDelay is how long a driver waits after a failed call.
const retryDelay = 250 * time.Millisecond

// PublisherConfig configures a Publisher. Every field but Sinks is required.
type PublisherConfig struct {
	Store   Store
	Name    string             // instance
	Rank    func() (int, bool) // rank among the candidates; false for none
	Holder  *revision.Holder
	Deliver func(*wire.Update) // takes the revision that was appended
	Wait    time.Duration      // of one watch
	Sinks   telemetry.Sinks
}

// Publisher appends revisions while its node is a candidate. Any number of
// publishers may act at one time: appending is a conditional write.
type Publisher struct {
	config PublisherConfig
}

// NewPublisher returns a publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	config.Sinks = config.Sinks.OrDiscard()
	return &Publisher{config: config}
}

// Run publishes until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, ok := p.config.Rank(); !ok {
			pause(ctx, retryDelay)
			continue
		}
		if err := p.follow(ctx); err != nil && ctx.Err() == nil {
			p.config.Sinks.Log.Warn("publish", "error", err.Error())
			pause(ctx, backoff(err))
		}
	}
	return nil
}

// follow lists the records, publishes what changed, and watches for more until
// the node is no candidate any more.
func (p *Publisher) follow(ctx context.Context) error {
	records, version, err := ListRecords(ctx, p.config.Store)
	if err != nil {
		return err
	}
	known := map[string]*wire.Record{}
	for _, r := range records {
		known[r.GetKind().String()+"/"+r.GetName()] = r
	}
	for ctx.Err() == nil {
		rank, ok := p.config.Rank()
		if !ok {
			return nil
		}
		pause(ctx, time.Duration(rank)*rankDelay)
		if err := p.publish(ctx, known); err != nil {
			return err
		}
		objs, next, err := p.config.Store.Watch(ctx, KindRecord, version, p.config.Wait)
		if err != nil {
			return err
		}
		version = next
		for _, o := range objs {
			r, err := DecodeRecord(o)
			if err != nil {
				p.config.Sinks.Log.Warn("record left out", "error", err.Error())
				continue
			}
			known[r.GetKind().String()+"/"+r.GetName()] = r
		}
	}
	return nil
}

// publish appends the next revision if the records ask for one.
func (p *Publisher) publish(ctx context.Context, known map[string]*wire.Record) error {
	records := make([]*wire.Record, 0, len(known))
	for _, r := range known {
		records = append(records, r)
	}
	for ctx.Err() == nil {
		table := p.config.Holder.Table()
		res := revision.Compose(table, records)
		if len(res.Changed) == 0 && revision.SameHeld(res.Held, table.Held) {
			return nil
		}
		rev, err := revision.Next(table, res, uuid.NewString(), p.config.Name, time.Now().UnixMilli())
		if err != nil {
			return err
		}
		accepted, err := p.append(ctx, rev)
		if err != nil {
			return err
		}
		p.config.Deliver(&wire.Update{Revisions: []*wire.Revision{accepted}})
		if p.config.Holder.Table().Number < accepted.GetNumber() {
			return errors.Errorf("revision %d was accepted and not applied", accepted.GetNumber())
		}
	}
	return nil
}

// append creates the revision's object. When another publisher was faster, or
// the answer was lost, it returns what the platform holds under that number.
func (p *Publisher) append(ctx context.Context, rev *wire.Revision) (*wire.Revision, error) {
	body, err := EncodeRevision(rev)
	if err != nil {
		return nil, err
	}
	name := RevisionName(rev.GetNumber())
	_, err = p.config.Store.Create(ctx, KindRevision, name, body)
	if err == nil {
		return rev, nil
	}
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnknown) {
		return nil, err
	}
	o, err := p.config.Store.Get(ctx, KindRevision, name)
	if err != nil {
		return nil, err
	}
	return DecodeRevision(o)
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

// backoff returns how long to wait after an error.
func backoff(err error) time.Duration {
	var busy *BusyError
	if errors.As(err, &busy) {
		return busy.After
	}
	return retryDelay
}
