package graph

import (
	"github.com/jasmineward/jasmineward/pkg/quota"
)

func (l *Ledger) place(p *Place) Result {
	result := Result{Groups: make([]Refusal, len(p.Groups))}
	for i, group := range p.Groups {
		result.Groups[i] = l.placeGroup(group)
	}
	return result
}

// placeGroup takes the spots one after the other, and gives all back when one
// is refused.
func (l *Ledger) placeGroup(spots []Spot) Refusal {
	if refusal := l.checkGang(spots); refusal != "" {
		return refusal
	}
	job := l.live[spots[0].Task.Job]
	begun := job.Begun
	before := make([]uint32, 0, len(spots))
	for i, spot := range spots {
		before = append(before, job.Task(spot.Task).Run)
		if refusal := l.take(spot); refusal != "" {
			for k, taken := range spots[:i] {
				l.giveBack(taken, before[k])
			}
			if !begun && job.Begun {
				job.Begun = false
				job.State = StateQueued
				l.pending[job.Queue]++
			}
			return refusal
		}
	}
	return ""
}

// checkGang refuses a group that holds only a part of a gang.
func (l *Ledger) checkGang(spots []Spot) Refusal {
	if len(spots) == 0 {
		return RefusedState
	}
	first := spots[0]
	job := l.live[first.Task.Job]
	if job == nil || job.Task(first.Task) == nil {
		return RefusedNoJob
	}
	for _, spot := range spots {
		if spot.Task.Job != first.Task.Job || job.Task(spot.Task) == nil {
			return RefusedNoJob
		}
	}
	if !job.Spec.Steps[first.Task.Step].Gang {
		return ""
	}
	seen := map[int]bool{}
	for _, spot := range spots {
		same := spot.Task
		same.Index = first.Task.Index
		if same != first.Task || spot.Run != first.Run {
			return RefusedGang
		}
		seen[spot.Task.Index] = true
	}
	if len(seen) != job.Spec.Steps[first.Task.Step].Count {
		return RefusedGang
	}
	return ""
}

// take checks and takes one spot.
func (l *Ledger) take(spot Spot) Refusal {
	job := l.live[spot.Task.Job]
	if job == nil {
		return RefusedNoJob
	}
	task := job.Task(spot.Task)
	if task == nil {
		return RefusedNoJob
	}
	if task.State != TaskWaiting || spot.Run <= task.Run {
		return RefusedState
	}
	if task.Held >= job.Spec.Steps[spot.Task.Step].MostRuns() {
		return RefusedHeld
	}
	if !job.Turn(spot.Task.Occurrence, spot.Task.Step, l.now) {
		return RefusedTurn
	}
	target := l.targets[spot.Target]
	step := &job.Spec.Steps[spot.Task.Step]
	if refusal := l.checkTarget(job, step, target, spot.Task); refusal != "" {
		return refusal
	}
	room := step.Takes()
	if !room.Fits(target.Free()) {
		return RefusedRoom
	}
	if !l.allowed(job.Tenant, step.Room) {
		return RefusedLimit
	}
	l.hold(job, task, target, spot, step.Room, room)
	return ""
}

// allowed tells whether the tenant's limit has place for the room.
func (l *Ledger) allowed(tenant string, room quota.Room) bool {
	if l.config == nil {
		return false
	}
	t := l.config.tenants[tenant]
	return t == nil || Within(l.usage[tenant].Add(room), t.Limit)
}

func (l *Ledger) checkTarget(job *Job, step *Step, target *Target, ref TaskRef) Refusal {
	switch {
	case target == nil:
		return RefusedTarget
	case target.Leaving:
		return RefusedLeaving
	case target.Service != l.serviceOf(job):
		return RefusedService
	case !target.Has(step.Label):
		return RefusedLabel
	case step.Spread > 0 && target.CountOf(ref) >= step.Spread:
		return RefusedSpread
	}
	if _, there := target.Runs[ref]; there {
		return RefusedHeld
	}
	return ""
}

// serviceOf returns the service that the job's queue has now, or had when it
// was there.
func (l *Ledger) serviceOf(job *Job) string {
	if l.config != nil {
		if queue := l.config.queues[job.Queue]; queue != nil {
			return queue.Service
		}
	}
	return job.Service
}

// CountOf counts the runs of the task's step and occurrence.
func (t *Target) CountOf(ref TaskRef) int {
	count := 0
	for other := range t.Runs {
		other.Index = ref.Index
		if other == ref {
			count++
		}
	}
	return count
}

