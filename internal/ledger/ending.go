package ledger

import "github.com/jasmineward/jasmineward/internal/note"

func (l *Ledger) cancel(c Cancel) CancelResult {
	id, ok := l.requests.Get(c.Request)
	if !ok {
		return CancelResult{Refusal: RefusedNoJob}
	}
	if job, ok := l.live[id]; ok {
		l.endJob(job, ReasonCancelled, "")
	}
	job, _ := l.jobs.Get(id)
	return CancelResult{Job: job}
}

// endJob ends the queued tasks of a job and marks its active ones to be
// stopped. It does nothing to a job that is already ending.
func (l *Ledger) endJob(job *Job, reason Reason, detail string) {
	if job.EndReason != ReasonNone {
		return
	}
	next := job.clone()
	next.EndReason = reason
	next.Detail = detail
	for i := range next.Tasks {
		task := &next.Tasks[i]
		if task.State == TaskQueued {
			l.finishQueued(task)
		}
		if task.State.Active() && task.StopReason != reason {
			task.StopReason = reason
		}
	}
	l.storeJob(job, next)
}

// finishQueued moves a queued task to the final state that its past attempts
// call for.
func (l *Ledger) finishQueued(task *Task) {
	switch {
	case task.Started:
		task.State = TaskStopped
	case task.MayHaveRun:
		task.State = TaskUnknown
	default:
		task.State = TaskNotRun
	}
	task.EndedAt = l.now
}

// end ends the jobs that have no active task. A deadline is checked against the
// ledger's time, whatever the proposer found.
func (l *Ledger) end(e End) {
	for _, item := range e.Items {
		job, ok := l.live[item.Job]
		if !ok || job.Active() > 0 {
			continue
		}
		expired := job.Spec.StartBy != 0 && l.now > job.Spec.StartBy
		if item.Reason == ReasonDeadline && !expired {
			continue
		}
		l.endJob(job, item.Reason, item.Detail)
	}
}

// stop marks attempts to be stopped by their targets. Non-idempotent tasks
// can't run again, so they are stopped only if they exceed their declared
// size, or by endJob when their job ends. Only preemptible jobs may be
// preempted.
func (l *Ledger) stop(s Stop) {
	for _, attempt := range s.Attempts {
		job, ok := l.live[attempt.Job]
		if !ok || !isCurrent(job, attempt) {
			continue
		}
		if !job.Spec.Idempotent && s.Reason != ReasonOversize {
			continue
		}
		if s.Reason == ReasonPreempted && !job.Preemptible {
			continue
		}
		if job.Tasks[attempt.Task].StopReason != ReasonNone {
			continue
		}
		next := job.clone()
		next.Tasks[attempt.Task].StopReason = s.Reason
		l.storeJob(job, next)
	}
}

// isCurrent reports whether the attempt is the latest of its task and active.
func isCurrent(job *Job, a Attempt) bool {
	if a.Task < 0 || a.Task >= len(job.Tasks) {
		return false
	}
	task := job.Tasks[a.Task]
	return task.Attempt == a.Number && task.State.Active()
}

func (l *Ledger) prune(p Prune) {
	for _, id := range p.Jobs {
		job, ok := l.jobs.Get(id)
		if !ok || !l.canPrune(job, l.now) {
			continue
		}
		l.jobs.Delete(id)
		l.requests.Delete(job.Request)
		l.finishedJobs--
		l.observer.JobChanged(job, nil)
	}
}

// canPrune reports whether a job may be deleted: its outcome has been retained
// long enough, and a retry of its request would be refused as too old instead
// of being run a second time.
func (l *Ledger) canPrune(job *Job, now Millis) bool {
	if !job.IsFinished() || now < job.FinishedAt+Millis(l.limits.Retention.Milliseconds()) {
		return false
	}
	return l.retryWindow.IsExpired(job.Request.ID, now.time())
}

func (l *Ledger) applyNote(n note.Note) NoteResult {
	before := l.config.Load()
	after, err := before.Apply(n)
	if err != nil {
		return NoteResult{
			State: before,
			Err:   err,
		}
	}
	if after == before {
		return NoteResult{State: before}
	}
	l.config.Store(after)
	l.endWithdrawnJobs(n, after)
	l.observer.ConfigChanged(n, after)
	return NoteResult{State: after}
}

// endWithdrawnJobs ends the jobs whose key or service no longer exists. Their
// running tasks continue, unless the note withdraws the key with StopRunning.
func (l *Ledger) endWithdrawnJobs(n note.Note, config *note.State) {
	stopRunning := map[string]bool{}
	for _, change := range n.Changes {
		if change.Key != nil && change.Op == note.OpWithdraw {
			stopRunning[change.Key.ID] = change.Key.StopRunning
		}
	}
	for _, job := range l.liveByID() {
		_, hasKey := config.Keys[job.KeyID]
		_, hasService := config.Services[job.Spec.Service]
		switch {
		case job.KeyID != "" && !hasKey:
			l.endWithdrawnJob(job, ReasonKeyWithdrawn, stopRunning[job.KeyID])
		case !hasService:
			l.endWithdrawnJob(job, ReasonServiceWithdrawn, false)
		}
	}
}

// endWithdrawnJob ends a job whose key or service has been withdrawn. Without
// stopRunning it stops only the tasks that have not reported a start.
func (l *Ledger) endWithdrawnJob(job *Job, reason Reason, stopRunning bool) {
	if stopRunning {
		l.endJob(job, reason, "")
		return
	}
	if job.EndReason != ReasonNone {
		return
	}
	next := job.clone()
	next.EndReason = reason
	for i := range next.Tasks {
		task := &next.Tasks[i]
		switch task.State {
		case TaskQueued:
			l.finishQueued(task)
		case TaskPlaced, TaskHeld:
			task.StopReason = reason
		}
	}
	l.storeJob(job, next)
}
