package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
)

// The platform's limits, in calls per second.
const (
	platformReads  = 2000
	platformWrites = 400
)

// TestBudgetKeepsTheFleetInsideTheRates guards against budgets whose sum exceeds
// the platform's limits. Every node of a fleet calls as often as its budget allows,
// and the calls are counted after the bursts are used up.
func TestBudgetKeepsTheFleetInsideTheRates(t *testing.T) {
	for name, c := range map[string]struct{ nodes, activeNodes int }{
		"one":   {1, 1},
		"small": {11, 7},
		"fleet": {2000, 17},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := storetest.New()
				var stores []store.Store
				var budgets []*store.Budget
				for i := range c.nodes {
					b := store.NewBudget(store.BudgetConfig{
						Nodes: func() int { return c.nodes }, ActiveNodes: func() int { return c.activeNodes },
						Active: func() bool { return i < c.activeNodes }, FleetKnown: func() bool { return true },
					})
					budgets, stores = append(budgets, b), append(stores, b.Wrap(platform))
				}
				spend(t, stores, 30) // uses up the bursts
				before := platform.Calls()
				spend(t, stores, 30)
				after := platform.Calls()
				require.LessOrEqual(t, after["get"]-before["get"], uint64(platformReads*30))
				require.LessOrEqual(t, after["create"]-before["create"], uint64(platformWrites*30))
				require.Positive(t, after["get"]-before["get"])
				require.Positive(t, budgets[0].Refused())
			})
		})
	}
}

// spend makes as many calls as the budgets allow, for some seconds.
func spend(t *testing.T, stores []store.Store, seconds int) {
	for range seconds {
		for _, s := range stores {
			for err := error(nil); !rateLimited(t, err); {
				_, err = s.Get(context.Background(), "record", "x")
			}
			for err := error(nil); !rateLimited(t, err); {
				_, err = s.Create(context.Background(), "record", "x", nil)
			}
		}
		time.Sleep(time.Second)
	}
}

// rateLimited reports whether err is a RateLimitError, and requires that it has
// a positive delay.
func rateLimited(t *testing.T, err error) bool {
	var limitErr *store.RateLimitError
	if errors.As(err, &limitErr) {
		require.Positive(t, limitErr.RetryAfter)
		return true
	}
	return false
}
