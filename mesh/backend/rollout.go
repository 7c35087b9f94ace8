package backend

// This file tells the guard of roll-outs of the calls that run at the backend server.

import (
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/rollout"
	"caroblift.dev/wire"
)

// rolloutServer returns the server as the guard of roll-outs knows it.
func (t *Target) rolloutServer() rollout.Server {
	return rollout.Server{Service: t.Service, Version: t.Version, Name: t.Server, Epoch: t.Epoch, Cold: t.Cold, Unknown: t.Found}
}

// RolloutInterval returns how often the gate is to report what it counted for the roll-out of
// its service, or 0 if it has nothing to report.
func (g *Gate) RolloutInterval() time.Duration {
	t := g.target.Load()
	if t == nil || g.config.Rollouts == nil {
		return 0
	}
	return g.config.Rollouts.ReportInterval(t.rolloutServer())
}

// RolloutEvidence returns what the gate counted for the roll-out of its service, or nil if
// there is nothing to report.
func (g *Gate) RolloutEvidence(now time.Time) *wire.RolloutEvidence {
	g.mu.Lock() // so that no call is admitted between the look at the calls and the report
	defer g.mu.Unlock()
	t := g.target.Load()
	if t == nil || g.config.Rollouts == nil {
		return nil
	}
	return g.config.Rollouts.Evidence(t.rolloutServer(), g.admission.Idle(), now)
}

// rolloutResult returns the result of a call for the verdict on the version of the server. f
// is nil if the server answered with status.
func rolloutResult(status int, f *callFailure) rollout.Result {
	if f == nil {
		if status >= 500 {
			return rollout.ResultFailed
		}
		return rollout.ResultAnswered
	}
	switch f.verdict.Reason() {
	case call.ReasonShed:
		return rollout.ResultRejected
	case call.ReasonCanceled, call.ReasonDeadline, call.ReasonMoved:
		return rollout.ResultCanceled
	case call.ReasonDial:
		if f.refused {
			return rollout.ResultCanceled // nothing listens: the server has stopped
		}
	}
	return rollout.ResultFailed
}
