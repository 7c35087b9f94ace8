package main

// This file implements the summary of explain: where the calls of each route were lost,
// and how long they spent in each stage.

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"caroblift.dev/mesh/telemetry"
)

// lossKey identifies the calls that were lost in the same way.
type lossKey struct {
	Route   string `json:"route"` // "-" if no route matched
	Message string `json:"message"`
	Reason  string `json:"reason"` // "-" in lines of slow calls
}

// loss sums up the lines of calls that were lost in the same way. The stages are the means
// over the lines that were written, in ms.
type loss struct {
	lossKey
	Calls   int `json:"calls"`   // including those whose lines were omitted, by the attribute "repeated"
	Took    int `json:"took"`    // from the call's arrival at its entry node
	Way     int `json:"way"`     // part of Took on the way and at nodes asked before; only of slow calls
	Queued  int `json:"queued"`  // part of Took in the queue of the last node; only of slow calls
	Server  int `json:"server"`  // part of Took at the backend server; only of slow calls
	Arrived int `json:"arrived"` // calls that may have reached a backend server, of those whose lines were written

	lines, took, spent, queued int
}

// lossMessages are the messages that end a call which was not answered in time.
var lossMessages = []string{telemetry.CallRefused, telemetry.CallLost, telemetry.CallSlow, telemetry.CallGone}

// newSummary sums up the calls that log lines report as refused, lost, slow or given up,
// sorted by route and then by the number of calls, greatest first.
func newSummary(lines []logLine) []loss {
	losses := map[lossKey]*loss{}
	for _, l := range lines {
		if !slices.Contains(lossMessages, l.Message) {
			continue
		}
		route, _ := l.Attributes["route"].(string)
		key := lossKey{cmp.Or(route, "-"), l.Message, cmp.Or(l.Reason, "-")}
		if losses[key] == nil {
			losses[key] = &loss{lossKey: key}
		}
		losses[key].add(l)
	}
	out := make([]loss, 0, len(losses))
	for _, s := range losses {
		s.average()
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b loss) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// add counts one line. One with the attribute "repeated" stands for that many calls.
func (s *loss) add(l logLine) {
	s.Calls += max(1, l.intAttr("repeated"))
	s.lines++
	s.took += l.intAttr("took")
	if l.Message == telemetry.CallSlow {
		s.spent += l.intAttr("spent")
		s.queued += l.intAttr("queued")
	}
	if l.intAttr("arrivals") > 0 {
		s.Arrived++
	}
}

func (s *loss) average() {
	s.Took = s.took / s.lines
	if s.Message == telemetry.CallSlow {
		s.Queued, s.Server, s.Way = s.queued/s.lines, (s.spent-s.queued)/s.lines, (s.took-s.spent)/s.lines
	}
}

// printSummary writes the summary as a table.
func printSummary(w io.Writer, losses []loss) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\tmessage\treason\tcalls\tarrived\ttook\tway\tqueued\tserver")
	for _, s := range losses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Route, s.Message, s.Reason, s.Calls, s.Arrived, s.Took, s.Way, s.Queued, s.Server)
	}
	return table.Flush()
}
