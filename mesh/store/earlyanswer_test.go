package store_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/store"
)

// TestResetDuringWriteAcknowledgesNothing guards against taking a response that was reset while its write was still sent for an acknowledgement.
func TestResetDuringWriteAcknowledgesNothing(t *testing.T) {
	const calls, concurrent = 400, 8
	address := backendtest.ServeEarly(t, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n{", backendtest.ResetAfter(time.Millisecond))
	body := []byte(strings.Repeat("x", 8<<20))
	var all sync.WaitGroup
	for range concurrent {
		all.Go(func() {
			c := store.New(store.ClientConfig{Addresses: []string{address}, Timeout: 5 * time.Second})
			defer c.Close()
			for range calls / concurrent {
				if _, err := c.Create(t.Context(), "record", "a", body); err == nil {
					t.Error("a write counts as acknowledged")
				}
			}
		})
	}
	all.Wait()
	_, err := store.New(store.ClientConfig{Addresses: []string{address}}).Create(t.Context(), "record", "a", body)
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
}
