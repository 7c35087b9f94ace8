package backend

// This file records what the backend server states about itself in its answers.

import (
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
// force as it is.
func (g *Gate) observe(e *evidence, s Statement) {
	log := g.config.Sinks.Log
	if s.Leaving {
		g.recordLeaving(e.target, e.call)
	}
	if s.Invalid != "" {
		log.Warn("server limit not readable", "server", e.target.Server, "call", e.call, "limit", s.Invalid)
		return
	}
	g.mu.Lock()
	now := time.Now()
	before, changed := g.admission.LimitState(now), false
	if g.target.Load().sameServer(e.target) {
		var rejected []*call.Waiter
		changed, rejected = g.admission.ObserveLimit(s.Limit, e.call, e.sentAt, now)
		g.wake(rejected)
	}
	g.mu.Unlock()
	if changed {
		g.metrics.setLimit(s.Limit)
		log.Info("server limit", "server", e.target.Server, "call", e.call, "named", s.Limit.Named, "limit", s.Limit.Rate,
			"before", before.Rate, "held", before.Age.Milliseconds())
	}
}

// recordLeaving records that a backend server has stated in the answer to a call that it
// is leaving. That is final for the incarnation, whatever it announces.
func (g *Gate) recordLeaving(t *Target, id string) {
	g.mu.Lock()
	current := g.target.Load()
	news := t.sameIncarnation(current) && !current.Leaving
	if news {
		g.left = t
		g.setTarget(current)
	}
	g.mu.Unlock()
	if !news {
		return
	}
	g.config.Sinks.Log.Info("backend server says that it leaves", "server", t.Server, "call", id)
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
