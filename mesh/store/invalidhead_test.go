package store_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/store"
)

// TestInvalidStatusAcknowledgesNothing guards against taking a response with a status that none may have for a success.
func TestInvalidStatusAcknowledgesNothing(t *testing.T) {
	for _, status := range backendtest.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			requireUnknown(t, "HTTP/1.1 "+status+" Odd\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// TestInvalidNameAcknowledgesNothing guards against the same with a header field whose name is no token.
func TestInvalidNameAcknowledgesNothing(t *testing.T) {
	for name, line := range backendtest.InvalidFields {
		t.Run(name, func(t *testing.T) {
			requireUnknown(t, "HTTP/1.1 200 OK\r\n"+line+"ETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// requireUnknown requires that a response counts as lost.
func requireUnknown(t *testing.T, response string) {
	address := backendtest.ServeRaw(t, func(*http.Request) string { return response })
	c := store.New(store.ClientConfig{Addresses: []string{address}, Timeout: 5 * time.Second})
	defer c.Close()
	_, err := c.Get(t.Context(), "record", "a")
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = c.Create(t.Context(), "record", "a", []byte("{}"))
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
	require.ErrorIs(t, c.Delete(t.Context(), "record", "a", store.Version{Revision: 7}), store.ErrOutcomeUnknown)
}
