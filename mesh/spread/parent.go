package spread

// This file chooses the parent of the local node and sends it heartbeats.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// parentLink is the connection to the current parent; the zero value means none.
type parentLink struct {
	name          string
	addr          string
	attaching     bool         // whether an attach is in flight
	knownRevision uint64       // newest revision whose digest the parent knows
	lastReport    *wire.Report // last report that the parent received
}

// parentBackoff delays the next attach to a parent that failed or refused.
type parentBackoff struct {
	failedAt time.Time
	until    time.Time
	failures int
}

// maxOrphanBackoffHeartbeats limits the backoff for a parent while the node has
// none, in heartbeat intervals since the failure.
const maxOrphanBackoffHeartbeats = 4

// inBackoff reports whether the node must not attach to the named parent yet.
func (s *State) inBackoff(name string, now time.Time) bool {
	a, ok := s.parentBackoffs[name]
	if !ok || s.parent.name == "" && now.Sub(a.failedAt) >= maxOrphanBackoffHeartbeats*s.config.HeartbeatInterval {
		return false
	}
	return now.Before(a.until)
}

// renewParent sends the heartbeat to the parent and looks for a better one. A
// parent that no longer fits is given up.
func (s *State) renewParent(now time.Time) {
	if s.parent.name != "" && !s.placement.CanBeParent(s.parent.name) {
		s.parent = parentLink{}
	}
	if s.parent.name != "" && !s.parent.attaching {
		s.parent.attaching = true
		s.sendAttach(s.parent.name, s.parent.addr, false, now)
	}
	s.seekParent(now)
}

// maxAttachAttempts is the maximum number of new parents tried between two ticks.
const maxAttachAttempts = 4

// seekParent attaches to the best parent that is not in backoff, unless it is
// the current one.
func (s *State) seekParent(now time.Time) {
	if s.candidate != "" || s.attachAttempts == maxAttachAttempts {
		return
	}
	best := s.placement.BestParent(func(name string) bool { return s.inBackoff(name, now) })
	if best == nil || best.GetName() == s.parent.name {
		return
	}
	s.candidate = best.GetName()
	s.attachAttempts++
	s.sendAttach(best.GetName(), best.GetPeer(), true, now)
}

// sendAttach sends an attach request. Unless full is set, the request leaves out
// what the parent already knows.
func (s *State) sendAttach(name, addr string, full bool, now time.Time) {
	t, self, report := s.config.Holder.Table(), s.placement.View.Self, s.DescendantReport(now)
	req := &wire.AttachRequest{
		Name: self.GetName(), Incarnation: self.GetIncarnation(), Revision: t.Number, Age: report.Age, Usage: s.config.Usage.Subtree(now),
	}
	report.Age = 0
	if full || t.Number != s.parent.knownRevision {
		req.Digest = t.Digest
	}
	if full {
		req.Peer, req.Domain = self.GetPeer(), self.GetDomain()
	}
	if full || !proto.Equal(report, s.parent.lastReport) {
		req.Report = report
	}
	s.emit(Action{Kind: ActionAttach, Name: name, Addr: addr, Attach: req, sentAt: now, attachRevision: t.Number, attachReport: report})
}

// HandleAttachResponse processes the response to the attach a; resp is nil if
// there was none.
func (s *State) HandleAttachResponse(a Action, resp *wire.AttachResponse, now time.Time) {
	if a.Attach.GetLeave() {
		return
	}
	if a.Name == s.candidate {
		s.candidate = ""
	}
	if a.Name == s.parent.name {
		s.parent.attaching = false
	}
	if resp == nil || resp.GetRefused() {
		s.handleAttachFailure(a.Name, resp, now)
		return
	}
	delete(s.parentBackoffs, a.Name)
	s.config.Holder.RaiseFloor(resp.GetFloor())
	if s.number() >= resp.GetRevision() {
		s.Confirm(resp.GetTime())
	}
	s.confirmByPeer(resp.GetConfirmed(), resp.GetRevision(), a.sentAt)
	s.RecordRevision(a.Name, resp.GetRevision(), now)
	if resp.GetAgain() {
		s.reattach(a, now)
		return
	}
	s.setParent(a)
	s.config.Usage.HandleTotals(resp.GetUsage(), now)
}

// setParent makes the node that accepted the attach a the parent, and sends a
// leave to the previous one.
func (s *State) setParent(a Action) {
	if old := s.parent; old.name != "" && old.name != a.Name {
		self := s.placement.View.Self
		s.emit(Action{Kind: ActionAttach, Name: old.name, Addr: old.addr, Attach: &wire.AttachRequest{
			Name: self.GetName(), Incarnation: self.GetIncarnation(), Revision: s.number(), Leave: true,
		}})
	}
	if a.Name != s.parent.name {
		s.parent = parentLink{name: a.Name, addr: a.Addr}
	}
	s.parent.knownRevision = max(s.parent.knownRevision, a.attachRevision)
	s.parent.lastReport = a.attachReport
}

// reattach sends a full request to a parent that no longer knows this child.
func (s *State) reattach(a Action, now time.Time) {
	if a.Name != s.parent.name || s.candidate != "" || a.Attach.GetPeer() != "" {
		return
	}
	s.parent = parentLink{}
	s.candidate = a.Name
	s.sendAttach(a.Name, a.Addr, true, now)
}

// handleAttachFailure starts or extends the backoff for a parent that did not
// answer (resp is nil) or refused. If the node then has no parent, it tries the
// next candidate at once.
func (s *State) handleAttachFailure(name string, resp *wire.AttachResponse, now time.Time) {
	a := s.parentBackoffs[name]
	a.until = now.Add(max(s.backoff(a.failures+1), time.Duration(resp.GetLater())*time.Millisecond))
	a.failures++
	a.failedAt = now
	s.parentBackoffs[name] = a
	if name == s.parent.name {
		s.parent = parentLink{}
	}
	if s.parent.name == "" {
		s.seekParent(now)
	}
}
