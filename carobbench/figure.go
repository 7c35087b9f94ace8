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

// The targets drawn into the figures.
const (
	targetConvergence = 3000.0 // ms
	targetAdded       = 0.89   // ms at p99
	targetGoodput     = 0.9    // goodput at twice the capacity as a share of that at the capacity
	targetMemory      = 64.0   // MB
	targetCore        = 3.3    // percent of one core
	targetBytes       = 20e3   // bytes per second
	platformReadRate  = 2000.0 // calls per second; the platform's limit
)

// The layout of a plot.
const (
	plotWidth      = 18 * vg.Centimeter
	plotHeight     = 8 * vg.Centimeter
	barWidth       = 16 * vg.Millimeter
	legendHeadroom = 1.4 // height of the axis as a multiple of the highest bar, which leaves space for the legend
)

// series is one line or one set of bars of a figure. It has one value for each
// label of the figure.
type series struct {
	name   string
	values []float64
}

// formatNumber formats a value for a table, with four significant digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// setTable sets the table of a figure: a row for each label, a column for each
// series. corner is the header of the column of labels.
func (f *figure) setTable(corner string, labels []string, all []series) {
	f.Head = []string{corner}
	for _, s := range all {
		f.Head = append(f.Head, s.name)
	}
	for i, label := range labels {
		row := []string{label}
		for _, s := range all {
			row = append(row, formatNumber(s.values[i]))
		}
		f.Rows = append(f.Rows, row)
	}
}

// drawBars draws a bar chart with a group of bars for each label, and a dashed
// line at target unless target is 0.
func (f *figure) drawBars(axis string, labels []string, all []series, target float64) error {
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
		p.Legend.Add("target "+formatNumber(target), line)
		p.Y.Max = max(p.Y.Max, target)
	}
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	p.Y.Max *= legendHeadroom
	return f.render(p)
}

// render sets the plot of a figure to p as inline SVG.
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

// valuesOf returns the value of each run.
func valuesOf(runs []*runFile, value func(*runFile) float64) []float64 {
	out := make([]float64, len(runs))
	for i, r := range runs {
		out[i] = value(r)
	}
	return out
}

// nodeLabels returns a label for each run that states its number of nodes.
func nodeLabels(runs []*runFile) []string {
	out := make([]string, len(runs))
	for i, r := range runs {
		out[i] = strconv.Itoa(r.Nodes) + " nodes"
	}
	return out
}

// baselineValue returns a function that extracts a value of the polling
// baseline from a run.
func baselineValue(value func(*distributionStats) float64) func(*runFile) float64 {
	return func(r *runFile) float64 { return value(r.Base) }
}

func convergenceFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Convergence time", Note: "From acceptance of a change until it is in force, in ms. In the polling baseline, measured in the same run, every node long-polls the platform for the whole configuration. A demo has one change only. Logarithmic scale."}
	runs = slices.Concat(runsOfKind(runs, "demo"), runsOfKind(runs, "converge"))
	if len(runs) == 0 {
		return f, nil
	}
	labels := nodeLabels(runs)
	for i, r := range runs {
		if r.Kind == "demo" {
			labels[i] = "demo, " + labels[i]
			copied := *r
			copied.P50, copied.P99, copied.Max, copied.Base = r.Converged, r.Converged, r.Converged, &distributionStats{}
			runs[i] = &copied
		}
	}
	all := []series{
		{"p50", valuesOf(runs, func(r *runFile) float64 { return r.P50 })},
		{"p99", valuesOf(runs, func(r *runFile) float64 { return r.P99 })},
		{"max", valuesOf(runs, func(r *runFile) float64 { return r.Max })},
		{"polling p99", valuesOf(runs, baselineValue(func(s *distributionStats) float64 { return s.P99 }))},
		{"target", valuesOf(runs, func(*runFile) float64 { return targetConvergence })},
	}
	f.setTable("run", labels, all)
	return f, f.drawLogLines("ms", labels, all)
}

func bytesFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Control bytes", Note: "All bytes that do not belong to calls, in both directions, including framing: per node and change, and per node and second without changes. The target is a tenth of the polling baseline. Logarithmic scale."}
	runs = runsOfKind(runs, "converge")
	if len(runs) == 0 {
		return f, nil
	}
	all := []series{
		{"bytes per node and change", valuesOf(runs, func(r *runFile) float64 { return r.Bytes })},
		{"polling", valuesOf(runs, baselineValue(func(s *distributionStats) float64 { return s.Bytes }))},
		{"idle bytes/s", valuesOf(runs, func(r *runFile) float64 { return r.Idle })},
		{"polling idle bytes/s", valuesOf(runs, baselineValue(func(s *distributionStats) float64 { return s.Idle }))},
	}
	f.setTable("run", nodeLabels(runs), all)
	return f, f.drawLogLines("bytes", nodeLabels(runs), all)
}

