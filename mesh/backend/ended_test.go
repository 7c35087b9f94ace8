package backend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/record"
)

// endingServer returns a server that ends when it runs a request for /deadly.
func endingServer(t *testing.T) *httptest.Server {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/deadly" {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// TestGateRefusesWhatEndedItsServer guards against a suspected request that moves on to the next server, since
// the nodes where it enters have not heard of its last end.
func TestGateRefusesWhatEndedItsServer(t *testing.T) {
	now := time.Now()
	f := call.FingerprintOf("quotes", "h.example", http.MethodGet, "/deadly", nil)
	known := call.Suspicion{Request: f, Ends: []call.End{{Server: 1, Weight: call.WeightCrowd, At: now}, {Server: 2, Weight: call.WeightCrowd, At: now}}}
	send := func(gate *backend.Gate, path string, header http.Header) call.Verdict {
		req := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		header.Set(call.HeaderID, "id")
		header.Set(call.HeaderService, "quotes")
		req.Header = header
		resp, err := gate.RoundTrip(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		return call.ParseVerdict(resp.Header)
	}
	suspect := func() http.Header { return http.Header{call.HeaderSuspect: {call.FormatSuspicion(known, now)}} }
	trial := func() http.Header { h := suspect(); h.Set(call.HeaderTrial, call.Yes); return h }

	suspects := call.NewSuspects(now)
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Address: endingServer(t).Listener.Addr().String(), Slots: 10})
	require.Equal(t, call.ReasonEnded, send(gate, "/deadly", suspect()).Reason())
	require.Equal(t, call.Condemned, suspects.Standing(f, time.Now()))
	require.Equal(t, call.ReasonCondemned, send(gate, "/deadly", suspect()).Reason(), "from a node that has not heard of it")

	gate.SetTarget(&backend.Target{Service: "quotes", Server: "b", Address: endingServer(t).Listener.Addr().String(), Slots: 10})
	verdict := send(gate, "/deadly", suspect())
	require.Equal(t, call.ReasonCondemned, verdict.Reason())
	require.Equal(t, call.OutcomeNotRun, verdict.Outcome())
	require.Empty(t, send(gate, "/other", http.Header{}).Reason(), "other requests run")
	require.Eventually(t, func() bool { return send(gate, "/deadly", trial()).Reason() == call.ReasonEnded }, time.Second, 5*time.Millisecond)
	require.NotEqual(t, call.ReasonCondemned, send(gate, "/other", http.Header{call.HeaderSuspect: {"!"}}).Reason(), "what can't be read condemns nothing")
}

// TestCanceledSuspectIsHeldToItsEnd guards against a suspected request whose caller leaves before the server ends under it.
func TestCanceledSuspectIsHeldToItsEnd(t *testing.T) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		if r.URL.Path == "/deadly" {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	now := time.Now()
	f := call.FingerprintOf("quotes", "h.example", http.MethodGet, "/deadly", nil)
	known := call.Suspicion{Request: f, Ends: []call.End{{Server: 1, Weight: call.WeightCrowd, At: now}, {Server: 2, Weight: call.WeightCrowd, At: now}}}
	suspects := call.NewSuspects(now)
	gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
	defer gate.Close()
	gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Address: server.Listener.Addr().String(), Slots: 10})
	send := func(ctx context.Context, path, suspicion string) {
		req := httptest.NewRequest(http.MethodGet, path, http.NoBody).WithContext(ctx)
		req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}}
		if suspicion != "" {
			req.Header.Set(call.HeaderSuspect, suspicion)
		}
		resp, err := gate.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() { send(t.Context(), "/other", "") })
	calls.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		send(ctx, "/deadly", call.FormatSuspicion(known, now))
	})
	calls.Wait()
	require.Equal(t, call.Condemned, suspects.Standing(f, time.Now()))
}

