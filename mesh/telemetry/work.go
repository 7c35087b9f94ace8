package telemetry

// This file logs what a node does in an interval, by kind of work, so that the cost of a
// node can be attributed and compared between fleets of different sizes.

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// WorkDone is the message of a line that tells what a node did in an interval. Its
// attribute "interval" is the length in ms, and "counts" holds what was counted in it.
const WorkDone = "work"

// WorkInterval is the interval between two of these lines. Each costs a read of all
// metrics, about a ms of processor time, and some 1.5 KB.
const WorkInterval = 10 * time.Second

// The counts of work that are not metrics of the node's own parts.
const (
	WorkProcessor    = "process.cpu_ms"       // processor time in user and kernel mode
	WorkKernel       = "process.kernel_ms"    // the part of it in kernel mode
	WorkWakeups      = "process.wakeups"      // times that a thread slept and was woken
	WorkCollections  = "runtime.collections"  // of garbage
	WorkCollectionMS = "runtime.collect_ms"   // processor time of collecting garbage, as the runtime estimates it
	WorkAllocations  = "runtime.allocations"  // objects allocated
	WorkAllocatedKB  = "runtime.allocated_kb" // size of these
)

// metricPrefix is the prefix of the names of a node's own metrics.
const metricPrefix = "caroblift_"

// totals returns what the node has done since its start: the node's own counters, the
// number of samples of its timers, and the counts above.
func (m *Metrics) totals() (map[string]float64, error) {
	families, err := m.gatherer.Gather()
	if err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for _, f := range families {
		name, own := strings.CutPrefix(f.GetName(), metricPrefix)
		if !own {
			continue
		}
		for _, metric := range f.GetMetric() {
			switch f.GetType() {
			case dto.MetricType_COUNTER:
				out[workName(name, metric)] = metric.GetCounter().GetValue()
			case dto.MetricType_SUMMARY:
				out[workName(name, metric)] = float64(metric.GetSummary().GetSampleCount())
			}
		}
	}
	addProcessTotals(out)
	return out, nil
}

// workName returns the name of a count: that of the metric and the values of its labels.
func workName(name string, metric *dto.Metric) string {
	for _, l := range metric.GetLabel() {
		name += "." + l.GetValue()
	}
	return name
}

// addProcessTotals adds the counts of the process and of the Go runtime.
func addProcessTotals(out map[string]float64) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		kernel := milliseconds(usage.Stime)
		out[WorkProcessor], out[WorkKernel], out[WorkWakeups] = milliseconds(usage.Utime)+kernel, kernel, float64(usage.Nvcsw)
	}
	samples := []metrics.Sample{
		{Name: "/gc/cycles/total:gc-cycles"},
		{Name: "/cpu/classes/gc/total:cpu-seconds"},
		{Name: "/gc/heap/allocs:objects"},
		{Name: "/gc/heap/allocs:bytes"},
	}
	metrics.Read(samples)
	out[WorkCollections] = float64(samples[0].Value.Uint64())
	out[WorkCollectionMS] = samples[1].Value.Float64() * 1000
	out[WorkAllocations] = float64(samples[2].Value.Uint64())
	out[WorkAllocatedKB] = float64(samples[3].Value.Uint64()) / 1024
}

func milliseconds(t syscall.Timeval) float64 { return float64(t.Sec)*1000 + float64(t.Usec)/1000 }

// LogWork logs what the node did in each interval until the context ends, and in the last
// one, which is shorter.
func (m *Metrics) LogWork(ctx context.Context, log *slog.Logger, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	before, since := map[string]float64{}, time.Now()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			done = true
		case <-ticker.C:
		}
		total, err := m.totals()
		if err != nil {
			log.Warn("work not counted", "error", err.Error())
			continue
		}
		now := time.Now()
		log.Info(WorkDone, "interval", now.Sub(since).Milliseconds(), "counts", workSince(before, total))
		before, since = total, now
	}
}

// workSince returns what was counted between two totals, rounded to tenths and without
// what is zero.
func workSince(before, after map[string]float64) map[string]float64 {
	counts := make(map[string]float64, len(after))
	for name, total := range after {
		if n := float64(int64((total-before[name])*10)) / 10; n != 0 {
			counts[name] = n
		}
	}
	return counts
}
