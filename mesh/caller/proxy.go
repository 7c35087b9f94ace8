// Package caller speaks to callers: it routes a call by the table in force,
// chooses a backend server and hands the call to the node beside it.
//
// # Usage
//
//	proxy := caller.New(caller.Config{Table: holder.Table, View: members.View, Own: gate, Hop: transport})
//	http.Serve(listener, proxy)
package caller

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Config configures a Proxy. Every field but Sinks is required.
type Config struct {
	Table    func() *revision.Table
	Ready    func() bool // whether the table may be served
	View     func() *member.View
	Hop      http.RoundTripper // to other nodes
	Evidence func(name string, reached bool)
	Timeout  time.Duration // of a call whose route names none
	Sinks    telemetry.Sinks
}

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// Proxy is the handler of the callers' port.
type Proxy struct {
	config Config
	router atomic.Pointer[call.Router]
	loads  sync.Map // instance name to *atomic.Int64, own calls outstanding
	open   sync.WaitGroup
}

// New returns a proxy.
func New(config Config) *Proxy {
	config.Sinks = config.Sinks.OrDiscard()
	return &Proxy{config: config}
}

// Drain waits for the calls in progress.
func (p *Proxy) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		p.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// route returns the router of the table in force.
func (p *Proxy) route() *call.Router {
	t := p.config.Table()
	if r := p.router.Load(); r != nil && r.Table == t {
		return r
	}
	r := call.NewRouter(t)
	p.router.Store(r)
	return r
}

// ServeHTTP serves one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.open.Add(1)
	defer p.open.Done()
	call.Strip(r.Header)
	call.StripHop(r.Header)
	id := uuid.NewString()
	w.Header().Set(call.HeaderID, id)
	if !p.config.Ready() {
		refuse(w, http.StatusServiceUnavailable, "not-ready", "no")
		return
	}
	router := p.route()
	route := router.Match(r.Host, r.Method, r.URL.Path, r.Header)
	if route == nil {
		refuse(w, http.StatusNotFound, "no-route", "no")
		return
	}
	timeout := route.Timeout
	if timeout == 0 {
		timeout = p.config.Timeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	r.Header.Set(call.HeaderID, id)
	r.Header.Set(call.HeaderService, route.Service)
	w.Header().Set(call.HeaderRevision, strconv.FormatUint(router.Table.Number, 10))
	p.attempt(ctx, w, r, route)
}

// refuse answers a call that has failed.
func refuse(w http.ResponseWriter, status int, reason, ran string) {
	w.Header().Set(call.HeaderReason, reason)
	w.Header().Set(call.HeaderRan, ran)
	w.WriteHeader(status)
}

// attempt sends the call to one backend server after another while it was not
// run.
func (p *Proxy) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, route *record.Route) {
	body, err := newReplayBody(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, "short-body", "no")
		return
	}
	tried := map[string]bool{}
	reason, ran := "no-server", "no"
	for range maxAttempts {
		m := p.pick(route.Service, tried)
		if m == nil {
			break
		}
		tried[m.GetName()] = true
		sent, ok := body.attempt()
		if !ok {
			break
		}
		resp, err := p.send(ctx, r, m, sent)
		if err == nil && resp.Header.Get(call.HeaderRefused) == "" {
			p.answer(w, resp, m)
			return
		}
		reason, ran = p.outcome(ctx, resp, err, m)
		again := ran == "no" || call.Idempotent(route, r.Method)
		if ctx.Err() != nil || !again {
			break
		}
	}
	status := http.StatusServiceUnavailable
	if ctx.Err() != nil {
		status, reason = http.StatusGatewayTimeout, "deadline"
	}
	refuse(w, status, reason, ran)
}

