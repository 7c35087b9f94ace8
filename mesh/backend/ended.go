package backend

// This file notices that the process of the backend server has ended while it ran calls.
// Its connections break then, and it accepts no new one. A cut link, a server that resets
// connections and one that leaves as planned look different.

import (
	"net"
	"net/http"
	"slices"
	"sync"
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
	// unansweredTime is how long a run counts as running after its call has failed without a
	// whole answer: the server may go on with it, and end under it some 100 ms later.
	unansweredTime = 500 * time.Millisecond
	// maxAnswered is the number of runs whose whole answers have just come that are
	// remembered, the latest ones.
	maxAnswered = 64
)

// run is a call that the backend server runs, until its answer has come whole or the call has
// failed.
type run struct {
	call    string // ID
	target  *Target
	request call.Fingerprint // zero if the entry node has not named it
	suspect bool             // the request is suspected
	sentBy  *evidence        // shows whether the call was sent; nil if it was
	end     *call.End        // of the server, once it is known; guarded by runs.mu
}

// sent reports whether the call has a connection to the server.
func (r *run) sent() bool { return r.sentBy == nil || r.sentBy.conn.Load() != nil }

// runs holds the calls that the backend server runs, as far as the gate knows. The zero
// value has none.
type runs struct {
	mu         sync.Mutex
	current    map[*run]struct{}
	answeredAt time.Time                // when a whole answer last came
	aliveAt    time.Time                // when a server was last found to accept connections after a call broke off
	answered   [maxAnswered]answeredRun // a ring; the next one goes to index answers%maxAnswered
	answers    uint64
	ended      *Target   // the server that was last found to have ended
	endedAt    time.Time // when it was

	dialing sync.Mutex // held by the dial that shows whether the server accepts connections
}

// answeredRun is a run whose whole answer has come. The server may end on its last byte.
type answeredRun struct {
	run
	at time.Time
}

// begin adds a call that is about to be sent.
func (r *runs) begin(added *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		r.current = map[*run]struct{}{}
	}
	r.current[added] = struct{}{}
}

// remove removes a call.
func (r *runs) remove(ended *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.current, ended)
}

// endRun removes a call whose whole answer or failure has come. failure is nil for a whole
// answer. A call that the server may go on with stays for unansweredTime.
func (g *Gate) endRun(r *run, failure *callFailure) {
	g.runs.mu.Lock()
	defer g.runs.mu.Unlock()
	delete(g.runs.current, r)
	now := time.Now()
	if failure == nil {
		g.runs.answeredAt = now
		g.endAnswered(r, now)
		return
	}
	if r.end != nil || r.request == (call.Fingerprint{}) || !failure.mayStillRun() {
		return
	}
	left := &run{call: r.call, target: r.target, request: r.request, suspect: r.suspect} // r would hold all of the call
	g.runs.current[left] = struct{}{}
	time.AfterFunc(unansweredTime, func() { g.endUnanswered(left, now) })
}

// endAnswered remembers a run whose whole answer has come. If servers have ended just after
// they answered its request, the server of this one must go on for the answer to clear it.
// The caller holds g.runs.mu.
func (g *Gate) endAnswered(r *run, at time.Time) {
	if r.request == (call.Fingerprint{}) {
		return
	}
	if r.end != nil { // its last bytes were still to be read
		end := *r.end
		end.Answered = true
		g.recordEnd(r, end)
		return
	}
	answered := run{call: r.call, target: r.target, request: r.request, suspect: r.suspect}
	g.runs.answered[g.runs.answers%maxAnswered] = answeredRun{answered, at}
	g.runs.answers++
	if !g.config.Suspects.AwaitsSurvival(r.request) {
		return
	}
	time.AfterFunc(call.SurvivalTime, func() {
		g.findEnd(answered.target, true)
		if g.survived(answered.target) && g.config.Suspects.RecordSurvival(answered.request, at, time.Now()) {
			g.config.Sinks.Log.Info(telemetry.SuspicionCleared, "call", answered.call, "request", answered.request.String(), "probation", answered.suspect)
		}
	})
}

// survived reports whether a server is in force and not known to have ended.
func (g *Gate) survived(t *Target) bool {
	g.runs.mu.Lock()
	defer g.runs.mu.Unlock()
	return t.sameServer(g.target.Load()) && !g.runs.hasEnded(t)
}

// endUnanswered removes a call that failed at some time and that the server might go on with.
// If no answer has come since, nothing else may show that the server has ended.
func (g *Gate) endUnanswered(r *run, failedAt time.Time) {
	g.runs.mu.Lock()
	unknown := r.end == nil && !g.runs.answeredAt.After(failedAt)
	g.runs.mu.Unlock()
	if unknown {
		g.findEnd(r.target, r.suspect)
	}
	g.runs.remove(r)
}

// mayStillRun reports whether the backend server may go on with the call, or may have ended
// under it.
func (f *callFailure) mayStillRun() bool { return f.verdict.Outcome() == call.OutcomeUnknown }

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
	if g.hasEnded(t, urgent) {
		g.noteEnd(t)
	}
}

// hasEnded reports whether the process of a server has ended, as findEnd finds out.
func (g *Gate) hasEnded(t *Target, urgent bool) bool {
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
