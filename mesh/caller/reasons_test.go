package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// hopFunc plays the node that a call is sent to.
type hopFunc func(*http.Request) (*http.Response, error)

func (f hopFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// answersWith plays a gate that answers with a status, and a reason of its own
// where one is given.
func answersWith(status int, reason call.Reason, outcome call.Outcome) hopFunc {
	return func(r *http.Request) (*http.Response, error) {
		header := http.Header{call.HeaderID: r.Header[call.HeaderID]}
		if reason != "" {
			header.Set(call.HeaderReason, string(reason))
			header.Set(call.HeaderRan, outcome.String())
		}
		return &http.Response{StatusCode: status, Header: header, Body: http.NoBody}, nil
	}
}

// gateSays plays a gate that gives a reason.
func gateSays(reason call.Reason, outcome call.Outcome) hopFunc {
	return answersWith(reason.Status(), reason, outcome)
}

func fails(err error) hopFunc {
	return func(*http.Request) (*http.Response, error) { return nil, err }
}

// waits plays a node that does not answer.
func waits(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestEveryReasonIsTold fails a call for each reason there is and requires one
// line with the call's ID and the reason, and one counter.
func TestEveryReasonIsTold(t *testing.T) {
	const (
		refusals = "refusals" // not run
		failures = "failures" // perhaps run
	)
	dial := &net.OpError{Op: "dial", Err: errors.New("refused")}
	type situation struct {
		hop     hopFunc
		prepare func(*Proxy, *http.Request) // before the call
		message string
		counter string
	}
	refused := func(hop hopFunc) situation {
		return situation{hop: hop, message: telemetry.CallRefused, counter: refusals}
	}
	own := func(prepare func(*Proxy, *http.Request)) situation {
		return situation{hop: waits, prepare: prepare, message: telemetry.CallRefused, counter: refusals}
	}
	lost := func(hop hopFunc) situation {
		return situation{hop: hop, message: telemetry.CallFailed, counter: failures}
	}
	cases := map[call.Reason]situation{
		call.NotReady: own(func(p *Proxy, _ *http.Request) { p.config.Ready = func() bool { return false } }),
		call.NoRoute:  own(func(_ *Proxy, r *http.Request) { r.URL.Path = "/none" }),
		call.NoServer: refused(gateSays(call.NoServer, call.NotRun)),
		call.Busy:     refused(gateSays(call.Busy, call.NotRun)),
		call.Late:     refused(gateSays(call.Late, call.NotRun)),
		call.Leaving:  own(func(p *Proxy, _ *http.Request) { p.leaving.Store(true) }),
		call.Dial:     refused(fails(dial)),
		call.Refused:  refused(fails(errors.New("stream error: REFUSED_STREAM"))),
		call.Broken:   lost(fails(errors.New("reset"))),
		call.Crossed: lost(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{call.HeaderID: {"another"}}, Body: http.NoBody}, nil
		}),
		call.Deadline: lost(waits),
		call.Canceled: {hop: waits, message: telemetry.CallGone, counter: failures, prepare: func(_ *Proxy, r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			cancel()
			*r = *r.WithContext(ctx)
		}},
		call.Shed:      {hop: answersWith(http.StatusServiceUnavailable, "", call.Answered), message: telemetry.CallFailed, counter: failures},
		call.Moved:     refused(gateSays(call.Moved, call.NotRun)),
		call.ShortBody: own(func(_ *Proxy, r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("1")), 2 }),
		call.LongHead:  own(func(_ *Proxy, r *http.Request) { r.Header.Set("Long", strings.Repeat("a", 2000)) }),
		call.LongBody:  own(func(_ *Proxy, r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("1")), 2000 }),
		call.Upgrade:   own(func(_ *Proxy, r *http.Request) { r.Header.Set("Connection", "upgrade"); r.Header.Set("Upgrade", "h2") }),
	}
	for _, reason := range reasons(t) {
		t.Run(string(reason), func(t *testing.T) {
			c, ok := cases[reason]
			require.True(t, ok, "no case for this reason")
			var out bytes.Buffer
			scope := tally.NewTestScope("", nil)
			p := New(Config{
				Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true },
				View: reasonsView(t), Hop: c.hop, Evidence: func(string, bool) {}, Timeout: time.Second,
				Sinks: telemetry.Sinks{Log: slog.New(slog.NewJSONHandler(&out, nil)), Scope: scope},
			})
			r := httptest.NewRequest(http.MethodPost, "/book", http.NoBody)
			if c.prepare != nil {
				c.prepare(p, r)
			}
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			require.Equal(t, 1, told(t, out.String(), c.message, reason, w.Header().Get(call.HeaderID)), "%s", out.String())
			counter := scope.Snapshot().Counters()[c.counter+"+reason="+string(reason)]
			require.NotNil(t, counter)
			require.EqualValues(t, 1, counter.Value())
		})
	}
}

