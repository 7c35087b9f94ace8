// Package backend speaks to the backend server beside the node: it takes its
// announcements, admits calls to it and hands them over.
//
// # Usage
//
//	gate := backend.NewGate(backend.GateConfig{Policy: policyOf})
//	gate.Serve(backend.Target{Service: "quotes", Address: "127.0.0.1:9001", Slots: 6})
//	http.Serve(listener, gate)
package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/telemetry"
)

// Target is the backend server as it announced itself.
type Target struct {
	Service string
	Address string // IP:port
	Slots   int
	Cold    bool
	Leaving bool
}

// GateConfig configures a Gate.
type GateConfig struct {
	Policy func(service string) record.Policy
	Silent time.Duration
	Sinks  telemetry.Sinks
}

// Gate admits calls to the backend server and hands them over. It knows the
// true count in progress, since every call passes it.
type Gate struct {
	config GateConfig
	client *http.Transport
	target atomic.Pointer[Target]

	mu       sync.Mutex
	progress int
	drained  chan struct{}
	closed   bool
}

// NewGate returns a gate without a backend server.
func NewGate(config GateConfig) *Gate {
	config.Sinks = config.Sinks.OrDiscard()
	dialer := &net.Dialer{Timeout: time.Second}
	return &Gate{config: config, client: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// Serve sets the backend server; nil means there is none.
func (g *Gate) Serve(t *Target) { g.target.Store(t) }

// Target returns the backend server, or nil.
func (g *Gate) Target() *Target { return g.target.Load() }

// Progress returns the number of calls in progress.
func (g *Gate) Progress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress
}

// Drain refuses new calls and waits for those in progress.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.closed = true
	done := make(chan struct{})
	if g.progress == 0 {
		close(done)
	} else {
		g.drained = done
	}
	g.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close releases the connections to the backend server.
func (g *Gate) Close() { g.client.CloseIdleConnections() }

// enter takes a slot, or returns why it could not.
func (g *Gate) enter(service string) (*Target, string) {
	t := g.target.Load()
	if t == nil || t.Service != service {
		return nil, "no-server"
	}
	slots := t.Slots
	if p := g.config.Policy(service); p.Slots > 0 {
		slots = p.Slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed || t.Leaving:
		return nil, "leaving"
	case g.progress >= slots:
		return nil, "busy"
	}
	g.progress++
	return t, ""
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress--
	if g.progress == 0 && g.drained != nil {
		close(g.drained)
		g.drained = nil
	}
}

// ServeHTTP admits a call from another node or the own entry.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(call.HeaderID)
	w.Header().Set(call.HeaderID, id)
	t, reason := g.enter(r.Header.Get(call.HeaderService))
	if t == nil {
		refuse(w, reason)
		return
	}
	defer g.leave()
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(call.HeaderDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	g.forward(ctx, w, r, t)
}

// refuse answers that the call was not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(call.HeaderRefused, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers that the call failed at the backend server.
func fail(w http.ResponseWriter, status int, reason, ran string) {
	w.Header().Set(call.HeaderReason, reason)
	w.Header().Set(call.HeaderRan, ran)
	w.WriteHeader(status)
}

func (g *Gate) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, t *Target) {
	out := r.Clone(ctx)
	out.URL.Scheme, out.URL.Host = "http", t.Address
	out.RequestURI, out.GetBody = "", nil
	call.Strip(out.Header)
	call.StripHop(out.Header)
	out.Header.Set("X-Request-Id", r.Header.Get(call.HeaderID))
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	resp, err := g.client.RoundTrip(out)
	if err != nil {
		g.failed(ctx, w, err)
		return
	}
	defer resp.Body.Close()
	call.Strip(resp.Header)
	call.StripHop(resp.Header)
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.Header().Set(call.HeaderLoad, strconv.Itoa(g.Progress()))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must see a broken answer
	}
}

func (g *Gate) failed(ctx context.Context, w http.ResponseWriter, err error) {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		fail(w, http.StatusGatewayTimeout, "deadline", "unknown")
	case asDial(err, &op):
		refuse(w, "dial")
	default:
		g.config.Sinks.Log.Warn("backend server", "error", err.Error())
		fail(w, http.StatusBadGateway, "broken", "unknown")
	}
}
