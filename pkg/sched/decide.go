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

// Decide returns the next decisions. Tasks are placed by share or on
// reserved workers while there are fewer than limit decisions; refusals,
// probes and preemptions are not subject to limit. A placed task occupies
// its worker until it is released, for example by RevertPlacements or Finished.
func (e *Engine) Decide(now time.Time, limit int) []Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decisions = nil
	e.fleet.refresh()
	e.enqueueDelayed(now)
	e.refuseUnschedulable(now)
	e.placeReserved(now, limit)
	e.probeQuarantined(now)
	e.placeByShare(now, limit, true)
	e.preempt(now)
	e.placeByShare(now, limit, false)
	e.reserveForAged(now)
	e.freed = e.freed[:0]
	e.onlyFreed = true
	return e.decisions
}

func (e *Engine) enqueueDelayed(now time.Time) {
	for len(e.delayed) > 0 && !e.delayed[0].until.After(now) {
		entry, ok := heap.Pop(&e.delayed).(delayedItem)
		if !ok || entry.item.removed {
			continue
		}
		e.team(entry.item.job.Team).push(entry.item)
	}
}

// placeByShare serves the teams in ascending order of share until nothing
// more fits or there are limit decisions. If urgent is set, only urgent work
// is placed.
func (e *Engine) placeByShare(now time.Time, limit int, urgent bool) {
	e.teamScratch = e.teamScratch[:0]
	for _, team := range e.teams {
		if team.waiting > 0 && (!urgent || team.waitingUrgent > 0) {
			team.share.advance(now)
			e.teamScratch = append(e.teamScratch, team)
		}
	}
	for len(e.teamScratch) > 0 && len(e.decisions) < limit {
		lowest := e.lowestShareIndex()
		if !e.placeNext(e.teamScratch[lowest], now, urgent) {
			last := len(e.teamScratch) - 1
			e.teamScratch[lowest] = e.teamScratch[last]
			e.teamScratch = e.teamScratch[:last]
		}
	}
}

// lowestShareIndex returns the index in teamScratch of the team to serve next.
func (e *Engine) lowestShareIndex() int {
	lowest := 0
	for i := 1; i < len(e.teamScratch); i++ {
		if lowerShare(e.teamScratch[i], e.teamScratch[lowest]) {
			lowest = i
		}
	}
	return lowest
}

// lowerShare reports whether a is served before b. It compares weighted
// shares, then names, so that the result does not depend on map iteration
// order.
func lowerShare(a, b *teamRecord) bool {
	x, y := a.weightedShare(), b.weightedShare()
	if x != y {
		return x < y
	}
	return a.Name < b.Name
}

// placeNext places one item of the team and reports whether it did.
func (e *Engine) placeNext(team *teamRecord, now time.Time, urgent bool) bool {
	for {
		queue, item := e.nextItem(team, urgent)
		if item == nil {
			return false
		}
		if e.tryPlace(team, queue, item, now) {
			return true
		}
		queue.blockedVersion = e.fleetVersion
	}
}

// nextItem returns the first item by urgency, kind and age. It skips items
// that failed to be placed and cannot fit after the changes made since.
func (e *Engine) nextItem(team *teamRecord, urgent bool) (*classQueue, *queueItem) {
	var queue *classQueue
	var first *queueItem
	for _, q := range team.queues {
		if urgent && !q.class.urgent || q.blockedVersion == e.fleetVersion {
			continue
		}
		item := q.oldest()
		if item == nil || e.stillBlocked(q, item) {
			continue
		}
		if first == nil || precedes(q, item, queue, first) {
			queue, first = q, item
		}
	}
	return queue, first
}

// stillBlocked reports whether an item that failed for lack of capacity fits
// none of the workers on which resources were freed since. If so, it marks
// the queue as blocked at the current fleet version.
func (e *Engine) stillBlocked(q *classQueue, item *queueItem) bool {
	if q.blockedVersion == 0 || !q.noCapacity || !e.onlyFreed {
		return false
	}
	need := vectorOf(item.job.Resources, 1)
	for _, w := range e.freed {
		if w.freeVector().covers(need) {
			return false
		}
	}
	q.blockedVersion = e.fleetVersion
	return true
}

