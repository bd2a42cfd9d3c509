package graph

import (
	"github.com/jasmineward/jasmineward/pkg/quota"
)

func (l *Ledger) placeGroups(p *Place) Result {
	result := Result{Groups: make([]Refusal, len(p.Groups))}
	for i, group := range p.Groups {
		result.Groups[i] = l.placeGroup(group)
	}
	return result
}

// placeGroup applies the placements one after the other, and undoes all of them
// if one is refused.
func (l *Ledger) placeGroup(placements []Placement) Refusal {
	if refusal := l.checkGroup(placements); refusal != "" {
		return refusal
	}
	job := l.liveJobs[placements[0].Task.Job]
	started := job.Started
	previousRuns := make([]uint32, 0, len(placements))
	for i, placement := range placements {
		previousRuns = append(previousRuns, job.Task(placement.Task).Run)
		if refusal := l.placeTask(placement); refusal != "" {
			for k, placed := range placements[:i] {
				l.undoPlacement(placed, previousRuns[k])
			}
			if !started && job.Started {
				job.Started = false
				job.State = StateQueued
				l.pendingByQueue[job.Queue]++
			}
			return refusal
		}
	}
	return ""
}

// checkGroup refuses a group that is empty, spans several jobs, names an unknown
// task or holds only part of a gang.
func (l *Ledger) checkGroup(placements []Placement) Refusal {
	if len(placements) == 0 {
		return RefusedState
	}
	first := placements[0]
	job := l.liveJobs[first.Task.Job]
	if job == nil || job.Task(first.Task) == nil {
		return RefusedNoJob
	}
	for _, placement := range placements {
		if placement.Task.Job != first.Task.Job || job.Task(placement.Task) == nil {
			return RefusedNoJob
		}
	}
	if !job.Spec.Steps[first.Task.Step].Gang {
		return ""
	}
	seen := map[int]bool{}
	for _, placement := range placements {
		sameIndex := placement.Task
		sameIndex.Index = first.Task.Index
		if sameIndex != first.Task || placement.Run != first.Run {
			return RefusedPartialGang
		}
		seen[placement.Task.Index] = true
	}
	if len(seen) != job.Spec.Steps[first.Task.Step].Count {
		return RefusedPartialGang
	}
	return ""
}

// placeTask validates one placement and records it.
func (l *Ledger) placeTask(placement Placement) Refusal {
	job := l.liveJobs[placement.Task.Job]
	if job == nil {
		return RefusedNoJob
	}
	task := job.Task(placement.Task)
	if task == nil {
		return RefusedNoJob
	}
	if task.State != TaskWaiting || placement.Run <= task.Run {
		return RefusedState
	}
	if task.ActiveRuns >= job.Spec.Steps[placement.Task.Step].MaxConcurrentRuns() {
		return RefusedRunActive
	}
	if !job.IsStepReady(placement.Task.Occurrence, placement.Task.Step, l.now) {
		return RefusedNotReady
	}
	target := l.targets[placement.Target]
	step := &job.Spec.Steps[placement.Task.Step]
	if refusal := l.checkTarget(job, step, target, placement.Task); refusal != "" {
		return refusal
	}
	reserved := step.Reservation()
	if !reserved.FitsIn(target.Free()) {
		return RefusedCapacity
	}
	if !l.withinClientAccountLimit(job.ClientAccount, step.Resources) {
		return RefusedLimit
	}
	l.recordPlacement(job, task, target, placement, step.Resources, reserved)
	return ""
}

// withinClientAccountLimit reports whether the client account stays within its
// limit if the request is added to its active runs.
func (l *Ledger) withinClientAccountLimit(clientAccount string, request quota.Resources) bool {
	if l.config == nil {
		return false
	}
	account := l.config.clientAccounts[clientAccount]
	return account == nil || WithinLimit(l.usageByClientAccount[clientAccount].Add(request), account.Limit)
}

