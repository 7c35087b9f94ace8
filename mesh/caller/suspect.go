package caller

// This file treats requests that are suspected of ending the backend servers that run
// them.

import (
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// maxEndedServers is the number of backend servers that may end while they run one call.
// One may have ended for another reason.
const maxEndedServers = 2

// checkStanding decides how the call is treated by what is known of its request. It
// returns the reason if the call is refused.
func (x *exchange) checkStanding() call.Reason {
	x.fingerprint = call.FingerprintOf(x.target, x.r.Host, x.r.Method, x.r.RequestURI, x.body.Buffered())
	x.setHeader(call.HeaderFingerprint, x.fingerprint.String())
	now := time.Now()
	standing, trial := x.proxy.config.Suspects.Admit(x.fingerprint, now)
	if standing == call.Unsuspected {
		return ""
	}
	x.suspicion = x.fingerprint.String()
	if standing == call.Condemned && !trial {
		return call.ReasonCondemned
	}
	x.onProbation, x.onTrial = true, trial
	known := x.proxy.config.Suspects.Evidence(x.fingerprint, now)
	x.r.Header[call.HeaderSuspect] = []string{call.FormatSuspicion(known.Suspicion, now)}
	if trial {
		x.r.Header[call.HeaderTrial] = []string{call.Yes}
	}
	x.proxy.config.Sinks.Log.Info(telemetry.CallOnProbation, "call", x.id, "request", x.suspicion, "trial", trial,
		"weight", known.Weight, "ends", len(known.Ends), "trials", known.Trials, "since", ms(known.SinceEnd))
	return ""
}

func (x *exchange) standing() call.Standing {
	return x.proxy.config.Suspects.Standing(x.fingerprint, time.Now())
}

// recordEnd records what a gate reports of the end of its backend server while it ran the
// call.
func (x *exchange) recordEnd(end call.End) {
	x.endedServers.Add(1)
	before := x.standing()
	standing := x.proxy.config.Suspects.RecordEnd(x.fingerprint, end)
	x.proxy.config.Sinks.Log.Info(telemetry.RequestSuspected, "call", x.id, "request", x.fingerprint.String(),
		"weight", end.Weight, "before", before.String(), "standing", standing.String())
}

// recordAnswer records that the request was answered whole.
func (x *exchange) recordAnswer(now time.Time) {
	if x.proxy.config.Suspects.RecordAnswer(x.fingerprint, now) {
		x.proxy.config.Sinks.Log.Info(telemetry.SuspicionCleared, "call", x.id, "request", x.fingerprint.String(), "probation", x.onProbation)
	}
}

// pickOnProbation returns the instance for a suspected request: the first one that the
// service has for these, or the next one if that has lost its server. It may not be
// queued.
func (x *exchange) pickOnProbation() *call.Instance {
	if len(x.placement.Tried) >= len(x.service.probation) {
		return nil
	}
	i := x.service.probation[len(x.placement.Tried)]
	x.placement.Tried = append(x.placement.Tried, i)
	x.demand.ShortWait, x.demand.Last = true, true
	return i
}

// mayRunElsewhere reports whether a call that failed may be sent to another backend
// server, as far as its request's standing goes. A suspected one may only if it has not
// met a server.
func (x *exchange) mayRunElsewhere(last call.Verdict) bool {
	switch last.Reason() {
	case call.ReasonNoServer, call.ReasonVersion, call.ReasonLeaving, call.ReasonDial, call.ReasonRefused:
		return true
	}
	if x.onProbation {
		return false
	}
	return x.endedServers.Load() < maxEndedServers && (x.arrivals == 0 || x.standing() == call.Unsuspected)
}
