package store

// This file does the leader's reads and writes for roll-outs: it watches the orders of the
// operator, keeps the state of each roll-out in an object of its own, and writes the status
// of the orders. Every change of a state is a conditional write, so that of two nodes that
// lead at the same time one fails.

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/decimal"
	"caroblift.dev/mesh/rollout"
	"caroblift.dev/mesh/telemetry"
)

// KindRollout is the kind of the objects that hold the states of roll-outs, which are named
// after their services.
const KindRollout = "rollout"

const (
	// rolloutStep is the time between two looks at the roll-outs under way.
	rolloutStep = 100 * time.Millisecond
	// orderWait and activeOrderWait are how long a watch for orders waits: the latter while a
	// service moves, so that the leader soon notices that the platform rejects it.
	orderWait       = 2500 * time.Millisecond
	activeOrderWait = 500 * time.Millisecond
	// contactMargin is how much longer than it waits a watch may take before the platform
	// counts as not answering.
	contactMargin = 700 * time.Millisecond
	// orderWatchers is the number of live nodes, the first in the order of names, that watch
	// the orders. Others than the first act where it does not.
	orderWatchers = 3
	// takeoverTime is how long a roll-out must be without a leader before the second node
	// takes it over, and twice that for the third. The first one takes over at once.
	takeoverTime = 1500 * time.Millisecond
	// unattendedTime is the age of the leader's last confirmation from which a roll-out is
	// without a leader.
	unattendedTime = 1200 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 250 * time.Millisecond
	// restoredOrderTime is how long orders may be missing after the platform has come back
	// from an older copy: the operator writes them again.
	restoredOrderTime = 30 * time.Second
	// missingOrderTime is how long an order must be missing if its removal was not seen.
	missingOrderTime = 3 * time.Second
)

// RolloutOrder is an order as the platform holds it.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
}

// RolloutStatus is the status of an order: PhaseCanary while the roll-out is under way, or
// the phase in which it ended, or PhaseNone if the order has no status.
type RolloutStatus struct {
	Phase   rollout.Phase
	Version string
}

// RolloutOrders describes how the platform holds orders.
type RolloutOrders struct {
	Kind         string
	Decode       func(Object) (RolloutOrder, RolloutStatus, error)
	EncodeStatus func(RolloutStatus) []byte
}

// RolloutsConfig configures a Rollouts. Every field but Sinks is required.
type RolloutsConfig struct {
	Store      Store // also a StatusWriter
	WatchStore Store // a client whose calls don't wait behind those of Store
	Orders     RolloutOrders
	Board      *rollout.Board
	Leader     *rollout.Leader
	Instance   string
	Rank       func() (int, bool) // of this node among the live ones, in the order of names
	IsAlive    func(instance string) bool
	Fleet      func(service string) rollout.Fleet
	Sinks      telemetry.Sinks
}

// Rollouts does the duties of a node for roll-outs on the platform.
type Rollouts struct {
	config  RolloutsConfig
	held    map[string]Version   // stored states by service, as last read or written
	retryAt map[string]time.Time // after failed writes, by service

	mu        sync.Mutex
	orders    map[string]*heldOrder // by name of the object
	contactAt time.Time             // when the platform last answered a watch
	waits     time.Duration         // of the watch under way
	watching  bool
	listed    bool      // since the watch began
	era       uint64    // of the platform, as the watch last saw it
	eraAt     time.Time // when the platform was seen to have come back from an older copy

	heldEra uint64 // to which held belongs
}

// heldOrder is an order and what is known of its object.
type heldOrder struct {
	RolloutOrder
	name       string
	id         string // of the order, once it is known
	version    Version
	status     RolloutStatus
	reported   bool      // its status was seen to be that of the roll-out
	seenAt     time.Time // when this version of the object came
	missingAt  time.Time
	missingFor time.Duration // after which it counts as removed
}

// NewRollouts returns a Rollouts; Run does the work.
func NewRollouts(config RolloutsConfig) *Rollouts {
	config.Sinks = config.Sinks.WithDefaults()
	return &Rollouts{config: config, held: map[string]Version{}, retryAt: map[string]time.Time{}, orders: map[string]*heldOrder{}}
}

// Answered reports whether the platform answers this node, as far as the watch for orders
// shows.
func (r *Rollouts) Answered(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching && r.listed && now.Sub(r.contactAt) < r.waits+contactMargin
}

