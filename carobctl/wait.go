package main

// This file implements --wait, which polls until records are in force on every
// live node.

import (
	"fmt"
	"strings"
	"time"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// waitInterval is the interval between status polls.
const waitInterval = 200 * time.Millisecond

// progress is the rollout state of a set of records.
type progress struct {
	Revision uint64   `json:"revision"` // first revision seen that contains all records; 0 if none yet
	Nodes    uint32   `json:"nodes"`    // live nodes at this revision or a newer one
	Live     uint32   `json:"of"`       // number of live nodes
	Elapsed  int64    `json:"time"`     // ms since the last record was written
	Behind   []string `json:"behind,omitempty"`
	Held     []string `json:"held,omitempty"`
}

func (p progress) complete() bool { return p.Revision > 0 && p.Nodes >= p.Live }

// wait polls the node until the records are in force on every live node, and
// prints each change of progress to standard error. Failed polls are retried. When
// bound has passed, the error lists the nodes that are behind or the records that
// are held back.
func (a *app) wait(records []*wire.Record, bound time.Duration) error {
	start := time.Now()
	var p progress
	lastText := ""
	for {
		next, err := a.readProgress(records, p.Revision)
		text := next.text()
		if err != nil {
			text = err.Error()
		} else {
			p = next
		}
		p.Elapsed = time.Since(start).Milliseconds()
		if text != lastText {
			fmt.Fprintln(a.err, text)
			lastText = text
		}
		if p.complete() || time.Since(start) >= bound {
			return a.reportWait(p, bound)
		}
		time.Sleep(waitInterval)
	}
}

// readProgress queries the node for the progress of the records. revision is the
// one found by an earlier poll, or 0.
func (a *app) readProgress(records []*wire.Record, revision uint64) (progress, error) {
	p := progress{Revision: revision}
	if revision > 0 {
		records = records[:1] // all records are accepted, so one status query is enough
	}
	var status *wire.StatusResponse
	accepted := true
	for _, r := range records {
		s, err := callNode(a, false, a.client().Status, &wire.StatusRequest{Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion()})
		if err != nil {
			return p, err
		}
		status = s
		accepted = accepted && s.GetAccepted() > 0
		p.Held = append(p.Held, heldReasons(r, s.GetHeld())...)
	}
	if p.Revision == 0 && accepted {
		p.Revision = status.GetRevision()
	}
	p.Live = status.GetNodes()
	if p.Revision > 0 {
		p.addReport(status.GetReport())
	}
	return p, nil
}

// heldReasons returns the reasons why a record is held back, if it is.
func heldReasons(r *wire.Record, held []*wire.Held) []string {
	var lines []string
	for _, h := range held {
		if h.GetKind() == r.GetKind() && h.GetName() == r.GetName() && h.GetVersion() >= r.GetVersion() {
			for _, f := range h.GetFindings() {
				lines = append(lines, record.FormatFinding(f))
			}
		}
	}
	return lines
}

// addReport counts the nodes at the revision or newer and lists those behind it.
func (p *progress) addReport(report *wire.Report) {
	for _, c := range report.GetCounts() {
		if c.GetRevision() >= p.Revision {
			p.Nodes += c.GetNodes()
		} else {
			p.Behind = append(p.Behind, fmt.Sprintf("%d nodes of %s at revision %d", c.GetNodes(), c.GetDomain(), c.GetRevision()))
		}
	}
	for _, c := range report.GetUnknown() {
		p.Behind = append(p.Behind, fmt.Sprintf("%d nodes of %s, not covered by any report", c.GetNodes(), c.GetDomain()))
	}
	for _, l := range report.GetLaggards() {
		if l.GetRevision() < p.Revision {
			p.Behind = append(p.Behind, formatLag(l))
		}
	}
}

// formatLag describes a node that is behind and the reason.
func formatLag(l *wire.Lag) string {
	text := fmt.Sprintf("%s (%s) at revision %d", l.GetName(), l.GetDomain(), l.GetRevision())
	if len(l.GetFindings()) > 0 {
		text += ": " + strings.ReplaceAll(record.Findings(l.GetFindings()).Error(), "\n", "; ")
	}
	return text
}

// text describes the progress in one line.
func (p progress) text() string {
	switch {
	case p.Revision == 0 && len(p.Held) > 0:
		return "held back: " + strings.Join(p.Held, "; ")
	case p.Revision == 0:
		return "waiting for a revision that contains the records"
	}
	return fmt.Sprintf("revision %d in force on %d of %d nodes", p.Revision, p.Nodes, p.Live)
}

// reportWait prints the final progress. It returns an error if the records are
// not in force on every live node.
func (a *app) reportWait(p progress, bound time.Duration) error {
	if a.JSON {
		if err := a.printLine(p); err != nil {
			return err
		}
	}
	switch {
	case p.complete():
		if !a.JSON {
			fmt.Fprintf(a.out, "in force on all %d nodes after %d ms\n", p.Live, p.Elapsed)
		}
		return nil
	case p.Revision == 0 && len(p.Held) > 0:
		return exitf(exitRefused, "written, and held back:\n  %s", strings.Join(p.Held, "\n  "))
	case p.Revision == 0:
		return exitf(exitTimeout, "written, and in no revision within %s", bound)
	}
	behind := append([]string{fmt.Sprintf("%d of %d nodes hold revision %d after %s", p.Nodes, p.Live, p.Revision, bound)}, p.Behind...)
	return exitf(exitTimeout, "%s", strings.Join(behind, "\n  behind: "))
}
