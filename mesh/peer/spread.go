package peer

// This file distributes revisions between nodes: it sends the messages that
// spread.State asks for and passes the answers back to it.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Timeouts of control calls between nodes.
const (
	callTimeout      = 2 * time.Second
	minAttachTimeout = 250 * time.Millisecond // lower bound for an attach, which is the heartbeat of a child
)

// ErrFloorUnknown is returned by a starting node that does not know its floor
// yet, the lowest revision that it may serve, and so applies no update.
var ErrFloorUnknown = errors.New("the lowest revision that may be served is not known yet")

// DistributorConfig configures the distribution of revisions. A field is
// required unless its comment says that it is optional.
type DistributorConfig struct {
	Tree              spread.Tree
	Pool              *Pool
	Holder            *revision.Holder
	View              func() *member.View
	ConfirmedAt       func() int64 // when the platform last confirmed the head to this node, Unix ms
	HeartbeatInterval time.Duration
	ExchangeInterval  time.Duration         // interval of digest exchanges with a random peer
	MaxSnapshots      int                   // optional; transfers of snapshots started per heartbeat interval, 8 if zero
	Standalone        bool                  // optional; there is no other node to join
	PushDelay         time.Duration         // optional; how long a child may be behind before it gets a push
	KnownNodes        func() []*wire.Member // optional; nodes that a starting node may ask though they are not in its view yet
	PlatformAnswers   func() bool           // optional; whether the platform answers this node, which must not block
	// ReadHead is optional. It returns the newest revision on the platform, or
	// the given one if the platform has none that is newer. A starting node
	// calls it once.
	ReadHead func(ctx context.Context, after uint64) (uint64, error)
	Usage    spread.Usage    // optional; counts the calls of workspaces with a quota
	Sinks    telemetry.Sinks // optional
}

// Distributor distributes revisions from parents to children and repairs missed
// pushes by anti-entropy. It may be used from several goroutines.
type Distributor struct {
	config DistributorConfig
	wake   chan struct{} // signals that the state may have new actions

	mu           sync.Mutex
	state        *spread.State
	unapplied    *wire.Snapshot // read from the platform before the floor was known; nil if none
	lastReport   *wire.Report   // last report on the whole fleet
	lastReportAt time.Time      // when it was taken
}

// NewDistributor creates the distributor of a node. It does nothing before Run.
func NewDistributor(config DistributorConfig) *Distributor {
	config.Sinks = config.Sinks.WithDefaults()
	return &Distributor{config: config, wake: make(chan struct{}, 1), state: spread.New(spread.Config{
		Tree: config.Tree, Holder: config.Holder, HeartbeatInterval: config.HeartbeatInterval, ExchangeInterval: config.ExchangeInterval,
		MaxSnapshots: config.MaxSnapshots, Standalone: config.Standalone, CanReadHead: config.ReadHead != nil, PushDelay: config.PushDelay,
		KnownNodes: config.KnownNodes, PlatformAnswers: config.PlatformAnswers, Usage: config.Usage,
	}, config.View(), time.Now())}
}

// Run sends heartbeats, pushes and digest exchanges until the context ends. It
// returns after all goroutines that it started.
func (d *Distributor) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		d.loop(ctx, t)
		return nil
	})
	<-t.Dead()
	return nil
}

func (d *Distributor) loop(ctx context.Context, t *tomb.Tomb) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d.applyUnapplied()
		changed := d.config.Holder.Changed()
		for _, a := range d.takeActions() {
			t.Go(func() error {
				d.perform(ctx, a)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(d.tick())
		case <-changed:
		case <-d.wake:
		}
	}
}

// tick runs the periodic work and returns the time until the next call: the
// heartbeat interval with jitter, or a fraction of it until the floor is known.
func (d *Distributor) tick() time.Duration {
	view, checked := d.config.View(), d.config.ConfirmedAt()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Tick(time.Now(), view, checked)
	if !d.state.FloorKnown() {
		return d.config.HeartbeatInterval / 8
	}
	return d.config.HeartbeatInterval*7/8 + rand.N(d.config.HeartbeatInterval/4)
}

// takeActions returns the actions that are due, each of them once.
func (d *Distributor) takeActions() []spread.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.HandleTableChange(time.Now())
	return d.state.Actions()
}

// update runs an event on the state and wakes the loop, which carries out the
// resulting actions.
func (d *Distributor) update(event func(*spread.State, time.Time)) {
	d.mu.Lock()
	event(d.state, time.Now())
	d.mu.Unlock()
	d.wakeLoop()
}