// outcome classifies an attempt that was not answered.
func (p *Proxy) outcome(ctx context.Context, resp *http.Response, err error, m *wire.Member) (reason, ran string) {
	if err == nil {
		_ = resp.Body.Close()
		return resp.Header.Get(call.HeaderRefused), "no"
	}
	if ctx.Err() != nil {
		return "deadline", "unknown"
	}
	p.config.Evidence(m.GetName(), false)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return "dial", "no"
	}
	return "broken", "unknown"
}

func (p *Proxy) send(ctx context.Context, r *http.Request, m *wire.Member, body io.ReadCloser) (*http.Response, error) {
	load := p.load(m.GetName())
	load.Add(1)
	out := r.Clone(ctx)
	out.URL.Scheme, out.URL.Host = "http", m.GetHop()
	out.RequestURI, out.GetBody = "", nil
	out.Body = body
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(call.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	resp, err := p.config.Hop.RoundTrip(out)
	if err != nil {
		load.Add(-1)
		return nil, err
	}
	resp.Body = &doneBody{ReadCloser: resp.Body, done: func() { load.Add(-1) }}
	if got := resp.Header.Get(call.HeaderID); got != r.Header.Get(call.HeaderID) {
		_ = resp.Body.Close()
		return nil, errors.Errorf("answer of call %q for call %q", got, r.Header.Get(call.HeaderID))
	}
	return resp, nil
}

func (p *Proxy) load(name string) *atomic.Int64 {
	if v, ok := p.loads.Load(name); ok {
		return v.(*atomic.Int64)
	}
	v, _ := p.loads.LoadOrStore(name, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// answer copies an answer to the caller.
func (p *Proxy) answer(w http.ResponseWriter, resp *http.Response, _ *wire.Member) {
	defer resp.Body.Close()
	reason, ran := resp.Header.Get(call.HeaderReason), resp.Header.Get(call.HeaderRan)
	call.Strip(resp.Header)
	call.StripHop(resp.Header)
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	if reason != "" {
		w.Header().Set(call.HeaderReason, reason)
		w.Header().Set(call.HeaderRan, ran)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must see a broken answer
	}
}

// pick returns the less loaded of two random nodes that offer the service.
func (p *Proxy) pick(service string, tried map[string]bool) *wire.Member {
	var able []*wire.Member
	for _, o := range p.config.View().Offers(service) {
		if o.Node.GetState() == wire.State_STATE_ALIVE && !o.Server.GetLeaving() && !tried[o.Node.GetName()] {
			able = append(able, o.Node)
		}
	}
	switch len(able) {
	case 0:
		return nil
	case 1:
		return able[0]
	}
	i := rand.IntN(len(able))
	j := rand.IntN(len(able) - 1)
	if j >= i {
		j++
	}
	if p.load(able[j].GetName()).Load() < p.load(able[i].GetName()).Load() {
		return able[j]
	}
	return able[i]
}

// maxReplay bounds the body that is kept for another attempt, in bytes.
const maxReplay = 64 << 10

// replayBody keeps a small body so that an attempt that was not run can be
// followed by another. A larger one is streamed and can be sent once.
type replayBody struct {
	small []byte
	large io.ReadCloser // nil when the body is small
	used  atomic.Bool
}

// newReplayBody reads a body of known small length.
func newReplayBody(r *http.Request) (*replayBody, error) {
	if r.ContentLength < 0 || r.ContentLength > maxReplay {
		return &replayBody{large: r.Body}, nil
	}
	small, err := io.ReadAll(r.Body)
	return &replayBody{small: small}, errors.Wrap(err, "read body")
}

// attempt returns the body of one attempt, and false when it was used up.
func (b *replayBody) attempt() (io.ReadCloser, bool) {
	if b.large == nil {
		return io.NopCloser(bytes.NewReader(b.small)), true
	}
	return b.large, !b.used.Swap(true)
}

// doneBody runs a function once when it is closed.
type doneBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

func (b *doneBody) Close() error {
	b.once.Do(b.done)
	return b.ReadCloser.Close()
}
