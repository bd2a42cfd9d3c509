package sched

import (
	"slices"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// agingInterval is how often the oldest waiting work is looked for.
const agingInterval = 100 * time.Millisecond

const (
	// underservedFraction is the fraction of its share below which a team is
	// underserved.
	underservedFraction = 0.8
	// minWeight replaces smaller weights, so that the sum of weights is never
	// zero.
	minWeight = 1e-6
)

// reserveForAged reserves workers for the oldest work that has waited too
// long. A reserved worker accepts no other tasks, so that it becomes empty as
// its running tasks end, whatever resources they declared. The wait is thereby
// bounded by the aging time plus the run time of the longest of these tasks.
func (e *Engine) reserveForAged(now time.Time) {
	if now.Before(e.nextAging) {
		return
	}
	e.nextAging = now.Add(agingInterval)
	e.expireGangReservations(now)
	for len(e.reservedJobs) < e.settings.maxReservations {
		item := e.oldestAged(now)
		if item == nil {
			return
		}
		if !e.reserve(item, now) {
			e.checkSchedulable(item.job, now)
			return
		}
	}
}

// expireGangReservations releases reservations that have timed out, so that
// two gangs waiting for each other's workers do not deadlock.
func (e *Engine) expireGangReservations(now time.Time) {
	for _, job := range slices.Clone(e.reservedJobs) {
		if job.Kind == KindGang && now.Sub(job.reservedAt) > e.settings.gangReservationTimeout {
			e.unreserve(job)
		}
	}
}

// oldestAged returns the oldest item that is past its aging time, within its
// team's limit, and without reserved workers.
func (e *Engine) oldestAged(now time.Time) *queueItem {
	var oldest *queueItem
	for _, team := range e.teamsWaiting() {
		delay := e.settings.aging
		if e.underserved(team) {
			delay = e.settings.underservedAging
		}
		for _, q := range team.queues {
			item := q.oldest()
			if item == nil || len(item.job.reservedWorkers) > 0 || now.Sub(item.since) < delay {
				continue
			}
			if !team.withinLimit(item.job.Resources.Times(item.taskCount())) {
				continue
			}
			if oldest == nil || item.since.Before(oldest.since) {
				oldest = item
			}
		}
	}
	return oldest
}

// teamsWaiting returns the teams with waiting work, ordered by name.
func (e *Engine) teamsWaiting() []*teamRecord {
	e.teamScratch = e.teamScratch[:0]
	for _, team := range e.teams {
		if team.waiting > 0 {
			e.teamScratch = append(e.teamScratch, team)
		}
	}
	sort.Slice(e.teamScratch, func(i, j int) bool { return e.teamScratch[i].Name < e.teamScratch[j].Name })
	return e.teamScratch
}

// underserved reports whether the team uses clearly less than its share
// among the teams that have work.
func (e *Engine) underserved(team *teamRecord) bool {
	weights := 0.0
	for _, other := range e.teams {
		if other.waiting > 0 || !other.used.IsZero() {
			weights += max(other.Weight, minWeight)
		}
	}
	share := max(team.Weight, minWeight) / weights
	return team.used.DominantShare(e.fleet.total) < underservedFraction*share
}

func (item *queueItem) taskCount() int {
	if item.job.Kind == KindGang {
		return len(item.job.tasks)
	}
	return 1
}

// reserve reserves for the item the workers that are used least, as these
// need the least to become empty. It reports whether enough workers were
// found; otherwise it reserves none.
func (e *Engine) reserve(item *queueItem, now time.Time) bool {
	job := item.job
	remaining := item.taskCount()
	resources := e.expectedResources(job.Job)
	var chosen []*worker
	for _, w := range e.workersByUsage(resources, e.workerToAvoid(job, item.task)) {
		if remaining <= 0 {
			break
		}
		chosen = append(chosen, w)
		remaining -= tasksPerEmptyWorker(w, resources)
	}
	if remaining > 0 || len(chosen) == 0 {
		return false
	}
	for _, w := range chosen {
		e.fleet.reserve(w, job.ID)
	}
	job.reservedWorkers = chosen
	job.reservedAt = now
	e.reservedJobs = append(e.reservedJobs, job)
	if e.underserved(e.team(job.Team)) {
		e.preemptForShare(item, now)
	}
	return true
}

// preemptForShare preempts tasks of teams that are not underserved on the
// reserved workers, so that an underserved team need not wait for those
// tasks to end.
func (e *Engine) preemptForShare(item *queueItem, now time.Time) {
	job := item.job
	resources := e.expectedResources(job.Job)
	remaining := item.taskCount()
	var victims []Victim
	for _, w := range job.reservedWorkers {
		tasksHere := min(remaining, tasksPerEmptyWorker(w, resources))
		remaining -= tasksHere
		for _, p := range e.shareVictims(w, resources, tasksHere) {
			victims = append(victims, e.takeVictim(p))
		}
	}
	if len(victims) == 0 {
		return
	}
	e.decisions = append(e.decisions, Decision{
		Type:    DecisionPreempt,
		Job:     job.ID,
		Team:    job.Team,
		Policy:  policyShare,
		Victims: victims,
		Wait:    now.Sub(job.Submitted),
	})
}

// shareVictims returns the victims on the worker whose preemption makes the
// given number of tasks fit. Tasks of underserved teams are not preempted.
func (e *Engine) shareVictims(w *worker, resources quota.Resources, tasks int) []*placement {
	return victimsFor(w, resources.Times(tasks), tasks, func(p *placement) bool {
		return p.preemptible && !e.underserved(e.team(p.team))
	})
}

// workersByUsage returns the workers that would have enough resources when
// empty, least used first.
func (e *Engine) workersByUsage(resources quota.Resources, avoid string) []*worker {
	var candidates []*worker
	for _, w := range e.fleet.ordered {
		if w.reservedFor != 0 || !w.health.schedulable() || w.ID == avoid {
			continue
		}
		if resources.FitsIn(w.Capacity) {
			candidates = append(candidates, w)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		return a.used.DominantShare(a.Capacity) < b.used.DominantShare(b.Capacity)
	})
	return candidates
}

func tasksPerEmptyWorker(w *worker, resources quota.Resources) int {
	n := 0
	for left := w.Capacity; n < w.Slots && resources.FitsIn(left); n++ {
		left = left.Sub(resources)
	}
	return n
}

// placeReserved places work whose reserved workers have enough free
// resources.
func (e *Engine) placeReserved(now time.Time, limit int) {
	for _, job := range slices.Clone(e.reservedJobs) {
		if len(e.decisions) >= limit {
			return
		}
		item := job.waitingItem()
		if item == nil {
			e.unreserve(job)
			continue
		}
		if positions, ok := e.reservedPositions(job, item.taskCount()); ok && e.itemWithinLimit(job, item) {
			e.commit(job, item, positions, policyReserved, now)
		}
	}
}

// itemWithinLimit reports whether placing the item keeps the team within its
// limit.
func (e *Engine) itemWithinLimit(job *jobRecord, item *queueItem) bool {
	return e.team(job.Team).withinLimit(job.Resources.Times(item.taskCount()))
}

func (job *jobRecord) waitingItem() *queueItem {
	if job.Kind == KindGang {
		if job.gangItem == nil || job.gangItem.removed {
			return nil
		}
		return job.gangItem
	}
	for i := range job.tasks {
		if item := job.tasks[i].item; item != nil && !item.removed {
			return item
		}
	}
	return nil
}

// reservedPositions returns a position on the job's reserved workers for each
// task, and whether all tasks fit there now.
func (e *Engine) reservedPositions(job *jobRecord, tasks int) ([]Position, bool) {
	resources := e.expectedResources(job.Job)
	positions := e.view.Buffer()
	for _, w := range job.reservedWorkers {
		free := w.freeResources()
		for n := w.usedSlots; len(positions) < tasks && n < w.Slots && resources.FitsIn(free); n++ {
			free = free.Sub(resources)
			positions = append(positions, Position(w.position))
		}
	}
	return positions, len(positions) == tasks
}

func (e *Engine) unreserve(job *jobRecord) {
	if len(job.reservedWorkers) == 0 {
		return
	}
	for _, w := range job.reservedWorkers {
		if w.reservedFor == job.ID {
			e.fleet.unreserve(w)
			e.noteFreed(w)
		}
	}
	job.reservedWorkers = nil
	e.reservedJobs = slices.DeleteFunc(e.reservedJobs, func(other *jobRecord) bool { return other == job })
}
