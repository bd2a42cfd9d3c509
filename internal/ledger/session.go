package ledger

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jasmineward/jasmineward/internal/note"
)

const maxSlots = 4096

func (l *Ledger) announce(a Announce) AnnounceResult {
	if a.Target == "" || a.Session == "" || a.Slots < 1 || a.Slots > maxSlots ||
		!a.Capacity.Valid() || a.Capacity.IsZero() {
		return AnnounceResult{Refusal: RefusedSpec}
	}
	if stored, ok := l.targets.Get(a.Target); ok {
		if stored.Session == a.Session {
			return AnnounceResult{}
		}
		return AnnounceResult{Refusal: RefusedLive}
	}
	l.storeTarget(nil, &Target{
		ID:       a.Target,
		Session:  a.Session,
		Capacity: a.Capacity,
		Slots:    a.Slots,
		Rack:     a.Rack,
		Domain:   a.Domain,
		Since:    l.now,
	})
	return AnnounceResult{}
}

func (l *Ledger) session(target, session string) (*Target, bool) {
	stored, ok := l.targets.Get(target)
	if !ok || stored.Session != session {
		return nil, false
	}
	return stored, true
}

func (l *Ledger) leave(v Leave) ReportResult {
	stored, ok := l.session(v.Target, v.Session)
	if !ok {
		return ReportResult{Refusal: RefusedTarget}
	}
	if !stored.Leaving {
		next := stored.edit()
		next.Leaving = true
		l.storeTarget(stored, next)
	}
	return ReportResult{}
}

func (l *Ledger) endSession(e EndSession) {
	target, ok := l.session(e.Target, e.Session)
	if !ok {
		return
	}
	if e.Clean && len(target.Attempts) > 0 {
		return
	}
	l.targets.Delete(target.ID)
	for _, attempt := range target.Attempts {
		job, ok := l.live[attempt.Job]
		if !ok || !current(job, attempt) {
			continue
		}
		next := job.edit()
		l.loseAttempt(next, attempt.Task)
		l.store(job, next)
	}
	l.observer.TargetChanged(target, nil)
}

// loseAttempt settles an attempt whose session has ended without a word.
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
		l.regroup(job)
		if job.Reason == ReasonNone {
			job.Reason = ReasonSessionEnded
		}
		return
	}
	l.requeue(job, task)
}

// requeue has a task wait for its next attempt, or closes it when the job is
// ending.
func (l *Ledger) requeue(job *Job, task *Task) {
	task.State = TaskQueued
	task.Stop = ReasonNone
	if job.Ending != ReasonNone {
		l.closeQueued(task)
	}
	l.regroup(job)
}

// regroup stops what is left of a gang that has lost a member, so that it
// can start again as a whole. A gang of which a member is over can't.
func (l *Ledger) regroup(job *Job) {
	if job.Kind != note.KindGang {
		return
	}
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State.Active() && task.Stop == ReasonNone {
			task.Stop = ReasonGang
		}
		if task.State.Final() && job.Ending == ReasonNone {
			job.Ending = ReasonGang
		}
	}
	if job.Ending == ReasonNone {
		return
	}
	for i := range job.Tasks {
		if job.Tasks[i].State == TaskQueued {
			l.closeQueued(&job.Tasks[i])
		}
	}
}

func (l *Ledger) report(r Report) ReportResult {
	if _, ok := l.session(r.Target, r.Session); !ok {
		l.late += uint64(len(r.Events))
		return ReportResult{
			Refusal: RefusedTarget,
			Late:    len(r.Events),
		}
	}
	result := ReportResult{}
	for _, event := range r.Events {
		if !l.event(r, event) {
			result.Late++
		}
	}
	l.late += uint64(result.Late)
	return result
}

// event applies one event. It tells false when the attempt is not, or no
// longer, the session's.
func (l *Ledger) event(r Report, event Event) bool {
	job, ok := l.live[event.Attempt.Job]
	if !ok || !current(job, event.Attempt) {
		return false
	}
	task := job.Tasks[event.Attempt.Task]
	if task.Target != r.Target || task.Session != r.Session {
		return false
	}
	next := job.edit()
	if !l.transition(next, event) {
		return true
	}
	if !next.Tasks[event.Attempt.Task].State.Active() {
		l.free(r.Target, event.Attempt, next)
	}
	l.store(job, next)
	return true
}

// transition changes the task as the event says, and tells whether it did.
func (l *Ledger) transition(job *Job, event Event) bool {
	task := &job.Tasks[event.Attempt.Task]
	switch event.Kind {
	case EventHeld:
		return l.held(job, task)
	case EventStarted:
		return l.started(job, task)
	case EventFinished:
		return l.finished(job, task, event)
	case EventStopped:
		return l.stopped(job, task, event)
	case EventFenced:
		return l.fenced(job, task)
	}
	return false
}

func (l *Ledger) held(job *Job, task *Task) bool {
	if task.State != TaskPlaced || job.Kind != note.KindGang {
		return false
	}
	task.State = TaskHeld
	ready := job.count(func(t Task) bool { return t.State == TaskHeld && t.Stop == ReasonNone })
	if ready == len(job.Tasks) {
		job.Released = true
	}
	return true
}

func (l *Ledger) started(job *Job, task *Task) bool {
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

func (l *Ledger) finished(job *Job, task *Task, event Event) bool {
	if len(event.Output) > l.bounds.MaxOutput || !wholeOutput(event) {
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
	again := job.Spec.Idempotent && int(task.Failures) < job.Spec.MaxAttempts
	if again {
		l.requeue(job, task)
		return true
	}
	task.State = TaskFailed
	task.Output = event.Output
	task.Checksum = event.Checksum
	task.EndedAt = l.now
	l.regroup(job)
	return true
}

// wholeOutput checks the output against the checksum that came with it.
func wholeOutput(event Event) bool {
	sum := sha256.Sum256(event.Output)
	return event.Checksum == hex.EncodeToString(sum[:])
}

func (l *Ledger) stopped(job *Job, task *Task, event Event) bool {
	task.Started = true
	task.MayHaveRun = true
	task.Checkpoint = event.Checkpoint
	if task.Stop == ReasonPreempted {
		task.Preempted++
	}
	ends := job.Ending != ReasonNone || task.Stop == ReasonOversize || !job.Spec.Idempotent
	if ends {
		task.State = TaskStopped
		task.EndedAt = l.now
		if job.Reason == ReasonNone {
			job.Reason = task.Stop
		}
		l.regroup(job)
		return true
	}
	l.requeue(job, task)
	return true
}

func (l *Ledger) fenced(job *Job, task *Task) bool {
	if task.State == TaskRunning {
		return false
	}
	l.requeue(job, task)
	return true
}

// free gives the room of an attempt back to its target.
func (l *Ledger) free(id string, attempt Attempt, job *Job) {
	stored, ok := l.targets.Get(id)
	if !ok {
		return
	}
	next := stored.edit()
	for i, a := range next.Attempts {
		if a == attempt {
			next.Attempts = append(next.Attempts[:i], next.Attempts[i+1:]...)
			next.Used = next.Used.Sub(job.Spec.Room)
			break
		}
	}
	l.storeTarget(stored, next)
}
