package main

// This file implements check, which reports mistakes in records before they are sent.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/configcheck"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

const checkHelp = `Reports what a node would refuse or hold back in the files, routes that no call can
match, and limits that contradict each other. A file holds records as apply takes
them, or one configuration document of the product, or one of the platform.

Without --node, the files are taken for a whole configuration, and check connects to no
node. With --node (or CAROBLIFT_NODE), the records are taken for a change of those
that the platform holds, and the differences are listed too. A document of the platform
needs --node: the node reads it as it reads those that the platform holds.

$ carobctl check services.json routes.json
$ carobctl --node 127.0.0.1:7105 check routes.json
$ carobctl --json check routes.json

It exits with 0 if there are no mistakes, with 1 if there are, and with 2 if a file, or
what the node's platform holds, can't be read.`

type checkCommand struct {
	app  *app
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"file of records, - for standard input"`
	} `positional-args:"yes"`
}

// Severities of a mistake.
const (
	severityError   = "error"   // a node refuses the record, or holds it back
	severityWarning = "warning" // a node accepts the record, which does not do what it says
)

// mistake is one finding of check.
type mistake struct {
	Severity string `json:"severity"`
	Place    string `json:"place"`            // file and line
	Record   string `json:"record,omitempty"` // kind and name
	Field    string `json:"field,omitempty"`
	Reason   string `json:"reason"`
}

// checkReport is the output of check.
type checkReport struct {
	Mistakes []mistake    `json:"mistakes"`
	Changes  []recordDiff `json:"changes,omitempty"` // against the records of the node
	Held     []string     `json:"held,omitempty"`    // records of the files that are not in force as the platform holds them
}

// Execute prints the mistakes and the differences.
func (c *checkCommand) Execute([]string) error {
	report, err := c.run()
	if err != nil {
		return err
	}
	if c.app.JSON {
		if err := c.app.printLine(report); err != nil {
			return err
		}
	} else {
		report.print(c.app.out)
	}
	if len(report.Mistakes) > 0 {
		return exitf(exitDiffers, "")
	}
	return nil
}

// run reads the files and checks them. Its error means that a file or the node could not be
// read.
func (c *checkCommand) run() (*checkReport, error) {
	r := &checkReport{Mistakes: []mistake{}}
	in := &recordReader{firstPlace: map[record.Key]string{}}
	empty := true
	for _, path := range c.Args.Files {
		data, err := c.app.readFile(path)
		if err != nil {
			in.unreadable = true
			in.findings.Add(path, "", err.Error())
			continue
		}
		if d, err := parseDocument(data); err != nil {
			r.add(severityError, path, "", "", err.Error())
			empty = false
		} else if d != nil {
			r.checkDocument(path, d)
			empty = false
		} else if c.app.nodeGiven && isPlatformDocument(data) {
			if err := c.checkByNode(r, path, data); err != nil {
				return nil, err
			}
			empty = false
		} else {
			in.readDocuments(path, data)
		}
	}
	if in.unreadable {
		return nil, exitf(exitUsage, "%s", in.findings.Error())
	}
	if empty && len(in.entries) == 0 && len(in.findings) == 0 {
		return nil, exitf(exitUsage, "%s: no record in it", strings.Join(c.Args.Files, ", "))
	}
	r.addFindings(severityError, in.findings)
	r.addFindings(severityWarning, in.warnings)
	present, err := c.present(r, in.entries)
	if err != nil {
		return nil, err
	}
	return r, r.checkRecords(in, present)
}

// present returns the records that the node's platform holds, and adds the differences to
// the report. It returns none without a node.
func (c *checkCommand) present(r *checkReport, entries []entry) ([]*wire.Record, error) {
	if !c.app.nodeGiven || len(entries) == 0 {
		return nil, nil
	}
	got, err := callNode(c.app, false, c.app.client().Get, &wire.GetRequest{})
	if err != nil {
		return nil, exitf(exitUsage, "%s", err)
	}
	status, err := callNode(c.app, false, c.app.client().Status, &wire.StatusRequest{})
	if err != nil {
		return nil, exitf(exitUsage, "%s", err)
	}
	byKey := map[record.Key]*wire.Record{}
	for _, p := range got.GetRecords() {
		byKey[record.KeyOf(p)] = p
	}
	for _, e := range entries {
		key := record.KeyOf(e.record)
		if d := compare(byKey[key], e.record); len(d.Changes) > 0 {
			r.Changes = append(r.Changes, d)
		}
		if e.hasVersion && e.record.GetVersion() != byKey[key].GetVersion() {
			r.add(severityError, e.place, key.String(), "version", fmt.Sprintf("the change starts from %s, the platform holds %s", formatVersion(e.record), formatVersion(byKey[key])))
		}
	}
	for _, h := range status.GetHeld() {
		key := record.Key{Kind: h.GetKind(), Name: h.GetName()}
		if slices.ContainsFunc(entries, func(e entry) bool { return record.KeyOf(e.record) == key }) {
			r.Held = append(r.Held, key.String())
		}
	}
	return got.GetRecords(), nil
}

// parseDocument returns the configuration document that a file holds, or nil if it holds
// something else, such as records.
func parseDocument(data []byte) (*wire.Document, error) {
	var members map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(data))
	if dec.Decode(&members) != nil || members["kind"] != nil || members["routes"] == nil && members["services"] == nil {
		return nil, nil
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("holds something after the configuration document")
	}
	d := &wire.Document{}
	return d, protojson.Unmarshal(data, d)
}

// isPlatformDocument reports whether a file holds an object that is neither a record nor a
// configuration document of the product.
func isPlatformDocument(data []byte) bool {
	var members map[string]json.RawMessage
	return json.Unmarshal(data, &members) == nil && members["kind"] == nil
}

// checkByNode adds what the node finds in a configuration document of the platform.
func (c *checkCommand) checkByNode(r *checkReport, path string, data []byte) error {
	resp, err := callNode(c.app, false, c.app.client().CheckDocument, &wire.CheckDocumentRequest{Document: data})
	if err != nil {
		return exitf(exitUsage, "%s", err)
	}
	severity := severityWarning
	if resp.GetError() != "" {
		severity = severityError
		if len(resp.GetFindings()) == 0 {
			r.add(severity, path, "", "", resp.GetError())
		}
	}
	for _, f := range resp.GetFindings() {
		r.add(severity, path, f.GetPlace(), f.GetField(), f.GetReason())
	}
	for _, f := range resp.GetWarnings() {
		r.add(severityWarning, path, f.GetPlace(), f.GetField(), f.GetReason())
	}
	return nil
}

// checkDocument checks a configuration document as a node does, and what the document says.
func (r *checkReport) checkDocument(path string, d *wire.Document) {
	table, err := revision.PreviewDocument(d)
	if err != nil {
		r.add(severityError, path, "", "", err.Error())
	}
	warnings := configcheck.Document(d)
	if table != nil {
		warnings = append(warnings, configcheck.Table(table)...)
	}
	for _, w := range warnings {
		r.addWarning(path, w)
	}
}

// checkRecords checks the records of the files together with those that are present, as a
// node does. A record with mistakes of its own leaves the present one in force.
func (r *checkReport) checkRecords(in *recordReader, present []*wire.Record) error {
	all, places, invalid := map[record.Key]*wire.Record{}, map[record.Key]string{}, map[record.Key]bool{}
	for _, p := range present {
		all[record.KeyOf(p)] = p
	}
	for _, e := range in.entries {
		key := record.KeyOf(e.record)
		places[key] = e.place
		if findings, _ := record.Check(e.record); len(findings) > 0 {
			invalid[key] = true
			if all[key] != nil {
				continue
			}
		}
		next := proto.CloneOf(e.record)
		next.Version = all[key].GetVersion() + 1
		all[key] = next
	}
	table, held, err := revision.Preview(slices.Collect(maps.Values(all)))
	if err != nil {
		return exitf(exitRefused, "%s", err)
	}
	for _, h := range held {
		key := record.Key{Kind: h.GetKind(), Name: h.GetName()}
		for _, f := range h.GetFindings() {
			if place := places[key]; place != "" && !invalid[key] {
				r.add(severityError, place, key.String(), f.GetField(), f.GetReason())
			}
		}
	}
	for _, w := range configcheck.Table(table) {
		for _, key := range append([]record.Key{w.Key}, w.Others...) {
			if places[key] != "" {
				r.addWarning(places[key], w)
				break
			}
		}
	}
	return nil
}

func (r *checkReport) add(severity, place, name, field, reason string) {
	r.Mistakes = append(r.Mistakes, mistake{severity, place, name, field, reason})
}

// addFindings adds findings of reading the files, whose places end with the record if there
// is one.
func (r *checkReport) addFindings(severity string, findings record.Findings) {
	for _, f := range findings {
		place, name, _ := strings.Cut(f.GetPlace(), ": ")
		r.add(severity, place, name, f.GetField(), f.GetReason())
	}
}

func (r *checkReport) addWarning(place string, w configcheck.Warning) {
	name := ""
	if w.Key != (record.Key{}) {
		name = w.Key.String()
	}
	r.add(severityWarning, place, name, w.Field, w.Reason)
}

// print writes the report as text.
func (r *checkReport) print(out io.Writer) {
	errorCount := 0
	for _, m := range r.Mistakes {
		parts := []string{m.Place}
		for _, part := range []string{m.Record, m.Field, m.Reason} {
			if part != "" {
				parts = append(parts, part)
			}
		}
		fmt.Fprintf(out, "%s: %s\n", m.Severity, strings.Join(parts, ": "))
		if m.Severity == severityError {
			errorCount++
		}
	}
	for _, d := range r.Changes {
		printChanges(out, d)
	}
	for _, name := range r.Held {
		fmt.Fprintf(out, "%s: held back; the version above is not in force\n", name)
	}
	fmt.Fprintf(out, "%d errors, %d warnings\n", errorCount, len(r.Mistakes)-errorCount)
}
