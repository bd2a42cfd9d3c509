// Package meter defines the Prometheus metrics of one instance.
package meter

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter holds the metrics of one instance in a registry of its own, so that a
// process can run several instances.
type Meter struct {
	registry *prometheus.Registry

	Applied   prometheus.Counter
	Admitted  prometheus.Counter
	Refused   *prometheus.CounterVec
	Decisions *prometheus.CounterVec
	Outcomes  *prometheus.CounterVec
	Decide    prometheus.Histogram
	Waiting   *prometheus.HistogramVec
	Polls     prometheus.Counter
	Retries   prometheus.Counter
	Requests  *prometheus.CounterVec
	Packing   prometheus.Gauge
	Waits     prometheus.Gauge
	Note      prometheus.Gauge
	Leading   prometheus.Gauge
	Fresh     prometheus.Gauge
	// HTTPRead and HTTPWritten count the bytes that the HTTP listeners read and
	// write.
	HTTPRead    prometheus.Counter
	HTTPWritten prometheus.Counter
}

// New returns a Meter whose metrics are registered and zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		Applied:  newCounter("jasmineward_commands_applied_total", "Commands applied to the ledger."),
		Admitted: newCounter("jasmineward_jobs_admitted_total", "Jobs admitted by this leader."),
		Refused: newCounterVec("jasmineward_jobs_refused_total",
			"Jobs refused, by the code of the refusal.", "code"),
		Decisions: newCounterVec("jasmineward_decisions_total",
			"Decisions, by what they do and the policy.", "verb", "policy"),
		Outcomes: newCounterVec("jasmineward_outcomes_total", "Jobs ended, by outcome.", "outcome"),
		Decide: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "jasmineward_decide_seconds",
			Help:    "Time of one decision.",
			Buckets: prometheus.ExponentialBuckets(1e-6, 2, 18),
		}),
		Waiting: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "jasmineward_waiting_seconds",
			Help:    "Time from admission to start, by kind.",
			Buckets: prometheus.ExponentialBuckets(1e-3, 2, 20),
		}, []string{"kind"}),
		Polls:   newCounter("jasmineward_polls_total", "Polls of targets answered by this leader."),
		Retries: newCounter("jasmineward_retries_total", "Calls to the leader that were tried again."),
		Requests: newCounterVec("jasmineward_http_requests_total",
			"HTTP requests, by listener and status.", "listener", "status"),
		Packing: newGauge("jasmineward_packing_ratio", "Part of the fleet's room that is taken."),
		Waits:   newGauge("jasmineward_tasks_waiting", "Tasks that wait for a place."),
		Note:    newGauge("jasmineward_note_in_force", "Number of the release note in force here."),
		Leading: newGauge("jasmineward_leading", "1 while this instance leads."),
		Fresh:   newGauge("jasmineward_configuration_fresh", "1 while the configuration is fresh."),
		HTTPRead: newCounter("jasmineward_http_read_bytes_total",
			"Bytes read by the HTTP listeners."),
		HTTPWritten: newCounter("jasmineward_http_written_bytes_total",
			"Bytes written by the HTTP listeners."),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Applied, m.Admitted, m.Refused, m.Decisions, m.Outcomes, m.Decide, m.Waiting, m.Polls,
		m.Retries, m.Requests, m.Packing, m.Waits, m.Note, m.Leading, m.Fresh,
		m.HTTPRead, m.HTTPWritten,
	)
	return m
}

// Traffic registers counters for the bytes read from and written to other
// instances.
func (m *Meter) Traffic(read, written *atomic.Int64) {
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "jasmineward_peer_read_bytes_total",
			Help: "Bytes read from other instances.",
		}, func() float64 { return float64(read.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "jasmineward_peer_written_bytes_total",
			Help: "Bytes written to other instances.",
		}, func() float64 { return float64(written.Load()) }),
	)
}

// Handler returns an HTTP handler that serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	})
}
