package push

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/meter"
)

// milliCoresPerCore converts CPU amounts to cores.
const milliCoresPerCore = 1000

// metrics are the metrics of one instance. Labels have few distinct values, so
// they do not include names of jobs, client accounts or targets.
type metrics struct {
	registry       *prometheus.Registry
	leading        prometheus.Gauge
	submits        *prometheus.CounterVec
	cancels        *prometheus.CounterVec
	orders         *prometheus.CounterVec
	routes         *prometheus.CounterVec
	runsEnded      *prometheus.CounterVec
	electionsWon   prometheus.Counter
	quarantines    prometheus.Counter
	crashes        prometheus.Counter
	jobsGivenUp    prometheus.Counter
	adoptedRuns    prometheus.Counter
	outlivingRuns  prometheus.Counter
	overdueOrders  prometheus.Counter
	lateEnds       prometheus.Counter
	verifications  *prometheus.CounterVec
	placementLimit prometheus.Gauge
	withheld       *prometheus.CounterVec
	waiting        *prometheus.GaugeVec
	commit         prometheus.Histogram
	logSync        prometheus.Histogram
	advice         prometheus.Histogram
	adviceWait     prometheus.Histogram
	adviceBacklog  prometheus.Gauge
	overload       *prometheus.CounterVec
	putBehind      *prometheus.CounterVec
	// evacuationMoves counts the tasks moved out of evacuated failure domains.
	evacuationMoves prometheus.Counter

	leadsLost *prometheus.CounterVec
	preempted prometheus.Counter
	// adviceAnswers counts the advisor's answers, and adviceAnswersUsed those on
	// which a start is based.
	adviceAnswers     prometheus.Counter
	adviceAnswersUsed prometheus.Counter
	// adviceRecalled counts the answers that instances kept for this leader.
	adviceRecalled prometheus.Counter

	firstPlacement prometheus.Histogram
	decide         prometheus.Histogram
}

// Results of the verification of a heartbeat, as values of the metric label.
const (
	verificationConfirmed  = "confirmed"
	verificationDisproved  = "disproved"
	verificationUnanswered = "unanswered"
)

// histogram returns a histogram with buckets from 1 ms to about 8 s.
func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(1e-3, 2, 14),
	})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, []string{label})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	})
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		leading:  gauge(metricLeading, "1 while this instance leads."),
		submits: counterVec("jasmineward_submits_total",
			"Submits decided by this leader, by refusal; empty is admitted.", "refusal"),
		overload: counterVec("jasmineward_overload_refusals_total",
			"Submits refused by this leader because of a backlog, by rule.", "rule"),
		cancels: counterVec("jasmineward_cancels_total",
			"Cancels decided by this leader, by refusal; empty is allowed.", "refusal"),
		orders: counterVec("jasmineward_orders_total",
			"Starts sent by this leader, by what came of them.", "outcome"),
		routes: counterVec("jasmineward_calls_to_targets_total",
			"Calls to targets by this leader, by the way they took.", "way"),
		runsEnded:    counterVec("jasmineward_runs_ended_total", "Runs ended, by how.", "how"),
		electionsWon: counter("jasmineward_elections_won_total", "How often this instance came to lead."),
		leadsLost: counterVec("jasmineward_leads_lost_total",
			"Leaderships of this instance that ended, by reason.", "reason"),
		quarantines: counter("jasmineward_quarantines_total", "How often this leader kept new work from a target on which a task stood still."),
		crashes:     counter("jasmineward_targets_crashed_total", "Targets that crashed under tasks, as seen by this leader."),
		jobsGivenUp: counter("jasmineward_jobs_given_up_total", "Jobs that this leader gave up because targets crash under a task."),
		adoptedRuns: counter("jasmineward_runs_adopted_total", "Runs that may have outlived a replaced lifetime of their target."),
		outlivingRuns: counter("jasmineward_runs_outliving_total",
			"Runs kept beyond the lease of a silent target, as a later lifetime may hold them."),
		overdueOrders: counter("jasmineward_orders_overdue_total",
			"Orders that reached this relay after the leader had given them up."),
		verifications: counterVec("jasmineward_heartbeats_verified_total",
			"Heartbeats of an unknown incarnation or address of which the process there was asked, by what it said.", "result"),
		lateEnds: counter("jasmineward_late_ends_total",
			"Ends done of runs whose tasks had been put back."),
		placementLimit: gauge("jasmineward_placement_limit", "Tasks that this leader's next decision may place, as commits take."),
		withheld: counterVec("jasmineward_starts_withheld_total",
			"Starts that were not sent because no valid ticket was left, by reason.", "reason"),
		evacuationMoves: counter("jasmineward_evacuation_moves_total",
			"Checkpointed tasks that this leader stopped in evacuated failure domains to run them elsewhere."),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jasmineward_steps_waiting",
			Help: "Steps that this leader could not place at its last decision, by reason.",
		}, []string{"reason"}),
		putBehind: counterVec("jasmineward_steps_put_behind_total",
			"Steps that this leader put behind others while resources or advice were short, by rule.", "rule"),
		preempted:         counter("jasmineward_preempted_total", "Runs that this leader stopped for urgent work."),
		logSync:           histogram("jasmineward_log_sync_seconds", "Time of a write to the log, with its sync."),
		commit:            histogram("jasmineward_commit_seconds", "Time from a proposal to its result."),
		advice:            histogram("jasmineward_advice_seconds", "Time of a call for advice, with its wait."),
		adviceWait:        histogram("jasmineward_advice_wait_seconds", "Time that a request for advice waited for its call."),
		adviceBacklog:     gauge("jasmineward_advice_backlog", "Requests for advice of the last decision, before calls were made."),
		adviceAnswers:     counter("jasmineward_advice_answers_total", "Answers of the advisor to this leader."),
		adviceAnswersUsed: counter("jasmineward_advice_answers_used_total", "Answers of the advisor that a task was started with."),
		adviceRecalled:    counter("jasmineward_advice_recalled_total", "Answers of the advisor that instances kept for this leader."),
		firstPlacement:    histogram("jasmineward_first_start_seconds", "Time from admission to a job's first placement."),
		decide: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "jasmineward_plan_seconds",
			Help:    "Time of one decision.",
			Buckets: prometheus.ExponentialBuckets(1e-5, 2, 14),
		}),
	}
	m.register()
	return m
}

