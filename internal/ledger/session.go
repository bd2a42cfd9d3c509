package ledger

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jasmineward/jasmineward/internal/note"
)

const maxSlots = 4096

func (l *Ledger) announce(a Announce) AnnounceResult {
	if a.Target == "" || a.Session == "" || a.Slots < 1 || a.Slots > maxSlots ||
		!a.Capacity.IsValid() || a.Capacity.IsZero() {
		return AnnounceResult{Refusal: RefusedInvalidSpec}
	}
	if stored, ok := l.targets.Get(a.Target); ok {
		if stored.Session == a.Session {
			return AnnounceResult{}
		}
		return AnnounceResult{Refusal: RefusedSessionActive}
	}
	l.storeTarget(nil, &Target{
		ID:          a.Target,
		Session:     a.Session,
		Capacity:    a.Capacity,
		Slots:       a.Slots,
		Rack:        a.Rack,
		Domain:      a.Domain,
		AnnouncedAt: l.now,
	})
	return AnnounceResult{}
}

// targetInSession returns the target if the session is its current one.
func (l *Ledger) targetInSession(id, session string) (*Target, bool) {
	stored, ok := l.targets.Get(id)
	if !ok || stored.Session != session {
		return nil, false
	}
	return stored, true
}

func (l *Ledger) leave(v Leave) ReportResult {
	stored, ok := l.targetInSession(v.Target, v.Session)
	if !ok {
		return ReportResult{Refusal: RefusedNoSession}
	}
	if !stored.Leaving {
		next := stored.clone()
		next.Leaving = true
		l.storeTarget(stored, next)
	}
	return ReportResult{}
}

func (l *Ledger) endSession(e EndSession) {
	target, ok := l.targetInSession(e.Target, e.Session)
	if !ok {
		return
	}
	if e.ConfirmedIdle && len(target.Attempts) > 0 {
		return
	}
	l.targets.Delete(target.ID)
	for _, attempt := range target.Attempts {
		job, ok := l.live[attempt.Job]
		if !ok || !isCurrent(job, attempt) {
			continue
		}
		next := job.clone()
		l.loseAttempt(next, attempt.Task)
		l.storeJob(job, next)
	}
	l.observer.TargetChanged(target, nil)
}

// loseAttempt handles an attempt whose session ended before its result was
// reported. The attempt may have run, unless it was held and its gang not
// released. Only an idempotent task, or one that can't have run, is queued
// again.
func (l *Ledger) loseAttempt(job *Job, index int) {
	task := &job.Tasks[index]
	if task.State != TaskHeld || job.Released {
		task.MayHaveRun = true
	}
	if task.State == TaskRunning {
		task.Started = true
	}
	if task.MayHaveRun && !job.Spec.Idempotent {
		task.State = TaskUnknown
		task.EndedAt = l.now
		l.stopPartialGang(job)
		if job.Reason == ReasonNone {
			job.Reason = ReasonSessionEnded
		}
		return
	}
	l.requeue(job, task)
}

// requeue queues a task for its next attempt, or moves it to a final state if
// the job is ending.
func (l *Ledger) requeue(job *Job, task *Task) {
	task.State = TaskQueued
	task.StopReason = ReasonNone
	if job.EndReason != ReasonNone {
		l.finishQueued(task)
	}
	l.stopPartialGang(job)
}

// stopPartialGang stops the remaining tasks of a gang that has lost one, so
// that the gang can start again as a whole. If a task is already final the
// gang can't start again, and the job ends.
func (l *Ledger) stopPartialGang(job *Job) {
	if job.Kind != note.KindGang {
		return
	}
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State.Active() && task.StopReason == ReasonNone {
			task.StopReason = ReasonGangIncomplete
		}
		if task.State.Final() && job.EndReason == ReasonNone {
			job.EndReason = ReasonGangIncomplete
		}
	}
	if job.EndReason == ReasonNone {
		return
	}
	for i := range job.Tasks {
		if job.Tasks[i].State == TaskQueued {
			l.finishQueued(&job.Tasks[i])
		}
	}
}

func (l *Ledger) report(r Report) ReportResult {
	if _, ok := l.targetInSession(r.Target, r.Session); !ok {
		l.staleEvents += uint64(len(r.Events))
		return ReportResult{
			Refusal:     RefusedNoSession,
			StaleEvents: len(r.Events),
		}
	}
	result := ReportResult{}
	for _, event := range r.Events {
		if !l.applyEvent(r, event) {
			result.StaleEvents++
		}
	}
	l.staleEvents += uint64(result.StaleEvents)
	return result
}

