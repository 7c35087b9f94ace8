package main

// This file waits until records are in force on every node.

import (
	"fmt"
	"strings"
	"time"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// waitInterval is how often the status is read while waiting.
const waitInterval = 200 * time.Millisecond

// progress is how far a set of records has come.
type progress struct {
	Revision uint64   `json:"revision"` // first seen that holds all of them; 0 while there is none
	Nodes    uint32   `json:"nodes"`    // that hold it
	Of       uint32   `json:"of"`       // live nodes
	Time     int64    `json:"time"`     // ms since the last record was written
	Behind   []string `json:"behind,omitempty"`
	Held     []string `json:"held,omitempty"`
}

func (p progress) done() bool { return p.Revision > 0 && p.Nodes >= p.Of }

// wait polls until the records are in force on every live node, printing each
// step to standard error. At the bound it names what is behind or held. A node
// that does not answer meanwhile is asked again.
func (a *app) wait(records []*wire.Record, bound time.Duration) error {
	start := time.Now()
	var p progress
	shown := ""
	for {
		next, err := a.progress(records, p.Revision)
		text := next.text()
		if err != nil {
			text = err.Error()
		} else {
			p = next
		}
		p.Time = time.Since(start).Milliseconds()
		if text != shown {
			fmt.Fprintln(a.err, text)
			shown = text
		}
		if p.done() || time.Since(start) >= bound {
			return a.waited(p, bound)
		}
		time.Sleep(waitInterval)
	}
}

// progress asks a node how far the records are.
func (a *app) progress(records []*wire.Record, revision uint64) (progress, error) {
	p := progress{Revision: revision}
	if revision > 0 {
		records = records[:1] // all are accepted; one answer tells where
	}
	var status *wire.StatusResponse
	accepted := true
	for _, r := range records {
		s, err := ask(a, false, a.client().Status, &wire.StatusRequest{Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion()})
		if err != nil {
			return p, err
		}
		status = s
		accepted = accepted && s.GetAccepted() > 0
		p.Held = append(p.Held, heldLines(r, s.GetHeld())...)
	}
	if p.Revision == 0 && accepted {
		p.Revision = status.GetRevision()
	}
	p.Of = status.GetNodes()
	if p.Revision > 0 {
		p.count(status.GetReport())
	}
	return p, nil
}

// heldLines says why a record is held back, if it is.
func heldLines(r *wire.Record, held []*wire.Held) []string {
	var lines []string
	for _, h := range held {
		if h.GetKind() == r.GetKind() && h.GetName() == r.GetName() && h.GetVersion() >= r.GetVersion() {
			for _, f := range h.GetFindings() {
				lines = append(lines, record.Line(f))
			}
		}
	}
	return lines
}

// count adds up the nodes at the revision and names those behind it.
func (p *progress) count(report *wire.Report) {
	for _, c := range report.GetCounts() {
		if c.GetRevision() >= p.Revision {
			p.Nodes += c.GetNodes()
		} else {
			p.Behind = append(p.Behind, fmt.Sprintf("%d nodes of %s at revision %d", c.GetNodes(), c.GetDomain(), c.GetRevision()))
		}
	}
	for _, c := range report.GetUnknown() {
		p.Behind = append(p.Behind, fmt.Sprintf("%d nodes of %s, which no report covers", c.GetNodes(), c.GetDomain()))
	}
	for _, l := range report.GetLaggards() {
		if l.GetRevision() < p.Revision {
			p.Behind = append(p.Behind, lagText(l))
		}
	}
}

// lagText names a node that is behind and why.
func lagText(l *wire.Lag) string {
	text := fmt.Sprintf("%s (%s) at revision %d", l.GetName(), l.GetDomain(), l.GetRevision())
	if len(l.GetFindings()) > 0 {
		text += ": " + strings.ReplaceAll(record.Findings(l.GetFindings()).Error(), "\n", "; ")
	}
	return text
}

func (p progress) text() string {
	switch {
	case p.Revision == 0 && len(p.Held) > 0:
		return "held back: " + strings.Join(p.Held, "; ")
	case p.Revision == 0:
		return "waiting for a revision"
	}
	return fmt.Sprintf("revision %d in force on %d of %d nodes", p.Revision, p.Nodes, p.Of)
}

// waited reports the end of a wait.
func (a *app) waited(p progress, bound time.Duration) error {
	if a.JSON {
		if err := a.printLine(p); err != nil {
			return err
		}
	}
	switch {
	case p.done():
		if !a.JSON {
			fmt.Fprintf(a.out, "in force on all %d nodes after %d ms\n", p.Of, p.Time)
		}
		return nil
	case p.Revision == 0 && len(p.Held) > 0:
		return exitf(exitRefused, "written, and held back:\n  %s", strings.Join(p.Held, "\n  "))
	case p.Revision == 0:
		return exitf(exitTimeout, "written, and in no revision within %s", bound)
	}
	behind := append([]string{fmt.Sprintf("%d of %d nodes hold revision %d after %s", p.Nodes, p.Of, p.Revision, bound)}, p.Behind...)
	return exitf(exitTimeout, "%s", strings.Join(behind, "\n  behind: "))
}
