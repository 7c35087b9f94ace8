package spread

// This file keeps instances from going backwards across a restart. Nodes record
// the newest revision that each instance reported, and a starting node asks its
// peers for its own before it applies any table.

import (
	"slices"
	"time"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Limits of the reported revisions that a node keeps.
const (
	reportedRetention = 10 * time.Minute // how long an instance is kept after it ceased to be a member
	maxReported       = 16384            // maximum number of instances
	pruneInterval     = 30 * time.Second // time between two calls of prune
)

// reportedRevisions holds the newest revision that each instance reported, by
// instance name.
type reportedRevisions map[string]reportedRevision

type reportedRevision struct {
	revision uint64
	seen     time.Time // when the instance was last a member
}

func (m reportedRevisions) revision(name string) uint64 { return m[name].revision }

func (m reportedRevisions) record(name string, revision uint64, now time.Time) {
	old, ok := m[name]
	if !ok && (revision == 0 || len(m) >= maxReported) {
		return
	}
	m[name] = reportedRevision{revision: max(old.revision, revision), seen: now}
}

// prune drops the instances that ceased to be members more than
// reportedRetention ago.
func (m reportedRevisions) prune(v *member.View, now time.Time) {
	for name, r := range m {
		switch {
		case v.Members[name] != nil:
			m[name] = reportedRevision{revision: r.revision, seen: now}
		case now.Sub(r.seen) > reportedRetention:
			delete(m, name)
		}
	}
}

// ReportedRevision returns the newest revision that the named instance is known
// to have reported, or 0.
func (s *State) ReportedRevision(name string) uint64 { return s.reported.revision(name) }

// floorPeersPerRound is the number of peers that a starting node asks for its
// floor in one round.
const floorPeersPerRound = 3

// Limits of the search of a starting node that has read a platform which may have
// come back from an older copy. Many of its peers may have just started as well.
const (
	restoredPeersPerRound = 8
	// restoredRounds is the number of rounds without a peer that knows its own floor
	// after which the node takes all nodes to be starting. If half of many are, no
	// more than one in 65,000 nodes is wrong about it.
	restoredRounds = 2
	// floorGraceHeartbeats is how long the node waits for peers at most, in
	// heartbeat intervals.
	floorGraceHeartbeats = 1
)

// floorDiscovery is the state of a starting node's search for its floor. It asks
// peers in rounds, and the platform for its newest revision.
type floorDiscovery struct {
	known        bool
	asked        map[string]bool // peers of this round; true once a peer has answered or failed
	readyPeers   int             // peers of this round that know their own floor
	failedRounds int             // rounds without a ready peer
	nextRound    time.Time       // earliest start of the next round
	platformRead bool            // whether the platform has been read

	// After a read of a platform that may have come back from an older copy.
	graceUntil     time.Time // when to stop waiting for peers; zero before the read
	restoredRounds int       // rounds since the read without a peer that knows its own floor
	headPending    bool      // whether a read of the platform's head is in flight
	headDone       bool      // whether that read has ended, also if it failed
}

// FloorKnown reports whether the floor is known. Until then the node applies no
// table.
func (s *State) FloorKnown() bool { return s.floor.known }

// discoverFloor starts a round unless one is in progress, and reports whether
// the floor is known. A round asks peers, then the platform for revisions newer
// than theirs. If no peer knows its own floor, the node waits until a reader has
// read the platform. If the platform does not answer, the peers' answers decide.
// If it may have come back from an older copy, the node asks again until a peer that
// knows its own floor has answered or the grace is over.
func (s *State) discoverFloor(now time.Time, checked int64) bool {
	f := &s.floor
	f.platformRead = f.platformRead || checked > 0
	if f.known || s.finishRound(now) {
		return true
	}
	if s.graceOver(now) {
		f.known, f.asked = true, nil
		return true
	}
	if f.headPending || len(f.asked) > 0 || now.Before(f.nextRound) {
		return false
	}
	f.asked, f.readyPeers = map[string]bool{}, 0
	for _, m := range s.floorPeers() {
		f.asked[m.GetName()] = false
		s.emit(Action{Kind: ActionFetch, Name: m.GetName(), Addr: m.GetPeer(), Fetch: &wire.FetchRequest{
			Name: s.placement.View.Self.GetName(), Ask: true,
		}})
	}
	return false
}

// floorPeers returns the peers to ask in this round. The first round prefers the
// best parent candidates, which most likely recorded this instance's revision;
// the rest are random. After a read of a platform that may have come back from an
// older copy, up to half of them are members in the view and the others may be
// known from elsewhere.
func (s *State) floorPeers() []*wire.Member {
	limit := floorPeersPerRound
	if !s.floor.graceUntil.IsZero() {
		limit = restoredPeersPerRound
	}
	var out []*wire.Member
	seen := map[string]bool{s.placement.View.Self.GetName(): true}
	add := func(m *wire.Member) {
		if m != nil && !seen[m.GetName()] && len(out) < limit {
			seen[m.GetName()] = true
			out = append(out, m)
		}
	}
	if s.floor.failedRounds == 0 {
		for _, m := range s.placement.Candidates[:min(len(s.placement.Candidates), floorPeersPerRound-1)] {
			add(m)
		}
	}
	if !s.floor.graceUntil.IsZero() {
		for range restoredPeersPerRound / 2 {
			add(s.randomPeer())
		}
		known := slices.Clone(s.knownNodes())
		s.config.Rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		for _, m := range known {
			add(m)
		}
	}
	for range 4 * limit {
		add(s.randomPeer())
	}
	return out
}

// randomPeer returns a random live member other than the local node, or nil if
// it finds none in a few draws.
func (s *State) randomPeer() *wire.Member {
	v := s.placement.View
	for range 8 {
		if len(v.Names) < 2 {
			break
		}
		m := v.Members[v.Names[s.config.Rand.IntN(len(v.Names))]]
		if m.GetName() != v.Self.GetName() && m.GetState() == wire.State_STATE_ALIVE {
			return m
		}
	}
	return nil
}

// handleFloorResponse processes the response of one peer in a round; resp is nil
// if the peer did not answer.
func (s *State) handleFloorResponse(name string, resp *wire.FetchResponse, now time.Time) {
	f := &s.floor
	if done, ok := f.asked[name]; f.known || !ok || done {
		return
	}
	f.asked[name] = true
	if resp.GetReady() {
		f.readyPeers++
		s.config.Holder.RaiseFloor(max(resp.GetFloor(), resp.GetRevision()))
		s.RecordRevision(name, resp.GetRevision(), now)
	}
	if s.finishRound(now) {
		s.renewParent(now)
	}
}

// HandleHead processes the result of a read of the platform's head: the newest
// revision on the platform, or ok false if the platform did not answer.
func (s *State) HandleHead(number uint64, ok bool, now time.Time) {
	if s.floor.known || !s.floor.headPending {
		return
	}
	s.floor.headPending, s.floor.headDone = false, true
	if ok {
		s.config.Holder.RaiseFloor(number)
	}
	if s.finishRound(now) {
		s.renewParent(now)
	}
}

// finishRound ends a round once all its peers have answered or failed, and
// reports whether the floor is now known. Before it relies on peers alone, it
// reads the platform's head if the owner can do so.
func (s *State) finishRound(now time.Time) bool {
	f := &s.floor
	for _, done := range f.asked {
		if !done {
			return false
		}
	}
	if f.asked == nil || f.headPending {
		return false
	}
	if f.readyPeers > 0 && !f.platformRead && !f.headDone && s.config.CanReadHead {
		f.headPending = true
		s.emit(Action{Kind: ActionReadHead, From: Position{Number: s.config.Holder.Floor()}})
		return false
	}
	if f.readyPeers > 0 || f.platformRead && f.graceUntil.IsZero() {
		f.known, f.asked = true, nil
		return true
	}
	if !f.graceUntil.IsZero() {
		return s.finishRestoredRound(now)
	}
	if len(f.asked) > 0 {
		f.failedRounds++
		f.nextRound = now.Add(s.backoff(min(f.failedRounds, 3)) / 2)
	}
	f.asked = nil
	return false
}

// finishRestoredRound ends a round in which no peer knew its own floor, after the
// platform was read that may have come back from an older copy. It reports whether
// the floor is known because all nodes seem to be starting.
func (s *State) finishRestoredRound(now time.Time) bool {
	f := &s.floor
	if len(f.asked) > 0 && len(s.knownNodes()) > 0 {
		f.restoredRounds++
	}
	f.known, f.asked, f.nextRound = f.restoredRounds == restoredRounds, nil, now.Add(s.config.HeartbeatInterval/8)
	return f.known
}

// knownNodes returns the nodes that may be asked though they are not in the view.
func (s *State) knownNodes() []*wire.Member {
	if s.config.KnownNodes == nil {
		return nil
	}
	return s.config.KnownNodes()
}

// HandlePlatformRevision records the newest revision that the platform holds,
// and reports whether the node may apply it now.
func (s *State) HandlePlatformRevision(number uint64, now time.Time) bool {
	s.floor.platformRead = true
	if s.floor.known {
		return true // not raised: the table in force is served until the next one is applied
	}
	if len(s.placement.View.Names) < 2 {
		s.floor.known = true
	} else if !s.finishRound(now) {
		return false
	}
	s.config.Holder.RaiseFloor(number)
	return true
}

// HandleRestorable records the number of a configuration that was read from a
// platform that may have come back from an older copy: a peer may hold a newer one.
// A starting node asks its peers first, but waits no longer than one heartbeat
// interval. HandleRestorable reports whether the floor is known, so that the
// configuration may be applied if it is not below the floor. The floor of a node
// that knows it is not raised: the table in force is served until the next one is
// applied.
func (s *State) HandleRestorable(number uint64, now time.Time) bool {
	f := &s.floor
	f.platformRead = true
	if f.known {
		return true
	}
	if f.graceUntil.IsZero() {
		f.asked, f.nextRound = nil, time.Time{} // ask more peers than before
		f.graceUntil = now.Add(floorGraceHeartbeats * s.config.HeartbeatInterval)
	}
	s.config.Holder.RaiseFloor(number)
	return false
}

// graceOver reports whether a node that has read a platform that may have lost its
// newest revision has waited long enough for its peers.
func (s *State) graceOver(now time.Time) bool {
	return !s.floor.graceUntil.IsZero() && !now.Before(s.floor.graceUntil)
}

// SetFloor sets the floor to the number of a configuration that was read from
// the platform after this node started. It is for platforms that have lost nothing
// and always return the newest configuration: nothing older may be served, and no
// peer need be asked.
func (s *State) SetFloor(number uint64) {
	s.floor.platformRead, s.floor.known, s.floor.asked = true, true, nil
	s.config.Holder.RaiseFloor(number)
}
