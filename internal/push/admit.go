package push

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/admit"
	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// neverFitsRetry is the retry delay returned for a job that fits no target;
// targets of another size may have been added by then.
const neverFitsRetry = 10 * time.Second

// submit admits a job. Submitting an admitted job again has no further
// effect. A job that would be served too late is refused.
func (l *leader) submit(ctx context.Context, s *graph.Submit) (Answer, *wire.Fault) {
	known, refusal := l.scheduler.ledger.CheckSubmit(s)
	if refusal != "" || known {
		l.recordAdmission(s, refusal, known)
		answer := Answer{Refusal: refusal}
		if refusal == graph.RefusedNeverFits {
			answer.RetryAfter = neverFitsRetry
		}
		return answer, nil
	}
	terms, refusal := l.scheduler.ledger.TermsOf(s)
	if refusal != "" {
		l.recordAdmission(s, refusal, false)
		return Answer{Refusal: refusal}, nil
	}
	footprint := s.Spec.Footprint()
	if !l.room.canHold(footprint) {
		l.recordAdmission(s, graph.RefusedTooLarge, false)
		return Answer{Refusal: graph.RefusedTooLarge}, nil
	}
	release, hasRoom := l.room.reserve(terms.ClientAccount, footprint)
	defer release()
	job, overload, refused := l.admissions.decide(s, terms, hasRoom, time.Now())
	if refused {
		l.recordOverload(s, terms, overload)
		return Answer{
			Refusal:    graph.RefusedQueueFull,
			RetryAfter: overload.RetryAfter,
		}, nil
	}
	defer l.admissions.propose(s.ID)()
	result, fault := l.propose(ctx, graph.Command{Submit: s})
	if fault != nil {
		l.log.WithField("job", s.ID).WithField("fault", fault.Error()).Warn("admit: submission not committed")
		return Answer{}, fault
	}
	if result.Refusal == "" {
		l.admissions.admitted(s.ID, job, time.Now())
	}
	l.recordAdmission(s, result.Refusal, false)
	l.wakeDecisionLoop()
	return Answer{Refusal: result.Refusal}, nil
}

// refuse makes sure that no attempt to submit the job, which is still on its way, is
// admitted. It returns an answer without a refusal if the job is known, or may be.
func (l *leader) refuse(q *JobQuery) Answer {
	_, refusal := l.scheduler.ledger.StateOf(q.Address, q.ID)
	if refusal != graph.RefusedNoJob || !l.admissions.refuse(q.ID, time.Now()) {
		return Answer{}
	}
	// An attempt may have been committed between the two.
	if _, refusal = l.scheduler.ledger.StateOf(q.Address, q.ID); refusal != graph.RefusedNoJob {
		return Answer{}
	}
	return Answer{
		Refusal:    refusal,
		RetryAfter: admit.MinRetryAfter,
	}
}

// recordOverload logs and counts a submission that is refused because of a backlog.
func (l *leader) recordOverload(s *graph.Submit, terms graph.Terms, refusal admit.Refusal) {
	l.scheduler.metrics.submits.WithLabelValues(string(graph.RefusedQueueFull)).Inc()
	l.scheduler.metrics.overload.WithLabelValues(string(refusal.Rule)).Inc()
	l.log.WithFields(logrus.Fields{
		"job":     s.ID,
		"queue":   terms.Queue,
		"tenant":  terms.ClientAccount,
		"refusal": graph.RefusedQueueFull,
		"rule":    refusal.Rule,
		"wait":    refusal.Wait.Milliseconds(),
		"retry":   refusal.RetryAfter.Milliseconds(),
	}).Info("admit: refused")
}

// recordAdmission logs and counts the result of a submission.
func (l *leader) recordAdmission(s *graph.Submit, refusal graph.Refusal, again bool) {
	entry := l.log.WithFields(logrus.Fields{
		"job":   s.ID,
		"queue": s.Address.Host + s.Address.Path,
	})
	l.scheduler.metrics.submits.WithLabelValues(string(refusal)).Inc()
	if refusal != "" {
		entry.WithField("refusal", refusal).Info("admit: refused")
		return
	}
	if !again {
		entry = entry.WithField("steps", describeSteps(s.Spec.Steps))
	}
	entry.WithField("again", again).Info("admit: admitted")
}

// describeSteps returns the size of each step for log messages: the number of
// tasks, the request of each, and whether they form a gang.
func describeSteps(steps []graph.Step) string {
	var b strings.Builder
	for i := range steps {
		step := &steps[i]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%d x %dm %dMiB", step.Count, step.Resources.CPU, step.Resources.Memory)
		if step.Resources.Accelerators > 0 {
			fmt.Fprintf(&b, " %d accelerators", step.Resources.Accelerators)
		}
		if step.Gang {
			b.WriteString(" gang")
		}
	}
	return b.String()
}

// cancelJob cancels a job if the caller may do so.
func (l *leader) cancelJob(ctx context.Context, q *JobQuery) (Answer, *wire.Fault) {
	refusal := l.scheduler.ledger.CheckCancel(q.Address, q.ID)
	l.scheduler.metrics.cancels.WithLabelValues(string(refusal)).Inc()
	if refusal != "" {
		l.log.WithFields(logrus.Fields{
			"job":     q.ID,
			"queue":   q.Address.Host + q.Address.Path,
			"key":     q.Address.Key != "",
			"refusal": refusal,
		}).Info("admit: cancel refused")
		return Answer{Refusal: refusal}, nil
	}
	result, fault := l.propose(ctx, graph.Command{Cancel: &graph.Cancel{ID: q.ID}})
	if fault != nil {
		return Answer{}, fault
	}
	l.log.WithFields(logrus.Fields{
		"job":     q.ID,
		"refusal": result.Refusal,
	}).Info("admit: cancelled")
	l.stopUndesired()
	l.wakeDecisionLoop()
	return Answer{Refusal: result.Refusal}, nil
}

func (l *leader) configure(ctx context.Context, c *graph.Config) *wire.Fault {
	if faults := c.Check(); len(faults) > 0 {
		l.log.WithFields(logrus.Fields{
			"version": c.Version,
			"faults":  faults,
		}).Warn("config: refused")
		fault := wire.NewFault(wire.CodeInvalidNote, "configuration is invalid")
		fault.NoteErrors = faults
		return fault
	}
	// The queues that a configuration removes are found in the one before it, so one is
	// committed after the other.
	if !l.configuring.acquire(ctx) {
		return wire.NewFault(wire.CodeUnavailable, "another configuration is being committed")
	}
	defer l.configuring.release()
	if current := l.scheduler.ledger.Config(); current != nil && current.Version >= c.Version {
		l.log.WithFields(logrus.Fields{
			"version":  c.Version,
			"in-force": current.Version,
		}).Info("config: no newer than the one in force")
		return nil
	}
	c, retired := l.scheduler.ledger.WithRetiredQueues(c)
	if _, fault := l.propose(ctx, graph.Command{Config: c}); fault != nil {
		return fault
	}
	l.log.WithFields(logrus.Fields{
		"version": c.Version,
		"retired": retired,
	}).Info("config: in force")
	l.wakeDecisionLoop()
	return nil
}
