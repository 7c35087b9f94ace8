package caller

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
)

// repeatableTable is reasonsTable with a route whose calls may run more than once.
var repeatableTable = &revision.Table{
	Number: 7, Services: reasonsTable.Services, Policies: reasonsTable.Policies,
	Routes: []*record.Route{{
		Name: "book", Prefix: "/book", Service: "quotes", Timeout: time.Second, Repeat: record.RepeatAlways,
		MaxAttempts: 5, LatencyObjective: 500 * time.Millisecond,
	}},
}

// TestCallWhoseServersEndIsRepeatedOnceAtMost checks how often a call is sent to servers
// that end while they run it, and what becomes of the same request afterwards.
func TestCallWhoseServersEndIsRepeatedOnceAtMost(t *testing.T) {
	for name, c := range map[string]struct {
		weight, attempts int
		next             call.Reason // of the next call with the same request, at a server that ends too
		nextAttempts     int
	}{
		"among others":     {call.WeightCrowd, 2, call.ReasonEnded, 1},
		"alone":            {call.WeightAlone, 1, call.ReasonEnded, 1},
		"beside a suspect": {call.WeightBystander, 2, call.ReasonEnded, 2},
	} {
		t.Run(name, func(t *testing.T) {
			sent, suspects, view := 0, 0, viewOf(t, 5)
			hop := roundTripFunc(func(r *http.Request) (*http.Response, error) {
				sent++
				if r.Header.Get(call.HeaderSuspect) != "" {
					suspects++
				}
				resp, err := refuseWith(call.MayHaveRun(call.ReasonEnded))(r)
				resp.Header.Set(call.HeaderEnded, call.End{Server: uint64(sent), Weight: c.weight}.Format())
				return resp, err
			})
			p := New(Config{
				Table: func() *revision.Table { return repeatableTable }, Ready: func() bool { return true },
				View: func() *member.View { return view }, Remote: hop, ReportReachability: func(string, bool) {}, Timeout: time.Second,
			})
			send := func() (call.Reason, int) {
				before, w := sent, httptest.NewRecorder()
				p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/book", http.NoBody))
				return call.Reason(w.Header().Get(call.HeaderReason)), sent - before
			}
			reason, attempts := send()
			require.Equal(t, call.ReasonEnded, reason)
			require.Equal(t, c.attempts, attempts)
			require.Zero(t, suspects)
			reason, attempts = send()
			require.Equal(t, c.next, reason)
			require.Equal(t, c.nextAttempts, attempts)
			require.Equal(t, c.weight > call.WeightBystander, suspects == 1)
		})
	}
}

