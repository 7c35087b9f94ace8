package main

// This file implements status and members.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const statusHelp = `Prints the revision in force on the queried node and, as far as that node knows,
the number of nodes at each revision by failure domain. Nodes that are behind and
records that are held back are listed with the reason, and so are values of a
configuration document that can't be read, and a document that the node refused. So are
the era of a platform that has one, and the limit that the node's backend server names.

$ carobctl status
$ carobctl status --json`

const membersHelp = `Prints the instances, the state of their nodes and their backend servers.

$ carobctl members
$ carobctl members --service quotes --json`

// newTableWriter returns a writer that aligns tab-separated columns. The caller
// must flush it.
func (a *app) newTableWriter() *tabwriter.Writer { return tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0) }

type statusCommand struct{ app *app }

// Execute prints the revision in force on the node and across the fleet.
func (c *statusCommand) Execute([]string) error {
	a := c.app
	resp, err := callNodeWithHeader(a, false, a.client().Status, &wire.StatusRequest{})
	if err != nil {
		return err
	}
	m := resp.Msg
	if a.JSON {
		return a.printStatusJSON(m, resp.Header())
	}
	fmt.Fprintf(a.out, "revision %d in force on node %s, newest known %d, %d live nodes\n", m.GetRevision(), a.Node, m.GetHead(), m.GetNodes())
	fmt.Fprintf(a.out, "confirmed by the platform %s\n", formatAge(m.GetChecked()))
	a.printEra(resp.Header())
	a.printLimit(resp.Header())
	t := a.newTableWriter()
	fmt.Fprintln(t, "\nDOMAIN\tREVISION\tNODES")
	for _, n := range m.GetReport().GetCounts() {
		fmt.Fprintf(t, "%s\t%d\t%d\n", n.GetDomain(), n.GetRevision(), n.GetNodes())
	}
	for _, n := range m.GetReport().GetUnknown() {
		fmt.Fprintf(t, "%s\tunknown\t%d\n", n.GetDomain(), n.GetNodes())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "\naggregated by %s from reports up to %d ms old\n", m.GetReport().GetTop(), m.GetReport().GetAge())
	a.printLaggards(m)
	a.printHeld(m.GetHeld())
	a.printDocument(m)
	return nil
}

// statusHeaders maps the headers of the response to Status to fields of its JSON form.
var statusHeaders = map[string]string{
	operator.HeaderEra: "era", operator.HeaderPreviousEra: "previousEra",
	operator.HeaderLimit: "limit", operator.HeaderLimitAge: "limitAge", operator.HeaderLimitSource: "limitSource",
}

// printStatusJSON prints a status with what the headers of its response say, as text.
func (a *app) printStatusJSON(m *wire.StatusResponse, h http.Header) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for header, field := range statusHeaders {
		if value := h.Get(header); value != "" {
			fields[field] = value
		}
	}
	return a.printLine(fields)
}

// printEra prints the era of the platform and, if the node saw it rise, the one
// before. It prints nothing if the platform names no era.
func (a *app) printEra(h http.Header) {
	era, previous := h.Get(operator.HeaderEra), h.Get(operator.HeaderPreviousEra)
	switch {
	case era == "":
	case era == previous:
		fmt.Fprintf(a.out, "platform in era %s\n", era)
	default:
		fmt.Fprintf(a.out, "platform in era %s, came back from an older copy in era %s\n", era, previous)
	}
}

// printLimit prints the limit that the backend server of the node names, if any.
func (a *app) printLimit(h http.Header) {
	if limit := h.Get(operator.HeaderLimit); limit != "" {
		fmt.Fprintf(a.out, "its backend server takes %s requests a second, for %s ms (source: %s)\n",
			limit, h.Get(operator.HeaderLimitAge), h.Get(operator.HeaderLimitSource))
	}
}

// formatAge returns the time since at, in Unix ms, or "never" if at is 0.
func formatAge(at int64) string {
	if at == 0 {
		return "never"
	}
	return time.Since(time.UnixMilli(at)).Round(100*time.Millisecond).String() + " ago"
}

// printLaggards prints the nodes that are behind.
func (a *app) printLaggards(m *wire.StatusResponse) {
	report := m.GetReport()
	for _, l := range report.GetLaggards() {
		fmt.Fprintln(a.out, "behind:", formatLag(l))
	}
	if report.GetMore() > 0 {
		fmt.Fprintf(a.out, "behind: %d more\n", report.GetMore())
	}
}

// printHeld prints the records that are held back and the reasons.
func (a *app) printHeld(held []*wire.Held) {
	for _, h := range held {
		fmt.Fprintf(a.out, "held back: %s/%s version %d\n", record.KindName(h.GetKind()), h.GetName(), h.GetVersion())
		for _, f := range h.GetFindings() {
			fmt.Fprintln(a.out, "  "+record.FormatFinding(f))
		}
	}
}

// printDocument prints the findings on the document in force, and the document that the node
// read last if it could not come into force.
func (a *app) printDocument(m *wire.StatusResponse) {
	for _, f := range m.GetFindings() {
		fmt.Fprintln(a.out, "finding: "+record.FormatFinding(f))
	}
	if refused := m.GetRefused(); refused != nil {
		fmt.Fprintf(a.out, "refused: the configuration in revision %d of the platform: %s\n", refused.GetRevision(), refused.GetError())
		for _, f := range refused.GetFindings() {
			fmt.Fprintln(a.out, "  "+record.FormatFinding(f))
		}
	}
}

type membersCommand struct {
	app     *app
	Service string `long:"service" description:"print only the instances that serve this service"`
}

// Execute prints the members. It requests them page by page until a page is
// empty.
func (c *membersCommand) Execute([]string) error {
	a := c.app
	t := a.newTableWriter()
	if !a.JSON {
		fmt.Fprintln(t, "INSTANCE\tDOMAIN\tREGION\tSTATE\tSERVICE\tSLOTS\tSERVER\tCALLS AT")
	}
	for after := ""; ; {
		m, err := callNode(a, false, a.client().Members, &wire.MembersRequest{Service: c.Service, After: after})
		if err != nil {
			return err
		}
		if len(m.GetMembers()) == 0 {
			return t.Flush()
		}
		for _, member := range m.GetMembers() {
			after = member.GetName()
			if err := a.printMember(t, member); err != nil {
				return err
			}
		}
	}
}

func (a *app) printMember(t *tabwriter.Writer, m *wire.Member) error {
	if a.JSON {
		return a.printJSON(m)
	}
	row := fmt.Sprintf("%s\t%s\t%s\t%s", m.GetName(), m.GetDomain(), m.GetRegion(), operator.StateName(m.GetState()))
	if len(m.GetServers()) == 0 {
		_, err := fmt.Fprintf(t, "%s\t-\t-\t-\t%s\n", row, m.GetHop())
		return err
	}
	for _, s := range m.GetServers() {
		if _, err := fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", row, s.GetService(), s.GetSlots(), serverState(s), m.GetHop()); err != nil {
			return err
		}
	}
	return nil
}

func serverState(s *wire.Server) string {
	switch {
	case s.GetLeaving():
		return "leaving"
	case s.GetCold():
		return "cold"
	}
	return "warm"
}
