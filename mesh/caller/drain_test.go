package caller_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// TestDrain finishes what is in progress and refuses the rest as not run.
func TestDrain(t *testing.T) {
	s := newStack(t, 2)
	d := s.sides[0]
	for _, one := range s.sides {
		one.server.Set(backendtest.Faults{Slow: 100 * time.Millisecond})
	}
	answers := make(chan answer)
	for _, key := range []string{"a", "b", "c", "d"} {
		go func() { answers <- s.do(context.Background(), http.MethodPost, "/book", key, strings.NewReader("")) }()
	}
	wait(t, func() bool { return d.gate.Progress() > 0 })
	drained := make(chan error)
	go func() { drained <- d.gate.Drain(context.Background()) }()
	for range 4 {
		a := <-answers
		require.Equal(t, http.StatusOK, a.status, a.reason)
	}
	require.NoError(t, <-drained)
	ran := len(d.server.Runs())
	for n := range 8 {
		a := s.do(t.Context(), http.MethodPost, "/book", strings.Repeat("k", n+1), nil)
		require.Equal(t, http.StatusOK, a.status, a.reason)
	}
	require.Len(t, d.server.Runs(), ran, "a call ran after the drain")
}

// TestDrainBound names the calls that a bounded stop would cut, at both ends.
func TestDrainBound(t *testing.T) {
	s := newStack(t, 1)
	s.sides[0].server.Set(backendtest.Faults{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, key := range []string{"a", "b"} {
		go s.do(ctx, http.MethodPost, "/book", key, strings.NewReader(""))
	}
	wait(t, func() bool { return s.sides[0].server.Progress() == 2 })
	ended, end := context.WithCancel(t.Context())
	end()
	var gate, proxy *hop.Cut
	require.ErrorAs(t, s.sides[0].gate.Drain(ended), &gate)
	require.ErrorAs(t, s.proxy.Drain(ended), &proxy)
	require.Len(t, gate.IDs, 2)
	require.ElementsMatch(t, gate.IDs, proxy.IDs)
	require.ErrorContains(t, gate, "2 calls in progress were cut: "+gate.IDs[0])
	a := s.do(t.Context(), http.MethodPost, "/book", "late", nil)
	require.Equal(t, []string{string(call.Leaving), "no"}, []string{a.reason, a.ran})
}
