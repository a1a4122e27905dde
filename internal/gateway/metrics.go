package gateway

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Metrics holds the node's metrics for GET /metrics. docs/OPERATIONS.md lists them with their units.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
}

// NewMetrics returns metrics with the counter of calls.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thistlewalk_calls_total", Help: "Calls answered, by route and result code.",
		}, []string{"route", "code", "class"}),
	}
	metrics.registry.MustRegister(metrics.calls)
	return metrics
}

// RegisterProcess adds the metrics of the process and the Go runtime. Nodes that share a process must not call it.
func (metrics *Metrics) RegisterProcess() {
	metrics.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// Gauge adds a gauge whose value is read at each scrape.
func (metrics *Metrics) Gauge(name, help string, read func() float64) {
	metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Total adds a counter whose value is read at each scrape.
func (metrics *Metrics) Total(name, help string, read func() float64) {
	metrics.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

func (metrics *Metrics) count(route string, code result.Code) {
	metrics.calls.WithLabelValues(route, strconv.Itoa(int(code)), code.Class().String()).Inc()
}

// Handler serves the metrics in the Prometheus text format.
func (metrics *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{})
}
