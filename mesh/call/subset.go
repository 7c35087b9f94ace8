package call

// This file selects the subset of a service's backend servers that an entry node
// uses.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// DefaultSubsetSize is the maximum number of backend servers of a service that
// one node uses if the policy sets none.
const DefaultSubsetSize = 20

// farDivisor reserves 1/farDivisor of a subset for other failure domains.
const farDivisor = 4

// Subset returns the offers of a service that the node named self in a failure
// domain uses: at most size of them, or the default if size isn't positive.
// Offers in the same failure domain (near) are preferred, but a quarter of the
// subset is reserved for others (far). Offers are ranked by rendezvous hashing,
// so a change of one instance replaces only one offer, and each instance is used
// by about the same number of nodes.
func Subset(self, domain string, offers []member.Offer, size int) (near, far []member.Offer) {
	for _, o := range offers {
		if !usable(o) {
			continue
		}
		if o.Node.GetDomain() == domain {
			near = append(near, o)
		} else {
			far = append(far, o)
		}
	}
	if size <= 0 {
		size = DefaultSubsetSize
	}
	if len(near)+len(far) <= size {
		return near, far
	}
	nearSize := max(size-len(far), size-max(1, size/farDivisor))
	near = highestRanked(self, near, nearSize)
	return near, highestRanked(self, far, size-len(near))
}

// probationServers is the number of backend servers of a service that run suspected
// requests: the first one, and those that replace it until all nodes know that it ended.
const probationServers = 3

// Probation returns the offers of a service that run the requests suspected of ending
// backend servers, in order of preference, which is the same on all nodes.
func Probation(service string, offers []member.Offer) []member.Offer {
	var all []member.Offer
	for _, o := range offers {
		if usable(o) {
			all = append(all, o)
		}
	}
	return rankedBy(service, all)[:min(probationServers, len(all))]
}

// usable reports whether new calls may be sent to an offer.
func usable(o member.Offer) bool {
	return o.Node.GetState() == wire.State_STATE_ALIVE && !o.Server.GetLeaving()
}

// highestRanked returns the n offers with the highest rendezvous hash for the
// node self, and all of them, unordered, if there are no more than n.
func highestRanked(self string, offers []member.Offer, n int) []member.Offer {
	if len(offers) <= n {
		return offers
	}
	return rankedBy(self, offers)[:n]
}

// rankedBy returns offers in the order of their rendezvous hashes for a name, highest
// first.
func rankedBy(name string, offers []member.Offer) []member.Offer {
	type ranked struct {
		rank  uint64
		offer member.Offer
	}
	all := make([]ranked, len(offers))
	for i, o := range offers {
		all[i] = ranked{xxhash.Sum64String(name + "\x00" + o.Node.GetName()), o}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.offer.Node.GetName(), b.offer.Node.GetName()))
	})
	out := make([]member.Offer, len(all))
	for i := range out {
		out[i] = all[i].offer
	}
	return out
}
