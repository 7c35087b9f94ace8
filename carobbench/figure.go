package main

// This file draws the figures of the report.

import (
	"bytes"
	"fmt"
	"html/template"
	"maps"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The targets that figures are measured against.
const (
	targetConvergence = 3000.0 // ms
	targetAdded       = 0.89   // ms at p99
	targetGoodput     = 0.9    // share at twice the capacity
	targetMemory      = 64.0   // MB
	targetCore        = 3.3    // percent
	targetBytes       = 20e3   // bytes per second
	platformReadRate  = 2000.0 // calls per second
)

// The size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 16 * vg.Millimeter
	legendRoom = 1.4 // height above the highest bar, as a factor
)

// series is one line or one group of bars; Values match the labels of the
// figure.
type series struct {
	name   string
	values []float64
}

// number formats a figure for a table.
func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// fill sets the table of a figure: a row for each label, a column for each
// series.
func (f *figure) fill(corner string, labels []string, all []series) {
	f.Head = []string{corner}
	for _, s := range all {
		f.Head = append(f.Head, s.name)
	}
	for i, label := range labels {
		row := []string{label}
		for _, s := range all {
			row = append(row, number(s.values[i]))
		}
		f.Rows = append(f.Rows, row)
	}
}

// bars draws groups of bars, one group for each label, and a dashed line at
// the target unless it is 0.
func (f *figure) bars(axis string, labels []string, all []series, target float64) error {
	p := plot.New()
	p.Y.Label.Text = axis
	p.Y.Min = 0
	p.Legend.Top = true
	p.NominalX(labels...)
	width := barWidth / vg.Length(max(1, len(all)))
	for i, s := range all {
		bar, err := plotter.NewBarChart(plotter.Values(s.values), width)
		if err != nil {
			return errors.Wrapf(err, "plot %q", f.Title)
		}
		bar.Color = plotutil.Color(i)
		bar.LineStyle.Width = 0
		bar.Offset = width * vg.Length(float64(i)-float64(len(all)-1)/2)
		p.Add(bar)
		p.Legend.Add(s.name, bar)
	}
	if target > 0 {
		line := plotter.NewFunction(func(float64) float64 { return target })
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(line)
		p.Legend.Add("target "+number(target), line)
		p.Y.Max = max(p.Y.Max, target)
	}
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	p.Y.Max *= legendRoom
	return f.render(p)
}

// render draws a plot as inline SVG.
func (f *figure) render(p *plot.Plot) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return errors.Wrapf(err, "plot %q", f.Title)
	}
	_, svg, ok := bytes.Cut(out.Bytes(), []byte("<svg"))
	if !ok {
		return errors.Errorf("plot %q: no SVG was drawn", f.Title)
	}
	f.Plot = template.HTML("<svg" + string(svg))
	return nil
}

// column returns a value of each run.
func column(runs []*runFile, value func(*runFile) float64) []float64 {
	out := make([]float64, len(runs))
	for i, r := range runs {
		out[i] = value(r)
	}
	return out
}

// nodeLabels names each run by its number of nodes.
func nodeLabels(runs []*runFile) []string {
	out := make([]string, len(runs))
	for i, r := range runs {
		out[i] = strconv.Itoa(r.Nodes) + " nodes"
	}
	return out
}

// base returns a value of the plain way measured in the same run.
func base(value func(*spreadFigures) float64) func(*runFile) float64 {
	return func(r *runFile) float64 { return value(r.Base) }
}

func convergenceFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Convergence time", Note: "From acceptance to in force, in ms. The plain way is every node long-polling the platform for the whole configuration, in the same run. A demo has one change only. On a logarithmic scale."}
	runs = slices.Concat(ofKind(runs, "demo"), ofKind(runs, "converge"))
	if len(runs) == 0 {
		return f, nil
	}
	labels := nodeLabels(runs)
	for i, r := range runs {
		if r.Kind == "demo" {
			labels[i] = "demo, " + labels[i]
			one := *r
			one.P50, one.P99, one.Max, one.Base = r.Converged, r.Converged, r.Converged, &spreadFigures{}
			runs[i] = &one
		}
	}
	all := []series{
		{"p50", column(runs, func(r *runFile) float64 { return r.P50 })},
		{"p99", column(runs, func(r *runFile) float64 { return r.P99 })},
		{"max", column(runs, func(r *runFile) float64 { return r.Max })},
		{"plain p99", column(runs, base(func(s *spreadFigures) float64 { return s.P99 }))},
		{"target", column(runs, func(*runFile) float64 { return targetConvergence })},
	}
	f.fill("run", labels, all)
	return f, f.logLines("ms", labels, all)
}

func bytesFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Control bytes", Note: "Every byte that is not a call's, both directions, framing included, per node and change; and per node and second at rest. On a logarithmic scale, a tenth of the plain way is the aim."}
	runs = ofKind(runs, "converge")
	if len(runs) == 0 {
		return f, nil
	}
	all := []series{
		{"bytes per node and change", column(runs, func(r *runFile) float64 { return r.Bytes })},
		{"plain", column(runs, base(func(s *spreadFigures) float64 { return s.Bytes }))},
		{"idle bytes/s", column(runs, func(r *runFile) float64 { return r.Idle })},
		{"plain idle", column(runs, base(func(s *spreadFigures) float64 { return s.Idle }))},
	}
	f.fill("run", nodeLabels(runs), all)
	return f, f.logLines("bytes", nodeLabels(runs), all)
}

