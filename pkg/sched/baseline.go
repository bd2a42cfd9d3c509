package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Baseline is a first-fit FIFO scheduler with a single queue: its head is
// placed on the first worker with enough free resources and blocks
// everything behind it. It is the reference that the Engine is compared
// with.
type Baseline struct {
	workers  []*baselineWorker
	byID     map[string]*baselineWorker
	teams    map[string]Team
	used     map[string]quota.Resources
	queue    []baselineItem
	jobs     map[JobID]Job
	assigned map[taskKey]*baselineWorker
}

type baselineWorker struct {
	Worker
	used      quota.Resources
	usedSlots int
}

type baselineItem struct {
	job  JobID
	task int
}

var _ Scheduler = (*Baseline)(nil)

// NewBaseline returns a Baseline without workers, teams or jobs.
func NewBaseline() *Baseline {
	return &Baseline{
		byID:     map[string]*baselineWorker{},
		teams:    map[string]Team{},
		used:     map[string]quota.Resources{},
		jobs:     map[JobID]Job{},
		assigned: map[taskKey]*baselineWorker{},
	}
}

// SetWorker adds a worker.
func (b *Baseline) SetWorker(w Worker) {
	record := &baselineWorker{Worker: w}
	b.byID[w.ID] = record
	b.workers = append(b.workers, record)
}

// RemoveWorker removes a worker.
func (b *Baseline) RemoveWorker(id string) {
	removed := b.byID[id]
	delete(b.byID, id)
	kept := b.workers[:0]
	for _, w := range b.workers {
		if w != removed {
			kept = append(kept, w)
		}
	}
	b.workers = kept
}

// SetTeam sets a team's resource limit.
func (b *Baseline) SetTeam(t Team) {
	b.teams[t.Name] = t
}

// Submit appends the job's tasks to the queue. A gang is queued as one item.
func (b *Baseline) Submit(j Job) {
	b.jobs[j.ID] = j
	for task := range j.Tasks {
		b.queue = append(b.queue, baselineItem{
			job:  j.ID,
			task: task,
		})
		if j.Kind == KindGang {
			return
		}
	}
}

// Finished releases the resources of a task.
func (b *Baseline) Finished(id JobID, task int, _ Result) {
	key := taskKey{
		job:  id,
		task: task,
	}
	w := b.assigned[key]
	if w == nil {
		return
	}
	delete(b.assigned, key)
	job := b.jobs[id]
	w.used = w.used.Sub(job.Resources)
	w.usedSlots--
	b.used[job.Team] = b.used[job.Team].Sub(job.Resources)
}

// Decide places items from the head of the queue until one does not fit or
// there are limit decisions.
func (b *Baseline) Decide(now time.Time, limit int) []Decision {
	var decisions []Decision
	for len(b.queue) > 0 && len(decisions) < limit {
		head := b.queue[0]
		job := b.jobs[head.job]
		if !b.canEverFit(job) {
			b.queue = b.queue[1:]
			continue
		}
		placements, ok := b.assignItem(job, head)
		if !ok {
			return decisions
		}
		b.queue = b.queue[1:]
		decisions = append(decisions, Decision{
			Type:       DecisionPlace,
			Job:        job.ID,
			Team:       job.Team,
			Policy:     "first-fit",
			Placements: placements,
			Wait:       now.Sub(job.Submitted),
		})
	}
	return decisions
}

// canEverFit reports whether the job would fit on an empty fleet if its team
// were idle. A job that can never run would block the queue forever.
func (b *Baseline) canEverFit(job Job) bool {
	count := 1
	if job.Kind == KindGang {
		count = job.Tasks
	}
	if !job.Resources.Times(count).FitsIn(b.teams[job.Team].Limit) {
		return false
	}
	for _, w := range b.workers {
		left := w.Capacity
		for n := 0; n < w.Slots && job.Resources.FitsIn(left) && count > 0; n++ {
			left = left.Sub(job.Resources)
			count--
		}
		if count == 0 {
			return true
		}
	}
	return false
}

func (b *Baseline) assignItem(job Job, head baselineItem) ([]Placement, bool) {
	first, count := head.task, 1
	if job.Kind == KindGang {
		first, count = 0, job.Tasks
	}
	usage := b.used[job.Team].Add(job.Resources.Times(count))
	if !usage.FitsIn(b.teams[job.Team].Limit) {
		return nil, false
	}
	var placements []Placement
	for task := first; task < first+count; task++ {
		w := b.firstFit(job.Resources)
		if w == nil {
			for _, placement := range placements {
				b.Finished(job.ID, placement.Task, Result{})
			}
			return nil, false
		}
		b.assign(job, task, w)
		placements = append(placements, Placement{
			Task:    task,
			Attempt: 1,
			Worker:  w.ID,
		})
	}
	return placements, true
}

func (b *Baseline) firstFit(resources quota.Resources) *baselineWorker {
	for _, w := range b.workers {
		if w.usedSlots < w.Slots && resources.FitsIn(w.Capacity.Sub(w.used)) {
			return w
		}
	}
	return nil
}

func (b *Baseline) assign(job Job, task int, w *baselineWorker) {
	w.used = w.used.Add(job.Resources)
	w.usedSlots++
	b.used[job.Team] = b.used[job.Team].Add(job.Resources)
	b.assigned[taskKey{
		job:  job.ID,
		task: task,
	}] = w
}
