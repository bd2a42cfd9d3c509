package push

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/plan"
)

// waitWorthALine is how long tasks must have waited for the same reason to be
// told of.
const waitWorthALine = 150 * time.Millisecond

// wait is the reason for which a step waits, and since when.
type wait struct {
	reason plan.Reason
	since  time.Time
	told   bool
}

// waits writes a line when a step waits for some time, once a reason. It is
// used by the deciding goroutine alone.
type waits struct {
	log *logrus.Entry
	// gauge counts the steps of the last decision by reason.
	gauge *prometheus.GaugeVec
	steps map[plan.StepKey]*wait
}

func newWaits(log *logrus.Entry, gauge *prometheus.GaugeVec) *waits {
	return &waits{
		log:   log,
		gauge: gauge,
		steps: map[plan.StepKey]*wait{},
	}
}

// note takes the reasons of one decision.
func (w *waits) note(now time.Time, reasons map[plan.StepKey]plan.Reason) {
	w.count(reasons)
	for step := range w.steps {
		if _, still := reasons[step]; !still {
			delete(w.steps, step)
		}
	}
	for step, reason := range reasons {
		known := w.steps[step]
		if known == nil || known.reason != reason {
			w.steps[step] = &wait{
				reason: reason,
				since:  now,
			}
			continue
		}
		if known.told || now.Sub(known.since) < waitWorthALine {
			continue
		}
		known.told = true
		w.log.WithFields(logrus.Fields{
			"job":        step.Job,
			"occurrence": step.Occurrence,
			"step":       step.Step,
			"reason":     reason,
		}).Info("sched: waits")
	}
}

// count sets how many steps wait for each reason.
func (w *waits) count(reasons map[plan.StepKey]plan.Reason) {
	w.gauge.Reset()
	for _, reason := range reasons {
		w.gauge.WithLabelValues(string(reason)).Inc()
	}
}
