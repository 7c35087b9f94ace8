package telemetry

// This file configures metrics: a tally scope whose values are scraped over HTTP
// in the Prometheus text format.

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

// reportInterval is the interval at which the scope passes its values to the
// reporter.
const reportInterval = time.Second

// maxSeries bounds the time series of one node, to bound its memory. Series
// beyond it, of a metric with an unbounded tag for example, are discarded.
const maxSeries = 1000

// Metrics holds a scope and the reporter that serves its values. Metric names
// have the prefix caroblift_, except those of the process and of the Go runtime,
// which keep their usual names.
type Metrics struct {
	Scope tally.Scope

	reporter promreporter.Reporter
	gatherer prometheus.Gatherer
	closer   io.Closer
}

// NewMetrics returns the metrics of one node. Close stops reporting.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	m := &Metrics{reporter: reporter, gatherer: registry}
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "caroblift", CachedReporter: &boundedReporter{Reporter: reporter},
		Separator: promreporter.DefaultSeparator, SanitizeOptions: &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return m
}

// Handler serves the values in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// boundedReporter discards the series beyond maxSeries.
type boundedReporter struct {
	promreporter.Reporter

	mu     sync.Mutex
	series int
}

// reserve counts one more series and reports whether it is within maxSeries.
func (b *boundedReporter) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.series++
	return b.series <= maxSeries
}

// AllocateCounter implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	if !b.reserve() {
		return discarded{}
	}
	return b.Reporter.AllocateCounter(name, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	if !b.reserve() {
		return discarded{}
	}
	return b.Reporter.AllocateGauge(name, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	if !b.reserve() {
		return discarded{}
	}
	return b.Reporter.AllocateTimer(name, tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (b *boundedReporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	if !b.reserve() {
		return discarded{}
	}
	return b.Reporter.AllocateHistogram(name, tags, buckets)
}

// discarded ignores the values of a series beyond maxSeries.
type discarded struct{}

// ReportCount implements tally.CachedCount.
func (discarded) ReportCount(int64) {}

// ReportGauge implements tally.CachedGauge.
func (discarded) ReportGauge(float64) {}

// ReportTimer implements tally.CachedTimer.
func (discarded) ReportTimer(time.Duration) {}

// ReportSamples implements tally.CachedHistogramBucket.
func (discarded) ReportSamples(int64) {}

// ValueBucket implements tally.CachedHistogram.
func (d discarded) ValueBucket(float64, float64) tally.CachedHistogramBucket { return d }

// DurationBucket implements tally.CachedHistogram.
func (d discarded) DurationBucket(time.Duration, time.Duration) tally.CachedHistogramBucket { return d }