// told counts the lines that tell why a call ended.
func told(t *testing.T, log, message string, reason call.Reason, id string) int {
	n := 0
	for line := range strings.Lines(log) {
		var l struct{ Msg, Reason, Call string }
		require.NoError(t, json.Unmarshal([]byte(line), &l))
		if l.Msg == message && l.Reason == string(reason) && l.Call == id && id != "" {
			n++
		}
	}
	return n
}

// reasons returns every reason that the source of the call package names.
func reasons(t *testing.T) []call.Reason {
	source, err := os.ReadFile("../call/outcome.go")
	require.NoError(t, err)
	var all []call.Reason
	for _, m := range regexp.MustCompile(`Reason = "([a-z-]+)"`).FindAllSubmatch(source, -1) {
		all = append(all, call.Reason(m[1]))
	}
	require.NotEmpty(t, all)
	return all
}

var reasonsTable = &revision.Table{
	Number: 7, Services: map[string]*record.Service{"quotes": {Name: "quotes"}}, Policies: map[string]*record.Policy{},
	Limits: record.Limits{Header: 1000, Body: 1000},
	Routes: []*record.Route{{
		Name: "book", Prefix: "/book", Service: "quotes", Timeout: 50 * time.Millisecond, Repeat: record.RepeatNever,
		Attempts: 1, Objective: 20 * time.Millisecond,
	}},
}

// reasonsView shows one instance that serves the service.
func reasonsView(t *testing.T) func() *member.View {
	now := time.Now()
	self := &wire.Member{Name: "entry", Domain: "xitun", State: wire.State_STATE_ALIVE}
	agent := member.New(member.Config{Beat: time.Second, Suspect: time.Second}, self, now)
	agent.Probed(now, &wire.ProbeRequest{Events: []*wire.Member{{
		Name: "quotes-0", Peer: "127.0.0.1:1", Hop: "127.0.0.1:2", Domain: "xitun", State: wire.State_STATE_ALIVE, Incarnation: 1,
		Servers: []*wire.Server{{Service: "quotes", Slots: 3}},
	}}})
	agent.Tick(now.Add(time.Second / 2))
	require.Len(t, agent.View().Offers("quotes"), 1)
	return agent.View
}

// stuckWriter never finishes a write before it is released.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestFullLogDelaysNoCall refuses more calls than the queue of log lines holds
// while nothing reads the log: every call has its answer with no time passing.
func TestFullLogDelaysNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := stuckWriter{release: make(chan struct{})}
		scope := tally.NewTestScope("", nil)
		queue := telemetry.NewQueue(w, scope.Counter("lost"))
		log := slog.New(slog.NewJSONHandler(queue, nil)) // without limits, so that the queue fills
		p := New(Config{
			Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true },
			View: reasonsView(t), Hop: gateSays(call.Busy, call.NotRun), Evidence: func(string, bool) {}, Timeout: time.Second,
			Sinks: telemetry.Sinks{Log: log},
		})
		start := time.Now()
		const calls = 5000
		for range calls {
			answer := httptest.NewRecorder()
			p.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/book", http.NoBody))
			require.Equal(t, http.StatusServiceUnavailable, answer.Code)
		}
		require.Equal(t, start, time.Now())
		require.Greater(t, scope.Snapshot().Counters()["lost+"].Value(), int64(calls/2), "the queue was not full")
		close(w.release)
		queue.Close()
	})
}
