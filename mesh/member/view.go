// Package member implements the membership protocol of a fleet: a gossiped table
// of members and their backend servers, a failure detector with indirect probes,
// suspicion and refutation by incarnation, anti-entropy, and joining. It does no
// input or output and starts no goroutine: an [Agent] takes events and returns
// the actions to carry out.
//
// A [View] is an immutable snapshot of the members, for reading on the path of a
// call.
//
// # Usage
//
//	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: 3 * time.Second}, self, time.Now())
//	for _, action := range agent.Tick(time.Now()) {
//		// send action.Probe to action.Addr, then call agent.ProbeDone
//	}
//	for _, offer := range agent.View().Offers("quotes") {
//		fmt.Println(offer.Node.GetName(), offer.Node.GetHop())
//	}
package member

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Offer is a node and its backend server for a service.
type Offer struct {
	Node   *wire.Member
	Server *wire.Server
}

// View is an immutable snapshot of the members that are not dead. A member that
// this node cannot reach, or whose failure domain is partitioned from this node,
// has STATE_SUSPECT, and callers avoid it.
type View struct {
	Self        *wire.Member
	Members     map[string]*wire.Member // by instance name, this node included
	Names       []string                // sorted
	Domains     int                     // number of failure domains that have members
	Stale       bool                    // the node was paused and has not caught up
	partitioned map[string]bool         // by failure domain
	offers      map[string][]Offer      // by service, ordered by instance name
}

// Offers returns the nodes that announce a service, ordered by instance name.
// Leaving and suspect ones are included. A stale view offers only the servers of
// this node. The slice must not be changed.
func (v *View) Offers(service string) []Offer { return v.offers[service] }

// Partitioned reports whether a failure domain is partitioned from this node.
func (v *View) Partitioned(domain string) bool { return v.partitioned[domain] }

// StaleCopy returns a copy of the view that is marked as stale and offers only
// the servers of this node. A node that was paused uses it until it has caught
// up.
func (v *View) StaleCopy() *View {
	out := &View{Self: v.Self, Members: v.Members, Names: v.Names, Domains: v.Domains, Stale: true, partitioned: v.partitioned, offers: map[string][]Offer{}}
	for _, s := range v.Self.GetServers() {
		out.offers[s.GetService()] = append(out.offers[s.GetService()], Offer{Node: v.Self, Server: s})
	}
	return out
}

// buildView returns a view of the table. isAvoided reports which members this node
// cannot reach.
func (t *Table) buildView(isAvoided func(*entry) bool, partitioned map[string]bool) *View {
	v := &View{
		Self: t.self, Members: make(map[string]*wire.Member, len(t.liveNames)), Names: slices.Clone(t.liveNames),
		partitioned: maps.Clone(partitioned), offers: map[string][]Offer{},
	}
	domains := map[string]struct{}{}
	for i, name := range v.Names {
		e := t.liveEntries[i]
		domains[e.member.GetDomain()] = struct{}{}
		m := e.member
		if e.state() == wire.State_STATE_SUSPECT || (m != t.self && isAvoided(e)) {
			m = e.asSuspect()
		}
		v.Members[name] = m
		for _, s := range m.GetServers() {
			v.offers[s.GetService()] = append(v.offers[s.GetService()], Offer{Node: m, Server: s})
		}
	}
	v.Domains = len(domains)
	return v
}

// asSuspect returns a copy of the member with STATE_SUSPECT, made once per entry.
func (e *entry) asSuspect() *wire.Member {
	if e.suspectCopy == nil {
		e.suspectCopy = proto.CloneOf(e.member)
		e.suspectCopy.State = wire.State_STATE_SUSPECT
	}
	return e.suspectCopy
}
