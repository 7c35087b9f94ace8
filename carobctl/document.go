package main

// This file reads and prints records as documents.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// maxDocuments bounds a file of records, in bytes.
const maxDocuments = 16 << 20

// document is one record in a file. Version is the one that the change starts
// from: 0 says that the record must not exist yet, none leaves it to apply.
type document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  uint32          `json:"schema"`
	Version *uint64         `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// entry is a record of a file and where it stands.
type entry struct {
	place  string // file:line
	record *wire.Record
	based  bool // whether the document names its version
}

// reading collects the records and the mistakes of all files.
type reading struct {
	entries  []entry
	findings record.Findings
	warnings record.Findings // do not keep a record from being written
	broken   bool            // a file could not be read to its end
	seen     map[record.Key]string
}

// readFiles reads the records of files of JSON documents, one after another;
// "-" is the standard input. The error lists every mistake of every file; fields
// that the schema does not know are warned of.
func (a *app) readFiles(paths []string) ([]entry, error) {
	r := &reading{seen: map[record.Key]string{}}
	for _, path := range paths {
		data, err := a.readFile(path)
		if err != nil {
			r.broken = true
			r.findings.Add(path, "", err.Error())
			continue
		}
		r.documents(path, data)
	}
	for _, w := range r.warnings {
		fmt.Fprintln(a.err, "warning: "+record.Line(w))
	}
	if len(r.findings) == 0 && len(r.entries) == 0 {
		return nil, exitf(exitUsage, "%s: no record in it", strings.Join(paths, ", "))
	}
	if len(r.findings) == 0 {
		return r.entries, nil
	}
	code := exitRefused
	if r.broken {
		code = exitUsage
	}
	return nil, exitf(code, "%s", r.findings.Error())
}

func (a *app) readFile(path string) ([]byte, error) {
	if path == "-" {
		return readBounded(a.in)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readBounded(f)
}

func readBounded(in io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxDocuments+1))
	if len(data) > maxDocuments {
		return nil, fmt.Errorf("holds more than %d bytes", maxDocuments)
	}
	return data, err
}

// documents takes the documents of one file. A document that is no JSON ends
// the file; any other mistake does not.
func (r *reading) documents(path string, data []byte) {
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		start := skipSpace(data, dec.InputOffset())
		place := fmt.Sprintf("%s:%d", path, 1+bytes.Count(data[:start], []byte("\n")))
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			r.broken = true
			r.findings.Add(place, "", "document is not valid JSON: "+err.Error())
			return
		}
		r.document(place, raw)
	}
}

func skipSpace(data []byte, from int64) int64 {
	return from + int64(len(data[from:])-len(bytes.TrimLeft(data[from:], " \t\r\n")))
}

func (r *reading) document(place string, raw []byte) {
	var d document
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		r.findings.Add(place, "", "document is no record: "+err.Error())
		return
	}
	kind, ok := record.ParseKind(d.Kind)
	if !ok {
		r.findings.Add(place, "kind", fmt.Sprintf("%q is none of service, route, policy", d.Kind))
		return
	}
	rec := &wire.Record{Kind: kind, Name: d.Name, Schema: d.Schema, Body: d.Spec}
	if d.Version != nil {
		rec.Version = *d.Version
	}
	findings, warnings := record.Check(rec)
	for _, f := range findings {
		r.findings.Add(place+": "+f.GetPlace(), f.GetField(), f.GetReason())
	}
	for _, w := range warnings {
		r.warnings.Add(place+": "+w.GetPlace(), w.GetField(), w.GetReason())
	}
	if first, ok := r.seen[record.KeyOf(rec)]; ok {
		r.findings.Add(place+": "+record.KeyOf(rec).String(), "", "stands there twice, first at "+first)
	}
	r.seen[record.KeyOf(rec)] = place
	r.entries = append(r.entries, entry{place: place, record: rec, based: d.Version != nil})
}

// printDocument prints a record as a document that apply takes.
func printDocument(out io.Writer, r *wire.Record) error {
	version := r.GetVersion()
	data, err := json.Marshal(document{
		Kind: record.KindWord(r.GetKind()), Name: r.GetName(), Schema: r.GetSchema(), Version: &version, Spec: r.GetBody(),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}
