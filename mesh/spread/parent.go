package spread

// This file decides whom the own node hangs under, and what it tells there.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// link is the present parent.
type link struct {
	name   string
	addr   string
	busy   bool         // an attach is under way
	told   uint64       // revision whose digest the parent knows
	report *wire.Report // last report that the parent took
}

// avoidance keeps a node from trying a parent.
type avoidance struct {
	since    time.Time
	until    time.Time
	failures int
}

// orphanWait is how many beats a node without a parent avoids one at most.
const orphanWait = 4

// avoided tells whether a parent is not to be tried now.
func (s *State) avoided(name string, now time.Time) bool {
	a, ok := s.avoid[name]
	if !ok || s.parent.name == "" && now.Sub(a.since) >= orphanWait*s.config.Beat {
		return false
	}
	return now.Before(a.until)
}

// renew sends the heartbeat to the parent and looks for a better one.
func (s *State) renew(now time.Time) {
	if s.parent.name != "" && !s.shape.Fits(s.parent.name) {
		s.parent = link{}
	}
	if s.parent.name != "" && !s.parent.busy {
		s.parent.busy = true
		s.attach(s.parent.name, s.parent.addr, false, now)
	}
	s.seek(now)
}

// maxTries bounds the parents that are tried within one beat.
const maxTries = 4

// seek tries the best parent unless it is the present one.
func (s *State) seek(now time.Time) {
	if s.trying != "" || s.tries == maxTries {
		return
	}
	best := s.shape.Best(func(name string) bool { return s.avoided(name, now) })
	if best == nil || best.GetName() == s.parent.name {
		return
	}
	s.trying = best.GetName()
	s.tries++
	s.attach(best.GetName(), best.GetPeer(), true, now)
}

// attach sends a whole request, or one without what the parent knows.
func (s *State) attach(name, addr string, whole bool, now time.Time) {
	t, self, below := s.config.Holder.Table(), s.shape.View.Self, s.Below(now)
	req := &wire.AttachRequest{Name: self.GetName(), Incarnation: self.GetIncarnation(), Revision: t.Number, Age: below.Age}
	below.Age = 0
	if whole || t.Number != s.parent.told {
		req.Digest = t.Digest
	}
	if whole {
		req.Peer, req.Domain = self.GetPeer(), self.GetDomain()
	}
	if whole || !proto.Equal(below, s.parent.report) {
		req.Report = below
	}
	s.emit(Action{Kind: ActionAttach, Name: name, Addr: addr, Attach: req, told: t.Number, sent: below})
}

// Attached takes the answer to an attach, or nil when there was none.
func (s *State) Attached(a Action, resp *wire.AttachResponse, now time.Time) {
	if a.Attach.GetLeave() {
		return
	}
	if a.Name == s.trying {
		s.trying = ""
	}
	if a.Name == s.parent.name {
		s.parent.busy = false
	}
	if resp == nil || resp.GetRefused() {
		s.turnedDown(a.Name, resp, now)
		return
	}
	delete(s.avoid, a.Name)
	s.config.Holder.Raise(resp.GetFloor())
	if s.number() >= resp.GetRevision() {
		s.Confirm(resp.GetTime())
	}
	s.Heard(a.Name, resp.GetRevision(), now)
	if resp.GetAgain() {
		s.again(a, now)
		return
	}
	s.adopt(a)
}

// adopt makes the node that took an attach the parent, and leaves the old one.
func (s *State) adopt(a Action) {
	if old := s.parent; old.name != "" && old.name != a.Name {
		self := s.shape.View.Self
		s.emit(Action{Kind: ActionAttach, Name: old.name, Addr: old.addr, Attach: &wire.AttachRequest{
			Name: self.GetName(), Incarnation: self.GetIncarnation(), Revision: s.number(), Leave: true,
		}})
	}
	if a.Name != s.parent.name {
		s.parent = link{name: a.Name, addr: a.Addr}
	}
	s.parent.told = max(s.parent.told, a.told)
	s.parent.report = a.sent
}

// again sends a whole request to a parent that has forgotten this child.
func (s *State) again(a Action, now time.Time) {
	if a.Name != s.parent.name || s.trying != "" || a.Attach.GetPeer() != "" {
		return
	}
	s.parent = link{}
	s.trying = a.Name
	s.attach(a.Name, a.Addr, true, now)
}

// turnedDown takes a failure or a refusal, and tries the next parent at once.
func (s *State) turnedDown(name string, resp *wire.AttachResponse, now time.Time) {
	a := s.avoid[name]
	a.until = now.Add(max(s.backoff(a.failures+1), time.Duration(resp.GetLater())*time.Millisecond))
	a.failures++
	a.since = now
	s.avoid[name] = a
	if name == s.parent.name {
		s.parent = link{}
	}
	if s.parent.name == "" {
		s.seek(now)
	}
}
