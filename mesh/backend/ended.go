package backend

// This file notices that the process of the backend server has ended while it ran calls, at
// any moment from the first byte of a request to the last one of its answer, and holds the end
// against these calls. The server's connections break then, and it accepts no new one. A cut
// link, a server that resets connections and one that leaves as planned look different.

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

const (
	// endedDialTimeout bounds the dial that shows whether the server accepts connections. It
	// is on the same instance, so the answer takes less than a ms.
	endedDialTimeout = 100 * time.Millisecond
	// aliveTime is how long a server that was found to accept connections is not dialed
	// again when further calls break off.
	aliveTime = 100 * time.Millisecond
)

// checkSuspect returns the request of a call, whether the call is on probation, and the
// reason if it is refused. The entry node may not have heard of what this node knows, above all
// of the end of its own server.
func (g *Gate) checkSuspect(header http.Header) (request call.Fingerprint, suspect bool, refused call.Reason) {
	request, _ = call.ParseFingerprint(header.Get(call.HeaderFingerprint))
	text := header.Get(call.HeaderSuspect)
	if text == "" {
		return request, false, ""
	}
	now := time.Now()
	theirs, ok := call.ParseSuspicion(text, now)
	if !ok {
		g.config.Sinks.Log.Warn("suspicion not readable", "call", header.Get(call.HeaderID))
		return request, false, ""
	}
	g.config.Suspects.Merge([]call.Suspicion{theirs}, now)
	if header[call.HeaderTrial] == nil && g.config.Suspects.Standing(theirs.Request, now) == call.Condemned {
		return theirs.Request, true, call.ReasonCondemned
	}
	return theirs.Request, true, ""
}

// checkEnd checks whether a failed call was broken off by the end of the server's process.
func (g *Gate) checkEnd(r *run, f *callFailure) {
	switch f.verdict.Reason() {
	case call.ReasonBroken:
		if f.end = g.endOf(r); f.end != nil {
			f.verdict = call.MayHaveRun(call.ReasonEnded)
		}
	case call.ReasonDial:
		if f.refused {
			g.noteEnd(r.target)
		}
	}
}

// endOf returns how the end of the server's process concerns a call that broke off, or nil
// if the process goes on, as far as can be seen, or was expected to end. The first call
// that finds an end settles it for all that were running.
func (g *Gate) endOf(r *run) *call.End {
	g.runs.mu.Lock()
	end := r.end
	g.runs.mu.Unlock()
	if end != nil {
		return end
	}
	g.findEnd(r.target, r.suspect)
	g.runs.mu.Lock()
	defer g.runs.mu.Unlock()
	return r.end
}

// findEnd finds out whether the process of a server has ended, unless it was found to go on
// a moment ago and the question is not urgent.
func (g *Gate) findEnd(t *Target, urgent bool) {
	if g.looksEnded(t, urgent) {
		g.noteEnd(t)
	}
}

// looksEnded reports whether the process of a server has ended, as findEnd finds out.
func (g *Gate) looksEnded(t *Target, urgent bool) bool {
	g.runs.dialing.Lock()
	defer g.runs.dialing.Unlock()
	g.runs.mu.Lock()
	alive, known := time.Since(g.runs.aliveAt) < aliveTime, g.runs.hasEnded(t)
	g.runs.mu.Unlock()
	switch {
	case !g.mayEnd(t), alive && !urgent:
		return false
	case known, refusesConnections(t.Address):
		return true
	}
	g.runs.mu.Lock()
	defer g.runs.mu.Unlock()
	g.runs.aliveAt = time.Now()
	return false
}

// hasEnded reports whether a server is known to have ended, and not to have accepted
// connections again without another announcement. The caller holds r.mu.
func (r *runs) hasEnded(t *Target) bool {
	return r.ended == t && (time.Since(r.endedAt) < unansweredTime || !r.answeredAt.After(r.endedAt))
}

// mayEnd reports whether the end of a server would be unexpected: it is the one that was set
// last and has not said that it leaves.
func (g *Gate) mayEnd(t *Target) bool {
	current := g.target.Load()
	return t.sameServer(current) && !current.Leaving
}

