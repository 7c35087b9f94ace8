package store

// This file implements the publisher, which composes the records into the next
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

// rankDelay is how long a candidate waits for each candidate ranked before it.
const rankDelay = 300 * time.Millisecond

// PublisherConfig configures a Publisher. The fields up to WatchTimeout are
// required.
type PublisherConfig struct {
	Store        Store
	Name         string             // name of the instance, stored as the author of its revisions
	Rank         func() (int, bool) // rank among the candidates, from 0; false if this node is not one
	Holder       *revision.Holder
	Deliver      func(*wire.Update) // applies an update to the holder
	WatchTimeout time.Duration      // longest duration of one watch

	PollStore        Store         // on separate connections, since a watch can stop responding; Store when nil
	PollInterval     time.Duration // between two polls of the records, 1 s when zero
	SnapshotInterval int           // revisions between two snapshots; zero disables snapshots
	CommonFormat     func() uint32 // newest format that every live node supports; nil for revision.NewestFormat
	Sinks            telemetry.Sinks
}

// Publisher appends revisions while its node is a candidate. Any number of
// publishers may run at the same time: the platform accepts one revision for
// each number, and every publisher continues from the one that was accepted.
type Publisher struct {
	config    PublisherConfig
	follower  follower
	records   *recordSet
	compactor compactor
	pending   *wire.Revision // attempt whose outcome is unknown
}

// NewPublisher returns a publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	config.Sinks = config.Sinks.WithDefaults()
	if config.PollStore == nil {
		config.PollStore = config.Store
	}
	if config.PollInterval == 0 {
		config.PollInterval = time.Second
	}
	if config.CommonFormat == nil {
		config.CommonFormat = func() uint32 { return revision.NewestFormat }
	}
	return &Publisher{
		config: config, records: newRecordSet(),
		follower:  follower{holder: config.Holder, deliver: config.Deliver},
		compactor: compactor{store: config.Store, holder: config.Holder, interval: uint64(config.SnapshotInterval), cleanups: make(chan *wire.Pointer, 1)},
	}
}

// Run publishes until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return p.loop(ctx, "watching records failed", p.watch) })
		t.Go(func() error { return p.loop(ctx, "polling records failed", p.poll) })
		t.Go(func() error { return p.loop(ctx, "deleting superseded objects failed", p.cleanUp) })
		return p.loop(ctx, "publishing failed", p.publish)
	})
	<-t.Dead()
	return nil
}

// loop repeats a step while the node is a candidate, and logs its failures under
// the message given.
func (p *Publisher) loop(ctx context.Context, failure string, step func(context.Context, int) error) error {
	var failures backoff
	for ctx.Err() == nil {
		rank, ok := p.config.Rank()
		if !ok {
			p.records.relist()
			pause(ctx, roleCheckInterval)
			continue
		}
		err := step(ctx, rank)
		if err == nil || ctx.Err() != nil {
			failures.reset()
			continue
		}
		p.config.Sinks.Log.Warn(failure, "error", err.Error())
		pause(ctx, failures.nextDelay(err))
	}
	return nil
}

func (p *Publisher) watch(ctx context.Context, _ int) error {
	return p.records.watch(ctx, p.config.Store, p.config.WatchTimeout)
}

func (p *Publisher) poll(ctx context.Context, _ int) error {
	pause(ctx, p.config.PollInterval)
	return p.records.watch(ctx, p.config.PollStore, 0)
}

func (p *Publisher) cleanUp(ctx context.Context, _ int) error {
	return p.compactor.cleanUp(ctx)
}

// publish does the work of a candidate and then waits until there may be more: a
// change of the records or of the table, or the end of the poll interval.
func (p *Publisher) publish(ctx context.Context, rank int) error {
	changed := p.config.Holder.Changed()
	if err := p.appendChanges(ctx, rank); err != nil {
		return err
	}
	timer := time.NewTimer(p.config.PollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.records.changed:
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// appendChanges appends the records that are not in the table yet and writes a
// snapshot if one is due. A candidate first gives those ranked before it the time
// to do the work, reads the head again, and then does what remains.
func (p *Publisher) appendChanges(ctx context.Context, rank int) error {
	_, pendingChanges := p.compose()
	if !pendingChanges && !p.compactor.due() {
		return nil
	}
	pause(ctx, time.Duration(rank)*rankDelay)
	for pendingChanges && ctx.Err() == nil {
		if err := p.follower.catchUp(ctx, p.config.Store); err != nil {
			return err
		}
		var res revision.Result
		if res, pendingChanges = p.compose(); pendingChanges {
			if err := p.append(ctx, res); err != nil {
				return err
			}
		}
	}
	if p.compactor.due() {
		return p.compactor.run(ctx)
	}
	return nil
}

// compose computes the next revision and reports whether it differs from the
// table in force.
func (p *Publisher) compose() (revision.Result, bool) {
	records, ok := p.records.all()
	if !ok {
		return revision.Result{}, false
	}
	table := p.config.Holder.Table()
	res := revision.Compose(table, records, p.config.CommonFormat())
	return res, len(res.Changed) > 0 || !revision.EqualHeld(res.Held, table.Held)
}

// append creates the revision's object and reads the head back. The revision that
// the platform then lists under the number is the accepted one, whether it is
// this attempt or another publisher's. The result of the create decides nothing:
// a response can be lost, and a create that succeeds may have used a number that
// was deleted long ago.
func (p *Publisher) append(ctx context.Context, res revision.Result) error {
	rev, err := p.prepare(res)
	if err != nil {
		return err
	}
	body, err := EncodeRevision(rev)
	if err != nil {
		return err
	}
	_, err = p.config.Store.Create(ctx, KindRevision, RevisionName(rev.GetNumber()), body)
	if err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrOutcomeUnknown) {
		return err
	}
	if readErr := p.follower.catchUp(ctx, p.config.Store); readErr != nil {
		return errors.Wrapf(readErr, "read back revision %d", rev.GetNumber())
	}
	return p.confirm(rev)
}

// prepare returns the revision to append. An earlier attempt with the same
// content whose outcome is unknown is returned with its change ID, so that it
// cannot be published twice.
func (p *Publisher) prepare(res revision.Result) (*wire.Revision, error) {
	rev, err := revision.Next(p.config.Holder.Table(), res, uuid.NewString(), p.config.Name, time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	if old := p.pending; old.GetNumber() == rev.GetNumber() && bytes.Equal(old.GetDigest(), rev.GetDigest()) &&
		bytes.Equal(old.GetParent(), rev.GetParent()) && revision.EqualHeld(old.GetHeld(), rev.GetHeld()) {
		return old, nil
	}
	p.pending = rev
	return rev, nil
}

// confirm checks that the table has reached the number of an attempt, and counts
// whose revision was accepted. It returns ErrOutcomeUnknown if it has not.
func (p *Publisher) confirm(rev *wire.Revision) error {
	t := p.config.Holder.Table()
	if t.Number < rev.GetNumber() {
		return errors.Wrapf(ErrOutcomeUnknown, "revision %d is not listed by the platform", rev.GetNumber())
	}
	p.pending = nil
	outcome := "foreign"
	if t.ChangeID == rev.GetChange() {
		outcome = "own"
	}
	p.config.Sinks.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("published").Inc(1)
	p.config.Sinks.Log.Info("appended", "revision", rev.GetNumber(), "outcome", outcome, "records", len(rev.GetRecords()), "held", len(rev.GetHeld()))
	return nil
}
