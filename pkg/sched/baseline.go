package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Baseline is a first-fit FIFO scheduler: one queue for all, whose head goes
// to the first worker with room, and behind which everything waits. It is
// what the Engine is measured against.
type Baseline struct {
	workers []*baseWorker
	byID    map[string]*baseWorker
	teams   map[string]Team
	used    map[string]quota.Room
	queue   []baseItem
	jobs    map[JobID]Job
	at      map[taskKey]*baseWorker
}

type baseWorker struct {
	Worker
	used  quota.Room
	slots int
}

type baseItem struct {
	job  JobID
	task int
}

var _ Decider = (*Baseline)(nil)

// NewBaseline returns a scheduler that knows of nothing yet.
func NewBaseline() *Baseline {
	return &Baseline{
		byID:  map[string]*baseWorker{},
		teams: map[string]Team{},
		used:  map[string]quota.Room{},
		jobs:  map[JobID]Job{},
		at:    map[taskKey]*baseWorker{},
	}
}

// SetWorker adds a worker.
func (b *Baseline) SetWorker(w Worker) {
	record := &baseWorker{Worker: w}
	b.byID[w.ID] = record
	b.workers = append(b.workers, record)
}

// RemoveWorker forgets a worker.
func (b *Baseline) RemoveWorker(id string) {
	gone := b.byID[id]
	delete(b.byID, id)
	kept := b.workers[:0]
	for _, w := range b.workers {
		if w != gone {
			kept = append(kept, w)
		}
	}
	b.workers = kept
}

// SetTeam sets a team's limit.
func (b *Baseline) SetTeam(t Team) {
	b.teams[t.Name] = t
}

// Submit puts the job's tasks at the end of the queue.
func (b *Baseline) Submit(j Job) {
	b.jobs[j.ID] = j
	for task := range j.Tasks {
		b.queue = append(b.queue, baseItem{
			job:  j.ID,
			task: task,
		})
		if j.Kind == KindGang {
			return
		}
	}
}

// Finished frees the room of a task.
func (b *Baseline) Finished(id JobID, task int, _ Result) {
	key := taskKey{
		job:  id,
		task: task,
	}
	w := b.at[key]
	if w == nil {
		return
	}
	delete(b.at, key)
	job := b.jobs[id]
	w.used = w.used.Sub(job.Room)
	w.slots--
	b.used[job.Team] = b.used[job.Team].Sub(job.Room)
}

// Decide places from the head of the queue until it no longer fits.
func (b *Baseline) Decide(now time.Time, most int) []Decision {
	var out []Decision
	for len(b.queue) > 0 && len(out) < most {
		head := b.queue[0]
		job := b.jobs[head.job]
		if !b.ever(job) {
			b.queue = b.queue[1:]
			continue
		}
		spots, ok := b.fit(job, head)
		if !ok {
			return out
		}
		b.queue = b.queue[1:]
		out = append(out, Decision{
			Verb:   VerbPlace,
			Job:    job.ID,
			Team:   job.Team,
			Policy: "first-fit",
			Spots:  spots,
			Wait:   now.Sub(job.Submitted),
		})
	}
	return out
}

// ever tells whether an empty fleet and an idle team could take the job, as
// a queue whose head can never run would stand still for good.
func (b *Baseline) ever(job Job) bool {
	count := 1
	if job.Kind == KindGang {
		count = job.Tasks
	}
	if !job.Room.Times(count).Fits(b.teams[job.Team].Limit) {
		return false
	}
	for _, w := range b.workers {
		left := w.Capacity
		for n := 0; n < w.Slots && job.Room.Fits(left) && count > 0; n++ {
			left = left.Sub(job.Room)
			count--
		}
		if count == 0 {
			return true
		}
	}
	return false
}

func (b *Baseline) fit(job Job, head baseItem) ([]Spot, bool) {
	first, count := head.task, 1
	if job.Kind == KindGang {
		first, count = 0, job.Tasks
	}
	whole := b.used[job.Team].Add(job.Room.Times(count))
	if !whole.Fits(b.teams[job.Team].Limit) {
		return nil, false
	}
	var spots []Spot
	for task := first; task < first+count; task++ {
		w := b.firstFit(job.Room)
		if w == nil {
			for _, spot := range spots {
				b.Finished(job.ID, spot.Task, Result{})
			}
			return nil, false
		}
		b.put(job, task, w)
		spots = append(spots, Spot{
			Task:    task,
			Attempt: 1,
			Worker:  w.ID,
		})
	}
	return spots, true
}

func (b *Baseline) firstFit(room quota.Room) *baseWorker {
	for _, w := range b.workers {
		if w.slots < w.Slots && room.Fits(w.Capacity.Sub(w.used)) {
			return w
		}
	}
	return nil
}

func (b *Baseline) put(job Job, task int, w *baseWorker) {
	w.used = w.used.Add(job.Room)
	w.slots++
	b.used[job.Team] = b.used[job.Team].Add(job.Room)
	b.at[taskKey{
		job:  job.ID,
		task: task,
	}] = w
}
