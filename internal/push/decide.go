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
	// decisionPauseFactor is the ratio of the pause after a decision to its time.
	decisionPauseFactor = 8
	// maxProposalsInFlight bounds the decisions that are being committed.
	maxProposalsInFlight = 3
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
// commit of its placements.
func (l *leader) decide() {
	l.mu.Lock()
	busy := l.proposalsInFlight >= maxProposalsInFlight
	pending := maps.Clone(l.pendingPlacements)
	l.mu.Unlock()
	if busy {
		return
	}
	var decision plan.Decision
	now := time.Now()
	l.scheduler.ledger.View(now, func(v *graph.View) {
		decision = plan.Decide(plan.Input{
			View:            v,
			Now:             now,
			Advice:          l.advice.lookup,
			ApprovalRate:    l.advice.approvalRate,
			FreeAdviceCalls: l.advice.freeCalls(now, l.decisionPause),
			ExpectedEnd:     l.expectedEnd,
			Holds:           l.holds,
			Usable:          func(id graph.TargetID) bool { return l.usable(id, now) },
			Pending:         pending,
			Delayed:         func(task graph.TaskRef) bool { return l.restarts.isDelayed(task, now) },
			Speed:           l.rater.Speed,
			Cold:            func(id graph.TargetID) bool { return l.isCold(id, now) },
		})
	})
	observeSince(l.scheduler.metrics.decide, now)
	l.waitLog.update(now, decision.WaitReasons)
	l.waitLog.logHolds(now, l.holds, decision.Holds)
	l.holds = decision.Holds
	l.advice.request(decision.AdviceRequests, now, l.decisionPause)
	if len(decision.Groups) > 0 {
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
	placed := map[plan.StepKey][]string{}
	for i, group := range decision.Groups {
		if refusal := result.Groups[i]; refusal != "" {
			l.log.WithFields(logrus.Fields{
				"job":     group[0].Task.Job,
				"refusal": refusal,
			}).Warn("sched: placement refused")
			continue
		}
		for _, placement := range group {
			step := plan.StepKeyOf(placement.Task)
			placed[step] = append(placed[step], placement.Task.RunName(placement.Run)+"@"+placement.Target.ID)
			l.sendStart(placement, decision.Tickets[placement.Task])
		}
	}
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
	l.mu.Lock()
	admittedAt, found := l.admittedAt[id]
	delete(l.admittedAt, id)
	l.mu.Unlock()
	if found {
		observeSince(l.scheduler.metrics.firstPlacement, admittedAt)
	}
}

// sendStart has the target's driver send the start.
func (l *leader) sendStart(placement graph.Placement, ticket string) {
	if d := l.driver(placement.Target); d != nil {
		d.start(placement.Task, placement.Run, ticket)
	}
}