// rawServer accepts connections for a server that answers by hand. end closes the listener, then all connections.
type rawServer struct {
	net.Listener
	conns chan net.Conn // accepted, after the header of the request was read
	all   sync.Map
}

func newRawServer(t *testing.T) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{Listener: l, conns: make(chan net.Conn, 10)}
	t.Cleanup(s.end)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.all.Store(conn, nil)
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					s.conns <- conn
				}
			}()
		}
	}()
	return s
}

func (s *rawServer) end() {
	_ = s.Close()
	s.all.Range(func(conn, _ any) bool { _ = conn.(net.Conn).Close(); return true })
}

// TestServerThatEndsInMidAnswerIsHeldAgainstItsRequests guards against forgetting a run when the header of its answer has come.
func TestServerThatEndsInMidAnswerIsHeldAgainstItsRequests(t *testing.T) {
	now := time.Now()
	deadly, other := call.Fingerprint{1}, call.Fingerprint{2}
	for name, c := range map[string]struct {
		answered     []call.Fingerprint // runs whose header has come when the server ends
		running      []call.Fingerprint // runs without an answer
		deadly       call.Standing
		other        call.Standing
		suspect      bool // deadly is suspected already
		unidentified bool // the entry node names no request
	}{
		"alone":                 {answered: []call.Fingerprint{deadly}, deadly: call.Suspected},
		"beside a run":          {answered: []call.Fingerprint{deadly}, running: []call.Fingerprint{other}},
		"beside an answer":      {answered: []call.Fingerprint{deadly, other}},
		"suspect":               {answered: []call.Fingerprint{deadly}, running: []call.Fingerprint{other}, suspect: true, deadly: call.Condemned},
		"run beside an answer":  {answered: []call.Fingerprint{other}, running: []call.Fingerprint{deadly}, suspect: true, deadly: call.Condemned},
		"without a fingerprint": {answered: []call.Fingerprint{deadly}, unidentified: true},
	} {
		t.Run(name, func(t *testing.T) {
			suspects, server := call.NewSuspects(now), newRawServer(t)
			gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
			defer gate.Close()
			gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Address: server.Addr().String(), Slots: 10})
			send := func(f call.Fingerprint) *http.Response {
				req := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
				req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}}
				if !c.unidentified {
					req.Header.Set(call.HeaderFingerprint, f.String())
				}
				if f == deadly && c.suspect {
					ends := []call.End{{Server: 1, Weight: call.WeightAlone, At: now}}
					req.Header.Set(call.HeaderSuspect, call.FormatSuspicion(call.Suspicion{Request: deadly, Ends: ends}, now))
				}
				resp, err := gate.RoundTrip(req)
				require.NoError(t, err)
				return resp
			}
			var answers []*http.Response
			for _, f := range c.answered {
				go func() { _, _ = io.WriteString(<-server.conns, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345") }()
				answers = append(answers, send(f))
			}
			var running sync.WaitGroup
			for _, f := range c.running {
				running.Go(func() {
					resp := send(f)
					defer resp.Body.Close()
					require.Equal(t, call.ReasonEnded, call.ParseVerdict(resp.Header).Reason())
				})
				<-server.conns
			}
			server.end()
			for _, resp := range answers {
				_, err := io.Copy(io.Discard, resp.Body)
				var ended *hop.EndedError
				require.ErrorAs(t, err, &ended)
				require.NoError(t, resp.Body.Close())
			}
			running.Wait()
			require.Equal(t, c.deadly, suspects.Standing(deadly, time.Now()))
			require.Equal(t, c.other, suspects.Standing(other, time.Now()))
		})
	}
}