// precedes reports whether the item is tried before the other: urgent items
// come first, then services, then the oldest.
func precedes(q *classQueue, item *queueItem, otherQueue *classQueue, otherItem *queueItem) bool {
	if q.class.urgent != otherQueue.class.urgent {
		return q.class.urgent
	}
	service, otherService := q.class.kind == KindService, otherQueue.class.kind == KindService
	if service != otherService {
		return service
	}
	return item.since.Before(otherItem.since)
}

// tryPlace places the item if its policy finds workers for it, and reports
// whether it did.
func (e *Engine) tryPlace(team *teamRecord, queue *classQueue, item *queueItem, now time.Time) bool {
	job := item.job
	queue.noCapacity = false
	tasks := 1
	if job.Kind == KindGang {
		tasks = len(job.tasks)
	}
	if !team.withinLimit(job.Resources.Times(tasks)) || !e.leavesHeadroom(job, tasks) {
		return false
	}
	policy, ok := e.policies.First(func(p Policy[*Job]) bool { return p.AppliesTo(&job.Job) })
	if !ok {
		return false
	}
	e.view.avoidWorker = e.workerToAvoid(job, item.task)
	e.view.service = e.service(job.Team, job.Service)
	declared := job.Resources
	job.Resources = e.expectedResources(job.Job)
	positions, ok := policy.Choose(e.view, &job.Job, tasks)
	job.Resources = declared
	e.view.Reset()
	if !ok {
		queue.noCapacity = true
		return false
	}
	e.commit(job, item, positions, policy.Name(), now)
	return true
}

// workerToAvoid returns the worker that a task with failures was last placed
// on, so that it is not tried there twice in a row. It returns "" if no
// other worker is large enough.
func (e *Engine) workerToAvoid(job *jobRecord, task int) string {
	record := &job.tasks[task]
	w := e.fleet.byID[record.lastWorker]
	if record.failures == 0 || w == nil {
		return ""
	}
	need := vectorOf(job.Resources, 1)
	hasAlternative := e.fleet.capacityIndex.find(need, 0, w.position) >= 0 ||
		e.fleet.capacityIndex.find(need, w.position+1, len(e.fleet.ordered)) >= 0
	if !hasAlternative {
		return ""
	}
	return record.lastWorker
}

// leavesHeadroom reports whether the headroom for services remains free
// after the tasks are placed. Services may use the headroom.
func (e *Engine) leavesHeadroom(job *jobRecord, tasks int) bool {
	if job.Kind == KindService || e.settings.headroom <= 0 {
		return true
	}
	keep := e.settings.headroom * float64(e.fleet.total.CPU)
	left := e.fleet.total.CPU - e.fleet.used.CPU - job.Resources.Times(tasks).CPU
	return float64(left) >= keep
}

func (e *Engine) commit(job *jobRecord, item *queueItem, positions []Position, policy string, now time.Time) {
	d := Decision{
		Type:       DecisionPlace,
		Job:        job.ID,
		Team:       job.Team,
		Policy:     policy,
		Wait:       now.Sub(job.Submitted),
		Placements: make([]Placement, 0, len(positions)),
	}
	for i, position := range positions {
		task := item.task
		if job.Kind == KindGang {
			task = i
		}
		w := e.fleet.ordered[position]
		record := &job.tasks[task]
		record.attempt++
		d.Placements = append(d.Placements, Placement{
			Task:    task,
			Attempt: record.attempt,
			Worker:  w.ID,
		})
		e.assign(job, task, w, now)
	}
	team := e.team(job.Team)
	team.remove(item)
	team.startRate.add(now, len(positions))
	e.unreserve(job)
	job.unschedulable = false
	e.decisions = append(e.decisions, d)
}
