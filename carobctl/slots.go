package main

// This file accounts for the slot time of each service's backend servers, from the lines
// in which nodes tell of their work.

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"caroblift.dev/mesh/telemetry"
)

// Counts in lines of work, by service.
const (
	slotTimePrefix = "node_slot_ms."    // followed by the service and the use of the slot time
	unservedPrefix = "caller_unserved." // followed by the service
)

// slotInterval is the time of which lines are compared. It is that between two lines of a node.
const slotInterval = telemetry.WorkInterval

// slotUse is the slot time of one service by its use, in s. Servers that are down or leaving
// have none.
type slotUse struct {
	Service    string  `json:"service"`
	InTime     float64 `json:"intime"`     // calls answered in time
	Late       float64 `json:"late"`       // calls answered late
	Vain       float64 `json:"vain"`       // calls that failed or were given up
	Idle       float64 `json:"idle"`       // no call held the slot
	Held       float64 `json:"held"`       // kept from calls since the server had started or recovered
	IdleWanted float64 `json:"idlewanted"` // part of Idle in intervals in which calls of the service were refused
	Unserved   int     `json:"unserved"`   // calls refused by their entry nodes
}

// newSlotReport returns the use of slot time by service, in name order.
func newSlotReport(lines []logLine) []slotUse {
	type interval struct {
		service string
		at      time.Time
	}
	uses, idle, unserved := map[string]*slotUse{}, map[interval]float64{}, map[interval]bool{}
	use := func(service string) *slotUse {
		if uses[service] == nil {
			uses[service] = &slotUse{Service: service}
		}
		return uses[service]
	}
	for _, l := range lines {
		if l.Message != telemetry.WorkDone {
			continue
		}
		at := l.Time.Truncate(slotInterval)
		counts, _ := l.Attributes["counts"].(map[string]any)
		for name, value := range counts {
			n, _ := value.(float64)
			if service, ok := strings.CutPrefix(name, unservedPrefix); ok {
				use(service).Unserved += int(n)
				unserved[interval{service, at}] = true
			}
			rest, ok := strings.CutPrefix(name, slotTimePrefix)
			dot := strings.LastIndexByte(rest, '.')
			if !ok || dot < 0 {
				continue
			}
			service, seconds := rest[:dot], n/1000
			if use(service).add(rest[dot+1:], seconds) {
				idle[interval{service, at}] += seconds
			}
		}
	}
	for i, seconds := range idle {
		if unserved[i] {
			use(i.service).IdleWanted += seconds
		}
	}
	var out []slotUse
	for _, service := range slices.Sorted(maps.Keys(uses)) {
		out = append(out, *uses[service])
	}
	return out
}

// add counts seconds of a use as lines of work name it, and reports whether it is none.
func (u *slotUse) add(name string, seconds float64) (idle bool) {
	switch name {
	case "intime":
		u.InTime += seconds
	case "late":
		u.Late += seconds
	case "vain":
		u.Vain += seconds
	case "held":
		u.Held += seconds
	case "idle":
		u.Idle += seconds
		return true
	}
	return false
}

// printSlots writes the use of slot time as a table.
func printSlots(out io.Writer, uses []slotUse) error {
	if len(uses) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nslot time, s\tin time\tlate\tin vain\tidle\theld back\tidle while refused\tcalls refused\t")
	for _, u := range uses {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t\n", u.Service, u.InTime, u.Late, u.Vain, u.Idle, u.Held, u.IdleWanted, u.Unserved)
	}
	return table.Flush()
}
