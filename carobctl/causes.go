package main

// This file derives the conclusions that explain prints.

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// reasonText describes the reasons that log lines state for a failed call.
var reasonText = map[call.Reason]string{
	call.ReasonNotReady:   "the entry node held no configuration that it may serve",
	call.ReasonNoRoute:    "no route of the table in force matches its host and path",
	call.ReasonNoParts:    "the configuration in force splits its route by weights that can't be read",
	call.ReasonNoServer:   "no node that was tried has a backend server of the service",
	call.ReasonBusy:       "every node that was tried had no free slot, and no place in its queue that would be served in time",
	call.ReasonLimited:    "every node that was tried had a backend server that takes fewer requests a second",
	call.ReasonBudget:     "it would have run again, and a service that the backend server calls has no retry budget left",
	call.ReasonOverload:   "a service that the backend server calls lacks slots for more urgent calls",
	call.ReasonLate:       "it could not have been answered before its deadline",
	call.ReasonVersion:    "the service moves to another version, and this server may not get the call",
	call.ReasonLeaving:    "the node or the chosen backend server was stopping",
	call.ReasonDial:       "connecting to the node or the backend server failed",
	call.ReasonRefused:    "the connection to the node closed before the node accepted the call",
	call.ReasonBroken:     "the connection broke before the answer was complete",
	call.ReasonEnded:      "the backend server's process ended while it ran the call",
	call.ReasonCondemned:  "backend servers have ended while they ran the same request, so it is not run again for a while",
	call.ReasonCrossed:    "the answer received belonged to another call",
	call.ReasonDeadline:   "its deadline passed without an answer",
	call.ReasonCanceled:   "its caller or its entry node canceled it",
	call.ReasonShed:       "the backend server itself refused it",
	call.ReasonUnproven:   "the backend server's answer promises that it was not run, but does not state it of this call",
	call.ReasonMoved:      "a different backend server now has the address",
	call.ReasonShortBody:  "its body ended early",
	call.ReasonLongHeader: "its header is longer than the configuration allows",
	call.ReasonLongBody:   "its body is longer than the configuration allows",
	call.ReasonUpgrade:    "it requested a protocol upgrade",
	call.ReasonNoKey:      "its route needs a key, and the caller sent none",
	call.ReasonBadKey:     "its route needs a key, and no workspace has the one that the caller sent",
	call.ReasonKeyPending: "its route needs a key that the entry node does not know, and a newer configuration may have it",
	call.ReasonQuota:      "its workspace makes more calls, over all nodes, than its quota allows",
}

// outcomeText describes whether the backend server ran a call, keyed by the
// attribute ran of its last line.
var outcomeText = map[string]string{
	call.OutcomeNotRun.String():   "it has not run and never will: its caller may send it again",
	call.OutcomeUnknown.String():  "it may have run: look up its ID at the backend server",
	call.OutcomeAnswered.String(): "the backend server answered it",
}

// causes returns the conclusions from the lines of the call and from all lines
// logged between from and to.
func (e *explanation) causes(lines []logLine, from, to time.Time) []string {
	end, ok := e.lastLine(telemetry.CallRefused, telemetry.CallLost, telemetry.CallGone, telemetry.CallSlow)
	if !ok {
		return []string{"the entry node wrote no line about its end: it was killed, its log is missing, or the call succeeded after a retry"}
	}
	var out []string
	if end.Message == telemetry.CallSlow {
		out = append(out, latencyBreakdown(end))
	} else if m, ok := reasonText[call.Reason(end.Reason)]; ok {
		out = append(out, fmt.Sprintf("%s (%s) after %d ms: %s", end.Message, end.Reason, end.intAttr("took"), m))
	}
	if text := keyDecision(end); text != "" {
		out = append(out, text)
	}
	if call.Reason(end.Reason) == call.ReasonQuota {
		out = append(out, quotaExceeded(end))
	}
	if share, _ := end.Attributes["share"].(string); share == call.ShareExcess.String() {
		out = append(out, fmt.Sprintf("the service was short, and it was beyond the fair share of its workspace %v: it went behind the calls of others", end.Attributes["workspace"]))
	}
	if o, ok := outcomeText[end.Ran]; ok {
		out = append(out, o)
	}
	for _, l := range e.Calls {
		if l.Message == telemetry.CallLimited {
			out = append(out, limitInForce(l))
		}
		if l.Message == telemetry.GateFailed {
			out = append(out, fmt.Sprintf("%s, beside the backend server, saw: %s, after %d ms in the queue and %d ms at the server %v%s",
				l.Instance, reasonText[call.Reason(l.Reason)], l.intAttr("queued"), l.intAttr("took"), l.Attributes["detail"], answerReceived(l)))
		}
	}
	return append(out, e.circumstances(end, lines, from, to)...)
}