// applyEvent applies one event. It returns false if the attempt does not, or no
// longer, belong to the session.
func (l *Ledger) applyEvent(r Report, event Event) bool {
	job, ok := l.live[event.Attempt.Job]
	if !ok || !isCurrent(job, event.Attempt) {
		return false
	}
	task := job.Tasks[event.Attempt.Task]
	if task.Target != r.Target || task.Session != r.Session {
		return false
	}
	next := job.clone()
	if !l.transition(next, event) {
		return true
	}
	if !next.Tasks[event.Attempt.Task].State.Active() {
		l.releaseAttempt(r.Target, event.Attempt, next)
	}
	l.storeJob(job, next)
	return true
}

// transition changes the state of the task as the event requires. It returns
// false if the event is not valid in that state, and then changes nothing.
func (l *Ledger) transition(job *Job, event Event) bool {
	task := &job.Tasks[event.Attempt.Task]
	switch event.Kind {
	case EventHeld:
		return l.onHeld(job, task)
	case EventStarted:
		return l.onStarted(job, task)
	case EventFinished:
		return l.onFinished(job, task, event)
	case EventStopped:
		return l.onStopped(job, task, event)
	case EventFenced:
		return l.onFenced(job, task)
	}
	return false
}

func (l *Ledger) onHeld(job *Job, task *Task) bool {
	if task.State != TaskPlaced || job.Kind != note.KindGang {
		return false
	}
	task.State = TaskHeld
	held := job.countTasks(func(t Task) bool { return t.State == TaskHeld && t.StopReason == ReasonNone })
	if held == len(job.Tasks) {
		job.Released = true
	}
	return true
}

func (l *Ledger) onStarted(job *Job, task *Task) bool {
	mayStart := task.State == TaskPlaced && job.Kind != note.KindGang
	mayStart = mayStart || (task.State == TaskHeld && job.Released)
	if !mayStart {
		return false
	}
	task.State = TaskRunning
	task.Started = true
	task.MayHaveRun = true
	task.StartedAt = l.now
	return true
}

func (l *Ledger) onFinished(job *Job, task *Task, event Event) bool {
	if len(event.Output) > l.limits.MaxOutput || !checksumMatches(event) {
		return false
	}
	task.Started = true
	task.MayHaveRun = true
	task.ExitCode = event.ExitCode
	if event.ExitCode == 0 {
		task.State = TaskSucceeded
		task.Output = event.Output
		task.Checksum = event.Checksum
		task.EndedAt = l.now
		return true
	}
	task.Failures++
	retry := job.Spec.Idempotent && int(task.Failures) < job.Spec.MaxAttempts
	if retry {
		l.requeue(job, task)
		return true
	}
	task.State = TaskFailed
	task.Output = event.Output
	task.Checksum = event.Checksum
	task.EndedAt = l.now
	l.stopPartialGang(job)
	return true
}

// checksumMatches reports whether the event's checksum is that of its output.
func checksumMatches(event Event) bool {
	sum := sha256.Sum256(event.Output)
	return event.Checksum == hex.EncodeToString(sum[:])
}

func (l *Ledger) onStopped(job *Job, task *Task, event Event) bool {
	task.Started = true
	task.MayHaveRun = true
	task.Checkpoint = event.Checkpoint
	if task.StopReason == ReasonPreempted {
		task.Preemptions++
	}
	final := job.EndReason != ReasonNone || task.StopReason == ReasonOversize || !job.Spec.Idempotent
	if final {
		task.State = TaskStopped
		task.EndedAt = l.now
		if job.Reason == ReasonNone {
			job.Reason = task.StopReason
		}
		l.stopPartialGang(job)
		return true
	}
	l.requeue(job, task)
	return true
}

func (l *Ledger) onFenced(job *Job, task *Task) bool {
	if task.State == TaskRunning {
		return false
	}
	l.requeue(job, task)
	return true
}

// releaseAttempt returns the resources of an attempt to its target.
func (l *Ledger) releaseAttempt(id string, attempt Attempt, job *Job) {
	stored, ok := l.targets.Get(id)
	if !ok {
		return
	}
	next := stored.clone()
	for i, a := range next.Attempts {
		if a == attempt {
			next.Attempts = append(next.Attempts[:i], next.Attempts[i+1:]...)
			next.Used = next.Used.Sub(job.Spec.Resources)
			break
		}
	}
	l.storeTarget(stored, next)
}
