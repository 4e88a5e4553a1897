// Package meter collects the metrics of a process with go-metrics and serves them in
// the Prometheus text format. docs/OPERATORS.md lists their names.
package meter

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// reservoirSize is the number of values that a histogram keeps, and reservoirAlpha
// how strongly it favours recent ones. With this pair, according to the go-metrics
// documentation, a histogram covers the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// A Meter holds the metrics of one process.
type Meter struct {
	registry metrics.Registry
}

// New returns a Meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Registry returns the registry, for code that uses go-metrics directly.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Count adds n to a counter.
func (m *Meter) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Time adds a duration to a histogram.
func (m *Meter) Time(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)).Update(d.Microseconds())
}

// Gauge registers a gauge whose value is computed when the metrics are read.
func (m *Meter) Gauge(name string, value func() int64) error {
	return m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// Counters returns the values of the counters whose names begin with prefix, by the rest
// of the name.
func (m *Meter) Counters(prefix string) map[string]int64 {
	all := make(map[string]int64)
	m.registry.Each(func(name string, v any) {
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			if c, ok := v.(metrics.Counter); ok {
				all[rest] = c.Count()
			}
		}
	})
	return all
}

// Handler returns a handler that serves the metrics. It logs those that it cannot serve,
// and serves the others.
func (m *Meter) Handler(log zerolog.Logger) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{registry: m.registry, log: log})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// A collector converts go-metrics to Prometheus metrics.
type collector struct {
	registry metrics.Registry
	log      zerolog.Logger
}

// Describe sends no descriptors, since counters are created on first use.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends every metric.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, v any) {
		m, err := convert(name, v)
		if err != nil {
			c.log.Warn().Str("metric", name).Err(err).Msg("metric not served")
			return
		}
		out <- m
	})
}

// errUnknownKind reports a go-metrics type that has no conversion.
var errUnknownKind = errors.New("unknown kind of metric")

func convert(name string, v any) (prometheus.Metric, error) {
	switch v := v.(type) {
	case metrics.Counter:
		return prometheus.NewConstMetric(newDesc(name, "_total"), prometheus.CounterValue, float64(v.Count()))
	case metrics.Gauge:
		return prometheus.NewConstMetric(newDesc(name, ""), prometheus.GaugeValue, float64(v.Value()))
	case metrics.GaugeFloat64:
		return prometheus.NewConstMetric(newDesc(name, ""), prometheus.GaugeValue, v.Value())
	case metrics.Histogram:
		return summary(name, v.Snapshot())
	}
	return nil, errUnknownKind
}

// summary converts a histogram of microseconds to a summary in seconds.
func summary(name string, h metrics.Histogram) (prometheus.Metric, error) {
	points := []float64{0.5, 0.95, 0.99}
	quantiles := make(map[float64]float64, len(points))
	for i, value := range h.Percentiles(points) {
		quantiles[points[i]] = value / 1e6
	}
	return prometheus.NewConstSummary(newDesc(name, "_seconds"), uint64(h.Count()), float64(h.Sum())/1e6, quantiles)
}

func newDesc(name, unit string) *prometheus.Desc {
	sanitised := strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name)
	return prometheus.NewDesc("heathervane_"+sanitised+unit, name, nil, nil)
}
