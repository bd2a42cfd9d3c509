// Package meter defines the Prometheus metrics of one instance.
package meter

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds the metrics of one instance in a registry of its own, so that a
// process can run several instances.
type Metrics struct {
	registry *prometheus.Registry

	CommandsApplied  prometheus.Counter
	JobsAdmitted     prometheus.Counter
	JobsRefused      *prometheus.CounterVec
	Decisions        *prometheus.CounterVec
	JobOutcomes      *prometheus.CounterVec
	DecisionDuration prometheus.Histogram
	StartDelay       *prometheus.HistogramVec
	Polls            prometheus.Counter
	LeaderRetries    prometheus.Counter
	HTTPRequests     *prometheus.CounterVec
	PackingRatio     prometheus.Gauge
	TasksWaiting     prometheus.Gauge
	ReleaseNote      prometheus.Gauge
	Leading          prometheus.Gauge
	ConfigFresh      prometheus.Gauge
	// HTTPRead and HTTPWritten count the bytes that the HTTP listeners read and
	// write.
	HTTPRead    prometheus.Counter
	HTTPWritten prometheus.Counter
}

// New returns Metrics that are registered and zero.
func New() *Metrics {
	m := &Metrics{
		registry:        prometheus.NewRegistry(),
		CommandsApplied: newCounter("jasmineward_commands_applied_total", "Commands applied to the ledger."),
		JobsAdmitted:    newCounter("jasmineward_jobs_admitted_total", "Jobs admitted by this leader."),
		JobsRefused: newCounterVec("jasmineward_jobs_refused_total",
			"Jobs refused, by the code of the refusal.", "code"),
		Decisions: newCounterVec("jasmineward_decisions_total",
			"Decisions, by what they do and the policy.", "verb", "policy"),
		JobOutcomes: newCounterVec("jasmineward_outcomes_total", "Jobs ended, by outcome.", "outcome"),
		DecisionDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "jasmineward_decide_seconds",
			Help:    "Time of one decision.",
			Buckets: prometheus.ExponentialBuckets(1e-6, 2, 18),
		}),
		StartDelay: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "jasmineward_waiting_seconds",
			Help:    "Time from admission to start, by kind.",
			Buckets: prometheus.ExponentialBuckets(1e-3, 2, 20),
		}, []string{"kind"}),
		Polls:         newCounter("jasmineward_polls_total", "Polls of targets answered by this leader."),
		LeaderRetries: newCounter("jasmineward_retries_total", "Calls to the leader that were tried again."),
		HTTPRequests: newCounterVec("jasmineward_http_requests_total",
			"HTTP requests, by listener and status.", "listener", "status"),
		PackingRatio: newGauge("jasmineward_packing_ratio", "Part of the fleet's room that is taken."),
		TasksWaiting: newGauge("jasmineward_tasks_waiting", "Tasks that wait for a place."),
		ReleaseNote:  newGauge("jasmineward_note_in_force", "Number of the release note in force here."),
		Leading:      newGauge("jasmineward_leading", "1 while this instance leads."),
		ConfigFresh:  newGauge("jasmineward_configuration_fresh", "1 while the configuration is fresh."),
		HTTPRead: newCounter("jasmineward_http_read_bytes_total",
			"Bytes read by the HTTP listeners."),
		HTTPWritten: newCounter("jasmineward_http_written_bytes_total",
			"Bytes written by the HTTP listeners."),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.CommandsApplied, m.JobsAdmitted, m.JobsRefused, m.Decisions, m.JobOutcomes, m.DecisionDuration, m.StartDelay, m.Polls,
		m.LeaderRetries, m.HTTPRequests, m.PackingRatio, m.TasksWaiting, m.ReleaseNote, m.Leading, m.ConfigFresh,
		m.HTTPRead, m.HTTPWritten,
	)
	return m
}

// RegisterPeerTraffic registers counters for the bytes read from and written to
// other instances.
func (m *Metrics) RegisterPeerTraffic(read, written *atomic.Int64) {
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

// Register registers a collector.
func (m *Metrics) Register(c prometheus.Collector) {
	m.registry.MustRegister(c)
}

// Handler returns an HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return NewHandler(m.registry)
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