// TestRunWhoseCallerLeftIsHeldToTheEndOfItsServer guards against forgetting a run when its caller has left.
func TestRunWhoseCallerLeftIsHeldToTheEndOfItsServer(t *testing.T) {
	for name, c := range map[string]struct {
		ends     bool // the server ends after the caller has left
		next     bool // another call follows
		standing call.Standing
	}{
		"no other call":    {ends: true, standing: call.Suspected},
		"another call":     {ends: true, next: true, standing: call.Suspected},
		"server goes on":   {},
		"answers are made": {next: true},
	} {
		t.Run(name, func(t *testing.T) {
			request, suspects, server := call.Fingerprint{1}, call.NewSuspects(time.Now()), newRawServer(t)
			gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
			defer gate.Close()
			gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Address: server.Addr().String(), Slots: 10})
			send := func(ctx context.Context, f call.Fingerprint) call.Reason {
				req := httptest.NewRequest(http.MethodGet, "/", http.NoBody).WithContext(ctx)
				req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderFingerprint: {f.String()}}
				resp, err := gate.RoundTrip(req)
				require.NoError(t, err)
				defer resp.Body.Close()
				return call.ParseVerdict(resp.Header).Reason()
			}
			ctx, leave := context.WithCancel(t.Context())
			go func() { <-server.conns; leave() }()
			require.Equal(t, call.ReasonCanceled, send(ctx, request))
			if c.ends {
				server.end()
			}
			if c.next {
				go func() {
					if !c.ends {
						_, _ = io.WriteString(<-server.conns, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
				reason := send(t.Context(), call.Fingerprint{2})
				require.Equal(t, c.ends, reason == call.ReasonDial)
			}
			time.Sleep(time.Second) // longer than the run is held
			require.Equal(t, c.standing, suspects.Standing(request, time.Now()))
			require.Equal(t, call.Unsuspected, suspects.Standing(call.Fingerprint{2}, time.Now()))
		})
	}
}

// TestServerThatIsBackAtOnceIsHeldAgainstItsRequests guards against taking an end for a cut connection.
func TestServerThatIsBackAtOnceIsHeldAgainstItsRequests(t *testing.T) {
	for name, c := range map[string]struct {
		leaves   bool // the server has said so
		next     backend.Target
		standing call.Standing
	}{
		"next incarnation, same name":  {next: backend.Target{Service: "quotes", Server: "a", Epoch: 2}, standing: call.Suspected},
		"next incarnation, other name": {next: backend.Target{Service: "quotes", Server: "b", Epoch: 2}, standing: call.Suspected},
		"server that leaves":           {leaves: true, next: backend.Target{Service: "quotes", Server: "b", Epoch: 2}},
		"same incarnation":             {next: backend.Target{Service: "quotes", Server: "a", Epoch: 1}},
		"address of another service":   {next: backend.Target{Service: "rings", Server: "b", Epoch: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			request, suspects, server := call.Fingerprint{1}, call.NewSuspects(time.Now()), newRawServer(t)
			gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
			defer gate.Close()
			target := backend.Target{Service: "quotes", Server: "a", Epoch: 1, Address: server.Addr().String(), Slots: 10}
			gate.SetTarget(&target)
			req := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
			req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderFingerprint: {request.String()}}
			go func() { _ = (<-server.conns).Close() }()
			resp, err := gate.RoundTrip(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, call.ReasonBroken, call.ParseVerdict(resp.Header).Reason())
			if c.leaves {
				leaving := target
				leaving.Leaving = true
				gate.SetTarget(&leaving)
			}
			c.next.Address, c.next.Slots = target.Address, target.Slots
			gate.SetTarget(&c.next)
			require.Equal(t, c.standing, suspects.Standing(request, time.Now()))
		})
	}
}

