package node

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

const (
	// decideInterval is the maximum time between two scheduling rounds.
	decideInterval = 20 * time.Millisecond
	// maxDecisions limits the decisions of one round.
	maxDecisions = 512
	// maxPendingRounds limits the rounds that are not committed yet.
	maxPendingRounds = 8
)

// runScheduler turns decisions into commands. Rounds may overlap, because the
// engine treats its decisions as carried out until told otherwise.
func (l *leader) runScheduler() {
	var rounds errgroup.Group
	rounds.SetLimit(maxPendingRounds)
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			_ = rounds.Wait()
			return
		case <-ticker.C:
		case <-l.schedulerWake:
		}
		start := time.Now()
		decisions := l.engine.Decide(start, maxDecisions)
		if len(decisions) == 0 {
			continue
		}
		l.node.metrics.DecisionDuration.Observe(time.Since(start).Seconds() / float64(len(decisions)))
		rounds.Go(func() error {
			l.proposeDecisions(decisions)
			return nil
		})
		if len(decisions) == maxDecisions {
			l.wakeScheduler()
		}
	}
}

// proposeDecisions proposes commands for the decisions, and reports refused
// placements back to the engine.
func (l *leader) proposeDecisions(decisions []sched.Decision) {
	var toPlace []sched.Decision
	end := &ledger.End{}
	stop := &ledger.Stop{Reason: ledger.ReasonPreempted}
	for _, d := range decisions {
		l.node.metrics.Decisions.WithLabelValues(decisionTypeName(d.Type), d.Policy).Inc()
		switch d.Type {
		case sched.DecisionPlace:
			toPlace = append(toPlace, d)
		case sched.DecisionRefuse:
			end.Items = append(end.Items, ledger.EndItem{
				Job:    ledger.JobID(d.Job),
				Reason: ledger.ReasonNeverFits,
				Detail: d.Reason,
			})
			l.node.log.Infof("sched: refused job=%d team=%s reason=%q wait=%s",
				d.Job, d.Team, d.Reason, d.Wait)
		case sched.DecisionPreempt:
			stop.Attempts = append(stop.Attempts, l.preemptedAttempts(d)...)
		}
	}
	if len(end.Items) > 0 {
		l.proposeOrLog(ledger.Command{End: end})
	}
	if len(stop.Attempts) > 0 {
		l.proposeOrLog(ledger.Command{Stop: stop})
	}
	if len(toPlace) > 0 {
		l.proposePlacements(toPlace)
	}
}

func (l *leader) preemptedAttempts(d sched.Decision) []ledger.Attempt {
	var attempts []ledger.Attempt
	for _, v := range d.Victims {
		l.node.log.Infof("sched: preempted job=%d task=%d worker=%s for=%d wait=%s",
			v.Job, v.Task, v.Worker, d.Job, d.Wait)
		attempts = append(attempts, ledger.Attempt{
			Job:    ledger.JobID(v.Job),
			Task:   v.Task,
			Number: v.Attempt,
		})
	}
	return attempts
}

func (l *leader) proposeOrLog(c ledger.Command) {
	if _, fault := l.propose(l.ctx, c); fault != nil {
		l.node.log.Warnf("sched: command not committed: %s", fault)
	}
}

func (l *leader) proposePlacements(decisions []sched.Decision) {
	command := &ledger.Place{Groups: make([]ledger.JobPlacements, 0, len(decisions))}
	for _, d := range decisions {
		command.Groups = append(command.Groups, l.placementGroup(d))
	}
	value, fault := l.propose(l.ctx, ledger.Command{Place: command})
	if fault != nil {
		l.placementsFailed(decisions, fault)
		return
	}
	result, ok := value.(ledger.PlaceResult)
	if !ok {
		return
	}
	for i, d := range decisions {
		l.placementCommitted(d, result.Groups[i])
	}
}

func (l *leader) placementGroup(d sched.Decision) ledger.JobPlacements {
	group := ledger.JobPlacements{
		Job:        ledger.JobID(d.Job),
		Placements: make([]ledger.Placement, 0, len(d.Placements)),
	}
	for _, placement := range d.Placements {
		session := ""
		if target, ok := l.node.ledger.Target(placement.Worker); ok {
			session = target.Session
		}
		group.Placements = append(group.Placements, ledger.Placement{
			Task:    placement.Task,
			Attempt: placement.Attempt,
			Target:  placement.Worker,
			Session: session,
		})
	}
	return group
}

// reconcileDelay is how long after an uncertain proposal its placements are
// looked up in the ledger.
const reconcileDelay = 2 * proposeTimeout

// placementsFailed rolls the decisions back in the engine if they are known not to
// have been committed. If the outcome is uncertain, leadership has most likely been
// lost and the engine will be rebuilt from the ledger; in case it has not, the
// decisions are compared with the ledger later.
func (l *leader) placementsFailed(decisions []sched.Decision, fault *wire.Fault) {
	l.node.log.Warnf("sched: placements not committed: %s", fault)
	if fault.Code == wire.CodeUncertain {
		l.goroutines.Go(func() { l.reconcilePlacements(decisions) })
		return
	}
	now := time.Now()
	for _, d := range decisions {
		l.engine.RevertPlacements(d.Job, d.Placements, now)
	}
}

// reconcilePlacements rolls back the placements that are missing from the ledger.
// If one is committed even later, jobChanged reports it to the engine.
func (l *leader) reconcilePlacements(decisions []sched.Decision) {
	if !group.SleepContext(l.ctx, reconcileDelay) {
		return
	}
	for _, d := range decisions {
		job, ok := l.node.ledger.Job(ledger.JobID(d.Job))
		if !ok || job.IsFinished() {
			continue
		}
		var missing []sched.Placement
		for _, placement := range d.Placements {
			if job.Tasks[placement.Task].Attempt < placement.Attempt {
				missing = append(missing, placement)
			}
		}
		l.engine.RevertPlacements(d.Job, missing, time.Now())
	}
	l.wakeScheduler()
}

func (l *leader) placementCommitted(d sched.Decision, refusals []ledger.Refusal) {
	var refused []sched.Placement
	for i, placement := range d.Placements {
		if refusals[i] == "" {
			l.node.log.Infof("sched: placed job=%d task=%d worker=%s policy=%s team=%s wait=%s",
				d.Job, placement.Task, placement.Worker, d.Policy, d.Team, d.Wait)
			continue
		}
		l.node.log.Infof("sched: not placed job=%d task=%d worker=%s refusal=%s",
			d.Job, placement.Task, placement.Worker, refusals[i])
		refused = append(refused, placement)
	}
	if len(refused) > 0 {
		l.engine.RevertPlacements(d.Job, refused, time.Now())
		l.wakeScheduler()
	}
}

func decisionTypeName(v sched.DecisionType) string {
	switch v {
	case sched.DecisionPlace:
		return "place"
	case sched.DecisionPreempt:
		return "preempt"
	case sched.DecisionRefuse:
		return "refuse"
	}
	return "none"
}
