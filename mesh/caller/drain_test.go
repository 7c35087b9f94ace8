package caller_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// TestDrain checks that a gate's drain finishes the calls in progress and that
// later calls run elsewhere.
func TestDrain(t *testing.T) {
	s := newStack(t, 2)
	i := s.instances[0]
	hold := make(chan struct{})
	for _, i := range s.instances {
		i.server.SetFaults(backendtest.Faults{Hold: hold})
	}
	answers := make(chan answer)
	for _, key := range []string{"a", "b", "c", "d"} {
		go func() { answers <- s.do(context.Background(), http.MethodPost, "/book", key, strings.NewReader("")) }()
	}
	waitFor(t, func() bool { return i.server.InFlight()+s.instances[1].server.InFlight() == 4 })
	require.Positive(t, i.gate.InFlight())
	i.gate.StopAdmission()
	drained := make(chan error)
	go func() { drained <- i.gate.Drain(context.Background()) }()
	close(hold)
	for range 4 {
		a := <-answers
		require.Equal(t, http.StatusOK, a.status, a.reason)
	}
	require.NoError(t, <-drained)
	ran := len(i.server.RunCounts())
	for n := range 8 {
		a := s.do(t.Context(), http.MethodPost, "/book", strings.Repeat("k", n+1), nil)
		require.Equal(t, http.StatusOK, a.status, a.reason)
	}
	require.Len(t, i.server.RunCounts(), ran, "a call ran after the drain")
}

// TestDrainBound checks that a drain whose context has ended names the calls in
// progress, both at the entry node and at the gate.
func TestDrainBound(t *testing.T) {
	s := newStack(t, 1)
	s.instances[0].server.SetFaults(backendtest.Faults{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, key := range []string{"a", "b"} {
		go s.do(ctx, http.MethodPost, "/book", key, strings.NewReader(""))
	}
	waitFor(t, func() bool { return s.instances[0].server.InFlight() == 2 })
	ended, end := context.WithCancel(t.Context())
	end()
	var gate, proxy *hop.DrainError
	require.ErrorAs(t, s.instances[0].gate.Drain(ended), &gate)
	require.ErrorAs(t, s.proxy.Drain(ended), &proxy)
	require.Len(t, gate.IDs, 2)
	require.ElementsMatch(t, gate.IDs, proxy.IDs)
	require.ErrorContains(t, gate, "2 calls in progress were cut: "+gate.IDs[0])
	a := s.do(t.Context(), http.MethodPost, "/book", "late", nil)
	require.Equal(t, []string{string(call.ReasonLeaving), "no"}, []string{a.reason, a.ran})
}