// keyDecision describes by what the entry node refused a call for its key, or returns ""
// for other refusals.
func keyDecision(end logLine) string {
	switch call.Reason(end.Reason) {
	case call.ReasonNoKey, call.ReasonBadKey, call.ReasonKeyPending:
	default:
		return ""
	}
	text := fmt.Sprintf("%s decided by table %d, known to be the newest %d ms before", end.Instance, end.intAttr("table"), end.intAttr("confirmed"))
	if end.intAttr("confirmed") < 0 {
		text = fmt.Sprintf("%s decided by table %d, never known to be the newest", end.Instance, end.intAttr("table"))
	}
	if behind, _ := end.Attributes["behind"].(string); behind != "" {
		text += ", which may be outdated: " + behind
	}
	if n := end.intAttr("keys"); n > 1 {
		return text + fmt.Sprintf("; the caller sent %d keys, which count as none", n)
	}
	if digest, _ := end.Attributes["digest"].(string); digest != "" {
		text += "; the SHA-256 digest of the key begins with " + digest
	}
	return text
}

// quotaExceeded describes what the refusal of a call beyond its workspace's quota was
// based on.
func quotaExceeded(l logLine) string {
	a := l.Attributes
	return fmt.Sprintf("workspace %v: quota %v calls a second; all %d nodes together had %v, of which %v were admitted, by a total %d ms old, with %v left of the burst; "+
		"the share of %s was %v a second, with %v left, and the chance of admission %v; it was told to return after %d ms",
		a["workspace"], a["quota"], l.intAttr("nodes"), a["offered"], a["admitted"], l.intAttr("age"), a["level"],
		l.Instance, a["refill"], a["tokens"], a["chance"], l.intAttr("after"))
}

// limitInForce describes the limit of a backend server that a gate applied to the call.
func limitInForce(l logLine) string {
	decision := "refused it"
	if sent, _ := l.Attributes["sent"].(bool); sent {
		decision = "sent it"
	}
	return fmt.Sprintf("%s %s by the limit of its backend server, %v requests a second, in force for %d ms (source: %v), tokens left: %.3v",
		l.Instance, decision, l.Attributes["limit"], l.intAttr("age"), l.Attributes["source"], l.Attributes["tokens"])
}

// answerReceived describes the answer that a gate received, or returns "" if it
// received none.
func answerReceived(l logLine) string {
	if l.Attributes["status"] == nil {
		return ""
	}
	names := "names this call"
	if answer, _ := l.Attributes["answer"].(string); answer != l.Call {
		names = fmt.Sprintf("names call %q", answer)
	}
	return fmt.Sprintf(" (the answer, status %d, %s; its connection %d had carried %d before)",
		l.intAttr("status"), names, l.intAttr("conn"), l.intAttr("carried"))
}

// latencyBreakdown describes how the latency of a slow call divides into queueing,
// the backend server and the rest.
func latencyBreakdown(end logLine) string {
	took, spent, queued := end.intAttr("took"), end.intAttr("spent"), end.intAttr("queued")
	text := fmt.Sprintf("answered after %d ms, objective %d ms: %d ms in the queue of the last node, %d ms at its server, %d ms on the way and at nodes before it",
		took, end.intAttr("objective"), queued, spent-queued, took-spent)
	if n := len(end.Tried); n > 1 {
		text += fmt.Sprintf("; %d nodes were tried", n)
	}
	return text
}

