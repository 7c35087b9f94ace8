package main

// This file parses and prints records as JSON documents.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strings"

	"caroblift.dev/mesh/decimal"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// maxFileSize is the largest accepted input file, in bytes.
const maxFileSize = 16 << 20

// document is the JSON form of a record. Version is the version that the change
// is based on: 0 means that the record must not exist yet, and nil means the
// version that is current when apply or diff starts.
type document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  decimal.Whole   `json:"schema"`
	Version *decimal.Whole  `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// entry is a record read from a file and its position.
type entry struct {
	place      string // file:line
	record     *wire.Record
	hasVersion bool // whether the document states its base version
}

// recordReader collects the records and findings of all input files.
type recordReader struct {
	entries    []entry
	findings   record.Findings
	warnings   record.Findings       // do not prevent a record from being written
	unreadable bool                  // a file could not be read completely
	firstPlace map[record.Key]string // position of the first document for each key
}

// readFiles reads records from files, each a sequence of JSON documents; "-" is
// standard input. The error lists the findings of all files. Fields that are not
// in the schema are reported as warnings on standard error.
func (a *app) readFiles(paths []string) ([]entry, error) {
	r := &recordReader{firstPlace: map[record.Key]string{}}
	for _, path := range paths {
		data, err := a.readFile(path)
		if err != nil {
			r.unreadable = true
			r.findings.Add(path, "", err.Error())
			continue
		}
		r.readDocuments(path, data)
	}
	for _, w := range r.warnings {
		fmt.Fprintln(a.err, "warning: "+record.FormatFinding(w))
	}
	if len(r.findings) == 0 && len(r.entries) == 0 {
		return nil, exitf(exitUsage, "%s: no record in it", strings.Join(paths, ", "))
	}
	if len(r.findings) == 0 {
		return r.entries, nil
	}
	code := exitRefused
	if r.unreadable {
		code = exitUsage
	}
	return nil, exitf(code, "%s", r.findings.Error())
}

func (a *app) readFile(path string) ([]byte, error) {
	if path == "-" {
		return readLimited(a.in)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readLimited(f)
}

func readLimited(in io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxFileSize+1))
	if len(data) > maxFileSize {
		return nil, fmt.Errorf("holds more than %d bytes", maxFileSize)
	}
	return data, err
}

// readDocuments reads the documents of one file. It stops at a document that is
// not valid JSON, and continues after any other invalid document.
func (r *recordReader) readDocuments(path string, data []byte) {
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
			r.unreadable = true
			r.findings.Add(place, "", "document is not valid JSON: "+err.Error())
			return
		}
		r.readDocument(place, raw)
	}
}

// skipSpace returns the offset of the first byte at or after from that is not
// JSON whitespace.
func skipSpace(data []byte, from int64) int64 {
	return from + int64(len(data[from:])-len(bytes.TrimLeft(data[from:], " \t\r\n")))
}

func (r *recordReader) readDocument(place string, raw []byte) {
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
	rec := &wire.Record{Kind: kind, Name: d.Name, Schema: uint32(min(d.Schema, math.MaxUint32)), Body: d.Spec}
	if d.Version != nil {
		rec.Version = uint64(*d.Version)
	}
	findings, warnings := record.Check(rec)
	for _, f := range findings {
		r.findings.Add(place+": "+f.GetPlace(), f.GetField(), f.GetReason())
	}
	for _, w := range warnings {
		r.warnings.Add(place+": "+w.GetPlace(), w.GetField(), w.GetReason())
	}
	if first, ok := r.firstPlace[record.KeyOf(rec)]; ok {
		r.findings.Add(place+": "+record.KeyOf(rec).String(), "", "stands there twice, first at "+first)
	}
	r.firstPlace[record.KeyOf(rec)] = place
	r.entries = append(r.entries, entry{place: place, record: rec, hasVersion: d.Version != nil})
}

// printDocument prints a record as a document that apply accepts.
func printDocument(out io.Writer, r *wire.Record) error {
	version := decimal.Whole(r.GetVersion())
	data, err := json.Marshal(document{
		Kind: record.KindName(r.GetKind()), Name: r.GetName(), Schema: decimal.Whole(r.GetSchema()), Version: &version, Spec: r.GetBody(),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}
