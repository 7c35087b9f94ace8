package backend

// This file tracks the calls that the backend server runs, from before they are sent until the
// server can't end under them any more.

import (
	"sync"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

const (
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
