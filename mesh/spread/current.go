package spread

// This file tracks when the table in force was last known to be the newest one, on the
// local clock, and asks peers for a newer table at once where waiting for the next tick
// would be too late. It handles nodes that the platform turns away: they get a changed
// configuration from their peers alone. Messages carry ages, since clocks differ.

import (
	"time"

	"caroblift.dev/wire"
)

// minDemandedFetchInterval is the shortest time between two fetches that the owner
// demands. Callers with unknown keys may cause one each; they come back after 300 ms.
const minDemandedFetchInterval = 250 * time.Millisecond

// maxConfirmedAge bounds the ages that are passed on, so that they fit the message.
const maxConfirmedAge = 24 * time.Hour

// CurrentAt returns when the table in force was last known to be the newest one, or the
// zero time if that is not known.
func (s *State) CurrentAt() time.Time { return s.currentAt }

// ConfirmOwn records when the platform last confirmed the head to this node, in Unix ms of
// its own clock; 0 if it never did.
func (s *State) ConfirmOwn(checked int64, now time.Time) {
	s.Confirm(checked)
	if age := now.Sub(time.UnixMilli(checked)); checked > 0 && age >= 0 {
		s.confirmCurrent(now.Add(-age))
	}
}

func (s *State) confirmCurrent(at time.Time) {
	if at.After(s.currentAt) {
		s.currentAt = at
	}
}

// confirmedAge returns the age of the last confirmation in the form that messages carry:
// in ms, rounded up, or 0 if there was none.
func (s *State) confirmedAge(now time.Time) uint32 {
	age := now.Sub(s.currentAt)
	if s.currentAt.IsZero() || age < 0 || age > maxConfirmedAge {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

// confirmByPeer records the confirmation that a response carries. The age counts from
// when the request was sent: the response may have been on its way ever since.
func (s *State) confirmByPeer(confirmed uint32, revision uint64, sentAt time.Time) {
	if confirmed > 0 && !sentAt.IsZero() && s.number() >= revision {
		s.confirmCurrent(sentAt.Add(-time.Duration(confirmed) * time.Millisecond))
	}
}

// ConfirmFetched records the confirmation in the response to the fetch a, after its
// update was applied.
func (s *State) ConfirmFetched(a Action, resp *wire.FetchResponse) {
	s.Confirm(resp.GetTime())
	s.confirmByPeer(resp.GetConfirmed(), resp.GetRevision(), a.sentAt)
}

// HasActions reports whether there are actions to carry out.
func (s *State) HasActions() bool { return len(s.actions) > 0 }

// FetchNow asks a peer for a newer table without waiting for the next tick, unless a
// fetch is in progress or one was made just now.
func (s *State) FetchNow(now time.Time) {
	r := &s.repair
	if !s.floor.known || r.fetching || now.Before(r.nextFetch) || now.Sub(r.lastFetch) < minDemandedFetchInterval {
		return
	}
	s.demandFetch(now)
}

// demandFetch sends a fetch to the peer that is ahead, or else to one that most likely
// knows of the newest table: a parent candidate in turn, or a random peer.
func (s *State) demandFetch(now time.Time) {
	candidates := s.placement.Candidates
	if s.Behind() || len(candidates) == 0 || s.repair.failures > 0 {
		s.sendFetch(s.fetchPeer(), now)
		return
	}
	s.sendFetch(candidates[s.config.Rand.IntN(min(len(candidates), demandCandidates))], now)
}

// demandCandidates is the number of parent candidates that a demanded fetch chooses among.
// Those near the root read the platform; a few of them suffice when one is cut off.
const demandCandidates = 4

// fetchIfCutOff fetches a newer table at once from the peer that has just reported it, if
// the platform does not answer this node.
func (s *State) fetchIfCutOff(now time.Time) {
	if s.config.PlatformAnswers != nil && !s.config.PlatformAnswers() && s.Behind() {
		s.FetchNow(now)
	}
}
