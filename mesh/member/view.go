// Package member decides who is in the fleet: incarnations, suspicion,
// refutation, joining, and the backend servers that each node announces. It
// opens no socket and starts no goroutine: an [Agent] takes events and answers
// actions.
//
// A [View] is an immutable picture of the members, taken for reading on the
// path of a call.
//
// # Usage
//
//	agent := member.New(member.Config{Beat: time.Second, Suspect: 3 * time.Second}, self, time.Now())
//	for _, action := range agent.Tick(time.Now()) {
//		// send action.Probe to action.Addr, then agent.ProbeDone
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

// Offer is a node that serves a service.
type Offer struct {
	Node   *wire.Member
	Server *wire.Server
}

// View is an immutable picture of the members. Members that are dead are not
// in it. A member that cannot be reached from here, or whose failure domain is
// parted from here, has STATE_SUSPECT, and callers avoid it.
type View struct {
	Self    *wire.Member
	Members map[string]*wire.Member // by instance name, own node included
	Names   []string                // sorted
	Domains int                     // failure domains that have members
	Stale   bool                    // the node was paused and has not caught up
	parted  map[string]bool         // by failure domain
	offers  map[string][]Offer      // by service, ordered by instance name
}

// Offers returns the nodes that announce a service, leaving and suspect ones
// included, ordered by instance name. A stale view offers the own server only.
// The slice must not be changed.
func (v *View) Offers(service string) []Offer { return v.offers[service] }

// Parted tells whether a failure domain is parted from this node.
func (v *View) Parted(domain string) bool { return v.parted[domain] }

// Outdated returns the view with which a node that was paused may act.
func (v *View) Outdated() *View {
	out := &View{Self: v.Self, Members: v.Members, Names: v.Names, Domains: v.Domains, Stale: true, parted: v.parted, offers: map[string][]Offer{}}
	for _, s := range v.Self.GetServers() {
		out.offers[s.GetService()] = append(out.offers[s.GetService()], Offer{Node: v.Self, Server: s})
	}
	return out
}

// view takes a picture of the table. avoid tells which members the own node
// cannot reach.
func (t *Table) view(avoid func(*entry) bool, parted map[string]bool) *View {
	v := &View{
		Self: t.self, Members: make(map[string]*wire.Member, len(t.names)), Names: slices.Clone(t.names),
		parted: maps.Clone(parted), offers: map[string][]Offer{},
	}
	domains := map[string]struct{}{}
	for i, name := range v.Names {
		e := t.list[i]
		domains[e.member.GetDomain()] = struct{}{}
		m := e.member
		if e.state() == wire.State_STATE_SUSPECT || (m != t.self && avoid(e)) {
			m = e.suspect()
		}
		v.Members[name] = m
		for _, s := range m.GetServers() {
			v.offers[s.GetService()] = append(v.offers[s.GetService()], Offer{Node: m, Server: s})
		}
	}
	v.Domains = len(domains)
	return v
}

// suspect returns the member with STATE_SUSPECT.
func (e *entry) suspect() *wire.Member {
	if e.shown == nil {
		e.shown = proto.CloneOf(e.member)
		e.shown.State = wire.State_STATE_SUSPECT
	}
	return e.shown
}
