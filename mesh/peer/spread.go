package peer

// This file does the input and output of the spread of revisions: it sends
// what the decisions ask for and hands them the answers.

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

// Bounds of one control call between nodes.
const (
	callTimeout = 2 * time.Second
	minTimeout  = 250 * time.Millisecond // of a heartbeat
)

// ErrUnsettled says that a starting node takes no table yet, since it does not
// know the lowest revision that it may serve.
var ErrUnsettled = errors.New("the lowest revision that may be served is not known yet")

// SpreadConfig configures a Spread. Every field but Snapshots, Alone, Patience, Head
// and Sinks is required.
type SpreadConfig struct {
	Tree      spread.Tree
	Pool      *Pool
	Holder    *revision.Holder
	View      func() *member.View
	Checked   func() int64 // when the platform last confirmed the head to this node, Unix ms
	Beat      time.Duration
	Exchange  time.Duration
	Snapshots int           // snapshots started within one beat, 8 when zero
	Alone     bool          // no other node is to be joined
	Patience  time.Duration // for which a child may be behind before it gets a push
	// Head returns the newest revision on the platform if it is newer than the
	// one given, or else that one. A starting node calls it once.
	Head  func(ctx context.Context, after uint64) (uint64, error)
	Sinks telemetry.Sinks
}

// Spread hands revisions from parent to child and repairs what push misses.
type Spread struct {
	config SpreadConfig
	wake   chan struct{}

	mu    sync.Mutex
	state *spread.State
	fleet *wire.Report // last report of the whole fleet
	asked time.Time    // when it was taken
}

// NewSpread returns a spread.
func NewSpread(config SpreadConfig) *Spread {
	config.Sinks = config.Sinks.OrDiscard()
	return &Spread{config: config, wake: make(chan struct{}, 1), state: spread.New(spread.Config{
		Tree: config.Tree, Holder: config.Holder, Beat: config.Beat, Exchange: config.Exchange,
		Snapshots: config.Snapshots, Alone: config.Alone, Head: config.Head != nil, Patience: config.Patience,
	}, config.View(), time.Now())}
}

// Run attaches, exchanges and pushes until the context ends, and returns once
// nothing of it runs any more.
func (s *Spread) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		s.loop(ctx, t)
		return nil
	})
	<-t.Dead()
	return nil
}

func (s *Spread) loop(ctx context.Context, t *tomb.Tomb) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := s.config.Holder.Changed()
		for _, a := range s.actions() {
			t.Go(func() error {
				s.do(ctx, a)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(s.tick())
		case <-changed:
		case <-s.wake:
		}
	}
}

// tick runs one beat and returns the time until the next one.
func (s *Spread) tick() time.Duration {
	view, checked := s.config.View(), s.config.Checked()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Tick(time.Now(), view, checked)
	if !s.state.Settled() {
		return s.config.Beat / 8
	}
	return s.config.Beat*7/8 + rand.N(s.config.Beat/4)
}

// actions returns what is to be sent now.
func (s *Spread) actions() []spread.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Changed(time.Now())
	return s.state.Actions()
}

// with runs an event on the decisions and has their actions carried out.
func (s *Spread) with(event func(*spread.State, time.Time)) {
	s.mu.Lock()
	event(s.state, time.Now())
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Spread) do(ctx context.Context, a spread.Action) {
	switch a.Kind {
	case spread.ActionAttach:
		s.attach(ctx, a)
	case spread.ActionPush:
		s.push(ctx, a)
	case spread.ActionFetch:
		s.fetch(ctx, a)
	case spread.ActionHead:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		number, err := s.config.Head(ctx, a.From.Number)
		s.with(func(st *spread.State, now time.Time) { st.Headed(number, err == nil, now) })
	}
}

func (s *Spread) attach(ctx context.Context, a spread.Action) {
	ctx, cancel := context.WithTimeout(ctx, min(max(s.config.Beat, minTimeout), callTimeout))
	defer cancel()
	var msg *wire.AttachResponse
	if resp, err := s.config.Pool.Client(a.Addr).Attach(ctx, connect.NewRequest(a.Attach)); err == nil {
		msg = resp.Msg
	}
	s.with(func(st *spread.State, now time.Time) { st.Attached(a, msg, now) })
}