func (l *Ledger) hold(job *Job, task *Task, target *Target, spot Spot, full, room quota.Room) {
	task.State = TaskPlaced
	task.Run = spot.Run
	task.Target = spot.Target
	task.Evicted = false
	task.Held++
	job.Waiting--
	job.Occurrences[spot.Task.Occurrence].Rounds[spot.Task.Step].Waiting--
	if !job.Begun {
		job.Begun = true
		job.State = StateRunning
		l.pending[job.Queue]--
	}
	target.Used = target.Used.Add(room)
	target.Runs[spot.Task] = Held{
		Run:    spot.Run,
		Room:   full,
		Tenant: job.Tenant,
	}
	if room != full {
		held := target.Runs[spot.Task]
		held.Filler = true
		target.Runs[spot.Task] = held
	}
	l.usage[job.Tenant] = l.usage[job.Tenant].Add(full)
}

// giveBack undoes hold for a task whose newest run was the one given.
func (l *Ledger) giveBack(spot Spot, run uint32) {
	l.release(spot.Target, spot.Task, spot.Run)
	job := l.live[spot.Task.Job]
	task := job.Task(spot.Task)
	task.Held--
	task.Run = run
	l.requeue(job, spot.Task, task)
}

// release frees the room of a run. It tells false when the target does not
// hold it.
func (l *Ledger) release(id TargetID, ref TaskRef, run uint32) bool {
	target := l.targets[id]
	if target == nil {
		return false
	}
	held, ok := target.Runs[ref]
	if !ok || held.Run != run {
		return false
	}
	delete(target.Runs, ref)
	target.Used = target.Used.Sub(held.takes())
	l.usage[held.Tenant] = l.usage[held.Tenant].Sub(held.Room)
	return true
}

func (h Held) takes() quota.Room {
	room := h.Room
	if h.Filler {
		room.CPU = 0
	}
	return room
}

func (l *Ledger) requeue(job *Job, ref TaskRef, task *Task) {
	if task.State != TaskPlaced {
		return
	}
	task.State = TaskWaiting
	task.Evicted = false
	job.Waiting++
	job.Occurrences[ref.Occurrence].Rounds[ref.Step].Waiting++
}

// end takes the end of a run, which frees its room, and if it is the task's
// newest run decides what becomes of the task.
func (l *Ledger) end(e End) {
	if !l.release(e.Target, e.Task, e.Run) {
		return
	}
	job := l.live[e.Task.Job]
	if job == nil {
		return
	}
	task := job.Task(e.Task)
	task.Held--
	if e.Saved != "" {
		task.Saved = e.Saved
	}
	round := &job.Occurrences[e.Task.Occurrence].Rounds[e.Task.Step]
	if job.Spec.Steps[e.Task.Step].Gang {
		l.endGang(job, round, task, e)
		return
	}
	step := &job.Spec.Steps[e.Task.Step]
	newest := task.State == TaskPlaced && task.Run == e.Run
	if task.State == TaskDone || !newest && step.MostRuns() == 1 {
		return
	}
	if e.How == HowDone {
		l.done(job, e.Task)
		return
	}
	if newest {
		l.requeue(job, e.Task, task)
	}
	if e.How != HowFailed {
		return
	}
	task.Failures++
	if !step.Lasting && task.Failures >= l.attempts(job) {
		l.finish(job, StateFailed)
	}
}

// attempts returns how many runs of a task may fail.
func (l *Ledger) attempts(job *Job) int {
	if l.config != nil {
		if queue := l.config.queues[job.Queue]; queue != nil {
			return max(1, queue.Attempts)
		}
	}
	return 1
}

// endGang has the end of one member decide for all members of its run.
func (l *Ledger) endGang(job *Job, round *Round, task *Task, e End) {
	if task.Run != e.Run || task.State == TaskDone {
		return
	}
	ref := e.Task
	if e.How == HowDone {
		for i := range round.Tasks {
			ref.Index = i
			l.done(job, ref)
			if job.State.Final() {
				return
			}
		}
		return
	}
	saved := e.Saved
	for i := range round.Tasks {
		ref.Index = i
		l.requeue(job, ref, &round.Tasks[i])
		if saved != "" {
			round.Tasks[i].Saved = saved
		}
	}
	if e.How != HowFailed || round.FailedRun >= e.Run {
		return
	}
	round.FailedRun = e.Run
	round.Failures++
	if round.Failures >= l.attempts(job) {
		l.finish(job, StateFailed)
	}
}

// done ends a task, and what ends with it.
func (l *Ledger) done(job *Job, ref TaskRef) {
	task := job.Task(ref)
	occurrence := &job.Occurrences[ref.Occurrence]
	round := &occurrence.Rounds[ref.Step]
	switch task.State {
	case TaskDone:
		return
	case TaskWaiting:
		job.Waiting--
		round.Waiting--
	}
	task.State = TaskDone
	task.Saved = ""
	round.Left--
	if round.Left > 0 {
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
	l.finish(job, StateCompleted)
}
