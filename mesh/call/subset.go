package call

// This file decides which backend servers of a service an entry node uses.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// DefaultSubset bounds the backend servers of a service that one node uses
// where the policy names no number.
const DefaultSubset = 20

// farShare is the part of a subset that is kept for other failure domains, as
// one in farShare.
const farShare = 4

// Subset returns the offers of a service that the node named self in a failure
// domain uses: at most size of them, near ones first but for a quarter. Ranks
// are rendezvous hashes, so a change of one instance moves one place only, and
// each instance is used by about the same number of nodes.
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
		size = DefaultSubset
	}
	if len(near)+len(far) <= size {
		return near, far
	}
	keep := max(size-len(far), size-max(1, size/farShare))
	near = closest(self, near, keep)
	return near, closest(self, far, size-len(near))
}

// usable tells whether new calls may go to an offer.
func usable(o member.Offer) bool {
	return o.Node.GetState() == wire.State_STATE_ALIVE && !o.Server.GetLeaving()
}

// closest returns the n offers of highest rank.
func closest(self string, offers []member.Offer, n int) []member.Offer {
	if len(offers) <= n {
		return offers
	}
	type ranked struct {
		rank  uint64
		offer member.Offer
	}
	all := make([]ranked, len(offers))
	for i, o := range offers {
		all[i] = ranked{xxhash.Sum64String(self + "\x00" + o.Node.GetName()), o}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.offer.Node.GetName(), b.offer.Node.GetName()))
	})
	out := make([]member.Offer, n)
	for i := range out {
		out[i] = all[i].offer
	}
	return out
}
