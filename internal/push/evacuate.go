package push

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const (
	// maxEvacuationMoves bounds the tasks that are stopped in evacuated failure domains and
	// not placed elsewhere yet, so that all but a few are at work at any time.
	maxEvacuationMoves = 4
	// evacuationMoveInterval is the time between two choices of such tasks.
	evacuationMoveInterval = 250 * time.Millisecond
)

// Operators repeat a request to evacuate a failure domain, through other instances, and a
// request that was given up may arrive late: after the one that withdraws it. A request
// therefore names how many changes its sender knows of, and the leader carries out none that
// names fewer than there were. The sender asks again as long as its caller waits.

// EvacuateArgs are the arguments of Evacuate.
type EvacuateArgs struct {
	Domain    string
	Withdrawn bool
	// Changes is the number of changes that the sender knows of.
	Changes uint64
}

// EvacuateReply is the reply to Evacuate.
type EvacuateReply struct {
	// Outdated is true if the sender did not know of all changes, so that nothing was done.
	Outdated bool
	// Changes is the number of changes so far.
	Changes uint64
}

// Evacuate evacuates a failure domain, or withdraws that. It returns without a fault only
// after this is committed.
func (c *rpcService) Evacuate(args *EvacuateArgs, reply *wire.Reply[EvacuateReply]) error {
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (EvacuateReply, *wire.Fault) {
		return l.evacuate(ctx, args)
	})
}

// Evacuate has the leader evacuate a failure domain, or withdraw that. The fault has
// CodeNotFound if the domain is unknown.
func (s *Scheduler) Evacuate(ctx context.Context, domain string, withdrawn bool) *wire.Fault {
	_, changes := s.ledger.Evacuations()
	for {
		reply, fault := group.CallLeader(ctx, s.host, methodEvacuate, &EvacuateArgs{
			Domain:    domain,
			Withdrawn: withdrawn,
			Changes:   changes,
		}, (&rpcService{scheduler: s}).Evacuate)
		if fault != nil || !reply.Outdated {
			return fault
		}
		// The timer of the context may fire late after the process was paused, so the
		// deadline is compared too.
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Now().After(deadline) {
			return wire.NewFault(wire.CodeUnavailable, "evacuations have changed")
		}
		changes = reply.Changes
	}
}

// evacuate checks and commits an evacuation or its withdrawal. The checks are not part of the
// ledger's apply, as replicas of the previous release ignore the command.
func (l *leader) evacuate(ctx context.Context, args *EvacuateArgs) (EvacuateReply, *wire.Fault) {
	fields := logrus.Fields{
		"domain":    args.Domain,
		"withdrawn": args.Withdrawn,
	}
	if !l.knowsDomain(args.Domain) {
		l.log.WithFields(fields).WithField("refusal", "unknown-domain").Warn("evacuation: refused")
		return EvacuateReply{}, wire.NewFault(wire.CodeNotFound, fmt.Sprintf("failure domain %q is unknown", args.Domain))
	}
	// No other change is committed between the check of the number and the commit.
	if !l.evacuating.acquire(ctx) {
		return EvacuateReply{}, wire.NewFault(wire.CodeUnavailable, "another evacuation is being committed")
	}
	defer l.evacuating.release()
	_, changes := l.scheduler.ledger.Evacuations()
	again := l.scheduler.ledger.IsEvacuated(args.Domain) != args.Withdrawn
	if !again && args.Changes != changes {
		return EvacuateReply{
			Outdated: true,
			Changes:  changes,
		}, nil
	}
	if !again {
		if _, fault := l.propose(ctx, graph.Command{Evacuate: &graph.Evacuate{
			Domain:    args.Domain,
			Withdrawn: args.Withdrawn,
		}}); fault != nil {
			l.log.WithFields(fields).WithField("fault", fault.Error()).Warn("evacuation: not committed")
			return EvacuateReply{}, fault
		}
	}
	l.evacuationChanged(args, again)
	_, changes = l.scheduler.ledger.Evacuations()
	return EvacuateReply{Changes: changes}, nil
}

// knowsDomain reports whether the failure domain is one of the settings, or one of a known
// target if they name none. An evacuated domain is known in any case, so that it can be
// withdrawn.
func (l *leader) knowsDomain(domain string) bool {
	known := l.scheduler.domains
	if len(known) == 0 {
		known = l.scheduler.ledger.Domains()
	}
	return domain != "" && slices.Contains(known, domain) || l.scheduler.ledger.IsEvacuated(domain)
}

// evacuationChanged logs that the request is carried out, and has the runs in the domain
// compared with what they should be.
func (l *leader) evacuationChanged(args *EvacuateArgs, again bool) {
	entry := l.log.WithFields(logrus.Fields{
		"domain": args.Domain,
		"again":  again,
	})
	if args.Withdrawn {
		entry.Info("evacuation: withdrawn")
	} else {
		entry.WithField("targets", l.scheduler.ledger.TargetsIn(args.Domain)).Info("evacuation: in force")
	}
	for _, d := range l.allDrivers() {
		d.wakeUp()
	}
	l.wakeDecisionLoop()
}