// register registers the metrics that every instance has.
func (m *metrics) register() {
	m.registry.MustRegister(
		m.leading, m.leadsLost, m.electionsWon,
		m.submits, m.overload, m.cancels, m.firstPlacement,
		m.waiting, m.putBehind, m.preempted, m.decide, m.placementLimit, m.commit, m.logSync,
		m.advice, m.adviceWait, m.adviceBacklog, m.adviceAnswers, m.adviceAnswersUsed, m.adviceRecalled,
		m.orders, m.routes, m.overdueOrders, m.withheld, m.evacuationMoves,
		m.runsEnded, m.lateEnds, m.verifications, m.quarantines, m.crashes, m.jobsGivenUp, m.adoptedRuns, m.outlivingRuns,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// ageSeconds returns the seconds from at to now, or zero if at is unset.
func ageSeconds(at graph.Millis, now time.Time) float64 {
	if at == 0 {
		return 0
	}
	return max(0, time.Duration(now.UnixMilli()-int64(at))*time.Millisecond).Seconds()
}

// addGauge registers a gauge whose value is computed on each scrape.
func (m *metrics) addGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, value))
}

// addCounter registers a counter whose value is read on each scrape.
func (m *metrics) addCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, value))
}

// AddGauge registers a gauge whose value is computed on each scrape.
func (s *Scheduler) AddGauge(name, help string, value func() float64) {
	s.metrics.addGauge(name, help, value)
}

// AddCollector registers a collector.
func (s *Scheduler) AddCollector(c prometheus.Collector) {
	s.metrics.registry.MustRegister(c)
}

// observeSince records the seconds since start.
func observeSince(h prometheus.Histogram, start time.Time) {
	h.Observe(time.Since(start).Seconds())
}

// Metrics returns a handler that serves the instance's metrics.
func (s *Scheduler) Metrics() http.Handler {
	return meter.NewHandler(s.metrics.registry, meter.WithFirst(groupMetrics...))
}

// addLedgerGauges registers gauges whose values are read from the ledger.
func (m *metrics) addLedgerGauges(ledger *graph.Ledger) {
	gauge := func(name, help string, value func(graph.Counts) float64) {
		m.addGauge(name, help, func() float64 { return value(ledger.Counts()) })
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
		func(c graph.Counts) float64 { return ageSeconds(c.Oldest, time.Now()) })
	gauge("jasmineward_cores_used", "Cores that runs take.",
		func(c graph.Counts) float64 { return float64(c.Used.CPU) / milliCoresPerCore })
	gauge("jasmineward_cores", "Cores of all targets.",
		func(c graph.Counts) float64 { return float64(c.Capacity.CPU) / milliCoresPerCore })
	gauge("jasmineward_evacuated_domains", "Failure domains that are evacuated, as known here.",
		func(c graph.Counts) float64 { return float64(c.Evacuated) })
	gauge("jasmineward_configuration_version", "Version of the configuration in force here.",
		func(c graph.Counts) float64 { return float64(c.Version) })
}
