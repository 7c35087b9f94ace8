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
	most   atomic.Int64 // credit at most
}

// NewBudget returns a budget with its burst available.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetBurst)
	b.most.Store(budgetBurst)
	return b
}

// Limit sets the burst to an equal share of what all nodes together may spend
// beyond their share of calls. The share counts the own node and one more that
// it may not know.
func (b *Budget) Limit(all, nodes int) {
	most := int64(all) * extraCost / int64(max(nodes, 1)+1)
	b.most.Store(most)
	for {
		credit := b.credit.Load()
		if credit <= most || b.credit.CompareAndSwap(credit, most) {
			return
		}
	}
}

// Pay adds the share of one call, in percent.
func (b *Budget) Pay(percent int) {
	if b.credit.Load() < b.most.Load() {
		b.credit.Add(int64(percent))
	}
}

// Left returns the extra attempts that the budget allows now.
func (b *Budget) Left() int { return int(b.credit.Load() / extraCost) }

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
