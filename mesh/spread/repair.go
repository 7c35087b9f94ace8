package spread

// This file decides about repair: the digest exchange with a random peer, and
// fetching what push has missed.

import (
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// repair is what a node knows of tables newer than its own.
type repair struct {
	exchange time.Time // when the next exchange is due
	ahead    string    // peer that was seen ahead
	number   uint64    // its revision
	since    time.Time // when the node was first seen behind
	gap      bool      // an update did not follow the table in force
	whole    bool      // an update was bad, a snapshot is needed
	fetching bool
	next     time.Time // no fetch before
	failures int
	busy     map[string]time.Time // peers that asked to come back later
}

// maxSilence bounds the doublings of the backoff when peers do not answer.
const maxSilence = 1

// Heard takes the revision that a peer names in any message.
func (s *State) Heard(name string, number uint64, now time.Time) {
	s.memory.remember(name, number, now)
	r := &s.repair
	if number <= s.number() || number < r.number {
		return
	}
	if r.number <= s.number() {
		r.since = now
	}
	r.ahead, r.number = name, number
}

// Behind tells whether a peer holds a newer table.
func (s *State) Behind() bool { return s.repair.number > s.number() }

// repairTick fetches when the node has been behind for a while, and starts the
// digest exchange when it is due.
func (s *State) repairTick(now time.Time) {
	r := &s.repair
	for name, until := range r.busy {
		if !now.Before(until) {
			delete(r.busy, name)
		}
	}
	for name, a := range s.avoid {
		if now.Sub(a.until) > 64*s.config.Beat {
			delete(s.avoid, name)
		}
	}
	behind := s.Behind() && now.Sub(r.since) >= s.config.Beat/2
	due := !now.Before(r.exchange)
	switch {
	case r.fetching || now.Before(r.next):
	case behind || r.gap || r.whole:
		s.fetch()
	case due:
		r.exchange = now.Add(s.jitter(s.config.Exchange))
		s.fetch()
	}
}

// fetch asks a peer for what follows the table in force.
func (s *State) fetch() {
	m := s.source()
	if m == nil {
		return
	}
	t := s.config.Holder.Table()
	req := &wire.FetchRequest{Name: s.shape.View.Self.GetName(), Revision: t.Number, Digest: t.Digest}
	if s.repair.whole {
		req.Digest = nil
	}
	s.repair.fetching = true
	s.emit(Action{Kind: ActionFetch, Name: m.GetName(), Addr: m.GetPeer(), Fetch: req})
}

// source picks the peer to fetch from: first the one that is known to be
// ahead, then one at random, out of the own failure domain where possible.
func (s *State) source() *wire.Member {
	r, v := &s.repair, s.shape.View
	usable := func(m *wire.Member) bool {
		_, busy := r.busy[m.GetName()]
		return m != nil && !busy
	}
	if m := v.Members[r.ahead]; r.number > s.number() && r.failures == 0 && usable(m) {
		return m
	}
	var far *wire.Member
	for range 4 {
		m := s.random()
		if !usable(m) {
			continue
		}
		if m.GetDomain() == v.Self.GetDomain() {
			return m
		}
		far = m
	}
	return far
}

// Serve answers a fetch; update is what leads the caller to the table in
// force, nil when it is not behind.
func (s *State) Serve(req *wire.FetchRequest, update *wire.Update, now time.Time) *wire.FetchResponse {
	t := s.config.Holder.Table()
	resp := &wire.FetchResponse{Revision: t.Number, Time: s.checked, Floor: s.memory.floor(req.GetName()), Ready: s.floor.known}
	if req.GetAsk() {
		return resp
	}
	s.Heard(req.GetName(), req.GetRevision(), now)
	switch {
	case req.GetRevision() >= t.Number:
		resp.Digest = t.Digest
	case update.GetSnapshot() != nil && !s.Admit(now):
		resp.Later = uint32(s.jitter(s.config.Beat).Milliseconds())
	default:
		resp.Update = update
	}
	return resp
}

// Fetched takes the answer to a fetch, or nil when there was none. The owner
// applies the update that it carries after that.
func (s *State) Fetched(a Action, resp *wire.FetchResponse, now time.Time) {
	if a.Fetch.GetAsk() {
		s.answered(a.Name, resp, now)
		return
	}
	r := &s.repair
	r.fetching = false
	if resp == nil {
		r.next = now.Add(s.backoff(min(r.failures, maxSilence)))
		r.failures++
		return
	}
	s.config.Holder.Raise(resp.GetFloor())
	if later := time.Duration(resp.GetLater()) * time.Millisecond; later > 0 {
		if r.busy == nil {
			r.busy = map[string]time.Time{}
		}
		r.busy[a.Name] = now.Add(later)
		r.next = now.Add(s.jitter(s.config.Beat) / 4)
		r.failures++
		return
	}
	if resp.GetUpdate() == nil {
		r.gap = false
		s.even(a, resp)
	}
}

// even takes an answer without an update: the peer is not ahead. It is pushed
// to when it is behind.
func (s *State) even(a Action, resp *wire.FetchResponse) {
	r := &s.repair
	if a.Name == r.ahead {
		r.ahead, r.number = "", 0
	}
	if resp.GetReady() && resp.GetRevision() < s.number() {
		s.emit(Action{Kind: ActionPush, Name: a.Name, Addr: a.Addr, From: Mark{Number: resp.GetRevision(), Digest: resp.GetDigest()}})
		return
	}
	if resp.GetRevision() >= s.number() {
		s.Confirm(resp.GetTime())
	}
}

// Took answers a push after the outcome of applying it has been Offered.
func (s *State) Took(req *wire.PushRequest, err error) *wire.PushResponse {
	t := s.config.Holder.Table()
	resp := &wire.PushResponse{Revision: t.Number}
	if t.Number != LastMark(req.GetUpdate()).Number {
		resp.Digest = t.Digest
	}
	if err != nil {
		resp.Findings = []*wire.Finding{{Place: "revision", Reason: err.Error()}}
		return resp
	}
	s.Confirm(req.GetTime())
	if req.GetName() == s.parent.name {
		s.parent.told = max(s.parent.told, t.Number)
	}
	return resp
}

// LastMark returns the place that an update leads to.
func LastMark(u *wire.Update) Mark {
	if n := len(u.GetRevisions()); n > 0 {
		last := u.GetRevisions()[n-1]
		return Mark{Number: last.GetNumber(), Digest: last.GetDigest()}
	}
	return Mark{Number: u.GetSnapshot().GetNumber(), Digest: u.GetSnapshot().GetDigest()}
}

// Offered takes the outcome of applying an update to the holder.
func (s *State) Offered(err error, now time.Time) {
	r := &s.repair
	switch {
	case err == nil:
		s.findings, r.gap, r.whole, r.failures, r.next = nil, false, false, 0, time.Time{}
		s.pushAll(now)
	case errors.Is(err, revision.ErrStale):
	case errors.Is(err, revision.ErrGap):
		r.gap = true
	default:
		s.findings = []*wire.Finding{{Place: "revision", Reason: err.Error()}}
		r.whole = true
		r.next = now.Add(s.backoff(r.failures))
		r.failures++
	}
}