// push sends what leads from the receiver's table to the one in force.
func (s *Spread) push(ctx context.Context, a spread.Action) {
	u := s.config.Holder.Since(a.From.Number, a.From.Digest)
	if u == nil || u.GetSnapshot() != nil && !s.admit() {
		s.with(func(st *spread.State, now time.Time) { st.Postponed(a, now) })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var msg *wire.PushResponse
	resp, err := s.config.Pool.Client(a.Addr).Push(ctx, connect.NewRequest(&wire.PushRequest{
		Name: s.config.View().Self.GetName(), Update: u, Time: s.Checked(),
	}))
	if err == nil {
		msg = resp.Msg
	}
	s.with(func(st *spread.State, now time.Time) { st.Pushed(a, spread.LastMark(u), msg, now) })
}

func (s *Spread) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Admit(time.Now())
}

func (s *Spread) fetch(ctx context.Context, a spread.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var msg *wire.FetchResponse
	if resp, err := s.config.Pool.Client(a.Addr).Fetch(ctx, connect.NewRequest(a.Fetch)); err == nil {
		msg = resp.Msg
	}
	s.with(func(st *spread.State, now time.Time) { st.Fetched(a, msg, now) })
	if u := msg.GetUpdate(); u != nil && s.offer(u) == nil {
		s.with(func(st *spread.State, _ time.Time) { st.Confirm(msg.GetTime()) })
	}
}

// offer applies an update from a peer. One that is refused stays out and is
// reported; one that is not newer is no error.
func (s *Spread) offer(u *wire.Update) error {
	if !s.settled() {
		return ErrUnsettled
	}
	err := s.config.Holder.Apply(u)
	s.with(func(st *spread.State, now time.Time) { st.Offered(err, now) })
	if err == nil || errors.Is(err, revision.ErrStale) {
		return nil
	}
	s.config.Sinks.Log.Warn("update refused", "error", err.Error())
	return err
}

func (s *Spread) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Settled()
}

// Accept applies what the platform holds. It returns ErrUnsettled while the
// node must ask its peers first, or the reason why the update was refused.
func (s *Spread) Accept(u *wire.Update) error {
	s.mu.Lock()
	ready := s.state.Platform(spread.LastMark(u).Number, time.Now())
	s.mu.Unlock()
	if !ready {
		return ErrUnsettled
	}
	return s.offer(u)
}

// Current applies a whole configuration that was just read from the platform,
// where that always answers with the newest one.
func (s *Spread) Current(snapshot *wire.Snapshot) error {
	s.mu.Lock()
	s.state.Current(snapshot.GetNumber())
	s.mu.Unlock()
	return s.offer(&wire.Update{Snapshot: snapshot})
}

// Checked returns when the head was last known to be confirmed by the
// platform, in Unix ms.
func (s *Spread) Checked() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.state.Checked(), s.config.Checked())
}

// Behind tells whether a peer holds a newer table.
func (s *Spread) Behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Behind()
}

// Reader tells whether the node reads the platform.
func (s *Spread) Reader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Reader(time.Now())
}

// Publisher returns the node's order among the nodes that stand ready to
// publish, and false when it is none or does not know its floor yet.
func (s *Spread) Publisher() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shape := s.state.Shape()
	return shape.Order, shape.Publisher && s.state.Settled()
}

// Floor returns the newest revision that an instance was seen to report.
func (s *Spread) Floor(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Floor(name)
}

// Number returns the revision in force.
func (s *Spread) Number() uint64 { return s.config.Holder.Table().Number }

// Heard takes the revision that a peer names in any message.
func (s *Spread) Heard(name string, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Heard(name, number, time.Now())
}

// Attach implements the Peer service.
func (s *Spread) Attach(_ context.Context, req *connect.Request[wire.AttachRequest]) (*connect.Response[wire.AttachResponse], error) {
	var resp *wire.AttachResponse
	s.with(func(st *spread.State, now time.Time) { resp = st.Attach(req.Msg, now) })
	return connect.NewResponse(resp), nil
}

// Push implements the Peer service.
func (s *Spread) Push(_ context.Context, req *connect.Request[wire.PushRequest]) (*connect.Response[wire.PushResponse], error) {
	err := s.offer(req.Msg.GetUpdate())
	var resp *wire.PushResponse
	s.with(func(st *spread.State, _ time.Time) { resp = st.Took(req.Msg, err) })
	return connect.NewResponse(resp), nil
}

// Fetch implements the Peer service.
func (s *Spread) Fetch(_ context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	var update *wire.Update
	if !req.Msg.GetAsk() {
		update = s.config.Holder.Since(req.Msg.GetRevision(), req.Msg.GetDigest())
	}
	var resp *wire.FetchResponse
	s.with(func(st *spread.State, now time.Time) { resp = st.Serve(req.Msg, update, now) })
	return connect.NewResponse(resp), nil
}
