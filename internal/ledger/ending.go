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

// endJob keeps every task from starting, and stops those that are active.
func (l *Ledger) endJob(job *Job, reason Reason, detail string) {
	if job.Ending != ReasonNone {
		return
	}
	next := job.edit()
	next.Ending = reason
	next.Detail = detail
	for i := range next.Tasks {
		task := &next.Tasks[i]
		if task.State == TaskQueued {
			l.closeQueued(task)
		}
		if task.State.Active() && task.Stop != reason {
			task.Stop = reason
		}
	}
	l.store(job, next)
}

// closeQueued ends a task that waits, by what is known of its attempts.
func (l *Ledger) closeQueued(task *Task) {
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

// end ends jobs of which no task is active. A deadline is checked against
// the ledger's own time.
func (l *Ledger) end(e End) {
	for _, item := range e.Items {
		job, ok := l.live[item.Job]
		if !ok || job.Active() > 0 {
			continue
		}
		late := job.Spec.StartBy != 0 && l.now > job.Spec.StartBy
		if item.Reason == ReasonDeadline && !late {
			continue
		}
		l.endJob(job, item.Reason, item.Detail)
	}
}

// stop marks attempts to be stopped. Non-idempotent work is only ever
// stopped because it is itself to end, or runs past its size.
func (l *Ledger) stop(s Stop) {
	for _, attempt := range s.Attempts {
		job, ok := l.live[attempt.Job]
		if !ok || !current(job, attempt) {
			continue
		}
		if !job.Spec.Idempotent && s.Reason != ReasonOversize {
			continue
		}
		if s.Reason == ReasonPreempted && !job.Preempt {
			continue
		}
		if job.Tasks[attempt.Task].Stop != ReasonNone {
			continue
		}
		next := job.edit()
		next.Tasks[attempt.Task].Stop = s.Reason
		l.store(job, next)
	}
}

// current tells whether the attempt is the task's own and active.
func current(job *Job, a Attempt) bool {
	if a.Task < 0 || a.Task >= len(job.Tasks) {
		return false
	}
	task := job.Tasks[a.Task]
	return task.Attempt == a.Number && task.State.Active()
}

func (l *Ledger) prune(p Prune) {
	for _, id := range p.Jobs {
		job, ok := l.jobs.Get(id)
		if !ok || !l.prunable(job, l.now) {
			continue
		}
		l.jobs.Delete(id)
		l.requests.Delete(job.Request)
		l.kept--
		l.observer.JobChanged(job, nil)
	}
}

func (l *Ledger) prunable(job *Job, now Millis) bool {
	if !job.Over() || now < job.Finished+Millis(l.bounds.Retention.Milliseconds()) {
		return false
	}
	return l.window.Forgettable(job.Request.ID, now.time())
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
	l.endWithdrawn(n, after)
	l.observer.ConfigChanged(n, after)
	return NoteResult{State: after}
}

// endWithdrawn ends the work whose key or service the note withdraws. What
// has surely started goes on unless the note says otherwise.
func (l *Ledger) endWithdrawn(n note.Note, config *note.State) {
	stopRunning := map[string]bool{}
	for _, change := range n.Changes {
		if change.Key != nil && change.Op == note.OpWithdraw {
			stopRunning[change.Key.ID] = change.Key.StopRunning
		}
	}
	for _, job := range l.liveInOrder() {
		_, hasKey := config.Keys[job.KeyID]
		_, hasService := config.Services[job.Spec.Service]
		switch {
		case job.KeyID != "" && !hasKey:
			l.withdraw(job, ReasonKeyWithdrawn, stopRunning[job.KeyID])
		case !hasService:
			l.withdraw(job, ReasonService, false)
		}
	}
}

func (l *Ledger) withdraw(job *Job, reason Reason, stopRunning bool) {
	if stopRunning {
		l.endJob(job, reason, "")
		return
	}
	if job.Ending != ReasonNone {
		return
	}
	next := job.edit()
	next.Ending = reason
	for i := range next.Tasks {
		task := &next.Tasks[i]
		switch task.State {
		case TaskQueued:
			l.closeQueued(task)
		case TaskPlaced, TaskHeld:
			task.Stop = reason
		}
	}
	l.store(job, next)
}