// TestServerThatEndsOnItsLastByteIsHeldAgainstItsRequests guards against forgetting a run when its whole answer has come.
func TestServerThatEndsOnItsLastByteIsHeldAgainstItsRequests(t *testing.T) {
	const length, chunks = "Content-Length: 5\r\n\r\n12345", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		pause  time.Duration // between the last byte and the end
		lives  bool          // the server only closes the connection
		known  call.Standing // of the request after two such ends
	}{
		"length":                   {answer: length, known: call.Suspected},
		"chunks":                   {answer: chunks, known: call.Suspected},
		"some ms later":            {answer: length, pause: 30 * time.Millisecond, known: call.Suspected},
		"connection":               {answer: "\r\n12345", known: call.Suspected},
		"empty":                    {answer: "Content-Length: 0\r\n\r\n", known: call.Suspected},
		"connection is closed":     {answer: length, lives: true},
		"connection ends it":       {answer: "\r\n12345", lives: true},
		"later":                    {answer: length, pause: 3 * call.SurvivalTime / 2},
		"connection close, length": {answer: "Connection: close\r\n" + length, lives: true},
	} {
		t.Run(name, func(t *testing.T) {
			request, suspects := call.Fingerprint{1}, call.NewSuspects(time.Now())
			gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
			defer gate.Close()
			for epoch := range uint64(2) {
				server := newRawServer(t)
				gate.SetTarget(&backend.Target{Service: "quotes", Server: "a", Epoch: epoch + 1, Address: server.Addr().String(), Slots: 10})
				go func() {
					conn := <-server.conns
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.answer)
					time.Sleep(c.pause)
					if c.lives {
						_ = conn.Close()
					} else {
						server.end()
					}
				}()
				req := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
				req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderFingerprint: {request.String()}}
				resp, err := gate.RoundTrip(req)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				suspects.RecordAnswer(request, time.Now()) // as the entry node does
				time.Sleep(c.pause + call.SurvivalTime/2)
			}
			require.Equal(t, c.known, suspects.Standing(request, time.Now()))
		})
	}
}

// TestAnswersThatBreakOffOtherwiseAreHeldAgainstNobody guards against taking cut connections and planned stops for ends.
func TestAnswersThatBreakOffOtherwiseAreHeldAgainstNobody(t *testing.T) {
	for name, c := range map[string]struct {
		leaves bool // the server has said so, and ends
		unread bool // the answer is left unread while another call finds that the server has ended
		known  call.Standing
	}{
		"connection is cut":                {},
		"planned stop":                     {leaves: true},
		"unread, server ended after all":   {unread: true, known: call.Suspected},
		"unread, server ended, was to end": {unread: true, leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			request, suspects, server := call.Fingerprint{1}, call.NewSuspects(time.Now()), newRawServer(t)
			gate := backend.NewGate(backend.GateConfig{Policy: func(string) record.Policy { return record.Policy{} }, Suspects: suspects})
			defer gate.Close()
			target := backend.Target{Service: "quotes", Server: "a", Epoch: 1, Address: server.Addr().String(), Slots: 10}
			gate.SetTarget(&target)
			send := func(f call.Fingerprint) *http.Response {
				req := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
				req.Header = http.Header{call.HeaderID: {"id"}, call.HeaderService: {"quotes"}, call.HeaderFingerprint: {f.String()}}
				resp, err := gate.RoundTrip(req)
				require.NoError(t, err)
				return resp
			}
			answering := make(chan net.Conn, 1)
			go func() {
				conn := <-server.conns
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345")
				answering <- conn
			}()
			resp := send(request)
			defer resp.Body.Close()
			conn := <-answering
			if c.leaves {
				leaving := target
				leaving.Leaving = true
				gate.SetTarget(&leaving)
			}
			if c.leaves || c.unread {
				server.end()
			} else {
				require.NoError(t, conn.Close())
			}
			if c.unread {
				require.NoError(t, send(call.Fingerprint{2}).Body.Close())
			} else {
				_, err := io.Copy(io.Discard, resp.Body)
				var ended *hop.EndedError
				require.Error(t, err)
				require.False(t, errors.As(err, &ended))
			}
			require.Equal(t, c.known, suspects.Standing(request, time.Now()))
			require.Equal(t, call.Unsuspected, suspects.Standing(call.Fingerprint{2}, time.Now()))
		})
	}
}