func (l *Ledger) checkTarget(job *Job, step *Step, target *Target, ref TaskRef) Refusal {
	switch {
	case target == nil:
		return RefusedNoTarget
	case target.Leaving:
		return RefusedLeaving
	case target.Service != l.serviceOf(job):
		return RefusedService
	case !target.HasLabel(step.Label):
		return RefusedLabel
	case step.MaxPerTarget > 0 && target.RunsOfStep(ref) >= step.MaxPerTarget:
		return RefusedSpread
	}
	if _, ok := target.Runs[ref]; ok {
		return RefusedRunActive
	}
	return ""
}

// serviceOf returns the service of the job's queue, or the one it had at
// submission if the queue is no longer in the configuration.
func (l *Ledger) serviceOf(job *Job) string {
	if l.config != nil {
		if queue := l.config.queues[job.Queue]; queue != nil {
			return queue.Service
		}
	}
	return job.Service
}

// RunsOfStep returns the number of runs on the target that belong to the same
// step and occurrence as the task.
func (t *Target) RunsOfStep(ref TaskRef) int {
	count := 0
	for other := range t.Runs {
		other.Index = ref.Index
		if other == ref {
			count++
		}
	}
	return count
}

// recordPlacement updates the counters of the job, target and client account
// for a new run. The target reserves reserved; the client account is charged
// for the full request.
func (l *Ledger) recordPlacement(job *Job, task *Task, target *Target, placement Placement, request, reserved quota.Resources) {
	task.State = TaskPlaced
	task.Run = placement.Run
	task.Target = placement.Target
	task.Evicted = false
	task.ActiveRuns++
	job.Waiting--
	job.Occurrences[placement.Task.Occurrence].Steps[placement.Task.Step].Waiting--
	if !job.Started {
		job.Started = true
		job.State = StateRunning
		l.pendingByQueue[job.Queue]--
	}
	target.Used = target.Used.Add(reserved)
	target.Runs[placement.Task] = ActiveRun{
		Run:           placement.Run,
		Resources:     request,
		ClientAccount: job.ClientAccount,
	}
	if reserved != request {
		active := target.Runs[placement.Task]
		active.BestEffort = true
		target.Runs[placement.Task] = active
	}
	l.usageByClientAccount[job.ClientAccount] = l.usageByClientAccount[job.ClientAccount].Add(request)
}

// undoPlacement releases the resources of a placement that was recorded and
// requeues its task with the previous run number. The job's state is left to
// placeGroup.
func (l *Ledger) undoPlacement(placement Placement, previousRun uint32) {
	l.releaseRun(placement.Target, placement.Task, placement.Run)
	job := l.liveJobs[placement.Task.Job]
	task := job.Task(placement.Task)
	task.ActiveRuns--
	task.Run = previousRun
	l.requeueTask(job, placement.Task, task)
}

// releaseRun removes a run from the target and frees its resources. It returns
// false if the run is not active on the target.
func (l *Ledger) releaseRun(id TargetID, ref TaskRef, run uint32) bool {
	target := l.targets[id]
	if target == nil {
		return false
	}
	active, ok := target.Runs[ref]
	if !ok || active.Run != run {
		return false
	}
	delete(target.Runs, ref)
	target.Used = target.Used.Sub(active.Reserved())
	l.usageByClientAccount[active.ClientAccount] = l.usageByClientAccount[active.ClientAccount].Sub(active.Resources)
	return true
}

// Reserved returns the part of the target's capacity that the run reserves.
func (r ActiveRun) Reserved() quota.Resources {
	resources := r.Resources
	if r.BestEffort {
		resources.CPU = 0
	}
	return resources
}

// requeueTask makes a placed task wait for another run.
func (l *Ledger) requeueTask(job *Job, ref TaskRef, task *Task) {
	if task.State != TaskPlaced {
		return
	}
	task.State = TaskWaiting
	task.Evicted = false
	job.Waiting++
	job.Occurrences[ref.Occurrence].Steps[ref.Step].Waiting++
}

