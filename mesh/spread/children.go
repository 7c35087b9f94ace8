package spread

// This file manages the children of the local node: which nodes are accepted,
// what is pushed to them, and what they report.

import (
	"maps"
	"slices"
	"time"

	"caroblift.dev/wire"
)

// Times in heartbeat intervals.
const (
	childTimeoutHeartbeats = 4 // a child that was silent for longer is dropped
	laggardAfterHeartbeats = 3 // a child that was behind for as long is a laggard
	refusalHeartbeats      = 8 // delay before a refused child may attach again
)

// child is a node that is attached to the local node.
type child struct {
	name          string
	addr          string
	domain        string
	incarnation   uint64
	rank          Rank
	position      Position
	lastHeard     time.Time
	reportAge     time.Duration // age of its report at lastHeard
	report        *wire.Report  // on its subtree without itself
	pushing       bool          // a push is in flight
	nextPush      time.Time     // earliest time of the next push
	refusedPushes int           // consecutive pushes after which the child had not advanced
	behindSince   time.Time     // when it fell behind; zero if it is not behind
}

// HandleAttach processes the heartbeat of a child, or of a node that asks to
// become one, and returns the response.
func (s *State) HandleAttach(req *wire.AttachRequest, now time.Time) *wire.AttachResponse {
	name, number := req.GetName(), s.number()
	resp := &wire.AttachResponse{Revision: number, Time: s.confirmedAt, Confirmed: s.confirmedAge(now)}
	if f := s.reported.revision(name); f > req.GetRevision() {
		resp.Floor = f
	}
	s.reported.record(name, req.GetRevision(), now)
	c := s.children[name]
	if c != nil && (c.incarnation != req.GetIncarnation() || req.GetLeave()) {
		s.dropChild(name, now)
		c = nil
	}
	switch {
	case req.GetLeave():
		return resp
	case !s.acceptsChild(name, c, now):
		resp.Refused, resp.Later = true, s.refusalDelay()
		return resp
	case c == nil && req.GetPeer() == "":
		resp.Again = true
		return resp
	case c == nil:
		c = &child{name: name, incarnation: req.GetIncarnation(), rank: s.config.Tree.RankOf(name)}
		s.children[name] = c
	}
	s.updateChild(c, req, now)
	resp.Usage = s.config.Usage.HandleChild(name, req.GetUsage(), now)
	s.push(c, now)
	return resp
}

// refusalDelay returns how long a refused child waits before it may attach
// again, in ms. While the floor is unknown it is about one heartbeat interval.
func (s *State) refusalDelay() uint32 {
	if !s.floor.known {
		return uint32(s.jitter(s.config.HeartbeatInterval).Milliseconds())
	}
	return uint32(s.jitter(refusalHeartbeats * s.config.HeartbeatInterval).Milliseconds())
}

// acceptsChild reports whether the named node may be a child; c is nil unless it
// is one already. At full capacity, a node that outranks the lowest child
// replaces it, so that every node finds a parent.
func (s *State) acceptsChild(name string, c *child, now time.Time) bool {
	rank := s.config.Tree.RankOf(name)
	if !s.placement.rank.Above(rank) || s.placement.View.Self.GetState() == wire.State_STATE_LEAVING || !s.floor.known {
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
	s.dropChild(lowest.name, now)
	return true
}

// updateChild records the contents of a child's heartbeat.
func (s *State) updateChild(c *child, req *wire.AttachRequest, now time.Time) {
	c.lastHeard, c.reportAge = now, time.Duration(req.GetAge())*time.Millisecond
	if req.GetPeer() != "" {
		c.addr, c.domain = req.GetPeer(), req.GetDomain()
	}
	if req.GetReport() != nil {
		c.report = req.GetReport()
	}
	s.updatePosition(c, Position{Number: req.GetRevision(), Digest: req.GetDigest()}, now)
}

// updatePosition records the position of a child in the history.
func (s *State) updatePosition(c *child, position Position, now time.Time) {
	if position.Number > c.position.Number || position.Number == c.position.Number && len(c.position.Digest) == 0 {
		c.position, c.refusedPushes, c.nextPush = position, 0, time.Time{}
	}
	switch {
	case c.position.Number >= s.number():
		c.behindSince = time.Time{}
	case c.behindSince.IsZero():
		c.behindSince = now
	}
}

// expireChildren drops the children whose heartbeats have stopped.
func (s *State) expireChildren(now time.Time) {
	for name, c := range s.children {
		if now.Sub(c.lastHeard) > childTimeoutHeartbeats*s.config.HeartbeatInterval {
			s.dropChild(name, now)
		}
	}
}

func (s *State) pushAll(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.children)) {
		s.push(s.children[name], now)
	}
}

