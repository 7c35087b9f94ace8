package telemetry

// This file sets up the metrics: a tally scope whose values are scraped over
// HTTP in the Prometheus text form.

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often the values of the scope reach the reporter.
const reportInterval = time.Second

// maxSeries bounds the time series of one node. A part that tags by something
// unbounded loses the series beyond, never the memory of the node.
const maxSeries = 1000

// Metrics is a scope and the handler that its values are scraped from. Names
// start with caroblift_; those of the process and of the Go runtime come with
// their usual names.
type Metrics struct {
	Scope tally.Scope

	reporter promreporter.Reporter
	closer   io.Closer
}

// NewMetrics returns metrics of one node. Close ends its reports.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	m := &Metrics{reporter: reporter}
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "caroblift", CachedReporter: &boundedReporter{Reporter: reporter},
		Separator: promreporter.DefaultSeparator, SanitizeOptions: &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return m
}

// Handler serves the values in text form.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close ends the reports.
func (m *Metrics) Close() { _ = m.closer.Close() }

// boundedReporter drops the series beyond maxSeries.
type boundedReporter struct {
	promreporter.Reporter

	mu     sync.Mutex
	series int
}

// take tells whether one more series may exist.
func (b *boundedReporter) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.series++
	return b.series <= maxSeries
}

// AllocateCounter implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	if !b.take() {
		return dropped{}
	}
	return b.Reporter.AllocateCounter(name, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	if !b.take() {
		return dropped{}
	}
	return b.Reporter.AllocateGauge(name, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	if !b.take() {
		return dropped{}
	}
	return b.Reporter.AllocateTimer(name, tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	if !b.take() {
		return dropped{}
	}
	return b.Reporter.AllocateHistogram(name, tags, buckets)
}

// dropped is a series that is not kept.
type dropped struct{}

// ReportCount implements tally.CachedCount.
func (dropped) ReportCount(int64) {}

// ReportGauge implements tally.CachedGauge.
func (dropped) ReportGauge(float64) {}

// ReportTimer implements tally.CachedTimer.
func (dropped) ReportTimer(time.Duration) {}

// ReportSamples implements tally.CachedHistogramBucket.
func (dropped) ReportSamples(int64) {}

// ValueBucket implements tally.CachedHistogram.
func (d dropped) ValueBucket(float64, float64) tally.CachedHistogramBucket { return d }

// DurationBucket implements tally.CachedHistogram.
func (d dropped) DurationBucket(time.Duration, time.Duration) tally.CachedHistogramBucket { return d }
