package spread

// This file decides about the children: who may hang under the own node, what
// is pushed to whom, and what the children report.

import (
	"maps"
	"slices"
	"time"

	"caroblift.dev/wire"
)

// Times of children, in beats.
const (
	childLife  = 4 // silence after which a child is dropped
	lagGrace   = 3 // being behind after which a child is a laggard
	refuseTime = 8 // until a refused child may try again
)

// child is a node that hangs under the own one.
type child struct {
	name        string
	addr        string
	domain      string
	incarnation uint64
	rank        Rank
	mark        Mark
	seen        time.Time
	age         time.Duration // of its report when it was last seen
	report      *wire.Report  // of its subtree without itself
	pushing     bool
	retry       time.Time // no push before
	failures    int       // pushes that the child refused in a row
	behind      time.Time // when it fell behind; zero when it is not
}

// Attach answers the heartbeat of a child.
func (s *State) Attach(req *wire.AttachRequest, now time.Time) *wire.AttachResponse {
	name, number := req.GetName(), s.number()
	resp := &wire.AttachResponse{Revision: number, Time: s.checked}
	if f := s.memory.floor(name); f > req.GetRevision() {
		resp.Floor = f
	}
	s.memory.remember(name, req.GetRevision(), now)
	c := s.children[name]
	if c != nil && (c.incarnation != req.GetIncarnation() || req.GetLeave()) {
		delete(s.children, name)
		c = nil
	}
	switch {
	case req.GetLeave():
		return resp
	case !s.takes(name, c):
		resp.Refused, resp.Later = true, s.refusal()
		return resp
	case c == nil && req.GetPeer() == "":
		resp.Again = true
		return resp
	case c == nil:
		c = &child{name: name, incarnation: req.GetIncarnation(), rank: s.config.Tree.RankOf(name)}
		s.children[name] = c
	}
	s.heard(c, req, now)
	s.push(c, now)
	return resp
}

// refusal returns when a refused child may try again, in ms.
func (s *State) refusal() uint32 {
	if !s.floor.known {
		return uint32(s.jitter(s.config.Beat).Milliseconds())
	}
	return uint32(s.jitter(refuseTime * s.config.Beat).Milliseconds())
}

// takes tells whether a node may be a child. A node that is full takes one of
// higher rank in place of its lowest, so each node finds a parent.
func (s *State) takes(name string, c *child) bool {
	rank := s.config.Tree.RankOf(name)
	if !s.shape.rank.Above(rank) || s.shape.View.Self.GetState() == wire.State_STATE_LEAVING || !s.floor.known {
		return false
	}
	if c != nil || len(s.children) < s.config.Tree.Capacity() {
		return true
	}
	var lowest *child
	for _, o := range s.children {
		if lowest == nil || lowest.rank.Above(o.rank) {
			lowest = o
		}
	}
	if !rank.Above(lowest.rank) {
		return false
	}
	delete(s.children, lowest.name)
	return true
}

// heard takes what a child says of itself.
func (s *State) heard(c *child, req *wire.AttachRequest, now time.Time) {
	c.seen, c.age = now, time.Duration(req.GetAge())*time.Millisecond
	if req.GetPeer() != "" {
		c.addr, c.domain = req.GetPeer(), req.GetDomain()
	}
	if req.GetReport() != nil {
		c.report = req.GetReport()
	}
	s.advance(c, Mark{Number: req.GetRevision(), Digest: req.GetDigest()}, now)
}

// advance takes note of where a child stands.
func (s *State) advance(c *child, m Mark, now time.Time) {
	if m.Number > c.mark.Number || m.Number == c.mark.Number && len(c.mark.Digest) == 0 {
		c.mark, c.failures, c.retry = m, 0, time.Time{}
	}
	switch {
	case c.mark.Number >= s.number():
		c.behind = time.Time{}
	case c.behind.IsZero():
		c.behind = now
	}
}