// drawLogLines draws a line chart on a logarithmic scale. It omits values that
// are not positive, and draws nothing if none is.
func (f *figure) drawLogLines(axis string, labels []string, all []series) error {
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
	runs = runsOfKind(runs, "converge")
	if len(runs) == 0 {
		return f, nil
	}
	all := []series{
		{"calls/s", valuesOf(runs, func(r *runFile) float64 { return r.Calls })},
		{"polling calls/s", valuesOf(runs, baselineValue(func(s *distributionStats) float64 { return s.Calls }))},
	}
	f.setTable("run", nodeLabels(runs), all)
	return f, f.drawBars("calls/s", nodeLabels(runs), all, 0)
}

func latencyFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Added latency", Note: "In ms: calls sent directly to a backend server, the same calls through two nodes, and the latency that the nodes add at p99."}
	runs = runsOfKind(runs, "call")
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
		{"direct p50", valuesOf(runs, func(r *runFile) float64 { return r.Direct.P50 })},
		{"proxied p50", valuesOf(runs, func(r *runFile) float64 { return r.Proxied.P50 })},
		{"direct p99", valuesOf(runs, func(r *runFile) float64 { return r.Direct.P99 })},
		{"proxied p99", valuesOf(runs, func(r *runFile) float64 { return r.Proxied.P99 })},
		{"added p99", added},
	}
	f.setTable("run", labels, all)
	return f, f.drawBars("ms", labels, all, targetAdded)
}

// policyValues returns the names of the policies of all runs and the value of
// each.
func policyValues(runs []*runFile, value func(policyResult) float64) (labels []string, values []float64) {
	for _, r := range runsOfKind(runs, "call") {
		for _, name := range slices.Sorted(maps.Keys(r.Policies)) {
			labels, values = append(labels, name), append(values, value(r.Policies[name]))
		}
	}
	return labels, values
}

func policyFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Policies", Note: "Latency in ms at half the capacity, with one slow backend server, one cold one, and one that fails every call while it announces itself as healthy."}
	labels, p99 := policyValues(runs, func(p policyResult) float64 { return p.P99 })
	_, p999 := policyValues(runs, func(p policyResult) float64 { return p.P999 })
	if len(labels) == 0 {
		return f, nil
	}
	all := []series{{"p99", p99}, {"p999", p999}}
	f.setTable("policy", labels, all)
	return f, f.drawBars("ms", labels, all, 0)
}

func goodputFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "Goodput under overload", Note: "Goodput at twice the capacity, as a share of that at the capacity."}
	labels, goodput := policyValues(runs, func(p policyResult) float64 { return p.Goodput })
	if len(labels) == 0 {
		return f, nil
	}
	all := []series{{"goodput", goodput}}
	f.setTable("policy", labels, all)
	return f, f.drawBars("share", labels, all, targetGoodput)
}

func holdFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "One node in a fleet of the target size", Note: "Percent of the bounds: 64 MB, 3.3% of a core, 20 KB/s."}
	runs = runsOfKind(runs, "hold")
	if len(runs) == 0 {
		return f, nil
	}
	labels := make([]string, len(runs))
	for i, r := range runs {
		labels[i] = fmt.Sprintf("%d servers", r.Servers)
	}
	all := []series{
		{"memory", valuesOf(runs, func(r *runFile) float64 { return 100 * r.RSS / targetMemory })},
		{"processor", valuesOf(runs, func(r *runFile) float64 { return 100 * r.Core / targetCore })},
		{"bytes", valuesOf(runs, func(r *runFile) float64 { return 100 * r.Bytes / targetBytes })},
	}
	f.setTable("run", labels, all)
	return f, f.drawBars("percent of the bound", labels, all, 100)
}

func herdFigure(runs []*runFile) (figure, error) {
	f := figure{Title: "All nodes restarted at once", Note: "Time until all nodes hold the current table, peak rate of calls to the platform, and peak rate of control bytes of one node, on a common logarithmic scale. The platform accepts 2000 reads/s."}
	runs = runsOfKind(runs, "herd")
	if len(runs) == 0 {
		return f, nil
	}
	all := []series{
		{"ms until all current", valuesOf(runs, func(r *runFile) float64 { return r.Whole })},
		{"peak platform calls/s", valuesOf(runs, func(r *runFile) float64 { return r.Peak })},
		{"platform reads/s", valuesOf(runs, func(*runFile) float64 { return platformReadRate })},
		{"peak bytes/s per node", valuesOf(runs, func(r *runFile) float64 { return r.Bytes })},
	}
	f.setTable("run", nodeLabels(runs), all)
	return f, f.drawLogLines("ms, calls/s, bytes/s", nodeLabels(runs), all)
}
