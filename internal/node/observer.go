package node

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

// jobChanged passes a change of a job to the engine, and notifies the affected
// targets and the calls that wait for the job.
func (l *leader) jobChanged(before, after *ledger.Job) {
	if after == nil {
		return
	}
	if before == nil {
		l.addDeadlines(after)
		l.engine.Submit(jobOf(after))
		l.wakeScheduler()
		return
	}
	now := time.Now()
	for i := range after.Tasks {
		l.taskChanged(before, after, i, now)
	}
	if after.EndReason != ledger.ReasonNone && before.EndReason == ledger.ReasonNone {
		l.engine.DequeueJob(sched.JobID(after.ID))
	}
	if after.Released && !before.Released {
		l.wakeTargets(after)
	}
	if after.IsFinished() && !before.IsFinished() {
		l.jobFinished(after, now)
	}
}

func (l *leader) jobFinished(job *ledger.Job, now time.Time) {
	l.engine.RemoveJob(sched.JobID(job.ID), now)
	l.mu.Lock()
	l.finishedJobs = append(l.finishedJobs, job.ID)
	l.mu.Unlock()
	l.node.metrics.JobOutcomes.WithLabelValues(string(job.Outcome)).Inc()
	if jobNotifier, ok := l.jobNotifiers.Get(job.ID); ok {
		jobNotifier.notify()
	}
}

func (l *leader) taskChanged(before, after *ledger.Job, index int, now time.Time) {
	old, task := before.Tasks[index], after.Tasks[index]
	id := sched.JobID(after.ID)
	switch {
	case !old.State.Active() && task.State.Active():
		l.engine.ConfirmPlacement(id, index, task.Attempt, task.Target, now)
		l.wakeTarget(task.Target)
		if after.Kind == note.KindGang && index == 0 {
			l.mu.Lock()
			l.gangDeadlines.add(after.ID, now.Add(l.node.cfg.Timing.GangHoldTimeout))
			l.mu.Unlock()
		}
	case old.State.Active() && !task.State.Active():
		l.engine.Finished(id, index, resultOf(old, task, now))
		l.wakeScheduler()
	case task.StopReason != old.StopReason:
		l.wakeTarget(task.Target)
	}
	if task.State == ledger.TaskRunning && old.State != ledger.TaskRunning {
		l.observeStart(after, task)
	}
	if task.State == ledger.TaskQueued && old.State != ledger.TaskQueued {
		l.engine.Requeue(id, index, task.Attempt, now)
		l.wakeScheduler()
	}
}

func (l *leader) observeStart(job *ledger.Job, task ledger.Task) {
	wait := time.Duration(task.StartedAt-job.AdmittedAt) * time.Millisecond
	l.node.metrics.StartDelay.WithLabelValues(string(job.Kind)).Observe(wait.Seconds())
}

func resultOf(old, task ledger.Task, now time.Time) sched.Result {
	result := sched.Result{
		EndedAt: now,
		Started: old.State == ledger.TaskRunning,
		Failed:  task.Failures > old.Failures || task.State == ledger.TaskFailed,
	}
	if old.StartedAt > 0 {
		result.RunTime = now.Sub(time.UnixMilli(int64(old.StartedAt)))
	}
	if result.Failed {
		result.Started = true
	}
	return result
}

func (l *leader) targetChanged(before, after *ledger.Target) {
	switch {
	case after == nil:
		l.engine.RemoveWorker(before.ID)
		l.granter.Remove(keyOf(before))
		l.wakeTarget(before.ID)
		l.mu.Lock()
		delete(l.endingSessions, keyOf(before))
		delete(l.supersededSessions, keyOf(before))
		l.mu.Unlock()
		l.node.log.Infof("target: session ended target=%s session=%s", before.ID, before.Session)
	case before == nil:
		l.granter.Grant(keyOf(after), time.Now())
		l.engine.SetWorker(workerOf(after))
		l.node.log.Infof("target: announced target=%s session=%s domain=%s rack=%s",
			after.ID, after.Session, after.Domain, after.Rack)
	case after.Leaving && !before.Leaving:
		l.engine.CordonWorker(after.ID)
		l.mu.Lock()
		l.drainDeadlines.add(keyOf(after), time.Now().Add(l.node.cfg.Timing.DrainAfter))
		l.mu.Unlock()
		l.node.log.Infof("target: leaving target=%s", after.ID)
	default:
		return
	}
	l.wakeScheduler()
}

func (l *leader) configChanged(n note.Note, state *note.State) {
	l.setTeams(state)
	for _, change := range n.Changes {
		if change.Team != nil && change.Op == note.OpWithdraw {
			l.engine.RemoveTeam(change.Team.Name)
		}
	}
	l.mu.Lock()
	l.recentNotes = append(l.recentNotes, n)
	if len(l.recentNotes) > maxRecentNotes {
		l.recentNotes = append([]note.Note(nil), l.recentNotes[len(l.recentNotes)-maxRecentNotes:]...)
	}
	l.mu.Unlock()
	l.noteNotifier.notify()
	l.wakeScheduler()
}

func (l *leader) addDeadlines(job *ledger.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job.Spec.StartBy != 0 {
		l.startDeadlines.add(job.ID, time.UnixMilli(int64(job.Spec.StartBy)))
	}
	if job.Kind == note.KindGang && job.Active() > 0 {
		l.gangDeadlines.add(job.ID, time.Now().Add(l.node.cfg.Timing.GangHoldTimeout))
	}
}

func (l *leader) wakeScheduler() {
	select {
	case l.schedulerWake <- struct{}{}:
	default:
	}
}

func (l *leader) wakeTargets(job *ledger.Job) {
	for _, task := range job.Tasks {
		l.wakeTarget(task.Target)
	}
}

func (l *leader) wakeTarget(id string) {
	if targetNotifier, ok := l.targetNotifiers.Get(id); ok {
		targetNotifier.notify()
	}
}

// targetNotifier returns the notifier used when there may be orders for the
// target.
func (l *leader) targetNotifier(id string) *notifier {
	var targetNotifier *notifier
	l.targetNotifiers.Update(id, func(n *notifier, found bool) (*notifier, bool) {
		if !found {
			n = newNotifier()
		}
		targetNotifier = n
		return n, true
	})
	return targetNotifier
}
