package caller

// This file divides the attempts of a service that moves to another version between the
// servers of both.

import (
	"math/rand/v2"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/rollout"
)

// splitByVersion returns the offers of a service that may be used, and apart from them those
// of the version that it moves to while both versions may be used.
func (d *directory) splitByVersion(name string, offers []member.Offer) (usable, next []member.Offer) {
	if d.rollouts == nil || (*d.rollouts)[name] == nil {
		return offers, nil
	}
	s := (*d.rollouts)[name]
	var others []member.Offer
	for _, o := range offers {
		switch s.UseOf(o.Server.GetVersion(), o.Node.GetName()) {
		case rollout.UseNew:
			next = append(next, o)
		case rollout.UseOther:
			others = append(others, o)
		}
	}
	if s.Phase != rollout.PhaseCanary && s.Phase != rollout.PhaseShift && len(next) > 0 {
		return next, nil
	}
	return others, next
}

// chooseVersion returns the balancer for the next attempt, by the share of the version that
// the service moves to, and the other one, or nil if there is none.
func (x *exchange) chooseVersion(now time.Time) (chosen, other *call.Balancer) {
	s := x.service
	if s == nil || s.next == nil {
		return x.placement.Balancer, nil
	}
	state, _ := x.proxy.config.Rollouts.Get(x.target)
	if state.Phase == rollout.PhaseCanary && x.body != nil && x.body.Streamed() {
		return s.balancer, s.next // a streamed body can be sent once, and canaries refuse some calls
	}
	if rand.Float64() < state.EntryShare(x.proxy.config.RolloutLimits, now) {
		return s.next, s.balancer
	}
	return s.balancer, s.next
}

// balancerOf returns the balancer that an instance belongs to.
func (s *service) balancerOf(i *call.Instance) *call.Balancer {
	if s.next != nil && s.next.Has(i) {
		return s.next
	}
	return s.balancer
}
