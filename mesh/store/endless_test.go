package store_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/store"
)

// TestEndlessResponsesTakeBoundedMemory guards against a store that ends its clients by bytes without end.
func TestEndlessResponsesTakeBoundedMemory(t *testing.T) {
	const maxHeap = 46 << 20 // bytes in all, a quarter of the smallest node in use
	for name, answer := range backendtest.Endless {
		t.Run(name, func(t *testing.T) {
			c := store.New(store.ClientConfig{Addresses: []string{backendtest.ServeEndless(t, answer.Begin, answer.Repeat)}, Timeout: 5 * time.Second})
			t.Cleanup(c.Close)
			got := backendtest.AllocatedDuring(func() {
				_, err := c.Get(t.Context(), "record", "a")
				require.ErrorIs(t, err, store.ErrUnavailable)
			})
			require.Less(t, got, uint64(maxHeap))
		})
	}
}
