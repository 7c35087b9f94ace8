package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/call"
)

// faultCase injects one fault at one step of a call, and verifies what is specific
// to it. The guarantees that hold in every case are checked for each call.
type faultCase struct {
	fault  func(s *stack, i *testInstance)
	verify func(t *testing.T, s *stack, all []answer)
}

func setFaults(f backendtest.Faults) func(*stack, *testInstance) {
	return func(_ *stack, i *testInstance) { i.server.SetFaults(f) }
}

// someServed requires that at least one call succeeded.
func someServed(t *testing.T, _ *stack, all []answer) {
	n := 0
	for _, a := range all {
		if a.err == nil && a.status == http.StatusOK {
			n++
		}
	}
	require.Positive(t, n)
}

// allServed requires that every call succeeded.
func allServed(t *testing.T, _ *stack, all []answer) {
	for _, a := range all {
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, "%s %s", a.reason, a.ran)
	}
}

// onlyShed requires that some calls succeeded and that the backend server itself
// refused all others.
func onlyShed(t *testing.T, s *stack, all []answer) {
	someServed(t, s, all)
	for _, a := range all {
		require.NoError(t, a.err)
		if a.status != http.StatusOK {
			require.Equal(t, []string{string(call.ReasonShed), "yes"}, []string{a.reason, a.ran})
		}
	}
}

// TestFaultMatrixCall injects each fault at each step where it can occur, under
// calls of every kind, and checks every guarantee. Calls enter at another node
// and at the node of the instance that fails.
func TestFaultMatrixCall(t *testing.T) {
	for name, c := range map[string]faultCase{
		"admit/busy":         {fault: func(_ *stack, i *testInstance) { i.target.Slots = 1; i.gate.SetTarget(&i.target) }, verify: someServed},
		"admit/leaving":      {fault: func(_ *stack, i *testInstance) { markLeaving(i) }, verify: allServed},
		"admit/no server":    {fault: func(_ *stack, i *testInstance) { i.gate.SetTarget(nil) }, verify: allServed},
		"admit/cold":         {fault: func(_ *stack, i *testInstance) { i.target.Cold = true; i.gate.SetTarget(&i.target) }, verify: someServed},
		"pick/leaving":       {fault: func(s *stack, i *testInstance) { s.announce(i.name) }, verify: allServed},
		"dial/node crash":    {fault: func(_ *stack, i *testInstance) { _ = i.hopServer.Close() }, verify: someServed},
		"dial/server crash":  {fault: func(_ *stack, i *testInstance) { i.server.Close() }, verify: someServed},
		"send/cut hop":       {fault: func(_ *stack, i *testInstance) { repeatedly(i.hopListener.CloseOpen) }, verify: someServed},
		"send/silent hop":    {fault: func(s *stack, i *testInstance) { s.shortenTimeouts(); i.hopListener.SilenceOpen() }, verify: someServed},
		"send/silent server": {fault: func(s *stack, i *testInstance) { s.shortenTimeouts(); i.server.Connections().SilenceOpen() }, verify: someServed},
		"send/slow hop":      {fault: func(_ *stack, i *testInstance) { i.hopListener.DelayWrites(3 * time.Millisecond) }, verify: someServed},
		"queue/slow":         {fault: setFaults(backendtest.Faults{Slow: 20 * time.Millisecond}), verify: someServed},
		"run/crash":          {fault: func(_ *stack, i *testInstance) { repeatedly(i.server.Connections().CloseOpen) }, verify: someServed},
		"run/pause": {fault: func(s *stack, i *testInstance) {
			s.shortenTimeouts()
			i.server.SetFaults(backendtest.Faults{Silent: true})
		}, verify: someServed},
		"run/shed":      {fault: setFaults(backendtest.Faults{Shed: true}), verify: onlyShed},
		"run/fail":      {fault: setFaults(backendtest.Faults{Fail: true}), verify: someServed},
		"answer/lost":   {fault: setFaults(backendtest.Faults{Drop: true}), verify: someServed},
		"answer/slow":   {fault: func(_ *stack, i *testInstance) { i.server.Connections().DelayWrites(5 * time.Millisecond) }, verify: someServed},
		"body/cut":      {fault: setFaults(backendtest.Faults{Truncate: true}), verify: someServed},
		"drain/leaving": {fault: func(s *stack, i *testInstance) { s.announce(i.name); markLeaving(i) }, verify: allServed},
		"drain/slow and cut": {fault: func(_ *stack, i *testInstance) {
			i.server.SetFaults(backendtest.Faults{Slow: 5 * time.Millisecond})
			repeatedly(i.hopListener.CloseOpen)
			markLeaving(i)
		}, verify: someServed},
		"run/slow and lost": {fault: setFaults(backendtest.Faults{Slow: 5 * time.Millisecond, Drop: true}), verify: someServed},
	} {
		for entry, colocated := range map[string]bool{"elsewhere": false, "own": true} {
			t.Run(name+"/"+entry, func(t *testing.T) {
				t.Parallel()
				c.run(t, newStackAt(t, 2, colocated))
			})
		}
	}
}

