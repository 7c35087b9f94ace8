package main

// This file implements diff, which lists the fields that apply would change.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const diffHelp = `Shows the fields that apply would change, and exits with 1 if there are any.
With --save it also writes the records to a file, based on the versions that
they were compared with. apply rejects that file if another operator has changed
one of the records since.

$ carobctl diff -f routes.json
$ carobctl diff -f routes.json --save plan.json
$ carobctl apply -f plan.json --wait`

type diffCommand struct {
	app   *app
	Files []string `long:"file" short:"f" required:"true" value-name:"FILE" description:"file of records, - for standard input"`
	Save  string   `long:"save" value-name:"FILE" description:"write the records, based on the versions compared with"`
}

// fieldChange is one field that differs. An empty value means that the field is
// absent.
type fieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// recordDiff lists what apply would change in one record.
type recordDiff struct {
	Record  string        `json:"record"`
	Version uint64        `json:"version"` // current version; 0 if the record does not exist
	Changes []fieldChange `json:"changes"`
}

// Execute compares the records of the files with those on the platform.
func (c *diffCommand) Execute([]string) error {
	entries, err := c.app.readFiles(c.Files)
	if err != nil {
		return err
	}
	differs := false
	for _, e := range entries {
		current, err := c.app.currentRecord(record.KeyOf(e.record))
		if err != nil {
			return err
		}
		d := compare(current, e.record)
		differs = differs || len(d.Changes) > 0
		if err := c.app.printDiff(d); err != nil {
			return err
		}
		if !e.hasVersion {
			e.record.Version = current.GetVersion()
		}
	}
	if err := c.save(entries); err != nil {
		return err
	}
	if differs {
		return exitf(exitDiffers, "")
	}
	return nil
}

// save writes the entries to the file of --save, if it is given.
func (c *diffCommand) save(entries []entry) error {
	if c.Save == "" {
		return nil
	}
	var b bytes.Buffer
	for _, e := range entries {
		if err := printDocument(&b, e.record); err != nil {
			return err
		}
	}
	return os.WriteFile(c.Save, b.Bytes(), 0o644)
}

func (a *app) printDiff(d recordDiff) error {
	switch {
	case a.JSON:
		return a.printLine(d)
	case len(d.Changes) == 0:
		fmt.Fprintf(a.out, "%s: no change at version %d\n", d.Record, d.Version)
	default:
		printChanges(a.out, d)
	}
	return nil
}

func printChanges(out io.Writer, d recordDiff) {
	if d.Version == 0 {
		fmt.Fprintf(out, "%s: new\n", d.Record)
	} else {
		fmt.Fprintf(out, "%s: replaces version %d\n", d.Record, d.Version)
	}
	for _, c := range d.Changes {
		if c.Old != "" {
			fmt.Fprintf(out, "  - %s: %s\n", c.Field, c.Old)
		}
		if c.New != "" {
			fmt.Fprintf(out, "  + %s: %s\n", c.Field, c.New)
		}
	}
}

// compare returns the fields that differ between the current record, nil if there
// is none, and the one to write.
func compare(current, next *wire.Record) recordDiff {
	d := recordDiff{Record: record.KeyOf(next).String(), Version: current.GetVersion(), Changes: []fieldChange{}}
	oldValues, newValues := fieldValues(current), fieldValues(next)
	fields := maps.Clone(oldValues)
	maps.Copy(fields, newValues)
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if oldValues[field] != newValues[field] {
			d.Changes = append(d.Changes, fieldChange{Field: field, Old: oldValues[field], New: newValues[field]})
		}
	}
	return d
}

// fieldValues returns the field values of a record, JSON-encoded and keyed by
// field path. A body that is not valid JSON is returned whole under "spec".
func fieldValues(r *wire.Record) map[string]string {
	out := map[string]string{}
	if r == nil {
		return out
	}
	out["schema"] = strconv.FormatUint(uint64(r.GetSchema()), 10)
	var spec any
	dec := json.NewDecoder(bytes.NewReader(r.GetBody()))
	dec.UseNumber()
	if err := dec.Decode(&spec); err != nil {
		out["spec"] = string(r.GetBody())
		return out
	}
	flatten(out, "spec", spec)
	return out
}

// flatten adds the leaves of a decoded JSON value to out, keyed by path. Empty
// objects and arrays count as leaves.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, child := range v {
			flatten(out, path+"."+k, child)
		}
		if len(v) > 0 {
			return
		}
	case []any:
		for i, child := range v {
			flatten(out, fmt.Sprintf("%s[%d]", path, i), child)
		}
		if len(v) > 0 {
			return
		}
	}
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // it was decoded from JSON
	}
	out[path] = string(text)
}
