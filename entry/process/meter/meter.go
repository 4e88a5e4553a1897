// Package meter counts what happens in a process, through go-metrics, and shows
// the counts in the text format that ordinary scrapers read. docs/OPERATORS.md
// lists the names.
package meter

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// sample is how many of the last values a histogram keeps, and decay how
// strongly it prefers the newer: the pair that go-metrics documents as holding
// the last five minutes.
const (
	sample = 1028
	decay  = 0.015
)

// A Meter keeps the metrics of one process.
type Meter struct {
	registry metrics.Registry
}

// New returns a Meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Registry is where parts that speak go-metrics themselves put their metrics.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Count adds to a counter.
func (m *Meter) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Time adds to a histogram of times.
func (m *Meter) Time(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sample, decay)).Update(d.Microseconds())
}

// Gauge shows a value that is read when asked for.
func (m *Meter) Gauge(name string, value func() int64) error {
	return m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{registry: m.registry})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// A collector turns go-metrics into the scrapers' metrics.
type collector struct {
	registry metrics.Registry
}

// Describe tells of nothing beforehand: counters come as they are first used.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends every metric.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, v any) {
		if m, err := convert(name, v); err == nil && m != nil {
			out <- m
		}
	})
}

func convert(name string, v any) (prometheus.Metric, error) {
	switch v := v.(type) {
	case metrics.Counter:
		return prometheus.NewConstMetric(describe(name, "_total"), prometheus.CounterValue, float64(v.Count()))
	case metrics.Gauge:
		return prometheus.NewConstMetric(describe(name, ""), prometheus.GaugeValue, float64(v.Value()))
	case metrics.GaugeFloat64:
		return prometheus.NewConstMetric(describe(name, ""), prometheus.GaugeValue, v.Value())
	case metrics.Histogram:
		return summary(name, v.Snapshot())
	}
	return nil, nil
}

// summary shows a histogram of microseconds in seconds.
func summary(name string, h metrics.Histogram) (prometheus.Metric, error) {
	points := []float64{0.5, 0.95, 0.99}
	quantiles := make(map[float64]float64, len(points))
	for i, value := range h.Percentiles(points) {
		quantiles[points[i]] = value / 1e6
	}
	return prometheus.NewConstSummary(describe(name, "_seconds"), uint64(h.Count()), float64(h.Sum())/1e6, quantiles)
}

func describe(name, unit string) *prometheus.Desc {
	clean := strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name)
	return prometheus.NewDesc("heathervane_"+clean+unit, name, nil, nil)
}