// run injects the fault between two loads and checks the calls of both.
func (c faultCase) run(t *testing.T, s *stack) {
	allServed(t, s, s.load(t, "before", 2, 8))
	c.fault(s, s.instances[0])
	c.verify(t, s, s.load(t, "after", 4, 12))
	for _, i := range s.instances {
		require.LessOrEqual(t, i.server.PeakInFlight(), testSlots)
	}
}

// repeatedly injects a fault 20 times in the background while calls go on.
func repeatedly(f func()) {
	go func() {
		for range 20 {
			f()
			time.Sleep(2 * time.Millisecond)
		}
	}()
}

// markLeaving marks the backend server as leaving while its node stays.
func markLeaving(i *testInstance) {
	i.target.Leaving = true
	i.gate.SetTarget(&i.target)
}

// TestAnswers checks the status and headers of the answer to a failed call.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(s *stack, i *testInstance)
		method string
		path   string
		status int
		reason call.Reason
		ran    string
		after  bool
	}{
		"no route":        {path: "/none", status: 404, reason: call.ReasonNoRoute, ran: "no"},
		"no server":       {fault: func(s *stack, i *testInstance) { s.announce(i.name) }, path: "/book", status: 503, reason: call.ReasonNoServer, ran: "no", after: true},
		"leaving":         {fault: func(_ *stack, i *testInstance) { markLeaving(i) }, path: "/book", status: 503, reason: call.ReasonLeaving, ran: "no", after: true},
		"server gone":     {fault: func(_ *stack, i *testInstance) { i.server.Close() }, path: "/book", status: 503, reason: call.ReasonDial, ran: "no", after: true},
		"deadline":        {fault: setFaults(backendtest.Faults{Silent: true}), path: "/short", status: 504, reason: call.ReasonDeadline, ran: "unknown"},
		"lost answer":     {fault: setFaults(backendtest.Faults{Drop: true}), method: http.MethodPost, path: "/book", status: 502, reason: call.ReasonBroken, ran: "unknown"},
		"server sheds":    {fault: setFaults(backendtest.Faults{Shed: true}), method: http.MethodPost, path: "/book", status: 503, reason: call.ReasonShed, ran: "yes"},
		"node is leaving": {fault: func(s *stack, _ *testInstance) { _ = s.proxy.Drain(context.Background()) }, path: "/book", status: 503, reason: call.ReasonLeaving, ran: "no", after: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			if c.fault != nil {
				c.fault(s, s.instances[0])
			}
			a := s.do(t.Context(), c.method, c.path, "k", nil)
			require.NoError(t, a.err)
			require.Equal(t, []any{c.status, string(c.reason), c.ran, c.after}, []any{a.status, a.reason, a.ran, a.after != ""})
		})
	}
}

// TestStreams checks that bodies and trailers stream in both directions at once:
// the caller sends each piece only after it has read the echo of the last one, so
// a body that is buffered on the way stalls the call.
func TestStreams(t *testing.T) {
	s := newStack(t, 1)
	echo := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Trailer", "Sum")
		buffer, sum := make([]byte, 1000), 0
		for {
			n, err := r.Body.Read(buffer)
			sum += n
			_, _ = w.Write(buffer[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				break
			}
		}
		w.Header().Set("Sum", fmt.Sprintf("%d %s", sum, r.Trailer.Get("Mark")))
	})}
	l := listen(t)
	go func() { _ = echo.Serve(l) }()
	defer echo.Close()
	s.instances[0].target.Address = l.Addr().String()
	s.instances[0].gate.SetTarget(&s.instances[0].target)

	in, out := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.entry.URL+"/book", in)
	require.NoError(t, err)
	req.Trailer = http.Header{"Mark": nil}
	piece := bytes.Repeat([]byte("drawing "), 100)
	turn := make(chan struct{}, 1)
	go func() {
		for range 50 {
			_, _ = out.Write(piece)
			<-turn
		}
		req.Trailer.Set("Mark", "end")
		_ = out.Close()
	}()
	resp, err := s.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	got := make([]byte, len(piece))
	for range 50 {
		_, err = io.ReadFull(resp.Body, got)
		require.NoError(t, err)
		require.Equal(t, piece, got)
		turn <- struct{}{}
	}
	_, err = resp.Body.Read(got)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, fmt.Sprintf("%d end", 50*len(piece)), resp.Trailer.Get("Sum"))
}

