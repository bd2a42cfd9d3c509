package graph

import "slices"

const (
	// maxCrashesAlone is how many targets may crash under a task that is the only
	// suspect at the last of these crashes.
	maxCrashesAlone = 2
	// maxCrashes is how many targets may crash under a task in any case.
	maxCrashes = 3
)

// CrashCount is the number of targets that have crashed under a task.
type CrashCount struct {
	Task  TaskRef
	Count int
}

// endIncarnations removes targets. It counts crashes against the tasks that may have
// caused them, and fails the jobs of tasks under which too many targets have crashed:
// such a task would go on to crash each target that it is started on.
func (l *Ledger) endIncarnations(e *EndIncarnations) {
	var condemned []TaskRef
	for _, crash := range e.Crashes {
		condemned = append(condemned, l.recordCrash(crash)...)
	}
	for _, id := range e.Targets {
		l.removeTarget(id)
	}
	for _, ref := range condemned {
		if job := l.liveJobs[ref.Job]; job != nil {
			l.finishJob(job, StateFailed)
			l.finished[len(l.finished)-1].GaveUp = &ref
		}
	}
}

// recordCrash counts a crash and returns the tasks to give up.
func (l *Ledger) recordCrash(crash Crash) []TaskRef {
	target := l.targets[crash.Target]
	if target == nil {
		return nil
	}
	var suspects []TaskRef
	for _, ref := range crash.Suspects {
		if _, ran := target.Runs[ref]; ran && l.mayHaveCrashed(ref) {
			suspects = append(suspects, ref)
		}
	}
	var condemned []TaskRef
	for _, ref := range l.mostSuspect(suspects) {
		l.suspects[ref]++
		l.liveJobs[ref.Job].setCrashes(ref, l.suspects[ref])
		limit := maxCrashes
		if len(suspects) == 1 {
			limit = maxCrashesAlone
		}
		if l.suspects[ref] >= limit {
			condemned = append(condemned, ref)
		}
	}
	return condemned
}

// mayHaveCrashed reports whether the task can have caused a crash: a task that is done
// elsewhere can't.
func (l *Ledger) mayHaveCrashed(ref TaskRef) bool {
	job := l.liveJobs[ref.Job]
	if job == nil {
		return false
	}
	task := job.Task(ref)
	return task != nil && task.State != TaskDone
}

// mostSuspect returns the tasks under which most targets have crashed before.
func (l *Ledger) mostSuspect(tasks []TaskRef) []TaskRef {
	most := 0
	for _, ref := range tasks {
		most = max(most, l.suspects[ref])
	}
	return slices.DeleteFunc(slices.Clone(tasks), func(ref TaskRef) bool { return l.suspects[ref] < most })
}

// clearSuspicion forgets the crashes counted against the tasks.
func (l *Ledger) clearSuspicion(c *ClearSuspicion) {
	for _, ref := range c.Tasks {
		delete(l.suspects, ref)
		if job := l.liveJobs[ref.Job]; job != nil {
			job.setCrashes(ref, 0)
		}
	}
}

// setCrashes sets the number of targets that have crashed under the task.
func (j *Job) setCrashes(ref TaskRef, count int) {
	j.Crashes = slices.DeleteFunc(j.Crashes, func(c CrashCount) bool { return c.Task == ref })
	if count > 0 {
		j.Crashes = append(j.Crashes, CrashCount{
			Task:  ref,
			Count: count,
		})
	}
}

// Suspects returns the tasks under which targets have crashed, with the number of
// crashes.
func (v *View) Suspects() map[TaskRef]int {
	return v.ledger.suspects
}
