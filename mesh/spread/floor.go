package spread

// This file keeps instances from going backwards across a restart: nodes
// remember the revision that others last reported, and a starting node asks
// for it before it takes any table.

import (
	"time"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// Bounds of the memory of reported revisions.
const (
	memoryTime = 10 * time.Minute // after the member has gone
	memorySize = 16384            // instances
	memoryScan = 30 * time.Second // between two scans for what to forget
)

// memory holds the newest revision that each instance reported.
type memory map[string]reported

type reported struct {
	revision uint64
	seen     time.Time // when the instance was last a member
}

func (m memory) floor(name string) uint64 { return m[name].revision }

func (m memory) remember(name string, revision uint64, now time.Time) {
	old, ok := m[name]
	if !ok && (revision == 0 || len(m) >= memorySize) {
		return
	}
	m[name] = reported{revision: max(old.revision, revision), seen: now}
}

// forget drops the instances that have not been members for a while.
func (m memory) forget(v *member.View, now time.Time) {
	for name, r := range m {
		switch {
		case v.Members[name] != nil:
			m[name] = reported{revision: r.revision, seen: now}
		case now.Sub(r.seen) > memoryTime:
			delete(m, name)
		}
	}
}

// Floor returns the newest revision that an instance was seen to report.
func (s *State) Floor(name string) uint64 { return s.memory.floor(name) }

// askers is the number of peers that a starting node asks for its floor.
const askers = 3

// floor is what a starting node has learned of the lowest revision that it may
// serve.
type floor struct {
	known    bool
	asked    map[string]bool // in this round; true once it is over for the peer
	ready    int             // peers of this round that knew
	rounds   int             // rounds in which no peer knew
	next     time.Time       // when the next round may start
	platform bool            // the platform has been read
	heading  bool            // a read of the platform's head is under way
	checked  bool            // that read is over
}

// Settled tells whether the floor is known. Until then the node takes no
// table.
func (s *State) Settled() bool { return s.floor.known }

// learnFloor asks peers, then the platform for what is newer than they know.
// When no peer knows, it waits for a reader to read the platform; when the
// platform does not answer, it relies on the peers.
func (s *State) learnFloor(now time.Time, checked int64) bool {
	f := &s.floor
	f.platform = f.platform || checked > 0
	if f.known || s.concluded(now) {
		return true
	}
	if f.heading || len(f.asked) > 0 || now.Before(f.next) {
		return false
	}
	f.asked, f.ready = map[string]bool{}, 0
	for _, m := range s.witnesses() {
		f.asked[m.GetName()] = false
		s.emit(Action{Kind: ActionFetch, Name: m.GetName(), Addr: m.GetPeer(), Fetch: &wire.FetchRequest{
			Name: s.shape.View.Self.GetName(), Ask: true,
		}})
	}
	return false
}

// witnesses returns the peers that most likely remember this instance: the
// likely parents, and others at random.
func (s *State) witnesses() []*wire.Member {
	var out []*wire.Member
	seen := map[string]bool{s.shape.View.Self.GetName(): true}
	add := func(m *wire.Member) {
		if m != nil && !seen[m.GetName()] && len(out) < askers {
			seen[m.GetName()] = true
			out = append(out, m)
		}
	}
	if s.floor.rounds == 0 {
		for _, m := range s.shape.Parents[:min(len(s.shape.Parents), askers-1)] {
			add(m)
		}
	}
	for range 4 * askers {
		add(s.random())
	}
	return out
}

// random returns a live member other than the own node, or nil.
func (s *State) random() *wire.Member {
	v := s.shape.View
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

// answered takes one answer of a round, nil when the peer did not answer.
func (s *State) answered(name string, resp *wire.FetchResponse, now time.Time) {
	f := &s.floor
	if over, ok := f.asked[name]; f.known || !ok || over {
		return
	}
	f.asked[name] = true
	if resp.GetReady() {
		f.ready++
		s.config.Holder.Raise(max(resp.GetFloor(), resp.GetRevision()))
		s.Heard(name, resp.GetRevision(), now)
	}
	if s.concluded(now) {
		s.renew(now)
	}
}

// Headed takes the newest revision on the platform, or false when it did not
// answer.
func (s *State) Headed(number uint64, ok bool, now time.Time) {
	if s.floor.known || !s.floor.heading {
		return
	}
	s.floor.heading, s.floor.checked = false, true
	if ok {
		s.config.Holder.Raise(number)
	}
	if s.concluded(now) {
		s.renew(now)
	}
}

// concluded ends a round once all peers have answered or failed.
func (s *State) concluded(now time.Time) bool {
	f := &s.floor
	for _, over := range f.asked {
		if !over {
			return false
		}
	}
	if f.asked == nil || f.heading {
		return false
	}
	if f.ready > 0 && !f.platform && !f.checked && s.config.Head {
		f.heading = true
		s.emit(Action{Kind: ActionHead, From: Mark{Number: s.config.Holder.Floor()}})
		return false
	}
	if f.ready > 0 || f.platform {
		f.known, f.asked = true, nil
		return true
	}
	if len(f.asked) > 0 {
		f.rounds++
		f.next = now.Add(s.backoff(min(f.rounds, 3)) / 2)
	}
	f.asked = nil
	return false
}

// Platform takes the newest revision that the platform was seen to hold and
// tells whether the node may take it now.
func (s *State) Platform(number uint64, now time.Time) bool {
	s.floor.platform = true
	if s.floor.known {
		return true // a table that is served stays served until the next is applied
	}
	if len(s.shape.View.Names) < 2 {
		s.floor.known = true
	} else if !s.concluded(now) {
		return false
	}
	s.config.Holder.Raise(number)
	return true
}

// Current takes the number of a configuration that was read from the platform
// after this node started, where the platform always answers with the newest
// one. Nothing older may be served, and nobody else need be asked.
func (s *State) Current(number uint64) {
	s.floor.platform, s.floor.known, s.floor.asked = true, true, nil
	s.config.Holder.Raise(number)
}
