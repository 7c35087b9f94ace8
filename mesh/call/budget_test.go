package call_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// TestBudgetKeepsBurst checks that deposits, also concurrent ones, never raise the
// credit above the burst.
func TestBudgetKeepsBurst(t *testing.T) {
	b := call.NewBudget()
	b.SetBurst(40, 9) // four attempts
	for b.Withdraw() {
		continue
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.Deposit(90)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 4, b.Available())
	for range 4 {
		require.True(t, b.Withdraw())
	}
	require.False(t, b.Withdraw(), "no credit is left beyond the burst")
}
