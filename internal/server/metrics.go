package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"opaldale/internal/transport"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "opaldale_"

// metrics are the metrics of a node.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	shed     *prometheus.CounterVec
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    metricPrefix + "request_seconds",
			Help:    "Time to respond to requests, by kind and status.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"kind", "status"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "shed_total",
			Help: "Requests rejected because of overload, by kind.",
		}, []string{"kind"}),
	}
	m.registry.MustRegister(m.requests, m.shed, controllerCollector{s})
	return m
}

// methodNames are the values of the label "kind", by method.
var methodNames = map[transport.Method]string{
	transport.SubmitJob:       "submit",
	transport.GetJob:          "poll",
	transport.CancelJob:       "cancel",
	transport.WorkerHeartbeat: "checkin",
}

// observe records a completed request.
func (m *metrics) observe(method transport.Method, status int, d time.Duration) {
	m.requests.WithLabelValues(methodNames[method], strconv.Itoa(status)).Observe(d.Seconds())
}

// handler returns the HTTP handler that serves the metrics in the Prometheus format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// controllerCollector collects the metrics of the controller, the sockets and the links. It reads their
// values on each scrape.
type controllerCollector struct{ server *Server }

// Describe implements prometheus.Collector. It sends no descriptions, so that Prometheus does not check
// the collected metrics against them.
func (controllerCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It reads the controller's values on the event loop.
func (c controllerCollector) Collect(ch chan<- prometheus.Metric) {
	stats := c.server.stats()
	collectStats(ch, &stats)
	collectServer(ch, c.server)
	collectLinks(ch, c.server.linkReport())
	collectLoad(ch, stats)
}

// metric describes a metric and the type of its values.
type metric struct {
	desc      *prometheus.Desc
	valueType prometheus.ValueType
}

// newGauge returns a gauge with the given label names.
func newGauge(name, help string, labels ...string) metric {
	return metric{prometheus.NewDesc(metricPrefix+name, help, labels, nil), prometheus.GaugeValue}
}

// newCounter returns a counter with the given label names. Its name gets the suffix "_total".
func newCounter(name, help string, labels ...string) metric {
	return metric{prometheus.NewDesc(metricPrefix+name+"_total", help, labels, nil), prometheus.CounterValue}
}

// send sends a value of the metric, with the given label values, to a collector's channel.
func (m metric) send(ch chan<- prometheus.Metric, value float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(m.desc, m.valueType, value, labels...)
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
