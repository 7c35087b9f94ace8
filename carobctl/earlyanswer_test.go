package main

import (
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/wire"
)

// TestResetDuringApplyIsNoSuccess guards against taking a response that was reset while its request was still sent for the whole.
func TestResetDuringApplyIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"
	a := &app{options: options{Node: backendtest.ServeEarly(t, head, backendtest.ResetAfter(time.Millisecond))}}
	record := &wire.Record{Name: strings.Repeat("x", 8<<20)}
	for range 200 {
		_, err := a.client().Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{Record: record}))
		require.Error(t, err)
	}
}
