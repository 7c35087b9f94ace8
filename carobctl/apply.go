package main

// This file defines apply: it checks the records of all files, and then writes
// them.

import (
	"fmt"
	"strings"
	"time"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const applyHelp = `Writes the records of files in their order. All are checked first; when one has
a mistake or a conflict, nothing is written.

A record is written over the version that its document names ("version": 7, as
get and diff --save print it; 0 means that it must not exist yet), or else over
the one that is present when apply starts. If another operator writes in
between, apply stops with exit code 4.

$ carobctl apply -f services.json -f routes.json
$ carobctl get route/stock | sed s/drawings/quotes/ | carobctl apply -f -
$ carobctl apply -f routes.json --wait --bound 5s`

type applyCommand struct {
	app   *app
	Files []string      `long:"file" short:"f" required:"true" value-name:"FILE" description:"file of records, - for the standard input"`
	Force bool          `long:"force" description:"write over whatever version is present"`
	Check bool          `long:"check" description:"check only, write nothing"`
	Wait  bool          `long:"wait" description:"wait until in force on every node"`
	Bound time.Duration `long:"bound" default:"10s" description:"bound of --wait"`
}

// Execute checks and writes.
func (c *applyCommand) Execute([]string) error {
	entries, err := c.app.readFiles(c.Files)
	if err != nil {
		return err
	}
	if err := c.base(entries); err != nil {
		return err
	}
	if err := c.check(entries); err != nil || c.Check {
		return err
	}
	var done []*wire.Record
	for _, e := range entries {
		r, err := c.write(e)
		if err != nil {
			return partial(done, err)
		}
		done = append(done, r)
	}
	if !c.Wait {
		return nil
	}
	return c.app.wait(done, c.Bound)
}

// base gives each record the version that it is to replace.
func (c *applyCommand) base(entries []entry) error {
	for _, e := range entries {
		if e.based || c.Force {
			continue
		}
		present, err := c.app.present(record.KeyOf(e.record))
		if err != nil {
			return err
		}
		e.record.Version = present.GetVersion()
	}
	return nil
}

// check asks the node what it would do, and reports the mistakes and conflicts
// of all records.
func (c *applyCommand) check(entries []entry) error {
	var lines []string
	code := 0
	for _, e := range entries {
		resp, err := ask(c.app, false, c.app.client().Apply, &wire.ApplyRequest{Record: e.record, Force: c.Force, Check: true})
		if err != nil {
			return err
		}
		if text, failed := verdict(e, resp); failed != 0 {
			lines = append(lines, text)
			code = max(code, failed)
		}
	}
	if code != 0 {
		return exitf(code, "%s\nnothing was written", strings.Join(lines, "\n"))
	}
	if c.Check {
		fmt.Fprintf(c.app.err, "%d records may be written\n", len(entries))
	}
	return nil
}

// verdict returns why a record was not written and the exit code, or 0.
func verdict(e entry, resp *wire.ApplyResponse) (string, int) {
	switch {
	case len(resp.GetFindings()) > 0:
		lines := make([]string, len(resp.GetFindings()))
		for i, f := range resp.GetFindings() {
			lines[i] = e.place + ": " + record.Line(f)
		}
		return strings.Join(lines, "\n"), exitRefused
	case resp.GetConflict():
		return fmt.Sprintf("%s: %s: conflict: the change starts from %s, the platform holds %s",
			e.place, record.KeyOf(e.record), versionText(e.record), versionText(resp.GetPresent())), exitConflict
	}
	return "", 0
}

func versionText(r *wire.Record) string {
	switch {
	case r.GetVersion() == 0:
		return "no record"
	case r.GetDeleted():
		return fmt.Sprintf("a deletion as version %d", r.GetVersion())
	}
	return fmt.Sprintf("version %d", r.GetVersion())
}

// written is what apply and delete print of one record with --json.
type written struct {
	Record    string `json:"record"`
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"` // the platform held it already
	Deleted   bool   `json:"deleted,omitempty"`
}

func (c *applyCommand) write(e entry) (*wire.Record, error) {
	a := c.app
	resp, err := ask(a, true, a.client().Apply, &wire.ApplyRequest{Record: e.record, Force: c.Force})
	if err != nil {
		return nil, err
	}
	if text, code := verdict(e, resp); code != 0 {
		return nil, exitf(code, "%s", text)
	}
	key, version := record.KeyOf(e.record), resp.GetRecord().GetVersion()
	switch {
	case a.JSON:
		return resp.GetRecord(), a.printLine(written{Record: key.String(), Version: version, Unchanged: resp.GetUnchanged()})
	case resp.GetUnchanged():
		fmt.Fprintf(a.out, "%s unchanged at version %d\n", key, version)
	default:
		fmt.Fprintf(a.out, "%s written as version %d\n", key, version)
	}
	return resp.GetRecord(), nil
}

// partial adds to an error which records were written before it.
func partial(done []*wire.Record, err error) error {
	exit, ok := err.(*exitError)
	if !ok || len(done) == 0 {
		return err
	}
	names := make([]string, len(done))
	for i, r := range done {
		names[i] = record.KeyOf(r).String()
	}
	return exitf(exit.code, "%s\nwritten before: %s", exit.text, strings.Join(names, ", "))
}
