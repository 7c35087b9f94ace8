package main

// This file writes an HTML page with plots of earlier runs, from the last line of
// each run's output.

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxRunSize is the largest file of a run that is read, in bytes.
const maxRunSize = 64 << 20

type reportCommand struct {
	Out  string `long:"out" default:"report.html" value-name:"FILE" description:"page to write"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"output of a run, whose last line is its JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the runs and writes the page. It writes nothing if a run cannot
// be read.
func (c *reportCommand) Execute([]string) error {
	var runs []*runFile
	for _, path := range c.Args.Files {
		r, err := readRun(path)
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	page, err := renderReport(runs)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, page, 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	fmt.Printf("%s: %d runs, %d bytes\n", c.Out, len(runs), len(page))
	return nil
}

// distributionStats holds the results of a run of converge for one distribution
// method.
type distributionStats struct {
	P50   float64 `json:"p50"` // ms
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Bytes float64 `json:"bytes"` // control bytes per node and change
	Idle  float64 `json:"idle"`  // control bytes per node and second without changes
	Calls float64 `json:"calls"` // platform calls per second
}

// runFile is one run, decoded from the last line of its file. The names of the
// fields without a tag are the JSON keys; a run sets the fields of its kind only.
type runFile struct {
	Name string // of the file
	Kind string // demo, faults, converge, call, hold or herd
	Line string // last line as printed

	Nodes     int
	Converged float64 // demo, ms
	distributionStats
	Base     *distributionStats
	Direct   *callTimes
	Proxied  *callTimes
	Added    *float64 // ms at p99
	Policies map[string]policyResult
	Servers  int
	RSS      float64 // MB
	Core     float64 // percent of one core
	Whole    float64 // ms until every node held the current table
	Peak     float64 // peak platform calls per second
}

// kindKeys lists the keys by which the kind of a run is recognized. The first
// kind whose keys are all present applies.
var kindKeys = []struct {
	kind string
	keys []string
}{
	{"converge", []string{"nodes", "changes", "p50", "max", "base"}},
	{"call", []string{"direct", "proxied"}},
	{"hold", []string{"servers", "rss", "core", "bytes"}},
	{"herd", []string{"nodes", "whole", "peak"}},
	{"faults", []string{"faults", "settled"}},
	{"demo", []string{"nodes", "revision", "converged"}},
}

// readRun reads a run from the last line of a file.
func readRun(path string) (*runFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	if info.Size() > maxRunSize {
		return nil, errors.Errorf("%s holds %d bytes, more than %d", path, info.Size(), maxRunSize)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	data = bytes.TrimSpace(data)
	line := data[bytes.LastIndexByte(data, '\n')+1:]
	r, err := parseRun(line)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: last line", path)
	}
	r.Name = filepath.Base(path)
	return r, nil
}

// parseRun decodes a run. It returns an error if line is not a JSON object or has
// the keys of no kind.
func parseRun(line []byte) (*runFile, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(line, &keys); err != nil {
		return nil, errors.Wrap(err, "is no JSON object")
	}
	for _, k := range kindKeys {
		if slices.ContainsFunc(k.keys, func(key string) bool { return keys[key] == nil }) {
			continue
		}
		r := &runFile{Kind: k.kind, Line: string(line)}
		return r, errors.Wrapf(json.Unmarshal(line, r), "as %s", k.kind)
	}
	return nil, errors.Errorf("has the keys of no known kind of run: %s", line)
}

//go:embed report.html
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// figure is a plot with a table of its values.
type figure struct {
	Title string
	Note  string
	Plot  template.HTML // inline SVG
	Head  []string
	Rows  [][]string
}

// renderReport returns the HTML page for runs. It leaves out figures for which
// there are no runs.
func renderReport(runs []*runFile) ([]byte, error) {
	slices.SortStableFunc(runs, func(a, b *runFile) int { return strings.Compare(a.Kind, b.Kind) })
	var figures []figure
	for _, draw := range []func([]*runFile) (figure, error){
		convergenceFigure, bytesFigure, platformFigure, latencyFigure, policyFigure, goodputFigure, holdFigure, herdFigure,
	} {
		f, err := draw(runs)
		if err != nil {
			return nil, err
		}
		if len(f.Rows) > 0 {
			figures = append(figures, f)
		}
	}
	var page bytes.Buffer
	err := reportTemplate.Execute(&page, struct {
		Figures []figure
		Runs    []*runFile
	}{figures, runs})
	return page.Bytes(), errors.Wrap(err, "report")
}

// runsOfKind returns the runs of a kind, sorted by number of nodes.
func runsOfKind(runs []*runFile, kind string) []*runFile {
	var out []*runFile
	for _, r := range runs {
		if r.Kind == kind {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *runFile) int { return a.Nodes - b.Nodes })
	return out
}
