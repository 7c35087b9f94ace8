package backend

// This file decides when the concurrency of the backend server is limited, and reports it.
// Package pace decides on the limit itself.

import (
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/pace"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/telemetry"
)

// newServerTime is how long after its start a server counts as new. It is the default
// duration of slow start.
const newServerTime = call.DefaultWarmup

// paces reports whether the concurrency of a service's servers follows their responses.
func (g *Gate) paces(p record.Policy) bool {
	switch p.Pace {
	case record.PaceOn:
		return true
	case record.PaceOff:
		return false
	}
	return g.config.Pace
}

// updatePacing begins or ends the limit of the concurrency after a change of the backend
// server. The caller holds g.mu.
func (g *Gate) updatePacing(old, t *Target, now time.Time) {
	if t == nil {
		g.admission.EndPacing(pace.ServerReplaced, now)
		g.reportPacing(old, now)
		return
	}
	last := g.lastServer
	g.lastServer = t
	if t.Leaving {
		return // it gets no new calls
	}
	if limits := g.limits(t); limits.Pace {
		g.wake(g.admission.SetLimits(limits, now))
	}
	if cause := pacingCause(last, old, t); cause != "" {
		g.admission.BeginPacing(cause, now)
	}
	g.reportPacing(t, now)
}

// pacingCause returns why the concurrency of a server must be limited that comes into force
// after old, or "" if it need not be. last is the last server that was in force, which may
// have been lost since; nil if there was none.
func pacingCause(last, old, t *Target) pace.Cause {
	running := time.Duration(t.RunningMS) * time.Millisecond
	found := last.sameServer(t) && last.Epoch == 0 && t.Epoch != 0 // its first announcement
	switch {
	case t.Cold && !(old.sameServer(t) && old.Cold):
		return pace.ServerCold
	case last == nil || found:
		// The node has started. If its server says nothing of its age, it may be a
		// warm one that served other nodes' calls before.
		if running > 0 && running < newServerTime {
			return pace.ServerNew
		}
		return ""
	case !t.sameServer(last):
		return pace.ServerNew
	case old == nil:
		return pace.ServerBack
	}
	return ""
}

// reportPacing logs and counts the starts and ends of limits, and updates the metric of the
// slots in use. The caller holds g.mu.
func (g *Gate) reportPacing(t *Target, now time.Time) {
	changes := g.admission.PacingChanges()
	limit, active := g.admission.Paced(now)
	if len(changes) == 0 && !active {
		return
	}
	g.metrics.concurrency.Update(float64(limit))
	for _, c := range changes {
		g.metrics.countPacing(c)
		args := []any{"active", c.Active, "cause", string(c.Cause), "limit", c.Limit, "slots", c.Slots}
		if t != nil {
			args = append(args, "service", t.Service, "server", t.Server)
		}
		if !c.Active {
			args = append(args, "held", c.Held.Milliseconds(), "intime", c.InTime, "late", c.Late, "failed", c.Failed, "demanded", c.Demanded)
		}
		g.config.Sinks.Log.Info(telemetry.ServerPaced, args...)
	}
}