// Run reads the stored states, and leads roll-outs while it is up to this node, until the
// context ends.
func (r *Rollouts) Run(ctx context.Context) error {
	var retry backoff
	for !r.restore(ctx) {
		pause(ctx, retry.nextDelay(ErrUnavailable))
		if ctx.Err() != nil {
			return nil
		}
	}
	ticker := time.NewTicker(rolloutStep)
	defer ticker.Stop()
	stopWatch := func() {}
	for {
		select {
		case <-ctx.Done():
			stopWatch()
			return nil
		case <-ticker.C:
		}
		watching := r.shouldWatch()
		r.mu.Lock()
		changed := watching != r.watching
		r.watching = watching
		r.mu.Unlock()
		if changed {
			stopWatch()
			stopWatch = r.startWatch(ctx, watching)
		}
		if watching && r.Answered(time.Now()) {
			r.step(ctx)
		}
	}
}

// restore reads the states that were stored before this node started. It returns false if the
// platform does not answer.
func (r *Rollouts) restore(ctx context.Context) bool {
	objs, _, err := ListAll(ctx, r.config.Store, KindRollout, "")
	if err != nil {
		r.config.Sinks.Log.Info("roll-outs not read", "error", err.Error())
		return false
	}
	for _, o := range objs {
		if s, ok := decodeRollout(o, time.Now()); ok {
			r.config.Board.Put(s)
		}
	}
	r.config.Board.MarkKnown()
	r.config.Sinks.Log.Info("roll-outs read", "rollouts", len(objs))
	return true
}

// shouldWatch reports whether this node watches the orders.
func (r *Rollouts) shouldWatch() bool {
	rank, ok := r.config.Rank()
	if !ok {
		return false
	}
	return rank < orderWatchers || slices.ContainsFunc(r.config.Board.All(), func(s rollout.State) bool {
		return s.Phase.Active() && s.Leader == r.config.Instance
	})
}

// startWatch starts the watch for orders and returns a function that ends it and waits until
// it has ended. It starts nothing unless on is set.
func (r *Rollouts) startWatch(ctx context.Context, on bool) (stop func()) {
	clear(r.held)
	r.mu.Lock()
	clear(r.orders)
	r.listed = false
	r.mu.Unlock()
	if !on {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watch(ctx)
	}()
	return func() { cancel(); <-done }
}

// watch keeps the orders up to date until the context ends.
func (r *Rollouts) watch(ctx context.Context) {
	var retry backoff
	var from Version
	listed := false
	for ctx.Err() == nil {
		var objs []Object
		var err error
		if !listed {
			objs, from, err = ListAll(ctx, r.config.WatchStore, r.config.Orders.Kind, "")
		} else {
			objs, from, err = r.config.WatchStore.Watch(ctx, r.config.Orders.Kind, from, r.nextWait())
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrGone):
			listed = false
		case err != nil:
			listed = false // its answer tells the era, and what was missed
			pause(ctx, min(retry.nextDelay(err), time.Second))
		default:
			r.takeOrders(objs, !listed, from)
			listed = true
			retry.reset()
		}
	}
}

