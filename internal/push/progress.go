package push

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// lateEndMargin is how far past a task's predicted end the renewal waits
	// before the target is asked again.
	lateEndMargin = 60 * time.Millisecond
	// minRenewalWait is the shortest wait of a renewal that waits.
	minRenewalWait = 120 * time.Millisecond
	// noProgressWait bounds the wait of a renewal while a task has not yet
	// reported enough progress to predict its end.
	noProgressWait = 600 * time.Millisecond
	// stallTimeout is how long a task's progress stays unchanged before the
	// task counts as stalled. For a task that progresses slowly, or is expected
	// to, it is stallPercentFactor times the time that it takes per percent.
	stallTimeout       = 700 * time.Millisecond
	stallPercentFactor = 4
	// siblingStallFactor is the ratio of a task's run time to that of its
	// siblings at which it counts as stalled, unless it is predicted to end
	// within nearCompletion, or sooner than a new run would.
	siblingStallFactor = 2.5
	nearCompletion     = 500 * time.Millisecond
)

// renewalWait returns how long a renewal sent now should wait: until the next
// predicted end of a task. If the answer is lost, this is then noticed soon after
// the end, instead of after a full wait. The lock must be held.
func (d *driver) renewalWait(now time.Time) time.Duration {
	wait := d.leader.scheduler.timing.RenewalWait
	for _, info := range d.runs {
		if info.endNotAwaited {
			continue
		}
		completesAt, known := info.progress.EstimatedCompletion()
		if !known {
			wait = min(wait, noProgressWait)
			continue
		}
		wait = min(wait, completesAt.Add(lateEndMargin).Sub(now))
	}
	return max(wait, minRenewalWait)
}

// trackProgress processes the progress that the target lists, and speculates or
// evicts stalled tasks.
func (d *driver) trackProgress(assignments map[runKey]graph.Assignment, list RunList) {
	now := time.Now()
	var tasksToEvict, tasksToSpeculate []graph.TaskRef
	for _, r := range list.Running {
		key := keyOf(r.Task, r.Run)
		assignment := assignments[key]
		if !assignment.Desired {
			continue
		}
		stalled := d.updateProgress(key, assignment, r.Percent, now)
		if stalled {
			d.leader.quarantineTarget(d.target.ID, now)
		}
		switch {
		case stalled && assignment.Speculative:
			if d.markSpeculated(key) {
				d.leader.rater.Failed(plan.StepKeyOf(r.Task), r.Task.Index, d.target.ID)
				tasksToSpeculate = append(tasksToSpeculate, r.Task)
			}
		case stalled && assignment.Movable:
			d.leader.moves.record(r.Task, r.Run)
			tasksToEvict = append(tasksToEvict, r.Task)
		}
	}
	d.leader.speculateTasks("no progress", tasksToSpeculate)
	if len(tasksToEvict) > 0 {
		d.log.WithField("count", len(tasksToEvict)).Warn("target: tasks make no progress")
		d.leader.evictTasks(d.target.ID, tasksToEvict)
	}
}

// updateProgress records the progress of one run, and reports whether it is
// stalled, either by its own progress or compared with its siblings. Both take longer
// after each move of the task.
func (d *driver) updateProgress(key runKey, assignment graph.Assignment, percent float64, now time.Time) bool {
	step := plan.StepKeyOf(key.task)
	longestSibling := d.leader.rater.LongestRun(step)
	expected := cmp.Or(longestSibling, time.Duration(assignment.Estimate)*time.Millisecond)
	patience := d.leader.moves.patience(key.task)
	d.mu.Lock()
	info := d.runInfo(key)
	info.endNotAwaited = assignment.LongRunning || assignment.BestEffort
	info.progress.Update(now, percent)
	stalled := info.progress.IsStalled(time.Duration(patience)*stallTimeout, patience*stallPercentFactor, expected)
	completesAt, predicted := info.progress.EstimatedCompletion()
	endNotAwaited := info.endNotAwaited
	d.mu.Unlock()
	switch {
	case endNotAwaited:
		return false
	case stalled:
		return true
	case predicted && completesAt.Sub(now) < max(nearCompletion, longestSibling):
		return false
	}
	return d.leader.rater.Stalled(step, key.task.Index, float64(patience)*siblingStallFactor, now)
}

// expectedEnd predicts the end of a run on the target from its progress.
// It returns false if the progress does not suffice for a prediction.
func (l *leader) expectedEnd(id graph.TargetID, task graph.TaskRef, run uint32) (time.Time, bool) {
	d := l.driver(id)
	if d == nil {
		return time.Time{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runs[keyOf(task, run)]
	if info == nil {
		return time.Time{}, false
	}
	return info.progress.EstimatedCompletion()
}

// startSpeculativeRuns has a second run started for each of the target's tasks
// that allow speculative execution. Tasks under which a target has crashed get none: they
// may have made this target crash as well.
func (d *driver) startSpeculativeRuns(why string) {
	var tasks []graph.TaskRef
	for key, assignment := range d.ledgerAssignments() {
		if assignment.Speculative && assignment.Desired && !assignment.Suspect && d.markSpeculated(key) {
			tasks = append(tasks, assignment.Task)
		}
	}
	d.leader.speculateTasks(why, tasks)
}

// markSpeculated marks that a second run of the task was requested. It returns
// false if the run was marked already.
func (d *driver) markSpeculated(key runKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	first := !info.speculated
	info.speculated = true
	return first
}

// speculateTasks commits that the tasks get a second run while the current one
// continues.
func (l *leader) speculateTasks(why string, tasks []graph.TaskRef) {
	if len(tasks) == 0 {
		return
	}
	for _, ref := range tasks {
		l.log.WithFields(logrus.Fields{
			"job":  ref.Job,
			"task": ref.Name(),
			"why":  why,
		}).Info("sched: task is run beside itself")
	}
	if _, fault := l.propose(l.ctx, graph.Command{Copy: &graph.Speculate{Tasks: tasks}}); fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: speculative runs not committed")
		return
	}
	l.wakeDecisionLoop()
}

// evictTasks commits that stalled tasks are stopped, so that they can be placed again
// elsewhere.
func (l *leader) evictTasks(from graph.TargetID, tasks []graph.TaskRef) {
	for _, ref := range tasks {
		l.rater.Failed(plan.StepKeyOf(ref), ref.Index, from)
		l.log.WithFields(logrus.Fields{
			"job":  ref.Job,
			"task": ref.Name(),
		}).Warn("sched: task stands still, it is moved")
	}
	l.commitEviction(tasks)
}

// commitEviction commits that tasks are stopped, and stops them. It reports whether that is
// committed.
func (l *leader) commitEviction(tasks []graph.TaskRef) bool {
	if _, fault := l.propose(l.ctx, graph.Command{Evict: &graph.Evict{Tasks: tasks}}); fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: eviction not committed")
		return false
	}
	l.stopUndesired()
	return true
}