// endRun frees the resources of an ended run. If it is the latest run of the task,
// or one of several concurrent runs, its outcome decides the task's next state.
func (l *Ledger) endRun(e RunEnd) {
	if !l.releaseRun(e.Target, e.Task, e.Run) {
		return
	}
	job := l.liveJobs[e.Task.Job]
	if job == nil {
		return
	}
	task := job.Task(e.Task)
	if task == nil {
		return
	}
	task.ActiveRuns--
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}
	execution := &job.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
	if job.Spec.Steps[e.Task.Step].Gang {
		l.endGangRun(job, execution, task, e)
		return
	}
	step := &job.Spec.Steps[e.Task.Step]
	latest := task.State == TaskPlaced && task.Run == e.Run
	if task.State == TaskDone || !latest && step.MaxConcurrentRuns() == 1 {
		return
	}
	if e.Outcome == OutcomeDone {
		l.completeTask(job, e.Task)
		return
	}
	if latest {
		l.requeueTask(job, e.Task, task)
	}
	if e.Outcome != OutcomeFailed {
		return
	}
	task.Failures++
	if !step.LongRunning {
		l.checkAttempts(job, e.Task, task.Failures)
	}
}

// checkAttempts fails the job if as many runs of the task, or of its gang, have failed
// as the job's queue allows.
func (l *Ledger) checkAttempts(job *Job, ref TaskRef, failed int) {
	allowed := l.maxAttempts(job)
	if failed < allowed {
		return
	}
	l.finishJob(job, StateFailed)
	l.finished[len(l.finished)-1].UsedUp = &AttemptCount{
		Task:    ref,
		Failed:  failed,
		Allowed: allowed,
	}
}

// maxAttempts returns the number of failed runs after which the job fails.
func (l *Ledger) maxAttempts(job *Job) int {
	if l.config != nil {
		if queue := l.config.queues[job.Queue]; queue != nil {
			return max(1, queue.Attempts)
		}
	}
	return 1
}

// endGangRun applies the outcome of one gang member to all members of the run.
func (l *Ledger) endGangRun(job *Job, execution *StepExecution, task *Task, e RunEnd) {
	if task.Run != e.Run || task.State == TaskDone {
		return
	}
	ref := e.Task
	if e.Outcome == OutcomeDone {
		for i := range execution.Tasks {
			ref.Index = i
			l.completeTask(job, ref)
			if job.State.Final() {
				return
			}
		}
		return
	}
	checkpoint := e.Checkpoint
	for i := range execution.Tasks {
		ref.Index = i
		l.requeueTask(job, ref, &execution.Tasks[i])
		if checkpoint != "" {
			execution.Tasks[i].Checkpoint = checkpoint
		}
	}
	if e.Outcome != OutcomeFailed || execution.LastFailedRun >= e.Run {
		return
	}
	execution.LastFailedRun = e.Run
	execution.Failures++
	l.checkAttempts(job, e.Task, execution.Failures)
}

// completeTask marks a task as done, and finishes the job if it was the last
// one.
func (l *Ledger) completeTask(job *Job, ref TaskRef) {
	task := job.Task(ref)
	occurrence := &job.Occurrences[ref.Occurrence]
	execution := &occurrence.Steps[ref.Step]
	switch task.State {
	case TaskDone:
		return
	case TaskWaiting:
		job.Waiting--
		execution.Waiting--
	}
	task.State = TaskDone
	task.Checkpoint = ""
	execution.Left--
	if execution.Left > 0 {
		return
	}
	occurrence.Left--
	if occurrence.Left > 0 {
		return
	}
	for i := range job.Occurrences {
		if job.Occurrences[i].Left > 0 {
			return
		}
	}
	l.finishJob(job, StateCompleted)
}