// logEvacuations logs the evacuations that this leader has found in the ledger.
func (l *leader) logEvacuations() {
	all, _ := l.scheduler.ledger.Evacuations()
	for _, e := range all {
		l.log.WithFields(logrus.Fields{
			"domain":  e.Domain,
			"since":   time.UnixMilli(int64(e.Since)).UTC(),
			"targets": l.scheduler.ledger.TargetsIn(e.Domain),
			"again":   true,
		}).Info("evacuation: in force")
	}
}

// isEvacuated reports whether the failure domain of the target is evacuated. No start is sent
// to it then. A run whose start may have reached the target goes on if the target lists it.
func (d *driver) isEvacuated() bool {
	return d.leader.scheduler.ledger.IsTargetEvacuated(d.target.ID)
}

// mayStart reports whether a start of the run may be sent now. Sent says whether an earlier one
// may have reached the target: that one is repeated also if the target leaves meanwhile.
func (d *driver) mayStart(key runKey, desired, sent bool) bool {
	if !desired {
		return false
	}
	reason := ""
	switch {
	case d.isEvacuated():
		reason = "evacuated"
	case !sent && d.leaves():
		reason = "target leaves"
	}
	if reason == "" {
		return true
	}
	d.log.WithFields(logrus.Fields{
		"job":    key.task.Job,
		"task":   key.task.Name(),
		"run":    key.run,
		"domain": d.target.Domain,
		"reason": reason,
	}).Info("target: run is not started")
	return false
}

// moveEvacuated stops a few of the checkpointed tasks that run long in evacuated failure
// domains, if there is free room for them elsewhere. Waits has the reasons for which steps wait.
func (l *leader) moveEvacuated(now time.Time, waits map[plan.StepKey]plan.WaitReason) {
	evacuated, _ := l.scheduler.ledger.Evacuations()
	if len(evacuated) == 0 || now.Sub(l.movesCheckedAt) < evacuationMoveInterval {
		return
	}
	l.movesCheckedAt = now
	l.forgetMoved()
	l.mu.Lock()
	moving, pending := maps.Clone(l.moving), maps.Clone(l.pendingPlacements)
	l.mu.Unlock()
	var chosen []plan.Move
	l.scheduler.ledger.View(now, func(v *graph.View) {
		chosen = plan.Moves(plan.MoveInput{
			Input: plan.Input{
				View:    v,
				Now:     now,
				Advice:  l.advice.lookup,
				Usable:  func(id graph.TargetID) bool { return l.usable(id, now) },
				Pending: pending,
				Speed:   l.rater.Speed,
			},
			WaitReasons: waits,
			Remaining: func(id graph.TargetID, task graph.TaskRef, run uint32, estimate graph.Millis) (time.Duration, bool) {
				return l.remainingOf(now, id, keyOf(task, run), estimate)
			},
			LongerThan: l.scheduler.timing.EvacuateWithin,
			Moving:     moving,
			Limit:      maxEvacuationMoves,
		})
	})
	if len(chosen) == 0 {
		return
	}
	l.mu.Lock()
	for _, move := range chosen {
		l.moving[move.Task] = move.Run
	}
	l.mu.Unlock()
	l.goroutines.Go(func() { l.commitMoves(chosen) })
}

// forgetMoved forgets the moved tasks that are placed again or over.
func (l *leader) forgetMoved() {
	l.mu.Lock()
	moving := maps.Clone(l.moving)
	l.mu.Unlock()
	for ref, run := range moving {
		state, _, latest := l.scheduler.ledger.RunOf(ref)
		if l.scheduler.ledger.IsLive(ref.Job) && state != graph.TaskDone && latest == run {
			delete(moving, ref)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for ref := range moving {
		delete(l.moving, ref)
	}
}

// commitMoves commits that the runs are stopped, and stops them.
func (l *leader) commitMoves(chosen []plan.Move) {
	tasks := make([]graph.TaskRef, 0, len(chosen))
	for _, move := range chosen {
		tasks = append(tasks, move.Task)
	}
	if !l.commitEviction(tasks) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, ref := range tasks {
			delete(l.moving, ref)
		}
		return
	}
	l.scheduler.metrics.evacuationMoves.Add(float64(len(chosen)))
	for _, move := range chosen {
		l.log.WithFields(logrus.Fields{
			"job":       move.Task.Job,
			"task":      move.Task.Name(),
			"run":       move.Run,
			"target":    move.Target.ID,
			"remaining": move.Remaining.Milliseconds(),
		}).Info("evacuation: checkpointed task is moved")
	}
}

// remainingOf predicts how much longer a run takes that its target lists: from its progress, or
// else from the time that others of its step took, or from its estimate.
func (l *leader) remainingOf(now time.Time, id graph.TargetID, key runKey, estimate graph.Millis) (time.Duration, bool) {
	d := l.driver(id)
	if d == nil {
		return 0, false
	}
	expected := cmp.Or(l.rater.LongestRun(plan.StepKeyOf(key.task)), time.Duration(estimate)*time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runs[key]
	if info == nil || info.state != runStarted || info.listedAt.IsZero() {
		return 0, false
	}
	if at, known := info.progress.EstimatedCompletion(); known {
		return at.Sub(now), true
	}
	return expected - now.Sub(info.listedAt), expected > 0
}
