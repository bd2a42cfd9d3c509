package push

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// milliCores are those of a core.
const milliCores = 1000

// metrics are those of one instance. Labels have few values: no names of
// jobs, tenants or targets.
type metrics struct {
	registry *prometheus.Registry
	leading  prometheus.Gauge
	admitted *prometheus.CounterVec
	orders   *prometheus.CounterVec
	ways     *prometheus.CounterVec
	ends     *prometheus.CounterVec
	won      prometheus.Counter
	waiting  *prometheus.GaugeVec
	commit   prometheus.Histogram
	sync     prometheus.Histogram
	advice   prometheus.Histogram
	begun    prometheus.Histogram
	decide   prometheus.Histogram
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(1e-3, 2, 14),
	})
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, []string{label})
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "jasmineward_leading",
			Help: "1 while this instance leads.",
		}),
		admitted: counters("jasmineward_submits_total",
			"Submits decided by this leader, by refusal; empty is admitted.", "refusal"),
		orders: counters("jasmineward_orders_total",
			"Starts sent by this leader, by what came of them.", "outcome"),
		ways: counters("jasmineward_calls_to_targets_total",
			"Calls to targets by this leader, by the way they took.", "way"),
		ends: counters("jasmineward_runs_ended_total", "Runs ended, by how.", "how"),
		won: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jasmineward_elections_won_total",
			Help: "How often this instance came to lead.",
		}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jasmineward_steps_waiting",
			Help: "Steps that this leader could not place at its last decision, by reason.",
		}, []string{"reason"}),
		sync:   histogram("jasmineward_log_sync_seconds", "Time of a write to the log, with its sync."),
		commit: histogram("jasmineward_commit_seconds", "Time from a proposal to its result."),
		advice: histogram("jasmineward_advice_seconds", "Time of a call for advice, with its wait."),
		begun:  histogram("jasmineward_first_start_seconds", "Time from admission to a job's first placement."),
		decide: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "jasmineward_plan_seconds",
			Help:    "Time of one decision.",
			Buckets: prometheus.ExponentialBuckets(1e-5, 2, 14),
		}),
	}
	m.registry.MustRegister(m.leading, m.admitted, m.orders, m.ways, m.ends, m.won, m.waiting, m.commit, m.sync, m.advice, m.begun, m.decide,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// ageOf returns how many seconds ago it was at the time, or zero for none.
func ageOf(at graph.Millis, now time.Time) float64 {
	if at == 0 {
		return 0
	}
	return max(0, time.Duration(now.UnixMilli()-int64(at))*time.Millisecond).Seconds()
}

// watch adds a gauge that is read when metrics are fetched.
func (m *metrics) watch(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, value))
}

// Watch adds a gauge that is read when metrics are fetched.
func (p *Part) Watch(name, help string, value func() float64) {
	p.metrics.watch(name, help, value)
}

// since notes the time since the start, in seconds.
func since(h prometheus.Histogram, start time.Time) {
	h.Observe(time.Since(start).Seconds())
}

// Metrics serves the instance's metrics as text.
func (p *Part) Metrics() http.Handler {
	return promhttp.HandlerFor(p.metrics.registry, promhttp.HandlerOpts{})
}

// gauges adds what is read from the ledger when metrics are fetched.
func (m *metrics) gauges(ledger *graph.Ledger) {
	gauge := func(name, help string, value func(graph.Counts) float64) {
		m.watch(name, help, func() float64 { return value(ledger.Counts()) })
	}
	gauge("jasmineward_jobs_live", "Jobs admitted and not over.",
		func(c graph.Counts) float64 { return float64(c.Live) })
	gauge("jasmineward_jobs_pending", "Jobs of which no task has been placed.",
		func(c graph.Counts) float64 { return float64(c.Pending) })
	gauge("jasmineward_tasks_waiting", "Tasks that wait for their turn or for room.",
		func(c graph.Counts) float64 { return float64(c.Waiting) })
	gauge("jasmineward_targets", "Targets known.",
		func(c graph.Counts) float64 { return float64(c.Targets) })
	gauge("jasmineward_pending_age_seconds", "Age of the oldest job of which no task has been placed.",
		func(c graph.Counts) float64 { return ageOf(c.Oldest, time.Now()) })
	gauge("jasmineward_cores_used", "Cores that runs take.",
		func(c graph.Counts) float64 { return float64(c.Used.CPU) / milliCores })
	gauge("jasmineward_cores", "Cores of all targets.",
		func(c graph.Counts) float64 { return float64(c.Capacity.CPU) / milliCores })
	gauge("jasmineward_configuration_version", "Version of the configuration in force here.",
		func(c graph.Counts) float64 { return float64(c.Version) })
}
