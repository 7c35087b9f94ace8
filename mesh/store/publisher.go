package store

// This file drives the publisher: it composes the records into the next
// revision and appends it.

import (
	"bytes"
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// rankDelay is how long a candidate waits for each candidate before it.
const rankDelay = 300 * time.Millisecond

// PublisherConfig configures a Publisher. Every field up to Wait is required.
type PublisherConfig struct {
	Store   Store
	Name    string             // instance
	Rank    func() (int, bool) // rank among the candidates; false for none
	Holder  *revision.Holder
	Deliver func(*wire.Update) // applies an update to the holder
	Wait    time.Duration      // of one watch

	Poll     Store         // on connections of its own, since a watch can go silent; Store when nil
	Every    time.Duration // between two polls of the records, 1 s when zero
	Snapshot int           // revisions between two snapshots; zero for no snapshots
	Format   func() uint32 // newest format that the live fleet reads; nil for revision.FormatNow
	Sinks    telemetry.Sinks
}

// Publisher appends revisions while its node is a candidate. Any number of
// publishers may act at one time: the platform accepts one revision under each
// number, and a publisher goes on from whichever it accepted.
type Publisher struct {
	config   PublisherConfig
	follower follower
	records  *recordSet
	archiver archiver
	pending  *wire.Revision // attempt whose outcome is not known yet
}

// NewPublisher returns a publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	config.Sinks = config.Sinks.OrDiscard()
	if config.Poll == nil {
		config.Poll = config.Store
	}
	if config.Every == 0 {
		config.Every = time.Second
	}
	if config.Format == nil {
		config.Format = func() uint32 { return revision.FormatNow }
	}
	return &Publisher{
		config: config, records: newRecordSet(),
		follower: follower{holder: config.Holder, deliver: config.Deliver},
		archiver: archiver{store: config.Store, holder: config.Holder, every: uint64(config.Snapshot), superseded: make(chan *wire.Pointer, 1)},
	}
}

// Run publishes until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return p.loop(ctx, "watch records", p.watch) })
		t.Go(func() error { return p.loop(ctx, "poll records", p.poll) })
		t.Go(func() error { return p.loop(ctx, "remove", p.remove) })
		return p.loop(ctx, "publish", p.publish)
	})
	<-t.Dead()
	return nil
}

// loop repeats a step while the node is a candidate.
func (p *Publisher) loop(ctx context.Context, name string, step func(context.Context, int) error) error {
	var failures backoff
	for ctx.Err() == nil {
		rank, ok := p.config.Rank()
		if !ok {
			p.records.relist()
			pause(ctx, idleDelay)
			continue
		}
		err := step(ctx, rank)
		if err == nil || ctx.Err() != nil {
			failures.reset()
			continue
		}
		p.config.Sinks.Log.Warn(name, "error", err.Error())
		pause(ctx, failures.next(err))
	}
	return nil
}

func (p *Publisher) watch(ctx context.Context, _ int) error {
	return p.records.watch(ctx, p.config.Store, p.config.Wait)
}

func (p *Publisher) poll(ctx context.Context, _ int) error {
	pause(ctx, p.config.Every)
	return p.records.watch(ctx, p.config.Poll, 0)
}

func (p *Publisher) remove(ctx context.Context, _ int) error {
	return p.archiver.clean(ctx)
}

// publish waits until something may be undone and does it.
func (p *Publisher) publish(ctx context.Context, rank int) error {
	changed := p.config.Holder.Changed()
	if err := p.act(ctx, rank); err != nil {
		return err
	}
	timer := time.NewTimer(p.config.Every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.records.wake:
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// act does the work of a candidate, if there is any. A candidate leaves the
// ones before it the time to do it, reads the head again, and then does what is
// still undone.
func (p *Publisher) act(ctx context.Context, rank int) error {
	_, undone := p.compose()
	if !undone && !p.archiver.due() {
		return nil
	}
	pause(ctx, time.Duration(rank)*rankDelay)
	for undone && ctx.Err() == nil {
		if err := p.follower.catch(ctx, p.config.Store); err != nil {
			return err
		}
		var res revision.Result
		if res, undone = p.compose(); undone {
			if err := p.append(ctx, res); err != nil {
				return err
			}
		}
	}
	if p.archiver.due() {
		return p.archiver.run(ctx)
	}
	return nil
}

// compose decides the next revision and tells whether there is one.
func (p *Publisher) compose() (revision.Result, bool) {
	records, ok := p.records.all()
	if !ok {
		return revision.Result{}, false
	}
	table := p.config.Holder.Table()
	res := revision.Compose(table, records, p.config.Format())
	return res, len(res.Changed) > 0 || !revision.SameHeld(res.Held, table.Held)
}

// append creates the revision's object and reads the head back. What the
// platform then shows under the number is accepted, be it this attempt or
// another publisher's. Only a listing counts: an answer can be lost, and a
// create that succeeds may have hit a number that was removed long ago.
func (p *Publisher) append(ctx context.Context, res revision.Result) error {
	rev, err := p.attempt(res)
	if err != nil {
		return err
	}
	body, err := EncodeRevision(rev)
	if err != nil {
		return err
	}
	_, err = p.config.Store.Create(ctx, KindRevision, RevisionName(rev.GetNumber()), body)
	if err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnknown) {
		return err
	}
	if readErr := p.follower.catch(ctx, p.config.Store); readErr != nil {
		return errors.Wrapf(readErr, "read back revision %d", rev.GetNumber())
	}
	return p.settle(rev)
}

// attempt returns the revision to append. One whose outcome is not known is
// tried again with its own change ID, so it can never be published twice.
func (p *Publisher) attempt(res revision.Result) (*wire.Revision, error) {
	rev, err := revision.Next(p.config.Holder.Table(), res, uuid.NewString(), p.config.Name, time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	if old := p.pending; old.GetNumber() == rev.GetNumber() && bytes.Equal(old.GetDigest(), rev.GetDigest()) &&
		bytes.Equal(old.GetParent(), rev.GetParent()) && revision.SameHeld(old.GetHeld(), rev.GetHeld()) {
		return old, nil
	}
	p.pending = rev
	return rev, nil
}

// settle tells whether the head shows the outcome of an attempt.
func (p *Publisher) settle(rev *wire.Revision) error {
	t := p.config.Holder.Table()
	if t.Number < rev.GetNumber() {
		return errors.Wrapf(ErrUnknown, "revision %d does not show on the platform", rev.GetNumber())
	}
	p.pending = nil
	outcome := "foreign"
	if t.Change == rev.GetChange() {
		outcome = "own"
	}
	p.config.Sinks.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("published").Inc(1)
	p.config.Sinks.Log.Info("appended", "revision", rev.GetNumber(), "outcome", outcome, "records", len(rev.GetRecords()), "held", len(rev.GetHeld()))
	return nil
}
