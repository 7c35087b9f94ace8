package caller

// This file checks which servers a call is sent to after which answers, and what its
// caller is told when several attempts failed.

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// viewOf returns a view with instances of the service.
func viewOf(t *testing.T, instances int) *member.View {
	now := time.Now()
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, &wire.Member{Name: "entry", Domain: "d", State: wire.State_STATE_ALIVE}, now)
	var members []*wire.Member
	for n := range instances {
		members = append(members, &wire.Member{
			Name: fmt.Sprint("quotes-", n), Peer: "127.0.0.1:1", Hop: fmt.Sprintf("127.0.0.1:%d", n+2), Domain: "d", State: wire.State_STATE_ALIVE, Incarnation: 1,
			Servers: []*wire.Server{{Service: "quotes", Slots: 3}},
		})
	}
	agent.HandleProbe(now, &wire.ProbeRequest{Events: members})
	agent.Tick(now.Add(time.Second / 2))
	view := agent.View()
	require.Len(t, view.Offers("quotes"), instances)
	return view
}

// TestOneServerGetsACallOnce guards against sending a call that must run once again after an
// attempt that may have run, and against sending it twice to a server that has had it.
func TestOneServerGetsACallOnce(t *testing.T) {
	view := viewOf(t, 4)
	steps := []call.Verdict{
		call.Success(),
		call.NotRun(call.ReasonBusy, call.ProofNotSent),
		call.NotRun(call.ReasonLate, call.ProofNotSent),
		call.NotRun(call.ReasonLeaving, call.ProofNotSent),
		call.NotRun(call.ReasonNoServer, call.ProofNotSent),
		call.NotRun(call.ReasonDial, call.ProofNotSent),
		call.NotRun(call.ReasonShed, call.ProofRejected),
		call.NotRun(call.ReasonMoved, call.ProofRejected),
		call.Answered(call.ReasonShed),
		call.MayHaveRun(call.ReasonBroken),
		call.MayHaveRun(call.ReasonCrossed),
		call.MayHaveRun(call.ReasonCanceled),
	}
	for name, objective := range map[string]time.Duration{"objective": time.Second, "no objective": 0} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				table := &revision.Table{
					Number: 7, Services: map[string]*record.Service{"quotes": {Name: "quotes"}}, Policies: map[string]*record.Policy{},
					Routes: []*record.Route{{
						Name: "book", Prefix: "/book", Service: "quotes", Timeout: time.Minute, Repeat: record.RepeatNever,
						MaxAttempts: rapid.IntRange(1, 4).Draw(r, "attempts"), LatencyObjective: objective,
					}},
				}
				arrived, sent, mayHaveRun := map[string]bool{}, 0, false
				hop := roundTripFunc(func(req *http.Request) (*http.Response, error) {
					sent++
					require.False(r, mayHaveRun, "sent again after an attempt that may have run")
					require.False(r, arrived[req.URL.Host], "sent to %s again, whose server has had it", req.URL.Host)
					s := rapid.SampledFrom(steps).Draw(r, "answer")
					mayHaveRun = s.Outcome() != call.OutcomeNotRun
					arrived[req.URL.Host] = s.Reason() == "" || s.Reason().MayHaveArrived()
					switch s.Reason() {
					case "":
						return respondWith(http.StatusOK)(req)
					case call.ReasonDial:
						return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
					}
					return refuseWith(s)(req)
				})
				p := New(Config{
					Table: func() *revision.Table { return table }, Ready: func() bool { return true }, View: func() *member.View { return view },
					Remote: hop, ReportReachability: func(string, bool) {}, Timeout: time.Second, ExtraAttempts: ExtraAttempts{Percent: 100, Burst: 100},
				})
				w := httptest.NewRecorder()
				p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
				require.Positive(r, sent)
				if w.Header().Get(call.HeaderRan) == "no" {
					require.False(r, mayHaveRun)
				}
			})
		})
	}
}

// TestRefusalAfterLostAttemptIsNoPromise guards against a promise for a call that may be
// repeated, whose last attempt was refused after an earlier one had run.
func TestRefusalAfterLostAttemptIsNoPromise(t *testing.T) {
	for _, last := range []call.Reason{call.ReasonBusy, call.ReasonLeaving, call.ReasonNoServer, call.ReasonLate, call.ReasonShed, call.ReasonMoved} {
		t.Run(string(last), func(t *testing.T) {
			table, view, sent := *reasonsTable, viewOf(t, 2), 0
			table.Routes = []*record.Route{{Name: "book", Prefix: "/book", Service: "quotes", Timeout: time.Minute, MaxAttempts: 2}}
			hop := roundTripFunc(func(r *http.Request) (*http.Response, error) {
				if sent++; sent == 1 {
					return nil, errors.New("reset")
				}
				return refuseWith(call.NotRun(last, call.ProofNotSent))(r)
			})
			p := New(Config{
				Table: func() *revision.Table { return &table }, Ready: func() bool { return true }, View: func() *member.View { return view },
				Remote: hop, ReportReachability: func(string, bool) {}, Timeout: time.Second,
			})
			w := httptest.NewRecorder()
			p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/book", http.NoBody))
			require.Equal(t, 2, sent)
			require.Equal(t, "unknown", w.Header().Get(call.HeaderRan))
			require.False(t, call.Promises(w.Code), "status %d", w.Code)
		})
	}
}
