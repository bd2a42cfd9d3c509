package intake

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// logInterval is how often a refusal for one reason is logged at most. Overload can
// cause thousands of refusals a second.
const logInterval = time.Second

// Monitor logs and counts refusals. It is a prometheus.Collector.
type Monitor struct {
	log      *logrus.Logger
	bytes    *prometheus.Desc
	refusals *prometheus.CounterVec
	gates    []*Gate

	mu sync.Mutex
	// lines has what was logged last for each gate and reason.
	lines map[lineKey]*line
}

type lineKey struct {
	gate   *Gate
	reason Reason
}

type line struct {
	at time.Time
	// omitted counts the refusals since then.
	omitted int
}

var _ prometheus.Collector = (*Monitor)(nil)

// NewMonitor returns a monitor of the gates.
func NewMonitor(log *logrus.Logger, gates ...*Gate) *Monitor {
	return &Monitor{
		log: log,
		bytes: prometheus.NewDesc("jasmineward_intake_bytes",
			"Bytes reserved for the bodies of requests.", []string{"gate"}, nil),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jasmineward_intake_refused_total",
			Help: "Bodies of requests that were refused, by reason.",
		}, []string{"reason"}),
		gates: gates,
		lines: map[lineKey]*line{},
	}
}

// Describe implements prometheus.Collector.
func (m *Monitor) Describe(descs chan<- *prometheus.Desc) {
	descs <- m.bytes
	m.refusals.Describe(descs)
}

// Collect implements prometheus.Collector.
func (m *Monitor) Collect(values chan<- prometheus.Metric) {
	for _, g := range m.gates {
		values <- prometheus.MustNewConstMetric(m.bytes, prometheus.GaugeValue, float64(g.BytesInFlight()), g.name)
	}
	m.refusals.Collect(values)
}

// refused logs and counts a refusal.
func (m *Monitor) refused(g *Gate, address string, reason Reason, now time.Time) {
	m.refusals.WithLabelValues(string(reason)).Inc()
	omitted, due := m.due(lineKey{
		gate:   g,
		reason: reason,
	}, now)
	if !due {
		return
	}
	m.log.WithFields(logrus.Fields{
		"gate":    g.name,
		"address": address,
		"reason":  reason,
		"bytes":   g.BytesInFlight(),
		"omitted": omitted,
	}).Warn("intake: refused")
}

// due reports whether a line may be logged, and how many were omitted before it.
func (m *Monitor) due(key lineKey, now time.Time) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lines[key]
	if last == nil {
		m.lines[key] = &line{at: now}
		return 0, true
	}
	if now.Sub(last.at) < logInterval {
		last.omitted++
		return 0, false
	}
	omitted := last.omitted
	*last = line{at: now}
	return omitted, true
}
