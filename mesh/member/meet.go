package member

// This file looks for other fleets after a node has joined. Nodes that start together
// can join through each other before any of them has met the rest, for example while
// their links are cut. No member of such a fleet knows one of the others, so neither
// heartbeats nor anti-entropy lead there: only the meeting points do.

import (
	"slices"
	"time"

	"caroblift.dev/wire"
)

const (
	// meetAgainHeartbeats is the time after joining, in heartbeats, after which the meeting
	// points are read once more. Each node waits up to twice as long, at random. By then the
	// points of nodes that started at the same time are written and their tables merged.
	meetAgainHeartbeats = 4
	// maxMeetDoublings bounds the doublings of that time while the platform does not answer.
	maxMeetDoublings = 3
	// maxUnmetTries is the number of unknown meeting points that a node contacts. Most name
	// nodes that are gone, and each node of each fleet tries others.
	maxUnmetTries = 8
)

// fleetSearch is the search of a joined node for nodes that are not in its table.
type fleetSearch struct {
	readAt   time.Time // when the meeting points are to be read; zero when they need not be
	failures int       // reads without an answer
	unmet    []string  // addresses to contact, one in each heartbeat round
}

// scheduleFleetSearch plans the read of the meeting points after the node has joined, or
// after a read that got no answer.
func (a *Agent) scheduleFleetSearch(now time.Time) {
	if !a.config.HasMeetingPoints {
		return
	}
	delay := meetAgainHeartbeats * a.config.Heartbeat << min(a.fleetSearch.failures, maxMeetDoublings)
	a.fleetSearch.readAt = now.Add(delay + time.Duration(a.rand.Int64N(int64(delay))))
}

// fleetSearchDue returns the read of the meeting points if it is due.
func (a *Agent) fleetSearchDue(now time.Time) []Action {
	if !a.joinSearch.joined || a.fleetSearch.readAt.IsZero() || now.Before(a.fleetSearch.readAt) {
		return nil
	}
	a.fleetSearch.readAt = time.Time{}
	return []Action{{Kind: DiscoverFleets, IssuedAt: now}}
}

// recordMeetingPoints takes the members that the meeting points name, which are none if
// the platform did not answer, and selects those to contact.
func (a *Agent) recordMeetingPoints(now time.Time, members []*wire.Member) {
	if len(members) == 0 {
		a.fleetSearch.failures++
		a.scheduleFleetSearch(now)
		return
	}
	a.fleetSearch = fleetSearch{}
	for _, m := range members {
		if a.table.Get(m.GetName()) == nil {
			a.fleetSearch.unmet = append(a.fleetSearch.unmet, m.GetPeer())
		}
	}
	unmet := a.fleetSearch.unmet
	a.rand.Shuffle(len(unmet), func(i, j int) { unmet[i], unmet[j] = unmet[j], unmet[i] })
	a.fleetSearch.unmet = unmet[:min(len(unmet), maxUnmetTries)]
}

// contactUnmet returns an exchange of tables with the next node that a meeting point
// names and that is still not known.
func (a *Agent) contactUnmet(now time.Time) []Action {
	for len(a.fleetSearch.unmet) > 0 {
		addr := a.fleetSearch.unmet[0]
		a.fleetSearch.unmet = a.fleetSearch.unmet[1:]
		if !a.knowsAddress(addr) {
			return []Action{{Kind: Sync, Addr: addr, IssuedAt: now, Sync: a.table.SyncRequest()}}
		}
	}
	return nil
}

// knowsAddress reports whether a live member has a peer address.
func (a *Agent) knowsAddress(addr string) bool {
	return slices.ContainsFunc(a.table.liveEntries, func(e *entry) bool { return e.member.GetPeer() == addr })
}
