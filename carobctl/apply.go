package main

// This file implements apply, which validates the records of all files before it
// writes any of them.

import (
	"fmt"
	"strings"
	"time"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const applyHelp = `Writes records from files, in order. All records are checked first; if one is
invalid or conflicts with the platform, nothing is written.

A record replaces the version that its document states ("version": 7, as get and
diff --save print it; 0 means that the record must not exist yet), or by default
the version that is current when apply starts. If another operator changes the
record first, apply stops with exit code 4.

$ carobctl apply -f services.json -f routes.json
$ carobctl get route/stock | sed s/drawings/quotes/ | carobctl apply -f -
$ carobctl apply -f routes.json --wait --bound 5s`

type applyCommand struct {
	app   *app
	Files []string      `long:"file" short:"f" required:"true" value-name:"FILE" description:"file of records, - for standard input"`
	Force bool          `long:"force" description:"replace any current version"`
	Check bool          `long:"check" description:"check the records without writing them"`
	Wait  bool          `long:"wait" description:"wait until the records are in force on every node"`
	Bound time.Duration `long:"bound" default:"10s" description:"timeout of --wait"`
}

// Execute checks all records and then writes them in order.
func (c *applyCommand) Execute([]string) error {
	entries, err := c.app.readFiles(c.Files)
	if err != nil {
		return err
	}
	if err := c.setBaseVersions(entries); err != nil {
		return err
	}
	if err := c.check(entries); err != nil || c.Check {
		return err
	}
	var written []*wire.Record
	for _, e := range entries {
		r, err := c.write(e)
		if err != nil {
			return addWritten(written, err)
		}
		written = append(written, r)
	}
	if !c.Wait {
		return nil
	}
	return c.app.wait(written, c.Bound)
}

// setBaseVersions sets the version that each record replaces to the current one,
// unless its document states a version or --force is given.
func (c *applyCommand) setBaseVersions(entries []entry) error {
	for _, e := range entries {
		if e.hasVersion || c.Force {
			continue
		}
		current, err := c.app.currentRecord(record.KeyOf(e.record))
		if err != nil {
			return err
		}
		e.record.Version = current.GetVersion()
	}
	return nil
}

// check validates all records on the node without writing them. The error lists
// the findings and conflicts of all records.
func (c *applyCommand) check(entries []entry) error {
	var lines []string
	code := 0
	for _, e := range entries {
		resp, err := callNode(c.app, false, c.app.client().Apply, &wire.ApplyRequest{Record: e.record, Force: c.Force, Check: true})
		if err != nil {
			return err
		}
		if text, failed := rejection(e, resp); failed != 0 {
			lines = append(lines, text)
			code = max(code, failed)
		}
	}
	if code != 0 {
		return exitf(code, "%s\nnothing was written", strings.Join(lines, "\n"))
	}
	if c.Check {
		fmt.Fprintf(c.app.err, "%d records are valid and can be written\n", len(entries))
	}
	return nil
}

// rejection returns the reason why the node rejected a record and the exit code,
// which is 0 if the record was accepted.
func rejection(e entry, resp *wire.ApplyResponse) (string, int) {
	switch {
	case len(resp.GetFindings()) > 0:
		lines := make([]string, len(resp.GetFindings()))
		for i, f := range resp.GetFindings() {
			lines[i] = e.place + ": " + record.FormatFinding(f)
		}
		return strings.Join(lines, "\n"), exitRefused
	case resp.GetConflict():
		return fmt.Sprintf("%s: %s: conflict: the change starts from %s, the platform holds %s",
			e.place, record.KeyOf(e.record), formatVersion(e.record), formatVersion(resp.GetPresent())), exitConflict
	}
	return "", 0
}

// formatVersion describes the version of a record for conflict messages.
func formatVersion(r *wire.Record) string {
	switch {
	case r.GetVersion() == 0:
		return "no record"
	case r.GetDeleted():
		return fmt.Sprintf("a deletion as version %d", r.GetVersion())
	}
	return fmt.Sprintf("version %d", r.GetVersion())
}

// writeResult is the line that apply and delete print for each record with
// --json.
type writeResult struct {
	Record    string `json:"record"`
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"` // the platform already held this body
	Deleted   bool   `json:"deleted,omitempty"`
}

// write writes one record, prints the result and returns the record as written.
func (c *applyCommand) write(e entry) (*wire.Record, error) {
	a := c.app
	resp, err := callNode(a, true, a.client().Apply, &wire.ApplyRequest{Record: e.record, Force: c.Force})
	if err != nil {
		return nil, err
	}
	if text, code := rejection(e, resp); code != 0 {
		return nil, exitf(code, "%s", text)
	}
	key, version := record.KeyOf(e.record), resp.GetRecord().GetVersion()
	switch {
	case a.JSON:
		return resp.GetRecord(), a.printLine(writeResult{Record: key.String(), Version: version, Unchanged: resp.GetUnchanged()})
	case resp.GetUnchanged():
		fmt.Fprintf(a.out, "%s unchanged at version %d\n", key, version)
	default:
		fmt.Fprintf(a.out, "%s written as version %d\n", key, version)
	}
	return resp.GetRecord(), nil
}

// addWritten adds the names of the records that were already written to an error.
func addWritten(written []*wire.Record, err error) error {
	exit, ok := err.(*exitError)
	if !ok || len(written) == 0 {
		return err
	}
	names := make([]string, len(written))
	for i, r := range written {
		names[i] = record.KeyOf(r).String()
	}
	return exitf(exit.code, "%s\nalready written: %s", exit.text, strings.Join(names, ", "))
}
