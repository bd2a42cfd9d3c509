package push

import (
	"maps"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// minDecisionPause is the shortest pause between two decisions.
	minDecisionPause = 4 * time.Millisecond
	// maxDecisionInterval is how often decisions are made when nothing
	// requests one sooner.
	maxDecisionInterval = 100 * time.Millisecond
	// holdInterval is the time after which held room is computed anew from the predicted
	// ends of runs, which change little in that time.
	holdInterval = 100 * time.Millisecond
	// decisionPauseFactor is the ratio of the pause after a decision to its time, so that
	// decisions take a fifth of the time at most.
	decisionPauseFactor = 4
)

// decisionLoop makes decisions periodically and when woken.
func (l *leader) decisionLoop() {
	ticker := time.NewTicker(maxDecisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		started := time.Now()
		if l.canSendOrders() {
			l.decide()
		}
		l.decisionPause = max(minDecisionPause, decisionPauseFactor*time.Since(started))
		if !group.SleepContext(l.ctx, l.decisionPause) {
			return
		}
	}
}

// decide makes one decision, requests the advice that it lacks, and starts the
// commit of its placements. While slow commits allow no further proposal, it only requests
// advice, so that the advisor's time is used.
func (l *leader) decide() {
	limits := l.placementLimits(time.Now())
	l.mu.Lock()
	busy := l.proposalsInFlight >= limits.proposals
	pending := maps.Clone(l.pendingPlacements)
	l.mu.Unlock()
	if busy && limits.proposals == maxProposalsInFlight {
		return
	}
	var decision plan.Decision
	now := time.Now()
	keepHolds := now.Sub(l.holdsComputedAt) < holdInterval
	if !keepHolds {
		l.holdsComputedAt = now
	}
	l.scheduler.ledger.View(now, func(v *graph.View) {
		decision = plan.Decide(plan.Input{
			View:            v,
			Now:             now,
			Advice:          l.advice.lookup,
			ApprovalRate:    l.advice.approvalRate,
			FreeAdviceCalls: l.advice.freeCalls(now, l.decisionPause),
			Renew:           l.advice.isRenewal,
			MaxPlacements:   limits.placements,
			ExpectedEnd:     l.expectedEnd,
			Holds:           l.holds,
			Unheld:          l.unheld,
			KeepHolds:       keepHolds,
			Usable:          func(id graph.TargetID) bool { return l.usable(id, now) },
			Pending:         pending,
			Delayed:         func(task graph.TaskRef) bool { return l.restarts.isDelayed(task, now) },
			Speed:           l.rater.Speed,
			DurationRatio:   l.durations.Of,
			OverRate:        l.admissions.isOverRate,
			IdleSince:       l.idleSince,
			Turn:            l.decisions,
			Cold:            func(id graph.TargetID) bool { return l.isCold(id, now) },
			Urgent:          &l.urgent,
			MayPreempt:      l.preemptions.mayPreempt,
		})
	})
	observeSince(l.scheduler.metrics.decide, now)
	l.waitLog.update(now, decision)
	l.admissions.recordWaits(decision.WaitReasons, now)
	l.waitLog.logHolds(now, l.holds, decision.Holds)
	l.holds, l.unheld = decision.Holds, decision.Unheld
	l.idleSince = decision.IdleSince
	l.waitLog.logKeptRoom(now, decision.Urgent)
	l.urgent = decision.Urgent
	l.startPreemptions(decision.Preemptions)
	l.decisions++
	l.advice.request(decision.AdviceRequests, now, l.decisionPause)
	if len(decision.Groups) > 0 && !busy {
		l.startCommit(decision)
	}
	l.moveEvacuated(now, decision.WaitReasons)
}

// startCommit starts the commit of a decision's placements.
func (l *leader) startCommit(decision plan.Decision) {
	l.mu.Lock()
	l.proposalsInFlight++
	for _, group := range decision.Groups {
		for _, placement := range group {
			l.pendingPlacements[placement.Task] = placement.Target
		}
	}
	l.mu.Unlock()
	l.goroutines.Go(func() { l.commitDecision(decision) })
}

// placementLimits returns the bounds on the placements that are proposed now, and logs when
// slow commits lower them and when they no longer do.
func (l *leader) placementLimits(now time.Time) flowLimits {
	valid := l.scheduler.ledger.ShortestAdvice()
	l.mu.Lock()
	limits, took := l.flow.limits(now, valid), l.flow.commitTime(now)
	l.mu.Unlock()
	if limited := limits.proposals < maxProposalsInFlight; limited != l.flowLimited {
		l.flowLimited = limited
		l.log.WithFields(logrus.Fields{
			"limited":    limited,
			"commit":     took.Milliseconds(),
			"valid":      valid.Milliseconds(),
			"proposals":  limits.proposals,
			"placements": limits.placements,
		}).Info("sched: proposals follow commit time")
	}
	l.scheduler.metrics.placementLimit.Set(float64(limits.placements))
	return limits
}

// commitDecision commits the placements of a decision and sends their starts.
func (l *leader) commitDecision(decision plan.Decision) {
	result, fault := l.propose(l.ctx, graph.Command{Place: &graph.Place{Groups: decision.Groups}})
	if fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: placements not committed")
	}
	l.mu.Lock()
	l.proposalsInFlight--
	for _, group := range decision.Groups {
		for _, placement := range group {
			delete(l.pendingPlacements, placement.Task)
		}
	}
	l.mu.Unlock()
	l.wakeDecisionLoop()
	if fault != nil {
		return
	}
	var withheld []graph.Placement
	placed := map[plan.StepKey][]string{}
	done := time.Now()
	for i, group := range decision.Groups {
		if refusal := result.Groups[i]; refusal != "" {
			l.log.WithFields(logrus.Fields{
				"job":     group[0].Task.Job,
				"refusal": refusal,
			}).Warn("sched: placement refused")
			continue
		}
		if hasExpired(group, decision.Tickets, done) {
			withheld = append(withheld, group...)
			continue
		}
		for _, placement := range group {
			step := plan.StepKeyOf(placement.Task)
			placed[step] = append(placed[step], placement.Task.RunName(placement.Run)+"@"+placement.Target.ID)
			l.sendStart(placement, decision.Tickets[placement.Task])
		}
	}
	l.withholdStarts(withheld, decision.Tickets, done)
	for step, placements := range placed {
		l.observeFirstPlacement(step.Job)
		l.advice.recordStart(step)
		l.log.WithFields(logrus.Fields{
			"job":   step.Job,
			"tasks": strings.Join(placements, " "),
		}).Info("sched: placed")
	}
}

// observeFirstPlacement records the time from a job's admission to its first
// placement, if this leader admitted it.
func (l *leader) observeFirstPlacement(id graph.JobID) {
	if admittedAt, known := l.admissions.placed(id, time.Now()); known {
		observeSince(l.scheduler.metrics.firstPlacement, admittedAt)
	}
}

// sendStart has the target's driver send the start.
func (l *leader) sendStart(placement graph.Placement, ticket plan.Ticket) {
	if d := l.driver(placement.Target); d != nil {
		d.start(placement.Task, placement.Run, ticket)
	}
}
