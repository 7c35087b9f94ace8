package caller

// This file holds the services and instances that calls are routed to, in
// immutable snapshots that are replaced whenever the table or the members
// change.

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/connlimit"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/rollout"
)

// directory is a snapshot of the table and the members. A call uses the same
// directory from start to end.
type directory struct {
	view     *member.View
	router   *call.Router
	rollouts *map[string]*rollout.State          // nil if there can be none
	services atomic.Pointer[map[string]*service] // by name; built when first used
}

// service is a service together with the instances that this node sends its
// calls to.
type service struct {
	policy   record.Policy
	balancer *call.Balancer
	next     *call.Balancer // of the version that the service moves to; nil if it doesn't move
	// probation holds the instances that run suspected requests, in order of preference.
	// All nodes choose the same ones.
	probation []*call.Instance
	*serviceState
}

// serviceState is the state of a service that is kept when the members change:
// the budgets of extra attempts and searches, the latency estimate for hedging and, guarded by
// Proxy.shortageMu, what is starved there.
type serviceState struct {
	retryBudget, hedgeBudget *call.Budget
	searchBudget             *call.Budget // of attempts after gates had no room
	latencies                call.LatencyQuantile
	uploads                  connlimit.Uploads
	starvation               call.Starvation
	starved                  int // priorities of which calls are starved
	shares                   serviceShares
}

// budgetPercent returns the share of one call, in percent, that is paid into a
// retry or hedge budget. A limit shared by all nodes overrides the policy.
func budgetPercent(extra ExtraAttempts, policy record.Budget) int {
	switch {
	case extra != ExtraAttempts{}:
		return extra.Percent
	case policy.Percent == 0:
		return defaultPercent
	}
	return policy.Percent
}

// retainedState is the state that is kept when the directory is replaced. It is
// guarded by Proxy.mu.
type retainedState struct {
	instances      map[string]*instance
	accounts       map[string]*serviceState
	callerTimeouts map[string]*callerTimeout // by route
	memories       map[string]*call.Memory   // by name of the instance
}

// instance is the load and failure state of an instance, which is valid for one
// incarnation.
type instance struct {
	*call.Instance
	incarnation uint64
}

func newRetainedState() retainedState {
	return retainedState{instances: map[string]*instance{}, accounts: map[string]*serviceState{}, callerTimeouts: map[string]*callerTimeout{}, memories: map[string]*call.Memory{}}
}

