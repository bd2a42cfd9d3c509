package graph

import "iter"

// Assignment is a run that may be active on a target, with what the leader
// needs to start, stop or pace it.
type Assignment struct {
	Task TaskRef
	Run  uint32
	// Desired runs should continue; others are to be stopped.
	Desired bool
	Payload string
	// Checkpoint is the latest checkpoint of the task.
	Checkpoint string
	Queue      string
	// NeedsAdvice is set if a start of the run needs a ticket.
	NeedsAdvice bool
	BestEffort  bool
	// Checkpoints is set if the work of a run that is stopped is kept.
	Checkpoints bool
	Latency     Millis
	LongRunning bool
	// Estimate is the client's estimate of the task's duration.
	Estimate Millis
	// Speculative is set if the task may have a second run concurrently.
	Speculative bool
	// Crashes counts the targets that have crashed under the task.
	Crashes CrashCount
	// Blame is the evidence that the task crashes its targets, and Suspect is true if it
	// is likely to.
	Blame   Blame
	Suspect bool
	// Movable is set if the run may be stopped and the task placed again
	// elsewhere.
	Movable bool
}

// Assignments returns the runs that may be active in the target's process: those of
// the incarnation, and those that the ledger still has for older ones, which the
// process may have taken for them.
func (l *Ledger) Assignments(id TargetID) []Assignment {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var assignments []Assignment
	for holder, t := range l.processOf(id) {
		for ref, active := range t.Runs {
			assignments = append(assignments, l.newAssignment(holder, ref, active.Run))
		}
	}
	return assignments
}

// processOf returns the incarnation and the older ones of the same target, as far as
// they are known.
func (l *Ledger) processOf(id TargetID) iter.Seq2[TargetID, *Target] {
	return func(yield func(TargetID, *Target) bool) {
		for _, incarnation := range l.incarnations[id.ID] {
			holder := TargetID{
				ID:          id.ID,
				Incarnation: incarnation,
			}
			if incarnation <= id.Incarnation && !yield(holder, l.targets[holder]) {
				return
			}
		}
	}
}

// HolderOf returns the incarnation for which the ledger has the run: the given one or
// an older one of the same target.
func (l *Ledger) HolderOf(id TargetID, ref TaskRef, run uint32) TargetID {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for holder, t := range l.processOf(id) {
		if t.Runs[ref].Run == run {
			return holder
		}
	}
	return id
}

// WasPutBack reports whether the ledger no longer has the run in the target's process, but
// has placed it once, and its task is not over. A task that lasts has no end to be told of.
func (l *Ledger) WasPutBack(id TargetID, ref TaskRef, run uint32) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, t := range l.processOf(id) {
		if t.Runs[ref].Run == run {
			return false
		}
	}
	job := l.liveJobs[ref.Job]
	if job == nil {
		return false
	}
	task, step := job.Task(ref), job.StepOf(ref)
	return task != nil && !step.LongRunning && task.State != TaskDone && run > 0 && run <= task.Run
}

// RunMembers returns the tasks that run and end together with the task: those of its gang,
// or the task alone.
func (l *Ledger) RunMembers(ref TaskRef) []TaskRef {
	l.mu.RLock()
	defer l.mu.RUnlock()
	job := l.liveJobs[ref.Job]
	if job == nil || job.Task(ref) == nil {
		return nil
	}
	return membersOf(job.StepOf(ref), ref)
}

// AssignmentOf returns the assignment for one run.
func (l *Ledger) AssignmentOf(id TargetID, ref TaskRef, run uint32) Assignment {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.newAssignment(id, ref, run)
}

// newAssignment returns the assignment for the run. A run is desired if it is
// the latest run of a placed task, or one of the active runs of a task that
// allows speculative execution and is not done; runs of evicted tasks are not
// desired.
func (l *Ledger) newAssignment(id TargetID, ref TaskRef, run uint32) Assignment {
	assignment := Assignment{
		Task: ref,
		Run:  run,
	}
	job := l.liveJobs[ref.Job]
	if job == nil {
		return assignment
	}
	task, step := job.Task(ref), job.StepOf(ref)
	if task == nil || step == nil {
		return assignment
	}
	assignment.Payload = job.Spec.Payload
	assignment.Checkpoint = task.Checkpoint
	assignment.Queue = job.Queue
	assignment.NeedsAdvice = l.needsAdvice(job)
	assignment.BestEffort = step.BestEffort
	assignment.Checkpoints = step.Checkpoints
	assignment.Latency = step.Latency
	assignment.LongRunning = step.LongRunning
	assignment.Crashes = l.suspects[ref]
	assignment.Blame = l.blames[ref]
	assignment.Suspect = l.isSuspect(ref)
	assignment.Estimate = step.Estimate
	assignment.Movable = !step.LongRunning && !step.Gang
	assignment.Speculative = step.MaxConcurrentRuns() > 1
	latest := task.State == TaskPlaced && task.Run == run && task.Target == id
	concurrent := assignment.Speculative && task.State != TaskDone && l.hasRun(id, ref, run)
	assignment.Desired = (latest || concurrent) && !task.Evicted
	return assignment
}

// needsAdvice reports whether the job's queue needs advice. The lock must be held.
func (l *Ledger) needsAdvice(job *Job) bool {
	if l.config == nil {
		return false
	}
	queue := l.config.queues[job.Queue]
	return queue != nil && queue.Advice != nil
}

// HasBlame reports whether crashes of targets are held against the task.
func (a *Assignment) HasBlame() bool {
	return a.Crashes.Total > 0 || len(a.Blame.Targets) > 0
}

// hasRun reports whether the run may be active on the target.
func (l *Ledger) hasRun(id TargetID, ref TaskRef, run uint32) bool {
	t := l.targets[id]
	return t != nil && t.Runs[ref].Run == run
}