// expire drops the children that have fallen silent.
func (s *State) expire(now time.Time) {
	maps.DeleteFunc(s.children, func(_ string, c *child) bool {
		return now.Sub(c.seen) > childLife*s.config.Beat
	})
}

func (s *State) pushAll(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.children)) {
		s.push(s.children[name], now)
	}
}

// push sends a child what it lacks unless a push is under way; what changes
// meanwhile goes with the next one.
func (s *State) push(c *child, now time.Time) {
	if c.mark.Number >= s.number() {
		return
	}
	if c.behind.IsZero() {
		c.behind = now
	}
	patient := c.mark.Number > 0 && now.Sub(c.behind) < s.config.Patience // one without a table is helped at once
	if c.pushing || now.Before(c.retry) || patient {
		return
	}
	c.pushing = true
	s.emit(Action{Kind: ActionPush, Name: c.name, Addr: c.addr, From: c.mark, child: c})
}

// Pushed takes the answer to a push that led up to a mark, or nil when there
// was none.
func (s *State) Pushed(a Action, sent Mark, resp *wire.PushResponse, now time.Time) {
	if resp != nil {
		s.memory.remember(a.Name, resp.GetRevision(), now)
	}
	c := a.child
	if c == nil || s.children[c.name] != c {
		return
	}
	c.pushing = false
	at := Mark{Number: resp.GetRevision(), Digest: resp.GetDigest()}
	if at.Number == sent.Number {
		at.Digest = sent.Digest
	}
	switch {
	case resp == nil:
		c.retry = now.Add(s.config.Beat)
		return
	case at.Number <= a.From.Number:
		c.retry = now.Add(s.backoff(c.failures))
		c.failures++
		return
	}
	s.advance(c, at, now)
	s.push(c, now)
}

// Postponed takes note that a push could not be started; it is tried again.
func (s *State) Postponed(a Action, now time.Time) {
	if a.child != nil {
		a.child.pushing = false
		a.child.retry = now.Add(s.config.Beat / 4)
	}
}

// Admit tells whether one more snapshot may be sent now.
func (s *State) Admit(now time.Time) bool {
	s.served = slices.DeleteFunc(s.served, func(at time.Time) bool { return now.Sub(at) >= s.config.Beat })
	if len(s.served) >= s.config.Snapshots {
		return false
	}
	s.served = append(s.served, now)
	return true
}

// Below returns the report of the subtree without the own node's revision. It
// holds the own findings.
func (s *State) Below(now time.Time) *wire.Report {
	var reports []*wire.Report
	for _, c := range s.children {
		reports = append(reports, c.report, c.own(now, s.config.Beat))
	}
	if len(s.findings) > 0 {
		self := s.shape.View.Self
		reports = append(reports, &wire.Report{Laggards: []*wire.Lag{{
			Name: self.GetName(), Domain: self.GetDomain(), Revision: s.number(), Findings: s.findings,
		}}})
	}
	return Merge(reports...)
}

// own reports on the child itself.
func (c *child) own(now time.Time, beat time.Duration) *wire.Report {
	r := &wire.Report{
		Counts: []*wire.Count{{Domain: c.domain, Revision: c.mark.Number, Nodes: 1}},
		Age:    uint32((now.Sub(c.seen) + c.age).Milliseconds()),
	}
	if c.behind.IsZero() || now.Sub(c.behind) < lagGrace*beat {
		return r
	}
	for _, l := range c.report.GetLaggards() {
		if l.GetName() == c.name {
			return r
		}
	}
	r.Laggards = []*wire.Lag{{Name: c.name, Domain: c.domain, Revision: c.mark.Number}}
	return r
}

// Report returns the report of the own node and its subtree.
func (s *State) Report(now time.Time) *wire.Report {
	self := s.shape.View.Self
	return Merge(s.Below(now), &wire.Report{Counts: []*wire.Count{{
		Domain: self.GetDomain(), Revision: s.number(), Nodes: 1,
	}}})
}
