package backend

// This file records what the backend server states about itself in its answers.

import (
	"net/http"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// Statement is what a backend server states about itself in the header of an answer,
// whichever call the answer belongs to.
type Statement struct {
	Limit   call.NamedLimit
	Leaving bool   // the server is leaving and is to get no new call
	Invalid string // value of a limit that can't be read; empty if there is none
}

// observe records the statement in the answer to an attempt. It must be the answer of
// the server that the attempt was sent to. A limit that can't be read leaves the one in
// force as it is, and only a success may raise or end it.
func (g *Gate) observe(e *evidence, s Statement) {
	if s.Leaving {
		g.recordLeaving(e.target, e.call)
	}
	if s.Invalid != "" {
		g.config.Sinks.Log.Warn("server limit not readable", "server", e.target.Server, "call", e.call, "limit", s.Invalid)
		return
	}
	sentAt := e.sentAt
	if e.status >= http.StatusMultipleChoices {
		sentAt = time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.Load().sameServer(e.target) {
		g.changeLimit(e.target, e.call, s.Limit, func(now time.Time) (bool, []*call.Waiter) {
			return g.admission.ObserveLimit(s.Limit, e.call, sentAt, now)
		})
	}
}

// changeLimit logs and counts a change of the limit that change makes. The caller holds
// g.mu.
func (g *Gate) changeLimit(t *Target, source string, l call.NamedLimit, change func(now time.Time) (bool, []*call.Waiter)) {
	now := time.Now()
	before := g.admission.LimitState(now)
	changed, rejected := change(now)
	g.wake(rejected)
	if changed {
		g.metrics.setLimit(l)
		g.config.Sinks.Log.Info("server limit", "server", t.Server, "source", source, "named", l.Named, "limit", l.Rate,
			"before", before.Rate, "held", before.Age.Milliseconds(), "refused", len(rejected))
	}
}

// adoptLimit adopts a limit that the gate has not heard of itself. The caller holds
// g.mu.
func (g *Gate) adoptLimit(t *Target, source string, l call.NamedLimit) {
	g.changeLimit(t, source, l, func(now time.Time) (bool, []*call.Waiter) { return g.admission.AdoptLimit(l, source, now) })
}

// resetLimit ends the limit, since another backend server follows, or none. The caller
// holds g.mu.
func (g *Gate) resetLimit(old *Target) {
	if g.admission.LimitState(time.Now()).Named {
		g.changeLimit(old, sourceReplaced, call.NamedLimit{}, func(time.Time) (bool, []*call.Waiter) { return true, nil })
	}
	g.admission.ResetLimit()
}

// Sources of a limit, or of its end, other than the ID of a call.
const (
	sourceHealth   = "health"   // the answer to a health check
	sourceNode     = "node"     // another node, which had passed it on
	sourceReplaced = "replaced" // another backend server is in force, or none
)

// foreseenLimit is a limit named by a server that is not in force yet.
type foreseenLimit struct {
	server string
	limit  call.NamedLimit
}

// recordHealth records the limit in the answer to a health check.
func (g *Gate) recordHealth(server string, s Statement) {
	if !s.Limit.Named {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.target.Load(); t != nil && t.Server == server {
		g.adoptLimit(t, sourceHealth, s.Limit)
		return
	}
	g.foreseen = foreseenLimit{server, s.Limit}
}

// adoptForeseen adopts the limit that a server named before it came into force. The
// caller holds g.mu.
func (g *Gate) adoptForeseen(t *Target) {
	if t != nil && t.Server == g.foreseen.server {
		g.adoptLimit(t, sourceHealth, g.foreseen.limit)
		g.foreseen = foreseenLimit{}
	}
}

// adoptStated adopts what the entry node of a call has heard of the server, and reports
// whether that is that the server is leaving.
func (g *Gate) adoptStated(header http.Header, t *Target) bool {
	stated := call.ParseStated(header.Get(call.HeaderStated))
	if !stated.Concerns(t.Server, t.Epoch) {
		return false
	}
	if stated.Leaving {
		if stated.Epoch == t.Epoch && t.Epoch != 0 {
			g.recordLeaving(t, sourceNode)
		}
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.Load().sameServer(t) {
		g.adoptLimit(t, sourceNode, stated.Limit)
	}
	return false
}

// stated returns what the server has stated, for the nodes that its answers go to.
func (g *Gate) stated() call.Stated {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target.Load()
	if t == nil {
		return call.Stated{}
	}
	return call.Stated{Server: t.Server, Epoch: t.Epoch, Limit: g.admission.LimitState(time.Now()).NamedLimit, Leaving: t.sameIncarnation(g.left)}
}

// recordLeaving records that a backend server has stated that it is leaving, in the answer
// to a call with the given ID or as another source says. That is final for the
// incarnation, whatever it announces, also if it is not in force any more.
func (g *Gate) recordLeaving(t *Target, source string) {
	g.mu.Lock()
	current := g.target.Load()
	inForce := t.sameIncarnation(current)
	news := inForce && !current.Leaving || !inForce && !t.sameIncarnation(g.leftLate)
	switch {
	case news && inForce:
		g.left = t
		g.setTarget(current)
	case news:
		g.leftLate = t
	}
	g.mu.Unlock()
	if !news {
		return
	}
	g.config.Sinks.Log.Info("backend server says that it leaves", "server", t.Server, "source", source, "current", inForce)
	if g.config.ServerLeaving != nil {
		g.config.ServerLeaving(t)
	}
}

// LimitState describes the limit that the backend server names.
func (g *Gate) LimitState() call.LimitState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.LimitState(time.Now())
}

// logLimited logs a call that was sent under a limit of the server, or that was refused
// for it.
func (g *Gate) logLimited(id, attempt string, remote bool, reason call.Reason) {
	state := g.LimitState()
	if t := g.target.Load(); t != nil && state.Named && (reason == "" || reason == call.ReasonLimited) {
		g.config.Sinks.Log.Info(telemetry.CallLimited, "call", id, "server", t.Server, "sent", reason == "", "attempt", attempt,
			"remote", remote, "limit", state.Rate, "age", state.Age.Milliseconds(), "source", state.Source, "tokens", state.Tokens)
	}
}

// sameIncarnation reports whether two targets are the same incarnation of a backend
// server. It is false when either is nil.
func (t *Target) sameIncarnation(o *Target) bool {
	return t != nil && o != nil && t.Server == o.Server && t.Address == o.Address && t.Epoch == o.Epoch
}

// sameServer is like sameIncarnation, but a server that was found, which has no epoch
// before it announces itself, may be any incarnation of that name.
func (t *Target) sameServer(o *Target) bool {
	return t != nil && o != nil && t.Server == o.Server && t.Address == o.Address && (t.Epoch == o.Epoch || t.Epoch == 0 || o.Epoch == 0)
}
