package peer

// This file drives the spread of revisions: attaching to a parent, pushing to
// children, and repair by any peer.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// maxLaggards bounds the laggards that a report names.
const maxLaggards = 20

// callTimeout bounds one control call between nodes.
const callTimeout = 2 * time.Second

// SpreadConfig configures a Spread. Every field but Sinks is required.
type SpreadConfig struct {
	Tree     spread.Tree
	Pool     *Pool
	Holder   *revision.Holder
	View     func() *member.View
	Checked  func() int64 // when the platform last confirmed the head to this node, Unix ms
	Beat     time.Duration
	Exchange time.Duration
	Sinks    telemetry.Sinks
}

// Spread hands revisions from parent to child and repairs what push misses.
type Spread struct {
	config SpreadConfig

	mu       sync.Mutex
	children map[string]*child
	floors   map[string]uint64 // newest revision that each instance reported
	findings []*wire.Finding   // why the last update was refused
	time     int64             // when the head was last known confirmed
}

// child is a node that hangs under this one.
type child struct {
	addr     string
	seen     time.Time
	revision uint64
	digest   []byte
	report   *wire.Report
	pushing  bool
}

// NewSpread returns a spread.
func NewSpread(config SpreadConfig) *Spread {
	config.Sinks = config.Sinks.OrDiscard()
	return &Spread{config: config, children: map[string]*child{}, floors: map[string]uint64{}}
}

// Run attaches, exchanges and pushes until the context ends.
func (s *Spread) Run(ctx context.Context) error {
	go s.every(ctx, s.config.Exchange, s.exchange)
	go s.pushes(ctx)
	s.every(ctx, s.config.Beat, s.attach)
	return nil
}

func (s *Spread) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		timer := time.NewTimer(interval + time.Duration(rand.Int64N(int64(interval)/4+1)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Offer applies an update. One that is refused stays out and is reported.
func (s *Spread) Offer(u *wire.Update) error {
	err := s.config.Holder.Apply(u)
	if err == nil || errors.Is(err, revision.ErrStale) {
		s.note(nil)
		return nil
	}
	s.config.Sinks.Log.Warn("update refused", "error", err.Error())
	if !errors.Is(err, revision.ErrGap) {
		s.note([]*wire.Finding{{Place: "revision", Reason: err.Error()}})
	}
	return err
}

func (s *Spread) note(findings []*wire.Finding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = findings
}

// Floor returns the newest revision that an instance was seen to report.
func (s *Spread) Floor(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors[name]
}

// Checked returns when the head was last known to be confirmed by the
// platform, in Unix ms.
func (s *Spread) Checked() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.time, s.config.Checked())
}

// Report returns the report of this node and its subtree.
func (s *Spread) Report() *wire.Report {
	t := s.config.Holder.Table()
	self := s.config.View().Self
	own := &wire.Report{Counts: []*wire.Count{{Domain: self.GetDomain(), Revision: t.Number, Nodes: 1}}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.findings) > 0 {
		own.Laggards = []*wire.Lag{{Name: self.GetName(), Domain: self.GetDomain(), Revision: t.Number, Findings: s.findings}}
	}
	reports := []*wire.Report{own}
	for name, c := range s.children {
		if time.Since(c.seen) > 4*s.config.Beat {
			delete(s.children, name)
			continue
		}
		reports = append(reports, c.report)
	}
	return spread.Merge(maxLaggards, reports...)
}

// attach renews the place under the parent and repairs from it.
func (s *Spread) attach(ctx context.Context) {
	v := s.config.View()
	parent := s.config.Tree.Parent(v)
	if parent == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t := s.config.Holder.Table()
	resp, err := s.config.Pool.Client(parent.GetPeer()).Attach(ctx, connect.NewRequest(&wire.AttachRequest{
		Name: v.Self.GetName(), Incarnation: v.Self.GetIncarnation(), Revision: t.Number, Digest: t.Digest,
		Peer: v.Self.GetPeer(), Report: s.Report(), Floor: s.config.Holder.Floor(),
	}))
	if err != nil {
		return
	}
	s.config.Holder.Raise(resp.Msg.GetFloor())
	s.confirm(resp.Msg.GetTime())
	if resp.Msg.GetRevision() > s.config.Holder.Table().Number {
		s.fetch(ctx, parent.GetPeer())
	}
}