// wakeLoop makes the loop carry out the actions of the state.
func (d *Distributor) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Distributor) perform(ctx context.Context, a spread.Action) {
	switch a.Kind {
	case spread.ActionAttach:
		d.sendAttach(ctx, a)
	case spread.ActionPush:
		d.sendPush(ctx, a)
	case spread.ActionFetch:
		d.sendFetch(ctx, a)
	case spread.ActionReadHead:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		number, err := d.config.ReadHead(ctx, a.From.Number)
		d.update(func(st *spread.State, now time.Time) { st.HandleHead(number, err == nil, now) })
	}
}

func (d *Distributor) sendAttach(ctx context.Context, a spread.Action) {
	ctx, cancel := context.WithTimeout(ctx, min(max(d.config.HeartbeatInterval, minAttachTimeout), callTimeout))
	defer cancel()
	var msg *wire.AttachResponse
	if resp, err := d.config.Pool.Client(a.Addr).Attach(ctx, connect.NewRequest(a.Attach)); err == nil {
		msg = resp.Msg
	}
	d.update(func(st *spread.State, now time.Time) { st.HandleAttachResponse(a, msg, now) })
}

// sendPush sends the update that leads from the receiver's table to the one in
// force. It defers the push if the receiver is not behind or the limit on snapshots
// is reached.
func (d *Distributor) sendPush(ctx context.Context, a spread.Action) {
	u := d.config.Holder.UpdateSince(a.From.Number, a.From.Digest)
	if u == nil || u.GetSnapshot() != nil && !d.admitSnapshot() {
		d.update(func(st *spread.State, now time.Time) { st.DeferPush(a, now) })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var msg *wire.PushResponse
	resp, err := d.config.Pool.Client(a.Addr).Push(ctx, connect.NewRequest(&wire.PushRequest{
		Name: d.config.View().Self.GetName(), Update: u, Time: d.ConfirmedAt(),
	}))
	if err == nil {
		msg = resp.Msg
	}
	d.update(func(st *spread.State, now time.Time) { st.HandlePushResponse(a, spread.PositionAfter(u), msg, now) })
}

func (d *Distributor) admitSnapshot() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.AdmitSnapshot(time.Now())
}

func (d *Distributor) sendFetch(ctx context.Context, a spread.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var msg *wire.FetchResponse
	if resp, err := d.config.Pool.Client(a.Addr).Fetch(ctx, connect.NewRequest(a.Fetch)); err == nil {
		msg = resp.Msg
	}
	d.update(func(st *spread.State, now time.Time) { st.HandleFetchResponse(a, msg, now) })
	if u := msg.GetUpdate(); u != nil && d.apply(u) == nil {
		d.update(func(st *spread.State, _ time.Time) { st.ConfirmFetched(a, msg) })
	}
}

// apply applies an update and reports its result to the state. It logs and
// returns the error of a refused update; an update that is not newer is no error.
func (d *Distributor) apply(u *wire.Update) error {
	if !d.floorKnown() {
		return ErrFloorUnknown
	}
	err := d.config.Holder.Apply(u)
	d.update(func(st *spread.State, now time.Time) { st.HandleApplyResult(err, now) })
	if err == nil || errors.Is(err, revision.ErrStale) {
		return nil
	}
	d.config.Sinks.Log.Warn("update refused", "error", err.Error())
	return err
}

func (d *Distributor) floorKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.FloorKnown()
}

// ApplyPlatformUpdate applies an update read from the platform. It returns
// ErrFloorUnknown while the node must first ask its peers for its floor, or the
// reason why the update was refused.
func (d *Distributor) ApplyPlatformUpdate(u *wire.Update) error {
	d.mu.Lock()
	accepted := d.state.HandlePlatformRevision(spread.PositionAfter(u).Number, time.Now())
	d.mu.Unlock()
	if !accepted {
		return ErrFloorUnknown
	}
	return d.apply(u)
}

// ApplyPlatformSnapshot applies a whole configuration that was just read from a
// platform whose reads always return the newest one that it has. Nothing older may
// be served after it.
//
// If restored is set, the platform may have come back from an older copy and a peer
// may hold a newer configuration. A starting node then asks its peers first and
// applies the snapshot when they have answered, unless it is older than theirs. An
// older one than the table in force is not applied.
func (d *Distributor) ApplyPlatformSnapshot(snapshot *wire.Snapshot, restored bool) error {
	d.mu.Lock()
	if !restored {
		d.state.SetFloor(snapshot.GetNumber())
	} else if !d.state.HandleRestorable(snapshot.GetNumber(), time.Now()) {
		if snapshot.GetNumber() > d.unapplied.GetNumber() {
			d.unapplied = snapshot
		}
		d.mu.Unlock()
		return nil
	}
	d.mu.Unlock()
	return d.applyRead(snapshot)
}

