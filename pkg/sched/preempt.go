package sched

import (
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// maxPreemptionsPerDecide limits the number of urgent items for which one
// Decide preempts other tasks.
const maxPreemptionsPerDecide = 16

// preempt frees resources for urgent work that fits nowhere, on the worker
// that needs the fewest victims. The worker is reserved for the urgent job
// until the victims are confirmed to have stopped.
func (e *Engine) preempt(now time.Time) {
	for range maxPreemptionsPerDecide {
		item := e.oldestUrgent()
		if item == nil {
			return
		}
		if !e.preemptFor(item, now) {
			return
		}
	}
}

// oldestUrgent returns the oldest urgent item that is within its team's limit
// and has no reserved workers. Gangs are left out.
func (e *Engine) oldestUrgent() *queueItem {
	var oldest *queueItem
	for _, team := range e.teams {
		if team.waitingUrgent == 0 {
			continue
		}
		for _, q := range team.queues {
			if !q.class.urgent || q.class.kind == KindGang {
				continue
			}
			item := q.firstUnreserved()
			if item == nil || !team.withinLimit(item.job.Resources) {
				continue
			}
			if oldest == nil || older(item, oldest) {
				oldest = item
			}
		}
	}
	return oldest
}

// older reports whether a has waited longer than b. Ties are broken by job ID.
func older(a, b *queueItem) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.job.ID < b.job.ID
}

// firstUnreserved returns the first waiting item whose job has no reserved
// workers.
func (q *classQueue) firstUnreserved() *queueItem {
	for i := q.head; i < len(q.items); i++ {
		item := q.items[i]
		if item != nil && !item.removed && len(item.job.reservedWorkers) == 0 {
			return item
		}
	}
	return nil
}

// preemptFor preempts tasks on one worker for the item and reserves that
// worker. It reports whether there was a suitable worker.
func (e *Engine) preemptFor(item *queueItem, now time.Time) bool {
	job := item.job
	resources := e.expectedResources(job.Job)
	w, victims := e.fewestVictims(resources)
	if w == nil {
		return false
	}
	d := Decision{
		Type:   DecisionPreempt,
		Job:    job.ID,
		Team:   job.Team,
		Policy: policyUrgent,
		Wait:   now.Sub(job.Submitted),
	}
	for _, p := range victims {
		d.Victims = append(d.Victims, e.takeVictim(p))
	}
	e.fleet.reserve(w, job.ID)
	job.reservedWorkers = []*worker{w}
	job.reservedAt = now
	e.reservedJobs = append(e.reservedJobs, job)
	e.decisions = append(e.decisions, d)
	return true
}

// takeVictim marks an attempt as about to be stopped, so that it is not
// chosen again, and counts the preemptions of its task.
func (e *Engine) takeVictim(p *placement) Victim {
	e.fleet.unmarkPreemptible(p)
	if owner := e.jobs[p.key.job]; owner != nil {
		owner.tasks[p.key.task].preemptions++
	}
	return Victim{
		Job:     p.key.job,
		Task:    p.key.task,
		Attempt: p.attempt,
		Worker:  p.worker.ID,
	}
}

// fewestVictims samples the workers on which preemption can free the
// resources, and returns the one with the fewest victims.
func (e *Engine) fewestVictims(resources quota.Resources) (*worker, []*placement) {
	var best *worker
	var fewest []*placement
	need := vectorOf(resources, 1)
	count := len(e.fleet.ordered)
	for range e.settings.sampleCount {
		if count == 0 {
			break
		}
		from := e.view.random.IntN(count)
		position := e.fleet.reclaimableIndex.find(need, from, count)
		if position < 0 {
			position = e.fleet.reclaimableIndex.find(need, 0, from)
		}
		if position < 0 {
			break
		}
		w := e.fleet.ordered[position]
		victims := victimsOn(w, resources)
		if best == nil || len(victims) < len(fewest) {
			best, fewest = w, victims
		}
	}
	return best, fewest
}

// victimsOn returns preemptible attempts whose preemption makes the need fit.
func victimsOn(w *worker, need quota.Resources) []*placement {
	return victimsFor(w, need, 1, func(p *placement) bool { return p.preemptible })
}

// victimsFor returns eligible attempts whose preemption makes the need and the
// given number of slots fit. To keep them few, it takes the largest first, as
// each of them frees the most. If all of them do not suffice, it returns all.
func victimsFor(w *worker, need quota.Resources, slots int, eligible func(*placement) bool) []*placement {
	var candidates []*placement
	for _, p := range w.placements {
		if eligible(p) {
			candidates = append(candidates, p)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i].resources.DominantShare(w.Capacity), candidates[j].resources.DominantShare(w.Capacity)
		if a != b {
			return a > b
		}
		return candidates[i].key.job > candidates[j].key.job
	})
	free := w.freeResources()
	freeSlots := w.Slots - w.usedSlots
	var victims []*placement
	for _, p := range candidates {
		if need.FitsIn(free) && freeSlots >= slots {
			break
		}
		victims = append(victims, p)
		free = free.Add(p.resources)
		freeSlots++
	}
	return victims
}
