package sched

import (
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// maxPreemptions bounds the urgent jobs that room is made for in one Decide.
const maxPreemptions = 16

// preempt makes room for urgent work that fits nowhere: on the worker where
// the fewest victims have to go. The worker is kept for the urgent job until
// the stops are confirmed.
func (e *Engine) preempt(now time.Time) {
	for range maxPreemptions {
		it := e.urgentBlocked()
		if it == nil {
			return
		}
		if !e.makeRoom(it, now) {
			return
		}
	}
}

// urgentBlocked returns the oldest urgent item that nothing is reserved for.
func (e *Engine) urgentBlocked() *item {
	var oldest *item
	for _, team := range e.teams {
		if team.urgent == 0 {
			continue
		}
		for _, q := range team.shapes {
			if !q.shape.urgent || q.shape.kind == KindGang {
				continue
			}
			it := q.unreserved()
			if it == nil || !team.fits(it.job.Room) {
				continue
			}
			if oldest == nil || older(it, oldest) {
				oldest = it
			}
		}
	}
	return oldest
}

func older(a, b *item) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.job.ID < b.job.ID
}

// unreserved returns the first waiting item whose job holds no worker yet.
func (q *shapeQueue) unreserved() *item {
	for i := q.head; i < len(q.items); i++ {
		it := q.items[i]
		if it != nil && !it.gone && len(it.job.reserved) == 0 {
			return it
		}
	}
	return nil
}

func (e *Engine) makeRoom(it *item, now time.Time) bool {
	job := it.job
	room := e.expectedRoom(job.Job)
	w, victims := e.fewestVictims(room)
	if w == nil {
		return false
	}
	d := Decision{
		Verb:   VerbPreempt,
		Job:    job.ID,
		Team:   job.Team,
		Policy: policyUrgent,
		Wait:   now.Sub(job.Submitted),
	}
	for _, r := range victims {
		d.Victims = append(d.Victims, e.spareVictim(r))
	}
	e.fleet.reserve(w, job.ID)
	job.reserved = []*worker{w}
	job.reserve = now
	e.holders = append(e.holders, job)
	e.out = append(e.out, d)
	return true
}

// spareVictim marks an attempt as about to be stopped, so that it is chosen
// no more, and counts how often its task has had to go.
func (e *Engine) spareVictim(r *running) Victim {
	e.fleet.spare(r)
	if owner := e.jobs[r.key.job]; owner != nil {
		owner.tasks[r.key.task].preempted++
	}
	return Victim{
		Job:     r.key.job,
		Task:    r.key.task,
		Attempt: r.attempt,
		Worker:  r.worker.ID,
	}
}

// fewestVictims samples workers on which the room could be made.
func (e *Engine) fewestVictims(room quota.Room) (*worker, []*running) {
	var best *worker
	var fewest []*running
	need := vectorOf(room, 1)
	count := len(e.fleet.places)
	for range e.settings.samples {
		if count == 0 {
			break
		}
		from := e.view.random.IntN(count)
		place := e.fleet.reclaim.find(need, from, count)
		if place < 0 {
			place = e.fleet.reclaim.find(need, 0, from)
		}
		if place < 0 {
			break
		}
		w := e.fleet.places[place]
		victims := victimsOn(w, room)
		if best == nil || len(victims) < len(fewest) {
			best, fewest = w, victims
		}
	}
	return best, fewest
}

// victimsOn returns the fewest attempts whose room makes the need fit.
func victimsOn(w *worker, need quota.Room) []*running {
	return victimsFor(w, need, 1, func(r *running) bool { return r.victim })
}

// victimsFor returns the fewest of the attempts that may go, the largest
// first, as each of them frees the most. It returns what there is when that
// does not suffice.
func victimsFor(w *worker, need quota.Room, slots int, may func(*running) bool) []*running {
	var able []*running
	for _, r := range w.running {
		if may(r) {
			able = append(able, r)
		}
	}
	sort.Slice(able, func(i, j int) bool {
		a, b := able[i].room.Dominant(w.Capacity), able[j].room.Dominant(w.Capacity)
		if a != b {
			return a > b
		}
		return able[i].key.job > able[j].key.job
	})
	free := w.freeRoom()
	left := w.Slots - w.slots
	var victims []*running
	for _, r := range able {
		if need.Fits(free) && left >= slots {
			break
		}
		victims = append(victims, r)
		free = free.Add(r.room)
		left++
	}
	return victims
}
