package push

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// commitListedEnds commits those of the listed ends that are not yet committed. What is
// committed is acknowledged with the next renewal, up to the first end that stays open.
func (d *driver) commitListedEnds(listed []EndedRun) error {
	ended := d.uncommittedEnds(listed)
	current, late := d.takeLate(ended)
	if len(current) > 0 {
		if err := d.commitEnds(d.endsOf(current)); err != nil {
			return err
		}
	}
	open, err := d.settleLate(late)
	if err != nil {
		d.log.WithError(err).Warn("target: late ends not settled")
		return err
	}
	if len(listed) >= maxListedEnds {
		// The target lists no further ends before it may forget some.
		open = nil
	}
	d.recordCommitted(listed, open)
	return nil
}

// uncommittedEnds returns those of the listed ends that are not yet committed.
func (d *driver) uncommittedEnds(listed []EndedRun) []EndedRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(listed), func(end EndedRun) bool {
		return end.Seq <= d.committedSeq || d.committedEnds[end.Seq]
	})
}

// endsOf returns the ends of listed runs, for the ledger.
func (d *driver) endsOf(ended []EndedRun) []graph.RunEnd {
	ends := make([]graph.RunEnd, 0, len(ended))
	for _, run := range ended {
		end := d.endOf(keyOf(run.Task, run.Run), run.Outcome)
		end.Checkpoint = run.Checkpoint
		ends = append(ends, end)
	}
	return ends
}

// recordCommitted records that the listed ends are committed, except for the open ones.
func (d *driver) recordCommitted(listed, open []EndedRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.committedSeq
	for _, end := range listed {
		last = max(last, end.Seq)
		d.committedEnds[end.Seq] = true
		delete(d.runs, keyOf(end.Task, end.Run))
	}
	for _, end := range open {
		last = min(last, end.Seq-1)
		delete(d.committedEnds, end.Seq)
	}
	d.openEnds = len(open)
	d.committedSeq = max(d.committedSeq, last)
	maps.DeleteFunc(d.committedEnds, func(seq uint64, _ bool) bool { return seq <= d.committedSeq })
}

// commitEnds commits the ends of runs.
func (d *driver) commitEnds(ends []graph.RunEnd) error {
	d.recordRestarts(ends)
	result, fault := d.leader.proposeEnds(d.ctx, ends)
	if fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: ends not committed")
		return fault
	}
	for _, e := range ends {
		d.recordEnd(e)
	}
	d.logEnds(ends)
	d.leader.logFinished(result.Finished)
	d.leader.wakeDecisionLoop()
	return nil
}

// proposeEnds commits the ends of runs, each with the outcome that its step gives it. All
// ends of runs that are committed by themselves go this way.
func (l *leader) proposeEnds(ctx context.Context, ends []graph.RunEnd) (graph.Result, *wire.Fault) {
	ends = slices.Clone(ends)
	for i := range ends {
		ends[i].Outcome = l.committedOutcome(ends[i])
	}
	return l.propose(ctx, graph.Command{Events: &graph.Events{Ends: ends}})
}

// committedOutcome returns the outcome that is committed for the end of a run. However a
// run ends, a task that is done by an earlier one is done. A long-running task is started
// again however its run ends, while replicas of all releases take done for the end of the
// task, and count each failed run of a gang as an attempt.
func (l *leader) committedOutcome(end graph.RunEnd) graph.RunOutcome {
	ledger := l.scheduler.ledger
	if l.doneTasks.has(end.Task) {
		return graph.OutcomeDone
	}
	if end.Outcome != graph.OutcomeDone && end.Outcome != graph.OutcomeFailed || !ledger.IsLongRunning(end.Task) {
		return end.Outcome
	}
	switch {
	case ledger.IsLongRunningGang(end.Task):
		return graph.OutcomeGangBroken
	case end.Outcome == graph.OutcomeDone:
		return graph.OutcomeStopped
	}
	return end.Outcome
}

// logEnds logs one line per job and outcome, since the ends in one listing
// mostly belong to one step.
func (d *driver) logEnds(ends []graph.RunEnd) {
	type group struct {
		job     graph.JobID
		outcome graph.RunOutcome
	}
	tasks := map[group][]string{}
	for _, e := range ends {
		g := group{
			job:     e.Task.Job,
			outcome: e.Outcome,
		}
		tasks[g] = append(tasks[g], e.Task.RunName(e.Run))
	}
	for g, names := range tasks {
		d.log.WithFields(logrus.Fields{
			"job":   g.job,
			"how":   g.outcome.String(),
			"tasks": strings.Join(names, " "),
		}).Info("target: runs ended")
	}
}
