package main

// This file defines diff: field by field, what apply would change.

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

const diffHelp = `Shows, field by field, what apply would change, and exits with 1 when there are
differences. With --save it also writes the records with the versions that it
compared with; applying that file is refused if another operator writes in
between.

$ carobctl diff -f routes.json
$ carobctl diff -f routes.json --save plan.json
$ carobctl apply -f plan.json --wait`

type diffCommand struct {
	app   *app
	Files []string `long:"file" short:"f" required:"true" value-name:"FILE" description:"file of records, - for the standard input"`
	Save  string   `long:"save" value-name:"FILE" description:"write the records with the versions compared with"`
}

// change is one field that differs; an empty value says that it is not there.
type change struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// difference is what apply would change in one record.
type difference struct {
	Record  string   `json:"record"`
	Version uint64   `json:"version"` // present; 0 for none
	Changes []change `json:"changes"`
}

// Execute compares the records with those on the platform.
func (c *diffCommand) Execute([]string) error {
	entries, err := c.app.readFiles(c.Files)
	if err != nil {
		return err
	}
	differs := false
	for _, e := range entries {
		present, err := c.app.present(record.KeyOf(e.record))
		if err != nil {
			return err
		}
		d := compare(present, e.record)
		differs = differs || len(d.Changes) > 0
		if err := c.app.printDifference(d); err != nil {
			return err
		}
		if !e.based {
			e.record.Version = present.GetVersion()
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

func (a *app) printDifference(d difference) error {
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

func printChanges(out io.Writer, d difference) {
	if d.Version == 0 {
		fmt.Fprintf(out, "%s: new\n", d.Record)
	} else {
		fmt.Fprintf(out, "%s: over version %d\n", d.Record, d.Version)
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

// compare returns the fields that differ between the record that is present,
// nil for none, and the one to write.
func compare(present, next *wire.Record) difference {
	d := difference{Record: record.KeyOf(next).String(), Version: present.GetVersion(), Changes: []change{}}
	old, now := fieldsOf(present), fieldsOf(next)
	all := maps.Clone(old)
	maps.Copy(all, now)
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if old[field] != now[field] {
			d.Changes = append(d.Changes, change{Field: field, Old: old[field], New: now[field]})
		}
	}
	return d
}

// fieldsOf returns the values of a record by the path of their field.
func fieldsOf(r *wire.Record) map[string]string {
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