// TestSlowReader checks that backpressure stops a backend server whose caller does
// not read. Otherwise a large answer is buffered in the nodes on the way.
func TestSlowReader(t *testing.T) {
	const size = 64 << 20
	s := newStack(t, 1)
	s.peers.HTTP2.MaxReceiveBufferPerStream = 256 << 10
	var written atomic.Int64
	big := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 64<<10)
		for written.Load() < size {
			n, err := w.Write(piece)
			if err != nil {
				return
			}
			written.Add(int64(n))
		}
	})}
	l := listen(t)
	go func() { _ = big.Serve(l) }()
	defer big.Close()
	s.instances[0].target.Address = l.Addr().String()
	s.instances[0].gate.SetTarget(&s.instances[0].target)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.entry.URL+"/book", nil)
	require.NoError(t, err)
	resp, err := s.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	stalled := func() bool {
		before := written.Load()
		time.Sleep(100 * time.Millisecond)
		return written.Load() == before && before > 0
	}
	waitFor(t, stalled)
	require.Less(t, written.Load(), int64(size/2), "the server ran ahead of a caller that did not read")
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, int64(size), n)
}

// TestHeadAndUpgrade checks that a HEAD call leaves the connection usable and that
// an upgrade is refused without running.
func TestHeadAndUpgrade(t *testing.T) {
	s := newStack(t, 1)
	a := s.do(t.Context(), http.MethodHead, "/book", "head", nil)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.entry.URL+"/book", nil)
	require.NoError(t, err)
	req.Header = http.Header{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}, "Key": {"up"}}
	resp, err := s.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusNotImplemented, resp.StatusCode)
	require.Equal(t, "no", resp.Header.Get(call.HeaderRan))
	require.Zero(t, s.runs("up"))
}

// TestHedge checks that a slow call is hedged, that both attempts are canceled at
// the deadline, and that a later hedgeable call succeeds.
func TestHedge(t *testing.T) {
	s := newStack(t, 2)
	s.shortenTimeouts()
	for _, i := range s.instances {
		i.server.SetFaults(backendtest.Faults{Silent: true})
	}
	done := make(chan answer)
	go func() { done <- s.do(context.Background(), http.MethodGet, "/hedge", "h", strings.NewReader("")) }()
	waitFor(t, func() bool { return s.runs("h") == 2 })
	for _, i := range s.instances {
		i.server.SetFaults(backendtest.Faults{})
	}
	s.client.CloseIdleConnections()
	a := s.do(t.Context(), http.MethodGet, "/hedge", "g", nil)
	require.Equal(t, http.StatusOK, a.status)
	a = <-done
	require.Equal(t, string(call.ReasonDeadline), a.reason)
	waitFor(t, func() bool { return s.instances[0].server.InFlight()+s.instances[1].server.InFlight() == 0 })
}

// TestHedgeWins checks that the answer of the hedge is used and that the first
// attempt is canceled.
func TestHedgeWins(t *testing.T) {
	s := newStack(t, 2)
	s.instances[0].server.SetFaults(backendtest.Faults{Silent: true})
	hedged := false
	for n := 0; n < 100 && !hedged; n++ {
		key := fmt.Sprint("w", n)
		a := s.do(t.Context(), http.MethodGet, "/hedge", key, nil)
		require.Equal(t, http.StatusOK, a.status, a.reason)
		require.Equal(t, "quotes "+key+" ", a.body)
		hedged = s.runs(key) == 2
	}
	require.True(t, hedged)
	waitFor(t, func() bool { return s.instances[0].server.InFlight() == 0 && s.instances[0].gate.InFlight() == 0 })
}

// TestCancel checks that the call stops at the backend server, the gate and the
// proxy when the caller cancels it.
func TestCancel(t *testing.T) {
	s := newStack(t, 1)
	s.instances[0].server.SetFaults(backendtest.Faults{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan answer)
	go func() { done <- s.do(ctx, http.MethodPost, "/book", "c", strings.NewReader("x")) }()
	waitFor(t, func() bool { return s.runs("c") == 1 })
	cancel()
	<-done
	waitFor(t, func() bool {
		return s.instances[0].server.InFlight() == 0 && s.instances[0].gate.InFlight() == 0 && s.proxy.InProgress() == 0
	})
	require.Equal(t, 1, s.runs("c"))
}

// waitFor fails the test unless a condition becomes true within 20 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, time.Millisecond)
}