// logLines draws lines on a logarithmic scale; values that are not
// positive are left out.
func (f *figure) logLines(axis string, labels []string, all []series) error {
	p := plot.New()
	p.Y.Label.Text = axis
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.NominalX(labels...)
	points := 0
	for i, s := range all {
		var xys plotter.XYs
		for j, v := range s.values {
			if v > 0 {
				xys = append(xys, plotter.XY{X: float64(j), Y: v})
			}
		}
		if len(xys) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return errors.Wrapf(err, "plot %q", f.Title)
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(s.name, line, dots)
		points += len(xys)
	}
	if points == 0 {
		return nil
	}
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	p.Y.Min, p.Y.Max = p.Y.Min/2, p.Y.Max*10
	return f.render(p)
}

func platformFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Calls to the platform", Note: "Per second. They must not grow with the number of nodes."}
	runs = ofKind(runs, "converge")
	if len(runs) == 0 {
		return f, nil
	}
	all := []series{
		{"calls/s", column(runs, func(r *runFile) float64 { return r.Calls })},
		{"plain calls/s", column(runs, base(func(s *spreadFigures) float64 { return s.Calls }))},
	}
	f.fill("run", nodeLabels(runs), all)
	return f, f.bars("calls/s", nodeLabels(runs), all, 0)
}

func latencyFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Added latency", Note: "In ms: a call straight to a backend server, the same by way of two nodes, and what the nodes add at p99."}
	runs = ofKind(runs, "call")
	if len(runs) == 0 {
		return f, nil
	}
	labels := make([]string, len(runs))
	added := make([]float64, len(runs))
	for i, r := range runs {
		labels[i] = r.Name
		if r.Added != nil {
			added[i] = *r.Added
		}
	}
	all := []series{
		{"direct p50", column(runs, func(r *runFile) float64 { return r.Direct.P50 })},
		{"proxied p50", column(runs, func(r *runFile) float64 { return r.Proxied.P50 })},
		{"direct p99", column(runs, func(r *runFile) float64 { return r.Direct.P99 })},
		{"proxied p99", column(runs, func(r *runFile) float64 { return r.Proxied.P99 })},
		{"added p99", added},
	}
	f.fill("run", labels, all)
	return f, f.bars("ms", labels, all, targetAdded)
}

// policyValues returns the names of the policies of all runs, and one value of
// each.
func policyValues(runs []*runFile, value func(policyResult) float64) (labels []string, values []float64) {
	for _, r := range ofKind(runs, "call") {
		for _, name := range slices.Sorted(maps.Keys(r.Policies)) {
			labels, values = append(labels, name), append(values, value(r.Policies[name]))
		}
	}
	return labels, values
}

func policyFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Policies", Note: "Latency in ms under load with a slow, a cold and a lying backend server."}
	labels, p99 := policyValues(runs, func(p policyResult) float64 { return p.P99 })
	_, p999 := policyValues(runs, func(p policyResult) float64 { return p.P999 })
	if len(labels) == 0 {
		return f, nil
	}
	all := []series{{"p99", p99}, {"p999", p999}}
	f.fill("policy", labels, all)
	return f, f.bars("ms", labels, all, 0)
}

func goodputFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Goodput under overload", Note: "Goodput at twice the capacity, as a share of that at the capacity."}
	labels, goodput := policyValues(runs, func(p policyResult) float64 { return p.Goodput })
	if len(labels) == 0 {
		return f, nil
	}
	all := []series{{"goodput", goodput}}
	f.fill("policy", labels, all)
	return f, f.bars("share", labels, all, targetGoodput)
}

func holdFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "One node at the target's size", Note: "Share of the bound in percent: 64 MB, 3.3% of a core, 20 KB/s."}
	runs = ofKind(runs, "hold")
	if len(runs) == 0 {
		return f, nil
	}
	labels := make([]string, len(runs))
	for i, r := range runs {
		labels[i] = fmt.Sprintf("%d servers", r.Servers)
	}
	all := []series{
		{"memory", column(runs, func(r *runFile) float64 { return 100 * r.RSS / targetMemory })},
		{"processor", column(runs, func(r *runFile) float64 { return 100 * r.Core / targetCore })},
		{"bytes", column(runs, func(r *runFile) float64 { return 100 * r.Bytes / targetBytes })},
	}
	f.fill("run", labels, all)
	return f, f.bars("percent of the bound", labels, all, 100)
}

func herdFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "All nodes restarted at once", Note: "Time until all hold the current table, peak calls to the platform and peak bytes of one node. Values share a logarithmic scale; the platform takes 2000 reads/s."}
	runs = ofKind(runs, "herd")
	if len(runs) == 0 {
		return f, nil
	}
	all := []series{
		{"ms until whole", column(runs, func(r *runFile) float64 { return r.Whole })},
		{"peak platform calls/s", column(runs, func(r *runFile) float64 { return r.Peak })},
		{"platform reads/s", column(runs, func(*runFile) float64 { return platformReadRate })},
		{"peak bytes/s per node", column(runs, func(r *runFile) float64 { return r.Bytes })},
	}
	f.fill("run", nodeLabels(runs), all)
	return f, f.logLines("ms, calls/s, bytes/s", nodeLabels(runs), all)
}
