package push

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

// startTravelTime is the remaining validity that a ticket needs when its start is sent. An
// order crosses two links at most, the relay's and the target's.
const startTravelTime = 50 * time.Millisecond

// Reasons for which a start is not sent.
const (
	// withheldCommit means that the ticket expired while the placement was committed.
	withheldCommit = "commit"
	// withheldTarget means that the ticket expired while the start waited for its target.
	withheldTarget = "target"
	// withheldUncertain means that the commit's result was uncertain, and the placement
	// was found in the ledger later.
	withheldUncertain = "uncertain-commit"
	// withheldInherited means that an earlier leader placed the run, and no ticket of it
	// is known.
	withheldInherited = "earlier-leader"
)

// hasExpired reports whether a ticket of the placements expires before their starts can
// arrive.
func hasExpired(group []graph.Placement, tickets map[graph.TaskRef]plan.Ticket, now time.Time) bool {
	for _, placement := range group {
		if !tickets[placement.Task].IsValidAt(now.Add(startTravelTime)) {
			return true
		}
	}
	return false
}

// withholdStarts commits the runs of placements whose tickets have expired as never
// started, all at once, and has their advice requested again.
func (l *leader) withholdStarts(placements []graph.Placement, tickets map[graph.TaskRef]plan.Ticket, now time.Time) {
	var ends []graph.RunEnd
	tasks := map[plan.StepKey][]string{}
	for _, placement := range placements {
		d, key := l.driver(placement.Target), keyOf(placement.Task, placement.Run)
		if d == nil || !d.withhold(key) {
			continue
		}
		step := plan.StepKeyOf(key.task)
		tasks[step] = append(tasks[step], fmt.Sprintf("%s@%s%+dms", key.task.RunName(key.run), placement.Target.ID,
			now.Sub(tickets[key.task].ExpiresAt).Milliseconds()))
		l.scheduler.metrics.withheld.WithLabelValues(withheldCommit).Inc()
		ends = append(ends, d.endOf(key, graph.OutcomeNeverStarted))
	}
	if len(ends) == 0 {
		return
	}
	for step, names := range tasks {
		l.log.WithFields(logrus.Fields{
			"job":    step.Job,
			"tasks":  strings.Join(names, " "),
			"reason": withheldCommit,
		}).Warn("sched: starts withheld")
	}
	l.commitNeverStarted(ends)
}

// commitNeverStarted commits the ends of withheld runs. If that fails, the drivers of their
// targets do it after the next listing.
func (l *leader) commitNeverStarted(ends []graph.RunEnd) {
	result, fault := l.proposeEnds(l.ctx, ends)
	if fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: withheld starts not committed")
	}
	for _, end := range ends {
		d := l.driver(end.Target)
		switch {
		case d == nil:
		case fault != nil:
			d.wakeUp()
		default:
			d.recordEnd(end)
			d.forgetRun(keyOf(end.Task, end.Run))
		}
	}
	if fault != nil {
		return
	}
	l.logFinished(result.Finished)
	l.wakeDecisionLoop()
}

// withhold marks a run of which no start was sent as one that never starts, and has the
// advice of its step requested again. It returns false if a start is being sent already.
func (d *driver) withhold(key runKey) bool {
	if !d.claimStart(key) {
		return false
	}
	d.setRunState(key, runAbsent)
	d.leader.advice.renew(plan.StepKeyOf(key.task))
	return true
}

// logWithheld logs and counts a start that is not sent because its ticket expired the given
// time ago, or zero if it has none.
func (d *driver) logWithheld(key runKey, reason string, expired time.Duration) {
	d.leader.scheduler.metrics.withheld.WithLabelValues(reason).Inc()
	d.log.WithFields(logrus.Fields{
		"job":     key.task.Job,
		"task":    key.task.RunName(key.run),
		"reason":  reason,
		"expired": expired.Milliseconds(),
	}).Info("target: start withheld")
}

// withholdsExpired reports whether the start of the run is not sent because its ticket
// would expire before it arrives.
func (d *driver) withholdsExpired(key runKey, ticket plan.Ticket) bool {
	now := time.Now()
	if ticket.IsValidAt(now.Add(startTravelTime)) {
		return false
	}
	d.leader.advice.renew(plan.StepKeyOf(key.task))
	d.logWithheld(key, withheldTarget, now.Sub(ticket.ExpiresAt))
	return true
}

// startUnsent sends the start of a run that is in the ledger and not on its target, and of
// which this leader has sent none. If the run needs a ticket and has no valid one, no start is
// sent, as the target would refuse it. startUnsent returns true if the run is then certain never
// to start. An inherited run is not, as an earlier leader may have sent its start; it is stopped.
func (d *driver) startUnsent(assignment graph.Assignment, key runKey, state runState) bool {
	var ticket plan.Ticket
	if assignment.NeedsAdvice {
		ticket = d.leader.advice.ticket(plan.StepKeyOf(key.task), d.target.ID.ID)
		if ticket == (plan.Ticket{}) || !ticket.IsValidAt(time.Now().Add(startTravelTime)) {
			return d.withholdUnticketed(key, state)
		}
	}
	d.start(key.task, key.run, ticket)
	return false
}

// withholdUnticketed sends no start of a run that lacks a ticket. It returns true if the run is
// certain never to start. While instances may still return the ticket of an inherited run, the
// run is left to the next listing.
func (d *driver) withholdUnticketed(key runKey, state runState) bool {
	if state == runPlaced {
		if !d.withhold(key) {
			return false
		}
		d.logWithheld(key, withheldUncertain, 0)
		return true
	}
	if !d.leader.advice.recalled.Load() {
		return false
	}
	d.mu.Lock()
	first := d.runInfo(key).stopSentAt.IsZero()
	d.mu.Unlock()
	if first {
		d.leader.advice.renew(plan.StepKeyOf(key.task))
		d.logWithheld(key, withheldInherited, 0)
	}
	d.stop(key)
	return false
}
