package push

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/plan"
)

// waitLogDelay is how long a step must have waited for the same reason before this
// is logged.
const waitLogDelay = 150 * time.Millisecond

// stepWait is the reason why a step waits, and since when.
type stepWait struct {
	reason plan.WaitReason
	since  time.Time
	logged bool
}

// waitLog logs steps that wait longer than waitLogDelay, once per reason. It is not
// safe for concurrent use; only the decision loop uses it.
type waitLog struct {
	log *logrus.Entry
	// gauge counts the steps of the last decision by reason.
	gauge *prometheus.GaugeVec
	steps map[plan.StepKey]*stepWait
}

func newWaitLog(log *logrus.Entry, gauge *prometheus.GaugeVec) *waitLog {
	return &waitLog{
		log:   log,
		gauge: gauge,
		steps: map[plan.StepKey]*stepWait{},
	}
}

// update processes the reasons of one decision, by waiting step.
func (w *waitLog) update(now time.Time, reasons map[plan.StepKey]plan.WaitReason) {
	w.count(reasons)
	for step := range w.steps {
		if _, still := reasons[step]; !still {
			delete(w.steps, step)
		}
	}
	for step, reason := range reasons {
		known := w.steps[step]
		if known == nil || known.reason != reason {
			w.steps[step] = &stepWait{
				reason: reason,
				since:  now,
			}
			continue
		}
		if known.logged || now.Sub(known.since) < waitLogDelay {
			continue
		}
		known.logged = true
		w.log.WithFields(logrus.Fields{
			"job":        step.Job,
			"occurrence": step.Occurrence,
			"step":       step.Step,
			"reason":     reason,
		}).Info("sched: waits")
	}
}

// count sets the gauge to the number of steps that wait for each reason.
func (w *waitLog) count(reasons map[plan.StepKey]plan.WaitReason) {
	w.gauge.Reset()
	for _, reason := range reasons {
		w.gauge.WithLabelValues(string(reason)).Inc()
	}
}

// logHolds logs the steps for which room is held on other targets than before.
func (w *waitLog) logHolds(now time.Time, before, after map[plan.StepKey]*plan.Hold) {
	for step, hold := range after {
		if sameTargets(before[step], hold) {
			continue
		}
		targets := make([]string, 0, len(hold.Targets))
		for _, held := range hold.Targets {
			targets = append(targets, fmt.Sprintf("%s+%dms", held.ID, held.StartsAt.Sub(now).Milliseconds()))
		}
		w.log.WithFields(logrus.Fields{
			"job":        step.Job,
			"occurrence": step.Occurrence,
			"step":       step.Step,
			"targets":    strings.Join(targets, " "),
		}).Info("sched: holds room")
	}
}

// sameTargets reports whether both hold room on the same targets.
func sameTargets(a, b *plan.Hold) bool {
	return a != nil && slices.EqualFunc(a.Targets, b.Targets, func(x, y plan.HeldTarget) bool { return x.ID == y.ID })
}