// noteEnd sets the end of all runs at a server whose process has ended, and withdraws it.
func (g *Gate) noteEnd(t *Target) {
	if !g.mayEnd(t) {
		return
	}
	g.runs.mu.Lock()
	first := !g.runs.hasEnded(t)
	if first {
		g.runs.ended, g.runs.endedAt = t, time.Now()
	}
	running, suspects := g.setEnd(t, first)
	g.runs.mu.Unlock()
	if first {
		g.metrics.countEnd()
		g.config.Sinks.Log.Warn("backend server ended", "service", t.Service, "server", t.Server, "epoch", t.Epoch, "running", running, "suspects", suspects)
	}
	g.withdraw(t)
}

// noteReplacement sets the end of the runs at a server that another incarnation replaces
// although it has not said that it leaves: it was back before a call that broke off looked
// whether it accepts connections, or an answer that broke off is still to be read.
func (g *Gate) noteReplacement(old, t *Target) {
	if old == nil || t == nil || old.Leaving || t.Service != old.Service {
		return
	}
	g.runs.mu.Lock()
	defer g.runs.mu.Unlock()
	running, suspects := g.setEnd(old, !g.runs.hasEnded(old))
	if running > 0 {
		g.config.Sinks.Log.Warn("backend server was replaced", "service", old.Service, "server", old.Server, "epoch", old.Epoch,
			"next", t.Server, "running", running, "suspects", suspects)
	}
}

// setEnd sets the end of all runs at a server, and returns how many there were and how
// many of them, and of those just answered, were suspects. What it shows of their requests
// is recorded here: this gate decides whether suspects may run next, and an entry node hears
// of the end only while it waits for the answer. The server was gone before the runs that
// begin after the first time. The caller holds g.runs.mu.
func (g *Gate) setEnd(t *Target, first bool) (running, suspects int) {
	now := time.Now()
	var ended, answered []*run
	for r := range g.runs.current {
		if r.end == nil && r.target.sameServer(t) && r.sent() {
			ended = append(ended, r)
		}
	}
	for i := range g.runs.answered {
		if a := &g.runs.answered[i]; first && a.target.sameServer(t) && now.Sub(a.at) < call.SurvivalTime {
			answered = append(answered, &a.run)
		}
	}
	for _, r := range slices.Concat(ended, answered) {
		if r.suspect {
			suspects++
		}
	}
	end := call.End{Server: call.ServerHash(g.config.Instance, t.Server, t.Epoch), At: now}
	for _, r := range ended {
		own := end
		own.Weight = weightOf(r, first, suspects, len(ended) == 1)
		r.end = &own
		g.recordEnd(r, own)
	}
	end.Answered = true
	for _, r := range answered {
		end.Weight = weightOf(r, first, suspects, false)
		g.recordEnd(r, end)
	}
	return len(ended), suspects
}

// weightOf returns the weight of the end of a server as evidence against the request of a
// run there.
func weightOf(r *run, first bool, suspects int, alone bool) int {
	switch {
	case !first, !r.suspect && suspects > 0:
		return call.WeightBystander
	case alone, suspects == 1:
		return call.WeightAlone
	}
	return call.WeightCrowd
}

// recordEnd records the end of the server against the request of a run.
func (g *Gate) recordEnd(r *run, end call.End) {
	if r.request == (call.Fingerprint{}) || end.Weight <= call.WeightBystander {
		return
	}
	before := g.config.Suspects.Standing(r.request, end.At)
	standing := g.config.Suspects.RecordEnd(r.request, end)
	g.config.Sinks.Log.Info(telemetry.RequestSuspected, "call", r.call, "request", r.request.String(),
		"weight", end.Weight, "answered", end.Answered, "before", before.String(), "standing", standing.String())
}

// refusesConnections reports whether nothing listens at an address.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, endedDialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// withdraw ends the announcement of a server that accepts no connections, so that nodes
// stop to send calls to it. The next announcement that the server itself confirms brings
// it back.
func (g *Gate) withdraw(t *Target) {
	if current := g.target.Load(); g.config.ServerEnded != nil && t.sameServer(current) && !current.Leaving {
		g.config.ServerEnded(current)
	}
}
