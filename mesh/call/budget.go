package call

// This file defines the budget that limits retries and hedged requests to a
// percentage of the calls.

import "sync/atomic"

// Credit is counted in hundredths of an attempt.
const (
	attemptCost = 100
	budgetBurst = 10 * attemptCost
)

// Budget is a token bucket that limits extra attempts (retries or hedged
// requests) to a percentage of the calls. The zero Budget allows none. Its
// methods may be called concurrently.
type Budget struct {
	credit    atomic.Int64
	maxCredit atomic.Int64 // the burst
}

// NewBudget returns a budget with its whole burst available.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetBurst)
	b.maxCredit.Store(budgetBurst)
	return b
}

// SetBurst sets the burst to this node's equal share of the extra attempts that
// all nodes together may make beyond the percentage of the calls. The count of
// nodes is raised by one, for a node that this one may not know of yet.
func (b *Budget) SetBurst(all, nodes int) {
	burst := int64(all) * attemptCost / int64(max(nodes, 1)+1)
	b.maxCredit.Store(burst)
	for {
		credit := b.credit.Load()
		if credit <= burst || b.credit.CompareAndSwap(credit, burst) {
			return
		}
	}
}

// Deposit adds credit for one call: the given percentage of an attempt.
// The credit doesn't exceed the burst.
func (b *Budget) Deposit(percent int) {
	for {
		credit := b.credit.Load()
		next := min(credit+int64(percent), b.maxCredit.Load())
		if next <= credit || b.credit.CompareAndSwap(credit, next) {
			return
		}
	}
}

// Available returns the number of extra attempts that the budget allows now.
func (b *Budget) Available() int { return int(b.credit.Load() / attemptCost) }

// Withdraw withdraws the credit for one extra attempt. It returns false when
// there is not enough.
func (b *Budget) Withdraw() bool { return b.WithdrawPercent(attemptCost) }

// WithdrawPercent withdraws the given percentage of an attempt, which may exceed 100, as
// Withdraw does.
func (b *Budget) WithdrawPercent(percent int) bool {
	for {
		credit := b.credit.Load()
		if credit < int64(percent) {
			return false
		}
		if b.credit.CompareAndSwap(credit, credit-int64(percent)) {
			return true
		}
	}
}