func (s *Spread) confirm(at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.time = max(s.time, at)
}

// exchange repairs from a random peer.
func (s *Spread) exchange(ctx context.Context) {
	v := s.config.View()
	if len(v.Names) < 2 {
		return
	}
	m := v.Members[v.Names[rand.IntN(len(v.Names))]]
	if m.GetName() == v.Self.GetName() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.fetch(ctx, m.GetPeer())
}

// fetch asks a peer for what this node lacks.
func (s *Spread) fetch(ctx context.Context, addr string) {
	t := s.config.Holder.Table()
	resp, err := s.config.Pool.Client(addr).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{
		Name: s.config.View().Self.GetName(), Revision: t.Number, Digest: t.Digest,
	}))
	if err != nil {
		return
	}
	s.config.Holder.Raise(resp.Msg.GetFloor())
	if resp.Msg.GetUpdate() != nil {
		_ = s.Offer(resp.Msg.GetUpdate())
	}
	s.confirm(resp.Msg.GetTime())
}

// pushes pushes to the children at each change of the table.
func (s *Spread) pushes(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.config.Holder.Changed()
		s.mu.Lock()
		for _, c := range s.children {
			s.start(ctx, c)
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// start pushes to a child unless a push is under way. The caller holds s.mu.
func (s *Spread) start(ctx context.Context, c *child) {
	if c.pushing || c.revision >= s.config.Holder.Table().Number {
		return
	}
	c.pushing = true
	go s.push(ctx, c, c.revision, c.digest)
}

// push brings a child to the newest table; what changes meanwhile goes with
// the next message.
func (s *Spread) push(ctx context.Context, c *child, number uint64, digest []byte) {
	for {
		u := s.config.Holder.Since(number, digest)
		if u == nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := s.config.Pool.Client(c.addr).Push(call, connect.NewRequest(&wire.PushRequest{
			Name: s.config.View().Self.GetName(), Update: u, Time: s.Checked(),
		}))
		cancel()
		if err != nil || resp.Msg.GetRevision() <= number {
			break
		}
		number, digest = resp.Msg.GetRevision(), resp.Msg.GetDigest()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pushing = false
	if number > c.revision {
		c.revision, c.digest = number, digest
	}
}

// Attach implements the Peer service.
func (s *Spread) Attach(ctx context.Context, req *connect.Request[wire.AttachRequest]) (*connect.Response[wire.AttachResponse], error) {
	m := req.Msg
	t := s.config.Holder.Table()
	resp := &wire.AttachResponse{Revision: t.Number, Digest: t.Digest, Time: s.Checked()}
	self := s.config.View().Self.GetName()
	if !s.config.Tree.RankOf(self).Above(s.config.Tree.RankOf(m.GetName())) {
		resp.Refused = true
		return connect.NewResponse(resp), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.children[m.GetName()]
	if c == nil || c.addr != m.GetPeer() {
		c = &child{addr: m.GetPeer()}
		s.children[m.GetName()] = c
	}
	c.seen, c.revision, c.digest, c.report = time.Now(), m.GetRevision(), m.GetDigest(), m.GetReport()
	resp.Floor = s.floors[m.GetName()]
	s.floors[m.GetName()] = max(resp.Floor, m.GetRevision())
	s.start(context.WithoutCancel(ctx), c)
	return connect.NewResponse(resp), nil
}

// Push implements the Peer service.
func (s *Spread) Push(_ context.Context, req *connect.Request[wire.PushRequest]) (*connect.Response[wire.PushResponse], error) {
	resp := &wire.PushResponse{}
	if err := s.Offer(req.Msg.GetUpdate()); err != nil {
		resp.Findings = []*wire.Finding{{Place: "revision", Reason: err.Error()}}
	} else {
		s.confirm(req.Msg.GetTime())
	}
	t := s.config.Holder.Table()
	resp.Revision, resp.Digest = t.Number, t.Digest
	return connect.NewResponse(resp), nil
}

// Fetch implements the Peer service.
func (s *Spread) Fetch(_ context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	resp := &wire.FetchResponse{
		Update: s.config.Holder.Since(req.Msg.GetRevision(), req.Msg.GetDigest()), Time: s.Checked(),
		Revision: s.config.Holder.Table().Number, Floor: s.Floor(req.Msg.GetName()),
	}
	return connect.NewResponse(resp), nil
}