// TestCallWhoseServersEndInMidAnswerIsRepeatedOnceAtMost guards against a third server, and an answer that looks complete.
func TestCallWhoseServersEndInMidAnswerIsRepeatedOnceAtMost(t *testing.T) {
	const bufferLimit = 1 << 10
	bodies := map[string]func(*http.Response, int, call.End){
		"own server": func(resp *http.Response, size int, end call.End) {
			resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("a", size)), iotest.ErrReader(&hop.EndedError{End: end})))
		},
		"another server": func(resp *http.Response, size int, end call.End) {
			resp.Body = io.NopCloser(strings.NewReader(strings.Repeat("a", size)))
			resp.Trailer = http.Header{call.HeaderEnded: {end.Format()}}
		},
	}
	for name, c := range map[string]struct {
		size, weight, attempts int
		hedge                  bool
	}{
		"among others":       {size: 100, weight: call.WeightCrowd, attempts: 2},
		"alone":              {size: 100, weight: call.WeightAlone, attempts: 1},
		"beside a suspect":   {size: 100, weight: call.WeightBystander, attempts: 2},
		"hedged":             {size: 100, weight: call.WeightCrowd, attempts: 2, hedge: true},
		"hedged, bystander":  {size: 100, weight: call.WeightBystander, attempts: 2, hedge: true},
		"beyond the buffer":  {size: 4 * bufferLimit, weight: call.WeightCrowd, attempts: 1},
		"beyond it, suspect": {size: 4 * bufferLimit, weight: call.WeightAlone, attempts: 1},
	} {
		for from, setBody := range bodies {
			t.Run(name+"/"+from, func(t *testing.T) {
				var sent atomic.Int64
				view := viewOf(t, 5)
				table := revision.Table{
					Services: map[string]*record.Service{"quotes": {Name: "quotes", Policy: "p"}},
					Policies: map[string]*record.Policy{"p": {Name: "p", Hedge: record.Budget{Percent: 100, Delay: 10 * time.Millisecond}, Retry: record.Budget{Percent: 100}}},
					Routes:   []*record.Route{{Name: "book", Prefix: "/book", Service: "quotes", Timeout: time.Second, Repeat: record.RepeatAlways, MaxAttempts: 5, Hedge: c.hedge}},
				}
				p := New(Config{
					Table: func() *revision.Table { return &table }, Ready: func() bool { return true }, View: func() *member.View { return view },
					Remote: roundTripFunc(func(r *http.Request) (*http.Response, error) {
						server := uint64(sent.Add(1))
						if c.hedge { // both attempts are under way before the first one fails
							time.Sleep(30 * time.Millisecond)
						}
						resp, err := respondWith(http.StatusOK)(r)
						resp.ContentLength = -1
						setBody(resp, c.size, call.End{Server: server, Weight: c.weight, At: time.Now()})
						return resp, err
					}),
					ReportReachability: func(string, bool) {}, Timeout: time.Second, BufferLimit: bufferLimit,
				})
				w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/book", http.NoBody)
				f := call.FingerprintOf("quotes", r.Host, r.Method, r.RequestURI, nil)
				if c.size > bufferLimit {
					require.PanicsWithValue(t, http.ErrAbortHandler, func() { p.ServeHTTP(w, r) })
				} else {
					p.ServeHTTP(w, r)
					require.Equal(t, http.StatusBadGateway, w.Code)
					require.Equal(t, string(call.ReasonEnded), w.Header().Get(call.HeaderReason))
				}
				require.EqualValues(t, c.attempts, sent.Load())
				require.Equal(t, c.attempts*c.weight, p.config.Suspects.Evidence(f, time.Now()).Weight)
			})
		}
	}
}

// TestCondemnedCallNamesItsRequest checks that the log line of a refused call has the
// fingerprint by which the ends of servers are found, and that its caller is not told when to return.
func TestCondemnedCallNamesItsRequest(t *testing.T) {
	var out bytes.Buffer
	p := New(Config{
		Table: func() *revision.Table { return reasonsTable }, Ready: func() bool { return true },
		View: reasonsView(t), Remote: roundTripFunc(hang), ReportReachability: func(string, bool) {}, Timeout: time.Second,
		Sinks: telemetry.Sinks{Log: slog.New(slog.NewJSONHandler(&out, nil))},
	})
	r := httptest.NewRequest(http.MethodPost, "/book", http.NoBody)
	condemn(p, r)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Empty(t, w.Header().Get("Retry-After"))
	f := call.FingerprintOf("quotes", r.Host, r.Method, r.RequestURI, nil)
	require.Contains(t, out.String(), fmt.Sprintf(`"request":%q`, f.String()))
}

// TestTrialThatReachesNoServerIsMadeLater guards against using up a trial in a call that all servers refuse.
func TestTrialThatReachesNoServerIsMadeLater(t *testing.T) {
	refusal, trials, view := call.NotRun(call.ReasonBusy, call.ProofNotSent), 0, viewOf(t, 5)
	hop := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		if r.Header.Get(call.HeaderTrial) != "" {
			trials++
		}
		return refuseWith(refusal)(r)
	})
	p := New(Config{
		Table: func() *revision.Table { return repeatableTable }, Ready: func() bool { return true },
		View: func() *member.View { return view }, Remote: hop, ReportReachability: func(string, bool) {}, Timeout: time.Second,
	})
	send := func() call.Reason {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/book", http.NoBody))
		return call.Reason(w.Header().Get(call.HeaderReason))
	}
	r := httptest.NewRequest(http.MethodGet, "/book", http.NoBody)
	condemn(p, r)
	require.Equal(t, call.ReasonCondemned, send())
	p.config.Suspects.RecordTrials(call.FingerprintOf("quotes", r.Host, r.Method, r.RequestURI, nil), 1, true, time.Now())
	require.Equal(t, call.ReasonBusy, send())
	require.Equal(t, 1, trials)
	refusal = call.MayHaveRun(call.ReasonBroken)
	require.Equal(t, call.ReasonBroken, send(), "the trial is made now")
	require.Equal(t, 2, trials)
	require.Equal(t, call.ReasonCondemned, send())
	require.Equal(t, 2, trials)
}
