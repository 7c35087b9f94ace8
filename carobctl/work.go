package main

// This file implements work, which sums up what nodes did by kind of work, from the lines
// that they log of it.

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"caroblift.dev/mesh/telemetry"
)

const workHelp = `Reads log files of nodes, or standard input, and prints what the nodes did by kind
of work: for each kind the mean per second of a node, the largest of a node, and the
total. It connects to no node. Two fleets, or the same one idle and under load, are
compared by their tables. A second table tells what the slots of each service's
backend servers were used for.

$ carobctl work /var/log/caroblift/*.log
$ carobctl work --json < all.log

It exits with 3 if the logs have no such line. A node that was killed has not logged its
last interval.`

type workCommand struct {
	app  *app
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// workReport tells what a fleet did.
type workReport struct {
	Nodes   int        `json:"nodes"`   // that logged their work
	Seconds float64    `json:"seconds"` // logged, of all nodes together
	Kinds   []workKind `json:"kinds"`   // by name
	Slots   []slotUse  `json:"slots,omitempty"`
}

// workKind is one kind of work.
type workKind struct {
	Name  string  `json:"name"`
	Mean  float64 `json:"mean"` // per second of a node
	Most  float64 `json:"most"` // per second, of the node that did most
	Total float64 `json:"total"`
}

// Execute prints the report.
func (c *workCommand) Execute([]string) error {
	lines, err := c.app.readLogs(c.Args.Files)
	if err != nil {
		return exitf(exitUsage, "%s", err)
	}
	report := newWorkReport(lines)
	if report.Nodes == 0 {
		return exitf(exitRefused, "no line tells of work in %d lines", len(lines))
	}
	if c.app.JSON {
		return json.NewEncoder(c.app.out).Encode(report)
	}
	return report.print(c.app.out)
}

// newWorkReport sums up the lines in which nodes tell of their work.
func newWorkReport(lines []logLine) workReport {
	spent, counts := map[string]time.Duration{}, map[string]map[string]float64{}
	for _, l := range lines {
		if l.Message != telemetry.WorkDone {
			continue
		}
		spent[l.Instance] += time.Duration(l.intAttr("interval")) * time.Millisecond
		if counts[l.Instance] == nil {
			counts[l.Instance] = map[string]float64{}
		}
		all, _ := l.Attributes["counts"].(map[string]any)
		for name, n := range all {
			if n, ok := n.(float64); ok {
				counts[l.Instance][name] += n
			}
		}
	}
	report, kinds := workReport{Nodes: len(spent)}, map[string]workKind{}
	for instance, of := range counts {
		seconds := spent[instance].Seconds()
		report.Seconds += seconds
		for name, n := range of {
			k := kinds[name]
			k.Total += n
			if seconds > 0 {
				k.Most = max(k.Most, n/seconds)
			}
			kinds[name] = k
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		k := kinds[name]
		k.Name = name
		if report.Seconds > 0 {
			k.Mean = k.Total / report.Seconds
		}
		report.Kinds = append(report.Kinds, k)
	}
	report.Slots = newSlotReport(lines)
	return report
}

func (r workReport) print(out io.Writer) error {
	fmt.Fprintf(out, "%d nodes, %.0f s in all\n", r.Nodes, r.Seconds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\ta node and second\tmost\ttotal\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.0f\t\n", k.Name, k.Mean, k.Most, k.Total)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return printSlots(out, r.Slots)
}
