package caller

// This file takes the runs of repeated calls from the budgets of the services that the
// backend server of this instance calls. The node beside the server does it, since its
// budgets get the deposits of these calls.

import (
	"math"
	"time"

	"caroblift.dev/mesh/call"
)

// AddRun implements backend.Callees.
func (p *Proxy) AddRun() { p.fanOut.AddRun(time.Now()) }

// TakeRepeat implements backend.Callees.
func (p *Proxy) TakeRepeat() (giveBack func(), ok bool) {
	type payment struct {
		budget  *call.Budget
		percent int
	}
	var paid []payment
	giveBack = func() {
		for _, b := range paid {
			b.budget.Deposit(b.percent)
		}
	}
	for service, calls := range p.fanOut.PerRun() {
		budget := p.retryBudget(service)
		if budget == nil {
			continue
		}
		// Each call pays its deposit, which those of a repeated run must not leave.
		deposit := budgetPercent(p.config.ExtraAttempts, p.config.Table().Policy(service).Retry)
		percent := int(math.Ceil(calls * float64(100+deposit)))
		if !budget.WithdrawPercent(percent) {
			giveBack()
			return nil, false
		}
		paid = append(paid, payment{budget, percent})
	}
	return giveBack, true
}

// retryBudget returns the retry budget of a service, or nil if the service was not called
// since it is in the table.
func (p *Proxy) retryBudget(service string) *call.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.retained.accounts[service]; s != nil {
		return s.retryBudget
	}
	return nil
}