// nextWait returns how long the next watch waits.
func (r *Rollouts) nextWait() time.Duration {
	wait := orderWait
	if slices.ContainsFunc(r.config.Board.All(), func(s rollout.State) bool { return s.Phase.Active() }) {
		wait = activeOrderWait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits = wait
	return wait
}

// takeOrders takes the answer to a list, which holds all orders, or to a watch.
func (r *Rollouts) takeOrders(objs []Object, all bool, at Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if at.Era > r.era {
		r.eraAt = now
	}
	listed := map[string]bool{}
	for _, o := range objs {
		listed[o.Name] = !o.Deleted
		r.takeOrder(o, now)
	}
	if all {
		for name, o := range r.orders {
			if listed[name] || !o.missingAt.IsZero() {
				continue
			}
			o.missingAt, o.missingFor = now, 0
			if at.Era > o.version.Era {
				o.missingFor = restoredOrderTime
			}
		}
		r.missUnknown(now, at)
	}
	r.contactAt, r.listed, r.era = now, true, at.Era
}

// missUnknown adds orders that are missing for roll-outs that are known: they were removed
// while nobody watched, or are not written again yet. The caller holds r.mu.
func (r *Rollouts) missUnknown(now time.Time, at Version) {
	missingFor := missingOrderTime
	if at.Era > 0 {
		missingFor = restoredOrderTime
	}
	for _, s := range r.config.Board.All() {
		if s.Phase != rollout.PhaseNone && r.orderOf(s.Service) == nil {
			r.orders[s.Service] = &heldOrder{
				RolloutOrder: RolloutOrder{s.Service, s.Version, s.Duration}, name: s.Service, id: s.Order, missingAt: now, missingFor: missingFor,
			}
		}
	}
}

// takeOrder takes one object. An order that can't be decoded leaves the one before it in
// force. The caller holds r.mu.
func (r *Rollouts) takeOrder(o Object, now time.Time) {
	old := r.orders[o.Name]
	if o.Deleted {
		if old != nil && o.Version.Newer(old.version) {
			old.missingAt, old.missingFor = now, 0
		}
		return
	}
	if old != nil && !o.Version.Newer(old.version) {
		return
	}
	order, status, err := r.config.Orders.Decode(o)
	if err != nil {
		r.config.Sinks.Log.Warn("order of a roll-out ignored", "order", o.Name, "error", err.Error())
		return
	}
	next := &heldOrder{RolloutOrder: order, name: o.Name, version: o.Version, status: status, seenAt: now}
	if old != nil && old.Service == next.Service && old.RolloutOrder.Version == next.RolloutOrder.Version {
		next.id, next.reported = old.id, old.reported && old.version.Era == o.Version.Era
		if old.recreated(next, now.Sub(r.eraAt)) {
			next.id, next.reported = rollout.OrderID(o.Version.Era, o.Version.Revision), false
		}
	}
	r.orders[o.Name] = next
}

// recreated reports whether the object of an order was removed and created anew: its removal
// was seen, or its status is gone and the platform has not come back from an older copy
// lately.
func (o *heldOrder) recreated(next *heldOrder, sinceReturn time.Duration) bool {
	removed := !o.missingAt.IsZero() && o.missingFor == 0
	cleared := next.reported && next.status.Phase == rollout.PhaseNone && sinceReturn > restoredOrderTime
	return removed || cleared
}

// orderOf returns the order of a service: the one named after it, or else the first in the
// order of names. The caller holds r.mu.
func (r *Rollouts) orderOf(service string) *heldOrder {
	if o := r.orders[service]; o != nil && o.Service == service {
		return o
	}
	for _, name := range slices.Sorted(maps.Keys(r.orders)) {
		if o := r.orders[name]; o.Service == service {
			return o
		}
	}
	return nil
}

// services returns the services that have an order.
func (r *Rollouts) services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := map[string]bool{}
	for _, o := range r.orders {
		found[o.Service] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// order returns a copy of the order of a service.
func (r *Rollouts) order(service string) (heldOrder, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orderOf(service); o != nil {
		return *o, true
	}
	return heldOrder{}, false
}

// update changes what is held of an order, unless a newer version came.
func (r *Rollouts) update(o heldOrder, change func(*heldOrder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.orders[o.name]; held != nil && held.version == o.version {
		change(held)
	}
}

// step does what is due for all orders. When the platform has come back from an older copy,
// what is stored has to be read again.
func (r *Rollouts) step(ctx context.Context) {
	r.mu.Lock()
	if r.era != r.heldEra {
		clear(r.held)
		r.heldEra = r.era
	}
	r.mu.Unlock()
	for _, service := range r.services() {
		now := time.Now()
		o, ok := r.order(service)
		if !ok || now.Before(r.retryAt[service]) || !r.attends(service, &o, now) {
			continue
		}
		if err := r.stepOrder(ctx, o); err != nil && ctx.Err() == nil {
			delete(r.held, service)
			r.retryAt[service] = time.Now().Add(writeRetryDelay)
			if !errors.Is(err, ErrConflict) {
				r.config.Sinks.Log.Info("roll-out not updated on the platform", "service", service, "error", err.Error())
			}
		}
	}
}

// attends reports whether this node leads the roll-out of a service: it does so already, or
// the roll-out has been without a leader for long enough.
func (r *Rollouts) attends(service string, o *heldOrder, now time.Time) bool {
	rank, ok := r.config.Rank()
	s, known := r.config.Board.Get(service)
	switch {
	case !ok:
		return false
	case !known || !s.Phase.Active():
		return now.Sub(o.seenAt) >= time.Duration(rank)*takeoverTime
	case s.Leader == r.config.Instance:
		return true
	}
	wait := unattendedTime + time.Duration(rank)*takeoverTime
	if rank == 0 && !r.config.IsAlive(s.Leader) {
		wait = 0
	}
	return now.Sub(s.Heard) >= wait
}

// stepOrder brings the state of an order up to date, and then the status.
func (r *Rollouts) stepOrder(ctx context.Context, o heldOrder) error {
	_, held := r.held[o.Service]
	fresh := !held // the state is read now
	stored, err := r.readState(ctx, o.Service)
	if err != nil {
		return err
	}
	state, _ := r.config.Board.Get(o.Service)
	now := time.Now()
	if !o.missingAt.IsZero() {
		if now.Sub(o.missingAt) < o.missingFor {
			return nil
		}
		return r.withdraw(ctx, o, state)
	}
	id := identify(&o, &state)
	if id != o.id {
		r.update(o, func(held *heldOrder) { held.id = id })
	}
	order := rollout.Order{ID: id, Service: o.Service, Version: o.RolloutOrder.Version, Duration: o.Duration}
	next, changed := r.config.Leader.Step(order, state, r.config.Fleet(o.Service), now)
	if ended := o.status; ended.Phase.Final() && ended.Version == order.Version && !next.Phase.Final() {
		if !fresh {
			delete(r.held, o.Service) // another node may have ended it
			return nil
		}
		// The roll-out has ended, but its state is lost.
		if !changed {
			next.Number++
		}
		next.Phase, next.Reason, next.Entered, changed = ended.Phase, "status of the order", now, true
	}
	if !changed && stored < state.Number {
		// The platform came back from an older copy.
		next.Number++
		changed = true
	}
	if changed {
		if err := r.writeState(ctx, &state, next); err != nil {
			return err
		}
	}
	return r.writeStatus(ctx, o, next)
}

// identify returns the identifier of an order: that of the known roll-out if it is by the
// same order, or else a new one.
func identify(o *heldOrder, state *rollout.State) string {
	same := state.Phase != rollout.PhaseNone && state.Version == o.RolloutOrder.Version
	switch {
	case same && (o.id == "" || o.id == state.Order):
		return state.Order
	case o.id != "" && o.id != state.Order:
		return o.id
	}
	return rollout.OrderID(o.version.Era, o.version.Revision)
}

// withdraw removes an order that is gone and ends its roll-out.
func (r *Rollouts) withdraw(ctx context.Context, o heldOrder, state rollout.State) error {
	if state.Number > 0 && state.Phase != rollout.PhaseNone {
		if err := r.writeState(ctx, &state, r.config.Leader.Withdraw(state, time.Now())); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.orders[o.name]; held != nil && !held.missingAt.IsZero() {
		delete(r.orders, o.name)
	}
	return nil
}

// readState reads the state of a service unless what is stored is known, and returns the
// number of the stored one.
func (r *Rollouts) readState(ctx context.Context, service string) (uint64, error) {
	known, _ := r.config.Board.Get(service)
	if _, ok := r.held[service]; ok {
		return known.Number, nil
	}
	o, err := r.config.Store.Get(ctx, KindRollout, service)
	switch {
	case errors.Is(err, ErrNotFound):
		r.held[service] = Version{}
		return 0, nil
	case err != nil:
		return 0, errors.Wrap(err, "read roll-out")
	}
	s, ok := decodeRollout(o, time.Now())
	r.held[service] = o.Version
	if !ok {
		return 0, nil // it is written anew
	}
	r.config.Board.Put(s)
	return s.Number, nil
}

// writeState stores a state, and makes it known once it is stored.
func (r *Rollouts) writeState(ctx context.Context, before *rollout.State, s rollout.State) error {
	body, err := encodeRollout(s)
	if err != nil {
		return err
	}
	var o Object
	if version := r.held[s.Service]; version.IsZero() {
		o, err = r.config.Store.Create(ctx, KindRollout, s.Service, body)
	} else {
		o, err = r.config.Store.Update(ctx, KindRollout, s.Service, version, body)
	}
	if err != nil {
		return errors.Wrap(err, "write roll-out")
	}
	r.held[s.Service] = o.Version
	s.Heard = time.Now()
	r.config.Board.Put(s)
	r.config.Sinks.Log.Info("roll-out stored", "service", s.Service, "version", s.Version, "order", s.Order, "number", s.Number, "from", before.Phase.String(), "phase", s.Phase.String(),
		"reason", s.Reason, "canaries", s.Canaries, "leader", s.Leader, "elapsed", time.Since(s.Ordered).Milliseconds())
	return nil
}

// writeStatus writes the status of an order if it is not that of the state.
func (r *Rollouts) writeStatus(ctx context.Context, o heldOrder, s rollout.State) error {
	want := RolloutStatus{Phase: rollout.PhaseCanary, Version: s.Version}
	if s.Phase.Final() {
		want.Phase = s.Phase
	}
	if o.status == want {
		r.update(o, func(held *heldOrder) { held.reported = true })
		return nil
	}
	writer, ok := r.config.Store.(StatusWriter)
	if !ok {
		return errors.New("the platform's objects have no status")
	}
	written, err := writer.WriteStatus(ctx, r.config.Orders.Kind, o.name, o.version, r.config.Orders.EncodeStatus(want))
	if err != nil {
		r.readOrder(ctx, o)
		return errors.Wrap(err, "write status of roll-out")
	}
	r.update(o, func(held *heldOrder) { held.version, held.status, held.reported = written.Version, want, true })
	r.config.Sinks.Log.Info("status of roll-out written", "service", s.Service, "version", s.Version, "phase", want.Phase.String(), "elapsed", time.Since(s.Ordered).Milliseconds())
	return nil
}

// readOrder reads an order whose status could not be written, or may have been.
func (r *Rollouts) readOrder(ctx context.Context, o heldOrder) {
	obj, err := r.config.Store.Get(ctx, r.config.Orders.Kind, o.name)
	if err != nil {
		return // the watch tells whether it is gone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeOrder(obj, time.Now())
}

// storedRollout is the JSON body of a state. Times are Unix ms of the node that wrote it.
type storedRollout struct {
	Service   string        `json:"service"`
	Version   string        `json:"version"`
	Number    decimal.Whole `json:"number"`
	Order     string        `json:"order"`
	Phase     string        `json:"phase"`
	Canaries  []string      `json:"canaries,omitempty"`
	Reason    string        `json:"reason,omitempty"`
	Leader    string        `json:"leader"`
	Duration  decimal.Whole `json:"durationMs"`
	OrderedAt decimal.Whole `json:"orderedAt"` // Unix ms
	EnteredAt decimal.Whole `json:"enteredAt"` // Unix ms
}

// maxStoredMS bounds times and durations in ms, so that they fit a time.Duration in ns.
const maxStoredMS = 1 << 43

// wholeMS returns a time or duration in ms, or 0 if it is negative.
func wholeMS(v int64) decimal.Whole { return decimal.Whole(max(v, 0)) }

func encodeRollout(s rollout.State) ([]byte, error) {
	body, err := json.Marshal(storedRollout{
		Service: s.Service, Version: s.Version, Number: decimal.Whole(s.Number), Order: s.Order, Phase: s.Phase.String(), Canaries: s.Canaries, Reason: s.Reason, Leader: s.Leader,
		Duration: wholeMS(s.Duration.Milliseconds()), OrderedAt: wholeMS(s.Ordered.UnixMilli()), EnteredAt: wholeMS(s.Entered.UnixMilli()),
	})
	return body, errors.Wrap(err, "encode roll-out")
}

// decodeRollout returns the state that an object holds, and false if it is deleted or not
// valid. Clocks differ, so times in the future count as now. Nobody has confirmed the state
// since it was written.
func decodeRollout(o Object, now time.Time) (rollout.State, bool) {
	var in storedRollout
	if o.Deleted || json.Unmarshal(o.Body, &in) != nil {
		return rollout.State{}, false
	}
	phase, ok := rollout.ParsePhase(in.Phase)
	if !ok || in.Service != o.Name || in.Number == 0 {
		return rollout.State{}, false
	}
	past := func(ms decimal.Whole) time.Time { return earlier(now, time.UnixMilli(int64(min(ms, maxStoredMS)))) }
	return rollout.State{
		Service: in.Service, Version: in.Version, Number: uint64(in.Number), Order: in.Order, Phase: phase, Canaries: in.Canaries, Reason: in.Reason, Leader: in.Leader,
		Duration: time.Duration(min(in.Duration, maxStoredMS)) * time.Millisecond, Ordered: past(in.OrderedAt), Entered: past(in.EnteredAt), Heard: past(in.EnteredAt),
	}, true
}
