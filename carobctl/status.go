package main

// This file defines status and members.

import (
	"fmt"
	"text/tabwriter"
	"time"

	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const statusHelp = `Prints the revision in force on the node that answers, how many nodes of each
failure domain hold which revision as far as the node knows, the nodes that are
behind and the records that are held back, each with the reason.

$ carobctl status
$ carobctl status --json`

const membersHelp = `Prints the instances with the state of their nodes and their backend servers.

$ carobctl members
$ carobctl members --service quotes --json`

// tabs returns a writer that lines up columns. Flush it.
func (a *app) tabs() *tabwriter.Writer { return tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0) }

type statusCommand struct{ app *app }

// Execute prints what is in force and where.
func (c *statusCommand) Execute([]string) error {
	a := c.app
	m, err := ask(a, false, a.client().Status, &wire.StatusRequest{})
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(m)
	}
	fmt.Fprintf(a.out, "revision %d in force on node %s, newest known %d, %d live nodes\n", m.GetRevision(), a.Node, m.GetHead(), m.GetNodes())
	fmt.Fprintf(a.out, "confirmed by the platform %s\n", age(m.GetChecked()))
	t := a.tabs()
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
	fmt.Fprintf(a.out, "\nsummed up by %s from reports up to %d ms old\n", m.GetReport().GetTop(), m.GetReport().GetAge())
	a.printBehind(m)
	a.printHeld(m.GetHeld())
	return nil
}

// age tells how long ago something was, in Unix ms.
func age(at int64) string {
	if at == 0 {
		return "never"
	}
	return time.Since(time.UnixMilli(at)).Round(100*time.Millisecond).String() + " ago"
}

func (a *app) printBehind(m *wire.StatusResponse) {
	report := m.GetReport()
	for _, l := range report.GetLaggards() {
		fmt.Fprintln(a.out, "behind:", lagText(l))
	}
	if report.GetMore() > 0 {
		fmt.Fprintf(a.out, "behind: %d more\n", report.GetMore())
	}
}

func (a *app) printHeld(held []*wire.Held) {
	for _, h := range held {
		fmt.Fprintf(a.out, "held back: %s/%s version %d\n", record.KindWord(h.GetKind()), h.GetName(), h.GetVersion())
		for _, f := range h.GetFindings() {
			fmt.Fprintln(a.out, "  "+record.Line(f))
		}
	}
}

type membersCommand struct {
	app     *app
	Service string `long:"service" description:"only those that serve it"`
}

// Execute prints the members, page by page.
func (c *membersCommand) Execute([]string) error {
	a := c.app
	t := a.tabs()
	if !a.JSON {
		fmt.Fprintln(t, "INSTANCE\tDOMAIN\tREGION\tSTATE\tSERVICE\tSLOTS\tSERVER\tCALLS AT")
	}
	for after := ""; ; {
		m, err := ask(a, false, a.client().Members, &wire.MembersRequest{Service: c.Service, After: after})
		if err != nil {
			return err
		}
		if len(m.GetMembers()) == 0 {
			return t.Flush()
		}
		for _, one := range m.GetMembers() {
			after = one.GetName()
			if err := a.printMember(t, one); err != nil {
				return err
			}
		}
	}
}

func (a *app) printMember(t *tabwriter.Writer, m *wire.Member) error {
	if a.JSON {
		return a.printJSON(m)
	}
	row := fmt.Sprintf("%s\t%s\t%s\t%s", m.GetName(), m.GetDomain(), m.GetRegion(), operator.StateWord(m.GetState()))
	if len(m.GetServers()) == 0 {
		_, err := fmt.Fprintf(t, "%s\t-\t-\t-\t%s\n", row, m.GetHop())
		return err
	}
	for _, s := range m.GetServers() {
		if _, err := fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", row, s.GetService(), s.GetSlots(), serverWord(s), m.GetHop()); err != nil {
			return err
		}
	}
	return nil
}

func serverWord(s *wire.Server) string {
	switch {
	case s.GetLeaving():
		return "leaving"
	case s.GetCold():
		return "cold"
	}
	return "warm"
}