// push sends a child the revisions that it lacks. While a push is in flight it
// does nothing; changes made meanwhile go out with the next push.
func (s *State) push(c *child, now time.Time) {
	if c.position.Number >= s.number() {
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	deferred := c.position.Number > 0 && now.Sub(c.behindSince) < s.config.PushDelay // a child without a table gets a push at once
	if c.pushing || now.Before(c.nextPush) || deferred {
		return
	}
	c.pushing = true
	s.emit(Action{Kind: ActionPush, Name: c.name, Addr: c.addr, From: c.position, child: c})
}

// HandlePushResponse processes the response to the push a, whose update led to
// sent; resp is nil if there was none.
func (s *State) HandlePushResponse(a Action, sent Position, resp *wire.PushResponse, now time.Time) {
	if resp != nil {
		s.reported.record(a.Name, resp.GetRevision(), now)
	}
	c := a.child
	if c == nil || s.children[c.name] != c {
		return
	}
	c.pushing = false
	at := Position{Number: resp.GetRevision(), Digest: resp.GetDigest()}
	if at.Number == sent.Number {
		at.Digest = sent.Digest
	}
	switch {
	case resp == nil:
		c.nextPush = now.Add(s.config.HeartbeatInterval)
		return
	case at.Number <= a.From.Number:
		c.nextPush = now.Add(s.backoff(c.refusedPushes))
		c.refusedPushes++
		return
	}
	s.updatePosition(c, at, now)
	s.push(c, now)
}

// DeferPush records that the push a could not be started. It is retried after a
// quarter of a heartbeat interval.
func (s *State) DeferPush(a Action, now time.Time) {
	if a.child != nil {
		a.child.pushing = false
		a.child.nextPush = now.Add(s.config.HeartbeatInterval / 4)
	}
}

// AdmitSnapshot reports whether one more snapshot may be sent now, and if so
// counts it.
func (s *State) AdmitSnapshot(now time.Time) bool {
	s.snapshotTimes = slices.DeleteFunc(s.snapshotTimes, func(at time.Time) bool { return now.Sub(at) >= s.config.HeartbeatInterval })
	if len(s.snapshotTimes) >= s.config.MaxSnapshots {
		return false
	}
	s.snapshotTimes = append(s.snapshotTimes, now)
	return true
}

// DescendantReport returns the report on the subtree of the local node. It
// leaves out the revision of the local node but includes its findings.
func (s *State) DescendantReport(now time.Time) *wire.Report {
	var reports []*wire.Report
	for _, c := range s.children {
		reports = append(reports, c.report, c.selfReport(now, s.config.HeartbeatInterval))
	}
	if len(s.findings) > 0 {
		self := s.placement.View.Self
		reports = append(reports, &wire.Report{Laggards: []*wire.Lag{{
			Name: self.GetName(), Domain: self.GetDomain(), Revision: s.number(), Findings: s.findings,
		}}})
	}
	return MergeReports(reports...)
}

// selfReport returns a report on the child alone, without its subtree.
func (c *child) selfReport(now time.Time, heartbeat time.Duration) *wire.Report {
	r := &wire.Report{
		Counts: []*wire.Count{{Domain: c.domain, Revision: c.position.Number, Nodes: 1}},
		Age:    uint32((now.Sub(c.lastHeard) + c.reportAge).Milliseconds()),
	}
	if c.behindSince.IsZero() || now.Sub(c.behindSince) < laggardAfterHeartbeats*heartbeat {
		return r
	}
	for _, l := range c.report.GetLaggards() {
		if l.GetName() == c.name {
			return r
		}
	}
	r.Laggards = []*wire.Lag{{Name: c.name, Domain: c.domain, Revision: c.position.Number}}
	return r
}

// Report returns the report on the local node and its subtree.
func (s *State) Report(now time.Time) *wire.Report {
	self := s.placement.View.Self
	return MergeReports(s.DescendantReport(now), &wire.Report{Counts: []*wire.Count{{
		Domain: self.GetDomain(), Revision: s.number(), Nodes: 1,
	}}})
}
