package call

// This file defines the budget that bounds extra attempts to a share of calls.

import "sync/atomic"

// The budget counts in hundredths of a call.
const (
	extraCost   = 100
	budgetBurst = 10 * extraCost
)

// Budget bounds retries or hedges to a share of the calls. The zero Budget
// allows nothing until calls have paid in. Its methods may be called
// concurrently.
type Budget struct {
	credit atomic.Int64
}

// NewBudget returns a budget with its burst available.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetBurst)
	return b
}

// Pay adds the share of one call, in percent.
func (b *Budget) Pay(percent int) {
	if b.credit.Load() < budgetBurst {
		b.credit.Add(int64(percent))
	}
}

// Take spends one extra attempt and tells whether the budget allowed it.
func (b *Budget) Take() bool {
	for {
		credit := b.credit.Load()
		if credit < extraCost {
			return false
		}
		if b.credit.CompareAndSwap(credit, credit-extraCost) {
			return true
		}
	}
}
