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
	// rule is why the step was put behind others, or empty, and behindSince since when.
	rule        plan.WaitReason
	behindSince time.Time
	ruleLogged  bool
}

// waitLog logs steps that wait longer than waitLogDelay, once per reason. It is not
// safe for concurrent use; only the decision loop uses it.
type waitLog struct {
	log *logrus.Entry
	// gauge counts the steps of the last decision by reason.
	gauge *prometheus.GaugeVec
	// counter counts by rule how often a step was put behind others.
	counter *prometheus.CounterVec
	steps   map[plan.StepKey]*stepWait
	// keptSince has since when room is kept in services, as far as it is logged.
	keptSince map[string]time.Time
}

func newWaitLog(log *logrus.Entry, m *metrics) *waitLog {
	return &waitLog{
		log:     log,
		gauge:   m.waiting,
		counter: m.putBehind,
		steps:   map[plan.StepKey]*stepWait{},

		keptSince: map[string]time.Time{},
	}
}

// update processes the waiting steps of one decision.
func (w *waitLog) update(now time.Time, d plan.Decision) {
	w.count(d.WaitReasons)
	for step := range w.steps {
		if _, still := d.WaitReasons[step]; !still {
			delete(w.steps, step)
		}
	}
	for step, reason := range d.WaitReasons {
		known := w.steps[step]
		if known == nil {
			known = &stepWait{}
			w.steps[step] = known
		}
		w.updateReason(now, step, known, reason)
		w.updateRule(now, step, known, d.PutBehind[step])
	}
}

// updateReason logs the reason for which the step waits once it has stayed the same for long
// enough.
func (w *waitLog) updateReason(now time.Time, step plan.StepKey, known *stepWait, reason plan.WaitReason) {
	if known.reason != reason {
		known.reason = reason
		known.since = now
		known.logged = false
		return
	}
	if known.logged || now.Sub(known.since) < waitLogDelay {
		return
	}
	known.logged = true
	w.log.WithFields(logrus.Fields{
		"job":        step.Job,
		"occurrence": step.Occurrence,
		"step":       step.Step,
		"reason":     reason,
	}).Info("sched: waits")
}

// updateRule counts the steps that were put behind others, and logs the rule, for whom and
// since when once it has applied for long enough.
func (w *waitLog) updateRule(now time.Time, step plan.StepKey, known *stepWait, behind plan.PutBehind) {
	if known.rule != behind.Reason {
		known.rule = behind.Reason
		known.behindSince = now
		known.ruleLogged = false
		if behind.Reason != "" {
			w.counter.WithLabelValues(string(behind.Reason)).Inc()
		}
		return
	}
	if behind.Reason == "" || known.ruleLogged || now.Sub(known.behindSince) < waitLogDelay {
		return
	}
	known.ruleLogged = true
	w.log.WithFields(logrus.Fields{
		"job":        step.Job,
		"occurrence": step.Occurrence,
		"step":       step.Step,
		"rule":       behind.Reason,
		"account":    behind.Account,
		"for":        behind.Job,
		"since":      now.Sub(known.behindSince).Milliseconds(),
		"reason":     known.reason,
	}).Info("sched: put behind")
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

// logKeptRoom logs from when to when work of lower priority leaves the room in a service to
// urgent work that waits for it, if this takes longer than waitLogDelay.
func (w *waitLog) logKeptRoom(now time.Time, urgent plan.UrgentState) {
	for service, since := range urgent.Since {
		if _, logged := w.keptSince[service]; logged || now.Sub(since) < waitLogDelay {
			continue
		}
		w.keptSince[service] = since
		w.log.WithFields(logrus.Fields{
			"service": service,
			"since":   now.Sub(since).Milliseconds(),
			"steps":   len(urgent.Short),
		}).Info("sched: keeps room for urgent work")
	}
	for service, since := range w.keptSince {
		if _, still := urgent.Since[service]; still {
			continue
		}
		delete(w.keptSince, service)
		w.log.WithFields(logrus.Fields{
			"service": service,
			"since":   now.Sub(since).Milliseconds(),
		}).Info("sched: keeps no more room for urgent work")
	}
}

// sameTargets reports whether both hold room on the same targets.
func sameTargets(a, b *plan.Hold) bool {
	return a != nil && slices.EqualFunc(a.Targets, b.Targets, func(x, y plan.HeldTarget) bool { return x.ID == y.ID })
}
