package sched

import (
	"container/heap"
	"time"
)

const (
	policyReserved = "reserved"
	policyProbe    = "probe"
	policyUrgent   = "urgent"
	policyShare    = "share"
)

// Decide returns the next decisions, at most so many. What it places counts
// as placed until Refused or Finished takes it back.
func (e *Engine) Decide(now time.Time, most int) []Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.out = nil
	e.fleet.refresh()
	e.wakeDelayed(now)
	e.refuseNever(now)
	e.placeReserved(now, most)
	e.probe(now)
	e.pass(now, most, true)
	e.preempt(now)
	e.pass(now, most, false)
	e.age(now)
	e.freed = e.freed[:0]
	e.onlyFreed = true
	return e.out
}

func (e *Engine) wakeDelayed(now time.Time) {
	for len(e.delayed) > 0 && !e.delayed[0].until.After(now) {
		entry, ok := heap.Pop(&e.delayed).(delayedItem)
		if !ok || entry.it.gone {
			continue
		}
		e.team(entry.it.job.Team).push(entry.it)
	}
}

// pass serves the teams in the order of their share until nothing fits.
func (e *Engine) pass(now time.Time, most int, urgent bool) {
	e.round = e.round[:0]
	for _, team := range e.teams {
		if team.waiting > 0 && (!urgent || team.urgent > 0) {
			team.share.advance(now)
			e.round = append(e.round, team)
		}
	}
	for len(e.round) > 0 && len(e.out) < most {
		next := e.neediest()
		if !e.placeFrom(e.round[next], now, urgent) {
			last := len(e.round) - 1
			e.round[next] = e.round[last]
			e.round = e.round[:last]
		}
	}
}

func (e *Engine) neediest() int {
	least := 0
	for i := 1; i < len(e.round); i++ {
		if needier(e.round[i], e.round[least]) {
			least = i
		}
	}
	return least
}

// needier orders teams by share, and by name where shares are equal, so that
// the order of a map never shows.
func needier(a, b *teamRecord) bool {
	x, y := a.order(), b.order()
	if x != y {
		return x < y
	}
	return a.Name < b.Name
}

// placeFrom places one item of the team, and tells whether it did.
func (e *Engine) placeFrom(team *teamRecord, now time.Time, urgent bool) bool {
	for {
		queue, it := e.nextItem(team, urgent)
		if it == nil {
			return false
		}
		if e.tryPlace(team, queue, it, now) {
			return true
		}
		queue.blocked = e.version
	}
}

// nextItem returns the oldest item of the most pressing kind that may fit by
// what has happened since it was last tried.
func (e *Engine) nextItem(team *teamRecord, urgent bool) (*shapeQueue, *item) {
	var queue *shapeQueue
	var first *item
	for _, q := range team.shapes {
		if urgent && !q.shape.urgent || q.blocked == e.version {
			continue
		}
		it := q.oldest()
		if it == nil || e.stillBlocked(q, it) {
			continue
		}
		if first == nil || pressing(q, it, queue, first) {
			queue, first = q, it
		}
	}
	return queue, first
}

// stillBlocked tells whether the item, tried in vain before, fits none of
// the workers that have given room back since.
func (e *Engine) stillBlocked(q *shapeQueue, it *item) bool {
	if q.blocked == 0 || !q.noRoom || !e.onlyFreed {
		return false
	}
	need := vectorOf(it.job.Room, 1)
	for _, w := range e.freed {
		if w.freeVector().covers(need) {
			return false
		}
	}
	q.blocked = e.version
	return true
}

func pressing(q *shapeQueue, it *item, than *shapeQueue, first *item) bool {
	if q.shape.urgent != than.shape.urgent {
		return q.shape.urgent
	}
	service, other := q.shape.kind == KindService, than.shape.kind == KindService
	if service != other {
		return service
	}
	return it.since.Before(first.since)
}

func (e *Engine) tryPlace(team *teamRecord, queue *shapeQueue, it *item, now time.Time) bool {
	job := it.job
	queue.noRoom = false
	tasks := 1
	if job.Kind == KindGang {
		tasks = len(job.tasks)
	}
	if !team.fits(job.Room.Times(tasks)) || !e.leavesHeadroom(job, tasks) {
		return false
	}
	policy, ok := e.policies.First(func(p Policy[*Job]) bool { return p.Takes(&job.Job) })
	if !ok {
		return false
	}
	e.view.avoid = e.avoid(job, it.task)
	e.view.service = e.service(job.Team, job.Service)
	declared := job.Room
	job.Room = e.expectedRoom(job.Job)
	places, ok := policy.Choose(e.view, &job.Job, tasks)
	job.Room = declared
	e.view.Reset()
	if !ok {
		queue.noRoom = true
		return false
	}
	e.commit(job, it, places, policy.Name(), now)
	return true
}

// avoid returns the worker on which the task failed last, so that it is not
// tried there twice in a row, unless no other worker is large enough.
func (e *Engine) avoid(job *jobRecord, task int) string {
	record := &job.tasks[task]
	w := e.fleet.byID[record.last]
	if record.failures == 0 || w == nil {
		return ""
	}
	need := vectorOf(job.Room, 1)
	others := e.fleet.capacity.find(need, 0, w.place) >= 0 ||
		e.fleet.capacity.find(need, w.place+1, len(e.fleet.places)) >= 0
	if !others {
		return ""
	}
	return record.last
}

// leavesHeadroom keeps room for services from everything that can wait.
func (e *Engine) leavesHeadroom(job *jobRecord, tasks int) bool {
	if job.Kind == KindService || e.settings.headroom <= 0 {
		return true
	}
	keep := e.settings.headroom * float64(e.fleet.total.CPU)
	left := e.fleet.total.CPU - e.fleet.used.CPU - job.Room.Times(tasks).CPU
	return float64(left) >= keep
}

func (e *Engine) commit(job *jobRecord, it *item, places []Place, policy string, now time.Time) {
	d := Decision{
		Verb:   VerbPlace,
		Job:    job.ID,
		Team:   job.Team,
		Policy: policy,
		Wait:   now.Sub(job.Submitted),
		Spots:  make([]Spot, 0, len(places)),
	}
	for i, place := range places {
		task := it.task
		if job.Kind == KindGang {
			task = i
		}
		w := e.fleet.places[place]
		record := &job.tasks[task]
		record.attempt++
		d.Spots = append(d.Spots, Spot{
			Task:    task,
			Attempt: record.attempt,
			Worker:  w.ID,
		})
		e.put(job, task, w, now)
	}
	team := e.team(job.Team)
	team.drop(it)
	team.starts.add(now, len(places))
	e.unreserve(job)
	job.doubtful = false
	e.out = append(e.out, d)
}
