// Package otelmetrics implements port.Metrics with OpenTelemetry and serves the
// metrics in the Prometheus text format.
package otelmetrics

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// maxAttributeValues limits the distinct values of one attribute of one metric.
// Further values are recorded as otherValue, so that clients cannot exhaust memory by
// sending ever new names.
const maxAttributeValues = 64

const otherValue = "other"

// secondsBuckets are the upper bounds of the histogram buckets, in seconds. They
// include the latency objectives of 30 ms between tokens and 0.86 s to the first
// token.
var secondsBuckets = []float64{.0005, .001, .002, .005, .01, .02, .03, .05, .1, .2, .43, .86, 2, 5, 10, 30, 60}

// Metrics implements port.Metrics.
type Metrics struct {
	meter           metric.Meter
	handler         http.Handler
	counters        *shard.Map[string, metric.Int64Counter]
	histograms      *shard.Map[string, metric.Float64Histogram]
	gauges          *shard.Map[string, metric.Float64Gauge]
	attributeValues *shard.Map[string, map[string]bool]
}

var _ port.Metrics = (*Metrics)(nil)

// New returns metrics with a registry of their own.
func New() (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "creating metrics exporter")
	}
	p := sdk.NewMeterProvider(sdk.WithReader(exp))
	return &Metrics{
		meter:           p.Meter("masticwing"),
		handler:         promhttp.HandlerFor(reg, promhttp.HandlerOpts{}),
		counters:        shard.New[string, metric.Int64Counter](0),
		histograms:      shard.New[string, metric.Float64Histogram](0),
		gauges:          shard.New[string, metric.Float64Gauge](0),
		attributeValues: shard.New[string, map[string]bool](0),
	}, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Count implements port.Metrics.
func (m *Metrics) Count(name string, n int64, attrs ...port.Attr) {
	c := getOrCreate(m.counters, name, func() (metric.Int64Counter, error) { return m.meter.Int64Counter(name) })
	if c != nil {
		c.Add(context.Background(), n, m.attributes(name, attrs))
	}
}

// Seconds implements port.Metrics.
func (m *Metrics) Seconds(name string, d time.Duration, attrs ...port.Attr) {
	h := getOrCreate(m.histograms, name, func() (metric.Float64Histogram, error) {
		return m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(secondsBuckets...))
	})
	if h != nil {
		h.Record(context.Background(), d.Seconds(), m.attributes(name, attrs))
	}
}

// Gauge implements port.Metrics.
func (m *Metrics) Gauge(name string, v float64, attrs ...port.Attr) {
	g := getOrCreate(m.gauges, name, func() (metric.Float64Gauge, error) { return m.meter.Float64Gauge(name) })
	if g != nil {
		g.Record(context.Background(), v, m.attributes(name, attrs))
	}
}

// getOrCreate returns the instrument called name and creates it on first use. If
// that fails, it stores and returns nil, and the callers ignore the instrument.
func getOrCreate[T any](m *shard.Map[string, T], name string, create func() (T, error)) T {
	if v, ok := m.Get(name); ok {
		return v
	}
	v, err := create()
	if err != nil {
		var none T
		v = none
	}
	m.Update(name, func(old T, ok bool) (T, bool) {
		if ok {
			v = old
		}
		return v, true
	})
	return v
}

func (m *Metrics) attributes(name string, attrs []port.Attr) metric.MeasurementOption {
	kvs := make([]attribute.KeyValue, 0, len(attrs))
	for _, a := range attrs {
		kvs = append(kvs, attribute.String(a.Key, m.limitValue(name+"/"+a.Key, a.Value)))
	}
	return metric.WithAttributes(kvs...)
}

// limitValue returns v, or otherValue if key already has maxAttributeValues other values.
func (m *Metrics) limitValue(key, v string) string {
	out := v
	m.attributeValues.Update(key, func(seen map[string]bool, ok bool) (map[string]bool, bool) {
		if !ok {
			seen = map[string]bool{}
		}
		switch {
		case seen[v]:
		case len(seen) < maxAttributeValues:
			seen[v] = true
		default:
			out = otherValue
		}
		return seen, true
	})
	return out
}
