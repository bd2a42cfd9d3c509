package graph

import (
	"iter"
	"slices"

	"github.com/jasmineward/jasmineward/pkg/blame"
)

const (
	// maxCrashesAlone is how many targets may crash under a task that is the only
	// suspect at the last of these crashes.
	maxCrashesAlone = 2
	// maxCrashes is how many targets may crash under a task that is the most suspect.
	maxCrashes = 3
	// maxCrashesInAll is how many targets may crash under a task in any case. A task
	// may be hidden each time behind others that are more suspect.
	maxCrashesInAll = 5
)

// CrashCount counts the targets that have crashed under a task: those for which it was
// blamed, and all.
type CrashCount struct {
	Task  TaskRef
	Count int
	Total int
}

// Blame is the evidence that a task makes its targets crash.
type Blame struct {
	Task   TaskRef
	Weight blame.Weight
	// Targets are those that have crashed, each of which counts once.
	Targets []TargetID
}

// recordEvidence adds the evidence of a crash to that against its task.
func (l *Ledger) recordEvidence(e Evidence) {
	target := l.targets[e.Target]
	if target == nil || !l.mayHaveCrashed(e.Task) {
		return
	}
	current := l.blames[e.Task]
	if _, ran := target.Runs[e.Task]; !ran || slices.Contains(current.Targets, e.Target) {
		return
	}
	l.setBlame(Blame{
		Task:    e.Task,
		Weight:  max(0, current.Weight+e.Weight),
		Targets: append(slices.Clone(current.Targets), e.Target),
	})
}

// setBlame replaces the evidence against a task. One without crashes is removed.
func (l *Ledger) setBlame(b Blame) {
	job := l.liveJobs[b.Task.Job]
	if job == nil {
		return
	}
	job.Blames = slices.DeleteFunc(job.Blames, func(other Blame) bool { return other.Task == b.Task })
	delete(l.blames, b.Task)
	if len(b.Targets) > 0 {
		job.Blames = append(job.Blames, b)
		l.blames[b.Task] = b
	}
}

// GiveUp returns the crashes for which every replica, also of the release before, gives
// the task up: it does so at the second crash of which the task is the only suspect.
func GiveUp(target TargetID, ref TaskRef) []Crash {
	crash := Crash{
		Target:   target,
		Suspects: []TaskRef{ref},
	}
	return []Crash{crash, crash}
}

// endIncarnations removes targets. It counts crashes against the tasks that may have
// caused them, and fails the jobs of tasks under which too many targets have crashed:
// such a task would go on to crash each target that it is started on.
func (l *Ledger) endIncarnations(e *EndIncarnations) {
	for _, evidence := range e.Evidence {
		l.recordEvidence(evidence)
	}
	var condemned []CrashCount
	for _, crash := range e.Crashes {
		condemned = append(condemned, l.recordCrash(crash)...)
	}
	for _, id := range e.Targets {
		l.removeTarget(id)
	}
	for _, count := range condemned {
		if job := l.liveJobs[count.Task.Job]; job != nil {
			if b, found := l.blames[count.Task]; found {
				count.Count, count.Total = len(b.Targets), len(b.Targets)
			}
			l.finishJob(job, StateFailed)
			l.finished[len(l.finished)-1].GaveUp = &count
		}
	}
}

// recordCrash counts a crash and returns the counts of the tasks to give up.
func (l *Ledger) recordCrash(crash Crash) []CrashCount {
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
	blamed := l.mostSuspect(suspects)
	limit := maxCrashes
	if len(suspects) == 1 {
		limit = maxCrashesAlone
	}
	var condemned []CrashCount
	for _, ref := range suspects {
		count := l.suspects[ref]
		count.Task = ref
		count.Total++
		if slices.Contains(blamed, ref) {
			count.Count++
		}
		l.suspects[ref] = count
		l.liveJobs[ref.Job].setCrashes(count)
		if count.Count >= limit || count.Total >= maxCrashesInAll {
			condemned = append(condemned, count)
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

// mostSuspect returns the tasks that were blamed for most crashes before.
func (l *Ledger) mostSuspect(tasks []TaskRef) []TaskRef {
	most := 0
	for _, ref := range tasks {
		most = max(most, l.suspects[ref].Count)
	}
	return slices.DeleteFunc(slices.Clone(tasks), func(ref TaskRef) bool { return l.suspects[ref].Count < most })
}

// clearSuspicion forgets the crashes counted against the tasks.
func (l *Ledger) clearSuspicion(c *ClearSuspicion) {
	for _, ref := range c.Tasks {
		delete(l.suspects, ref)
		if job := l.liveJobs[ref.Job]; job != nil {
			job.setCrashes(CrashCount{Task: ref})
		}
		l.setBlame(Blame{Task: ref})
	}
}

// setCrashes replaces the count of a task. A count of zero is removed.
func (j *Job) setCrashes(count CrashCount) {
	j.Crashes = slices.DeleteFunc(j.Crashes, func(c CrashCount) bool { return c.Task == count.Task })
	if count.Total > 0 {
		j.Crashes = append(j.Crashes, count)
	}
}

// BlamedFor returns the tasks that are blamed for a crash of the target.
func (l *Ledger) BlamedFor(id TargetID) []TaskRef {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var tasks []TaskRef
	for ref, b := range l.blames {
		if slices.Contains(b.Targets, id) {
			tasks = append(tasks, ref)
		}
	}
	return tasks
}

// IsSuspect reports whether the task is likely to crash its targets.
func (v *View) IsSuspect(ref TaskRef) bool {
	return v.ledger.isSuspect(ref)
}

// isSuspect reports whether the task is likely to crash its targets: by the evidence
// against it, or by the count of a leader of an earlier release.
func (l *Ledger) isSuspect(ref TaskRef) bool {
	return l.blames[ref].Weight >= blame.SuspectWeight || l.suspects[ref].Total > 0
}

// Suspects returns the tasks that are likely to crash their targets.
func (v *View) Suspects() iter.Seq[TaskRef] {
	return func(yield func(TaskRef) bool) {
		for ref, b := range v.ledger.blames {
			if b.Weight >= blame.SuspectWeight && !yield(ref) {
				return
			}
		}
		for ref := range v.ledger.suspects {
			if v.ledger.blames[ref].Weight < blame.SuspectWeight && !yield(ref) {
				return
			}
		}
	}
}
