// Package member decides who is in the fleet: incarnations, suspicion,
// refutation and the backend servers that each node announces.
//
// A [View] is an immutable picture of the members, taken for reading on the
// path of a call.
//
// # Usage
//
//	for _, n := range view.Servers("quotes") {
//		fmt.Println(n.Name, n.Hop)
//	}
package member

import "caroblift.dev/wire"

// Node is one member with the backend server beside it.
type Node struct {
	*wire.Member
}

// Offer is a node that serves a service.
type Offer struct {
	Node   *wire.Member
	Server *wire.Server
}

// View is an immutable picture of the members. Members that are dead are not
// in it; suspect members are, and callers avoid them.
type View struct {
	Self    *wire.Member
	Members map[string]*wire.Member // by instance name, own node included
	Names   []string                // sorted
	offers  map[string][]Offer      // by service, ordered by instance name
}

// Offers returns the nodes that announce a service, leaving and suspect ones
// included, ordered by instance name. The slice must not be changed.
func (v *View) Offers(service string) []Offer {
	return v.offers[service]
}
