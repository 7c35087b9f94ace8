package caller

// This file keeps what a call needs to know of services and instances, as
// immutable pictures that are replaced whenever the table or the members
// change.

import (
	"maps"
	"slices"
	"sync/atomic"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
)

// directory is the picture by which a call is served from start to end.
type directory struct {
	view     *member.View
	router   *call.Router
	services atomic.Pointer[map[string]*service] // those used so far
}

// service is one service as this node calls it.
type service struct {
	policy record.Policy
	choice *call.Choice
	*account
}

// account is what outlives a change of the members.
type account struct {
	retry, hedge *call.Budget
	slow         call.Slow
}

// percent returns what one call pays into a budget.
func (s *service) percent(shared Extra, policy record.Budget) int {
	switch {
	case shared != Extra{}:
		return shared.Percent
	case policy.Percent == 0:
		return defaultPercent
	}
	return policy.Percent
}

// known is what outlives a directory. The proxy's mutex guards it.
type known struct {
	instances map[string]*instance
	accounts  map[string]*account
	patience  map[string]*patience // by route
}

// instance is an instance at one incarnation.
type instance struct {
	*call.Instance
	incarnation uint64
}

func newKnown() known {
	return known{instances: map[string]*instance{}, accounts: map[string]*account{}, patience: map[string]*patience{}}
}

// renew returns the directory of the table and the members in force.
func (p *Proxy) renew() *directory {
	t, v := p.config.Table(), p.config.View()
	if d := p.directory.Load(); d != nil && d.view == v && d.router.Table == t {
		return d
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.directory.Load()
	if old != nil && old.view == v && old.router.Table == t {
		return old
	}
	d := &directory{view: v}
	d.services.Store(&map[string]*service{})
	if old != nil && old.router.Table == t {
		d.router = old.router
	} else {
		d.router = call.NewRouter(t)
	}
	p.forget(v, t)
	p.directory.Store(d)
	return d
}

// forget drops what the fleet no longer has. The caller holds p.mu.
func (p *Proxy) forget(v *member.View, t *revision.Table) {
	maps.DeleteFunc(p.known.instances, func(name string, i *instance) bool {
		return v.Members[name].GetIncarnation() != i.incarnation
	})
	if len(p.known.patience) > len(t.Routes)+len(p.known.instances) {
		clear(p.known.patience) // most are of routes that are gone
	}
	maps.DeleteFunc(p.known.accounts, func(name string, _ *account) bool { return t.Services[name] == nil })
}

// service returns a service, built at its first use.
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
	s := p.build(d, name)
	all = maps.Clone(all)
	all[name] = s
	d.services.Store(&all)
	return s
}

// patience returns what is known of the callers of a route.
func (d *directory) patience(p *Proxy, route string) *patience {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known.patience[route]
	if known == nil {
		known = &patience{}
		p.known.patience[route] = known
	}
	return known
}

// build puts a service together. The caller holds p.mu.
func (p *Proxy) build(d *directory, name string) *service {
	s := &service{policy: d.router.Table.Policy(name), choice: &call.Choice{}, account: p.known.accounts[name]}
	if s.account == nil {
		s.account = p.account()
		p.known.accounts[name] = s.account
	}
	if p.config.Extra != (Extra{}) {
		s.retry.Limit(p.config.Extra.Slack, len(d.view.Names))
	}
	offers := d.view.Offers(name)
	if rec := d.router.Table.Services[name]; rec != nil && len(rec.Domains) > 0 {
		offers = slices.DeleteFunc(slices.Clone(offers), func(o member.Offer) bool {
			return !slices.Contains(rec.Domains, o.Node.GetDomain())
		})
	}
	self := d.view.Self
	near, far := call.Subset(self.GetName(), self.GetDomain(), offers, s.policy.Subset)
	s.choice.Near, s.choice.Far = p.instances(near), p.instances(far)
	return s
}

// Budgets returns the extra attempts that are left for each service that was
// called.
func (p *Proxy) Budgets() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make(map[string]int, len(p.known.accounts))
	for name, a := range p.known.accounts {
		left[name] = a.retry.Left()
	}
	return left
}

// account returns the budgets of a service that is used for the first time.
func (p *Proxy) account() *account {
	a := &account{retry: call.NewBudget(), hedge: call.NewBudget()}
	if p.config.Extra != (Extra{}) {
		a.hedge = a.retry
	}
	return a
}

// coldShare is the part of a cold backend server's slots that counts until its
// node has reported, as one in coldShare.
const coldShare = 4

// instances returns the instances of offers. The caller holds p.mu.
func (p *Proxy) instances(offers []member.Offer) []*call.Instance {
	out := make([]*call.Instance, len(offers))
	for n, o := range offers {
		name := o.Node.GetName()
		i := p.known.instances[name]
		if i == nil || i.incarnation != o.Node.GetIncarnation() {
			slots := int(o.Server.GetSlots())
			if o.Server.GetCold() {
				slots /= coldShare
			}
			i = &instance{Instance: call.NewInstance(name, slots), incarnation: o.Node.GetIncarnation()}
			p.known.instances[name] = i
		}
		out[n] = i.Instance
	}
	return out
}