// applyUnapplied applies the configuration that was read before the floor was
// known, once it is known.
func (d *Distributor) applyUnapplied() {
	d.mu.Lock()
	snapshot := d.unapplied
	if snapshot == nil || !d.state.FloorKnown() {
		d.mu.Unlock()
		return
	}
	d.unapplied = nil
	d.mu.Unlock()
	_ = d.applyRead(snapshot) // apply logs the error, and the state fetches from a peer
}

// applyRead applies a configuration that was read from the platform, unless the
// table in force is newer or the node may not serve it.
func (d *Distributor) applyRead(snapshot *wire.Snapshot) error {
	number, held := snapshot.GetNumber(), max(d.Revision(), d.config.Holder.Floor())
	if number < held {
		d.config.Sinks.Log.Warn("platform holds an older configuration", "number", number, "table", d.Revision(), "floor", d.config.Holder.Floor())
		return nil
	}
	return d.apply(&wire.Update{Snapshot: snapshot})
}

// ConfirmedAt returns when the platform last confirmed the head, to this node
// or to one that reported it, in Unix ms.
func (d *Distributor) ConfirmedAt() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.state.ConfirmedAt(), d.config.ConfirmedAt())
}

// Behind reports whether a peer holds a newer table.
func (d *Distributor) Behind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Behind()
}

// ReadsPlatform reports whether the node reads the platform.
func (d *Distributor) ReadsPlatform() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.ReadsPlatform(time.Now())
}

// PublisherIndex returns the node's position among the candidates to publish,
// where 0 is first. It returns false if the node is not a candidate or does not
// know its floor yet.
func (d *Distributor) PublisherIndex() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	placement := d.state.Placement()
	return placement.PublisherIndex, placement.IsPublisher && d.state.FloorKnown()
}

// ReportedRevision returns the newest revision that an instance is known to
// have reported.
func (d *Distributor) ReportedRevision(name string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.ReportedRevision(name)
}

// Revision returns the revision in force.
func (d *Distributor) Revision() uint64 { return d.config.Holder.Table().Number }

// RecordRevision records the revision that a peer reported in any message.
func (d *Distributor) RecordRevision(name string, number uint64) {
	d.mu.Lock()
	d.state.RecordRevision(name, number, time.Now())
	wake := d.state.HasActions()
	d.mu.Unlock()
	if wake {
		d.wakeLoop()
	}
}

// RequestUpdate asks a peer for a newer table. It does not block.
func (d *Distributor) RequestUpdate() {
	d.mu.Lock()
	d.state.FetchNow(time.Now())
	wake := d.state.HasActions()
	d.mu.Unlock()
	if wake {
		d.wakeLoop()
	}
}

// ConfirmedAge returns how long ago the table in force was last known to be the newest
// one, by this node's reads of the platform or by a peer, and false if it never was.
func (d *Distributor) ConfirmedAge() (time.Duration, bool) {
	checked := d.config.ConfirmedAt()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.state.ConfirmOwn(checked, now)
	at := d.state.CurrentAt()
	return now.Sub(at), !at.IsZero()
}

// Attach implements the Peer service.
func (d *Distributor) Attach(_ context.Context, req *connect.Request[wire.AttachRequest]) (*connect.Response[wire.AttachResponse], error) {
	var resp *wire.AttachResponse
	checked := d.config.ConfirmedAt()
	d.update(func(st *spread.State, now time.Time) {
		st.ConfirmOwn(checked, now)
		resp = st.HandleAttach(req.Msg, now)
	})
	return connect.NewResponse(resp), nil
}

// Push implements the Peer service.
func (d *Distributor) Push(_ context.Context, req *connect.Request[wire.PushRequest]) (*connect.Response[wire.PushResponse], error) {
	err := d.apply(req.Msg.GetUpdate())
	var resp *wire.PushResponse
	d.update(func(st *spread.State, _ time.Time) { resp = st.HandlePush(req.Msg, err) })
	return connect.NewResponse(resp), nil
}

// Fetch implements the Peer service.
func (d *Distributor) Fetch(_ context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	var update *wire.Update
	if !req.Msg.GetAsk() {
		update = d.config.Holder.UpdateSince(req.Msg.GetRevision(), req.Msg.GetDigest())
	}
	var resp *wire.FetchResponse
	checked := d.config.ConfirmedAt()
	d.update(func(st *spread.State, now time.Time) {
		st.ConfirmOwn(checked, now)
		resp = st.HandleFetch(req.Msg, update, now)
	})
	return connect.NewResponse(resp), nil
}
