package main

// This file draws conclusions from the lines about one call.

import (
	"fmt"
	"slices"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/telemetry"
)

// meanings tell what the reason of a call's last line says.
var meanings = map[call.Reason]string{
	call.NotReady:  "the entry node held no configuration that it may serve",
	call.NoRoute:   "no route of the table in force matches its host and path",
	call.NoServer:  "no node that was asked has a backend server of the service",
	call.Busy:      "every node that was asked had no free slot, and no place in its queue that would be served in time",
	call.Late:      "it could not have been answered before its deadline",
	call.Leaving:   "the node, or the backend server that was chosen, was stopping",
	call.Dial:      "no connection to the node or the backend server was made",
	call.Refused:   "the connection to the node ended before it took the call",
	call.Broken:    "the connection broke before the answer was whole",
	call.Crossed:   "an answer came that belonged to another call",
	call.Deadline:  "its deadline passed without an answer",
	call.Canceled:  "its caller, or the node that it entered at, gave it up",
	call.Shed:      "the backend server itself refused it",
	call.Moved:     "another backend server than the expected one has the address",
	call.ShortBody: "its body ended early",
	call.LongHead:  "its header is longer than the configuration allows",
	call.LongBody:  "its body is longer than the configuration allows",
	call.Upgrade:   "it asked for a protocol upgrade",
}

// outcomes tell what a call's last line says about the backend server.
var outcomes = map[string]string{
	call.NotRun.String():   "it has not run and never will: its caller may send it again",
	call.Unknown.String():  "it may have run: ask the backend server for its ID",
	call.Answered.String(): "the backend server answered it",
}

// causes returns what follows from the lines of a call and those of its time.
func (s *story) causes(lines []logLine, from, to time.Time) []string {
	end, ok := s.last(telemetry.CallRefused, telemetry.CallFailed, telemetry.CallGone, telemetry.CallSlow)
	if !ok {
		return []string{"the entry node wrote no line about its end: it was killed, its log is missing, or the call ended well after a retry"}
	}
	var out []string
	if end.Message == telemetry.CallSlow {
		out = append(out, slow(end))
	} else if m, ok := meanings[call.Reason(end.Reason)]; ok {
		out = append(out, fmt.Sprintf("%s (%s) after %d ms: %s", end.Message, end.Reason, end.whole("took"), m))
	}
	if o, ok := outcomes[end.Ran]; ok {
		out = append(out, o)
	}
	for _, l := range s.Calls {
		if l.Message == telemetry.GateFailed {
			out = append(out, fmt.Sprintf("%s, beside the backend server, saw: %s, after %d ms in the queue and %d ms at the server %v",
				l.Instance, meanings[call.Reason(l.Reason)], l.whole("queued"), l.whole("took"), l.All["detail"]))
		}
	}
	return append(out, s.circumstances(end, lines, from, to)...)
}

// slow tells where the time of a late answer went.
func slow(end logLine) string {
	took, spent, queued := end.whole("took"), end.whole("spent"), end.whole("queued")
	text := fmt.Sprintf("answered after %d ms, objective %d ms: %d ms in the queue of the last node, %d ms at its server, %d ms on the way and at nodes before it",
		took, end.whole("objective"), queued, spent-queued, took-spent)
	if n := len(end.Tried); n > 1 {
		text += fmt.Sprintf("; %d nodes were asked", n)
	}
	return text
}

// fewRefusals is how many other calls of a service must have been refused for
// load around a call to speak of more load than it can take.
const fewRefusals = 10

// circumstances names what happened at the nodes concerned, or how much else
// was refused.
func (s *story) circumstances(end logLine, lines []logLine, from, to time.Time) []string {
	var out []string
	for _, one := range []struct {
		what string
		who  func(logLine) string // empty for a line that does not tell of it
	}{
		{"leaving or stopping then", leaving},
		{"lost then", lost},
		{"started then", by("started", logLine.instance)},
		{"ejected for failures", by("instance ejected", logLine.member)},
	} {
		var names []string
		for _, l := range s.Beliefs {
			if name := one.who(l); name != "" {
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			out = append(out, one.what+": "+quote(names))
		}
	}
	if refused := refusedForLoad(end, lines, from, to); refused >= fewRefusals {
		out = append(out, fmt.Sprintf("%d calls of the service were refused for load between %s and %s: more work than its servers can take",
			refused, from.Format("15:04:05"), to.Format("15:04:05")))
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("nothing changed at %s around it", quote(s.nodes())))
	}
	return out
}

func (l logLine) instance() string { return l.Instance }

func (l logLine) member() string { return l.Member }

// by returns a function that names a node for lines with a message.
func by(message string, who func(logLine) string) func(logLine) string {
	return func(l logLine) string {
		if l.Message != message {
			return ""
		}
		return who(l)
	}
}

// leaving returns the node whose backend server leaves, or that stops.
func leaving(l logLine) string {
	if l.Message == "backend server" && l.Leaving || l.Message == "stopping" {
		return l.Instance
	}
	return ""
}

// lost returns the node that was lost, or whose backend server was.
func lost(l logLine) string {
	switch l.Message {
	case "backend server lost":
		return l.Instance
	case "member lost":
		return l.Member
	}
	return ""
}

// refusedForLoad counts the calls of the same service that gates turned away.
func refusedForLoad(end logLine, lines []logLine, from, to time.Time) int {
	n := 0
	for _, l := range lines {
		load := l.Reason == string(call.Busy) || l.Reason == string(call.Late)
		if l.Message == telemetry.CallRefused && load && l.All["service"] == end.All["service"] && !l.Time.Before(from) && !l.Time.After(to) {
			n++
		}
	}
	return n
}

// nodes returns the instances that the call's lines name.
func (s *story) nodes() []string {
	var out []string
	for _, l := range s.Calls {
		out = append(append(out, l.Instance), l.Tried...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