// overloadRefusals is the number of calls of a service refused for load around a
// call from which the service is reported as overloaded.
const overloadRefusals = 10

// circumstances describes the events at the nodes involved and whether the service
// was overloaded.
func (e *explanation) circumstances(end logLine, lines []logLine, from, to time.Time) []string {
	var out []string
	for _, event := range []struct {
		label      string
		instanceOf func(logLine) string // returns "" for lines that do not report the event
	}{
		{"leaving or stopping then", leavingInstance},
		{"ended while it ran calls", forMessage("backend server ended", logLine.instance)},
		{"lost then", lostInstance},
		{"started then", forMessage("started", logLine.instance)},
		{"ejected for failures", forMessage("instance ejected", logLine.member)},
	} {
		var names []string
		for _, l := range e.Changes {
			if name := event.instanceOf(l); name != "" {
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			out = append(out, event.label+": "+joinNames(names))
		}
	}
	out = append(out, e.concurrencyLimits(lines, to)...)
	if refused := countLoadRefusals(end, lines, from, to); refused >= overloadRefusals {
		out = append(out, fmt.Sprintf("%d calls of the service were refused for load between %s and %s: more work than its servers can take",
			refused, from.Format("15:04:05"), to.Format("15:04:05")))
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("nothing changed at %s around it", joinNames(e.instances())))
	}
	return out
}

// concurrencyLimits describes the limits of the concurrency that were in force at the
// instances of the call, whenever they began.
func (e *explanation) concurrencyLimits(lines []logLine, to time.Time) []string {
	began, instances := map[string]logLine{}, e.instances()
	at := e.Calls[len(e.Calls)-1].Time
	for _, l := range lines {
		if l.Message != telemetry.ServerPaced || !slices.Contains(instances, l.Instance) || l.Time.After(to) {
			continue
		}
		active, _ := l.Attributes["active"].(bool)
		switch {
		case active && !l.Time.After(at):
			began[l.Instance] = l
		case !active && l.Time.Before(e.Calls[0].Time):
			delete(began, l.Instance)
		}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(began)) {
		l := began[name]
		out = append(out, fmt.Sprintf("%s limited the concurrency of its backend server by its responses from %s on (%v), at first to %d of %d slots",
			name, l.Time.Format("15:04:05.000"), l.Attributes["cause"], l.intAttr("limit"), l.intAttr("slots")))
	}
	return out
}

func (l logLine) instance() string { return l.Instance }

func (l logLine) member() string { return l.Member }

// forMessage returns a function that applies instanceOf to lines with the message
// and returns "" for all others.
func forMessage(message string, instanceOf func(logLine) string) func(logLine) string {
	return func(l logLine) string {
		if l.Message != message {
			return ""
		}
		return instanceOf(l)
	}
}

// leavingInstance returns the instance that is stopping or whose backend server is
// leaving, or "".
func leavingInstance(l logLine) string {
	if l.Message == "backend server" && l.Leaving || l.Message == "stopping" {
		return l.Instance
	}
	return ""
}

// lostInstance returns the instance that was lost or whose backend server was
// lost, or "".
func lostInstance(l logLine) string {
	switch l.Message {
	case "backend server lost":
		return l.Instance
	case "member lost":
		return l.Member
	}
	return ""
}

// countLoadRefusals counts the calls of the same service that were refused for load
// between from and to.
func countLoadRefusals(end logLine, lines []logLine, from, to time.Time) int {
	n := 0
	for _, l := range lines {
		load := l.Reason == string(call.ReasonBusy) || l.Reason == string(call.ReasonLate) || l.Reason == string(call.ReasonLimited)
		if l.Message == telemetry.CallRefused && load && l.Attributes["service"] == end.Attributes["service"] && !l.Time.Before(from) && !l.Time.After(to) {
			n++
		}
	}
	return n
}

// instances returns the instances that logged a line of the call or were tried.
func (e *explanation) instances() []string {
	var out []string
	for _, l := range e.Calls {
		out = append(append(out, l.Instance), l.Tried...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