// currentDirectory returns the directory for the current table and members, and
// builds it if either has changed.
func (p *Proxy) currentDirectory() *directory {
	t, v, r := p.config.Table(), p.config.View(), p.config.Rollouts.Snapshot()
	if d := p.directory.Load(); d != nil && d.view == v && d.router.Table == t && d.rollouts == r {
		return d
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.directory.Load()
	if old != nil && old.view == v && old.router.Table == t && old.rollouts == r {
		return old
	}
	d := &directory{view: v, rollouts: r}
	d.services.Store(&map[string]*service{})
	if old != nil && old.router.Table == t {
		d.router = old.router
	} else {
		d.router = call.NewRouter(t)
	}
	p.prune(v, t)
	p.directory.Store(d)
	return d
}

// memoryTime is how long it is remembered what the backend server of an instance stated,
// while the instance is no member. It is longer than servers take to leave.
const memoryTime = 2 * time.Minute

// prune removes the state of instances, services and routes that no longer
// exist. The caller holds p.mu.
func (p *Proxy) prune(v *member.View, t *revision.Table) {
	maps.DeleteFunc(p.retained.instances, func(name string, i *instance) bool {
		return v.Members[name].GetIncarnation() != i.incarnation
	})
	now := time.Now()
	maps.DeleteFunc(p.retained.memories, func(name string, m *call.Memory) bool {
		age, holds := m.Age(now)
		return v.Members[name] == nil && (!holds || age > memoryTime)
	})
	if len(p.retained.callerTimeouts) > len(t.Routes)+len(p.retained.instances) {
		clear(p.retained.callerTimeouts) // most belong to removed routes
	}
	maps.DeleteFunc(p.retained.accounts, func(name string, _ *serviceState) bool { return t.Services[name] == nil })
}

// service returns a service by name and builds it on first use.
func (d *directory) service(p *Proxy, name string) *service {
	if s := (*d.services.Load())[name]; s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := *d.services.Load()
	if s := all[name]; s != nil {
		return s
	}
	s := p.buildService(d, name)
	all = maps.Clone(all)
	all[name] = s
	d.services.Store(&all)
	return s
}

// callerTimeout returns the timeout estimate for the callers of a route.
func (d *directory) callerTimeout(p *Proxy, route string) *callerTimeout {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := p.retained.callerTimeouts[route]
	if timeout == nil {
		timeout = &callerTimeout{}
		p.retained.callerTimeouts[route] = timeout
	}
	return timeout
}

// buildService builds a service from its policy, its retained state and the
// instances that offer it. The caller holds p.mu.
func (p *Proxy) buildService(d *directory, name string) *service {
	s := &service{policy: d.router.Table.Policy(name), balancer: &call.Balancer{}, serviceState: p.retained.accounts[name]}
	if s.serviceState == nil {
		s.serviceState = p.newServiceState()
		p.retained.accounts[name] = s.serviceState
	}
	if p.config.ExtraAttempts != (ExtraAttempts{}) {
		s.retryBudget.SetBurst(p.config.ExtraAttempts.Burst, len(d.view.Names))
	}
	offers := d.view.Offers(name)
	if rec := d.router.Table.Services[name]; rec != nil && len(rec.Domains) > 0 {
		offers = slices.DeleteFunc(slices.Clone(offers), func(o member.Offer) bool {
			return !slices.Contains(rec.Domains, o.Node.GetDomain())
		})
	}
	offers, next := d.splitByVersion(name, offers)
	p.fillBalancer(d, s.balancer, offers, s.policy.Subset)
	if len(next) > 0 {
		s.next = &call.Balancer{}
		p.fillBalancer(d, s.next, next, s.policy.Subset)
	}
	s.probation = p.instances(call.Probation(name, offers))
	return s
}

// fillBalancer sets the instances of a balancer. The caller holds p.mu.
func (p *Proxy) fillBalancer(d *directory, b *call.Balancer, offers []member.Offer, size int) {
	near, far := call.Subset(d.view.Self.GetName(), d.view.Self.GetDomain(), offers, size)
	b.Near, b.Far = p.instances(near), p.instances(far)
}

// RemainingRetries returns the number of retries that the retry budget allows
// now, for each service called so far.
func (p *Proxy) RemainingRetries() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make(map[string]int, len(p.retained.accounts))
	for name, a := range p.retained.accounts {
		left[name] = a.retryBudget.Available()
	}
	return left
}

// newServiceState returns the state of a service that has not been called yet.
// Retries and hedges share one budget if Config.ExtraAttempts is set.
func (p *Proxy) newServiceState() *serviceState {
	a := &serviceState{retryBudget: call.NewBudget(), hedgeBudget: call.NewBudget(), searchBudget: call.NewBudget()}
	if p.config.ExtraAttempts != (ExtraAttempts{}) {
		a.hedgeBudget = a.retryBudget
	}
	return a
}

// memory returns the memory of an instance. The caller holds p.mu.
func (p *Proxy) memory(name string) *call.Memory {
	if p.retained.memories[name] == nil {
		p.retained.memories[name] = &call.Memory{}
	}
	return p.retained.memories[name]
}

// coldSlotsDivisor divides the slots of a cold backend server until its node
// has reported its load.
const coldSlotsDivisor = 4

// instances returns the instances behind offers, with the state retained for the
// same incarnation. The caller holds p.mu.
func (p *Proxy) instances(offers []member.Offer) []*call.Instance {
	out := make([]*call.Instance, len(offers))
	for n, o := range offers {
		name := o.Node.GetName()
		i := p.retained.instances[name]
		if i == nil || i.incarnation != o.Node.GetIncarnation() {
			slots := int(o.Server.GetSlots())
			if o.Server.GetCold() {
				slots /= coldSlotsDivisor
			}
			i = &instance{Instance: call.NewInstance(name, slots), incarnation: o.Node.GetIncarnation()}
			i.Memory = p.memory(name)
			p.retained.instances[name] = i
		}
		out[n] = i.Instance
	}
	return out
}
