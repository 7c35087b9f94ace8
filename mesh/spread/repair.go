package spread

// This file implements repair: the periodic digest exchange with a random peer
// (anti-entropy), and fetching what pushes have missed.

import (
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// repair tracks newer tables that peers hold and the fetches that catch up
// with them.
type repair struct {
	nextExchange  time.Time // when the next digest exchange is due
	aheadPeer     string    // peer that holds a newer table; empty if none is known
	aheadRevision uint64    // revision of aheadPeer
	behindSince   time.Time // when a newer revision than the local one was first seen
	gap           bool      // whether an update did not follow the table in force
	needsSnapshot bool      // whether an update was invalid, so that the next fetch requests a snapshot
	fetching      bool
	nextFetch     time.Time // earliest time of the next fetch
	lastFetch     time.Time // when the last fetch was sent
	failures      int
	busyUntil     map[string]time.Time // when to ask again those peers that were too busy to send a snapshot
}

// maxFetchBackoffDoublings limits how often the backoff is doubled when fetches
// get no response.
const maxFetchBackoffDoublings = 1

// RecordRevision records the revision that a peer reported in any message.
func (s *State) RecordRevision(name string, number uint64, now time.Time) {
	s.reported.record(name, number, now)
	r := &s.repair
	if number <= s.number() || number < r.aheadRevision {
		return
	}
	if r.aheadRevision <= s.number() {
		r.behindSince = now
	}
	r.aheadPeer, r.aheadRevision = name, number
	s.fetchIfCutOff(now)
}

// Behind reports whether a peer is known to hold a newer table.
func (s *State) Behind() bool { return s.repair.aheadRevision > s.number() }

// repairTick sends a fetch if the node has been behind for half a heartbeat
// interval, if it missed an update or needs a snapshot, or if it is behind at all
// after a start from an older copy of the platform and no parent will push to it.
// Otherwise it starts the digest exchange when that is due.
func (s *State) repairTick(now time.Time) {
	r := &s.repair
	for name, until := range r.busyUntil {
		if !now.Before(until) {
			delete(r.busyUntil, name)
		}
	}
	for name, a := range s.parentBackoffs {
		if now.Sub(a.until) > 64*s.config.HeartbeatInterval {
			delete(s.parentBackoffs, name)
		}
	}
	behind := s.Behind() && now.Sub(r.behindSince) >= s.patience()
	due := !now.Before(r.nextExchange)
	switch {
	case r.fetching || now.Before(r.nextFetch):
	case behind || r.gap || r.needsSnapshot:
		s.sendFetch(s.fetchPeer(), now)
	case due:
		r.nextExchange = now.Add(s.jitter(s.config.ExchangeInterval))
		s.sendFetch(s.fetchPeer(), now)
	}
}

// patience is how long the node may be behind before it fetches.
func (s *State) patience() time.Duration {
	if !s.floor.graceUntil.IsZero() && s.parent.name == "" && !s.config.Holder.Ready() {
		return 0
	}
	return s.config.HeartbeatInterval / 2
}

// sendFetch requests the update that follows the table in force from a peer, unless
// there is none.
func (s *State) sendFetch(m *wire.Member, now time.Time) {
	if m == nil {
		return
	}
	t := s.config.Holder.Table()
	req := &wire.FetchRequest{Name: s.placement.View.Self.GetName(), Revision: t.Number, Digest: t.Digest}
	if s.repair.needsSnapshot {
		req.Digest = nil
	}
	s.repair.fetching, s.repair.lastFetch = true, now
	s.emit(Action{Kind: ActionFetch, Name: m.GetName(), Addr: m.GetPeer(), Fetch: req, sentAt: now})
}

// fetchPeer returns the peer to fetch from, or nil. It prefers the peer that is
// known to be ahead, unless the last fetch failed. Otherwise it returns a random
// peer, preferably in the local failure domain.
func (s *State) fetchPeer() *wire.Member {
	r, v := &s.repair, s.placement.View
	isUsable := func(m *wire.Member) bool {
		_, busy := r.busyUntil[m.GetName()]
		return m != nil && !busy
	}
	if m := v.Members[r.aheadPeer]; r.aheadRevision > s.number() && r.failures == 0 && isUsable(m) {
		return m
	}
	var otherDomain *wire.Member
	for range 4 {
		m := s.randomPeer()
		if !isUsable(m) {
			continue
		}
		if m.GetDomain() == v.Self.GetDomain() {
			return m
		}
		otherDomain = m
	}
	return otherDomain
}

// HandleFetch returns the response to a fetch. update brings the requesting
// node to the table in force; it is nil if that node is not behind. A snapshot
// is withheld, and a delay returned instead, if [State.AdmitSnapshot] refuses
// it.
func (s *State) HandleFetch(req *wire.FetchRequest, update *wire.Update, now time.Time) *wire.FetchResponse {
	t := s.config.Holder.Table()
	resp := &wire.FetchResponse{Revision: t.Number, Time: s.confirmedAt, Floor: s.reported.revision(req.GetName()), Ready: s.floor.known, Confirmed: s.confirmedAge(now)}
	if req.GetAsk() {
		return resp
	}
	s.RecordRevision(req.GetName(), req.GetRevision(), now)
	switch {
	case req.GetRevision() >= t.Number:
		resp.Digest = t.Digest
	case update.GetSnapshot() != nil && !s.AdmitSnapshot(now):
		resp.Later = uint32(s.jitter(s.config.HeartbeatInterval).Milliseconds())
	default:
		resp.Update = update
	}
	return resp
}

// HandleFetchResponse processes the response to the fetch a; resp is nil if
// there was none. The caller then applies the update in resp, if any, and
// reports the result to [State.HandleApplyResult].
func (s *State) HandleFetchResponse(a Action, resp *wire.FetchResponse, now time.Time) {
	if a.Fetch.GetAsk() {
		s.handleFloorResponse(a.Name, resp, now)
		return
	}
	r := &s.repair
	r.fetching = false
	if resp == nil {
		r.nextFetch = now.Add(s.backoff(min(r.failures, maxFetchBackoffDoublings)))
		r.failures++
		return
	}
	s.config.Holder.RaiseFloor(resp.GetFloor())
	if later := time.Duration(resp.GetLater()) * time.Millisecond; later > 0 {
		if r.busyUntil == nil {
			r.busyUntil = map[string]time.Time{}
		}
		r.busyUntil[a.Name] = now.Add(later)
		r.nextFetch = now.Add(s.jitter(s.config.HeartbeatInterval) / 4)
		r.failures++
		return
	}
	if resp.GetUpdate() == nil {
		r.gap = false
		s.handleNoUpdate(a, resp)
	}
}

// handleNoUpdate processes a response without an update: the peer is not ahead.
// If it is behind, the update that it lacks is pushed to it; if not, the time at
// which it knew the head to be confirmed is recorded.
func (s *State) handleNoUpdate(a Action, resp *wire.FetchResponse) {
	r := &s.repair
	if a.Name == r.aheadPeer {
		r.aheadPeer, r.aheadRevision = "", 0
	}
	if resp.GetReady() && resp.GetRevision() < s.number() {
		s.emit(Action{Kind: ActionPush, Name: a.Name, Addr: a.Addr, From: Position{Number: resp.GetRevision(), Digest: resp.GetDigest()}})
		return
	}
	if resp.GetRevision() >= s.number() {
		s.Confirm(resp.GetTime())
	}
	s.confirmByPeer(resp.GetConfirmed(), resp.GetRevision(), a.sentAt)
}

// HandlePush returns the response to a push. err is the error of applying its
// update, if any; the caller has reported the result to HandleApplyResult
// before.
func (s *State) HandlePush(req *wire.PushRequest, err error) *wire.PushResponse {
	t := s.config.Holder.Table()
	resp := &wire.PushResponse{Revision: t.Number}
	if t.Number != PositionAfter(req.GetUpdate()).Number {
		resp.Digest = t.Digest
	}
	if err != nil {
		resp.Findings = []*wire.Finding{{Place: "revision", Reason: err.Error()}}
		return resp
	}
	s.Confirm(req.GetTime())
	if req.GetName() == s.parent.name {
		s.parent.knownRevision = max(s.parent.knownRevision, t.Number)
	}
	return resp
}

// PositionAfter returns the position in the history that an update leads to.
func PositionAfter(u *wire.Update) Position {
	if n := len(u.GetRevisions()); n > 0 {
		last := u.GetRevisions()[n-1]
		return Position{Number: last.GetNumber(), Digest: last.GetDigest()}
	}
	return Position{Number: u.GetSnapshot().GetNumber(), Digest: u.GetSnapshot().GetDigest()}
}

// HandleApplyResult processes the result of applying an update to the holder.
// An applied update is pushed to the children, a stale one is ignored, and one
// that leaves a gap causes a fetch. After any other error a snapshot is
// fetched, with backoff.
func (s *State) HandleApplyResult(err error, now time.Time) {
	r := &s.repair
	switch {
	case err == nil:
		s.findings, r.gap, r.needsSnapshot, r.failures, r.nextFetch = nil, false, false, 0, time.Time{}
		s.pushAll(now)
	case errors.Is(err, revision.ErrStale):
	case errors.Is(err, revision.ErrGap):
		r.gap = true
	default:
		s.findings = []*wire.Finding{{Place: "revision", Reason: err.Error()}}
		r.needsSnapshot = true
		r.nextFetch = now.Add(s.backoff(r.failures))
		r.failures++
	}
}
