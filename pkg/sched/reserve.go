package sched

import (
	"slices"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// ageEvery is how often the oldest waiting work is looked for.
const ageEvery = 100 * time.Millisecond

const (
	// clearlyBelow is the part of its share below which a team has clearly
	// less than it.
	clearlyBelow = 0.8
	minWeight    = 1e-6
)

// age reserves workers for the oldest work that has waited too long. A
// reserved worker takes nothing else, so that it empties whatever its tasks
// were declared to take; the wait of the work it is kept for is bounded by
// the aging time and the longest task that runs there.
func (e *Engine) age(now time.Time) {
	if now.Before(e.ageAt) {
		return
	}
	e.ageAt = now.Add(ageEvery)
	e.dropHolders(now)
	for len(e.holders) < e.settings.maxHolders {
		it := e.oldestWaiting(now)
		if it == nil {
			return
		}
		if !e.reserve(it, now) {
			e.doubt(it.job, now)
			return
		}
	}
}

// dropHolders ends reservations that are over time, so that two gangs that
// wait for each other's workers both let go.
func (e *Engine) dropHolders(now time.Time) {
	for _, job := range slices.Clone(e.holders) {
		if job.Kind == KindGang && now.Sub(job.reserve) > e.settings.reserveFor {
			e.unreserve(job)
		}
	}
}

// oldestWaiting returns the oldest item that is past the aging time, within
// its team's limit, and not reserved for yet.
func (e *Engine) oldestWaiting(now time.Time) *item {
	var oldest *item
	for _, team := range e.round0() {
		bound := e.settings.aging
		if e.belowShare(team) {
			bound = e.settings.agingBelow
		}
		for _, q := range team.shapes {
			it := q.oldest()
			if it == nil || len(it.job.reserved) > 0 || now.Sub(it.since) < bound {
				continue
			}
			if !team.fits(it.job.Room.Times(it.tasks())) {
				continue
			}
			if oldest == nil || it.since.Before(oldest.since) {
				oldest = it
			}
		}
	}
	return oldest
}

// round0 returns the teams with waiting work, by name.
func (e *Engine) round0() []*teamRecord {
	e.round = e.round[:0]
	for _, team := range e.teams {
		if team.waiting > 0 {
			e.round = append(e.round, team)
		}
	}
	sort.Slice(e.round, func(i, j int) bool { return e.round[i].Name < e.round[j].Name })
	return e.round
}

// belowShare tells whether the team has clearly less than its share among
// the teams that have work.
func (e *Engine) belowShare(team *teamRecord) bool {
	weights := 0.0
	for _, other := range e.teams {
		if other.waiting > 0 || !other.used.IsZero() {
			weights += max(other.Weight, minWeight)
		}
	}
	share := max(team.Weight, minWeight) / weights
	return team.used.Dominant(e.fleet.total) < clearlyBelow*share
}

func (it *item) tasks() int {
	if it.job.Kind == KindGang {
		return len(it.job.tasks)
	}
	return 1
}

// reserve keeps for the item the workers that need the least to empty.
func (e *Engine) reserve(it *item, now time.Time) bool {
	job := it.job
	need := it.tasks()
	room := e.expectedRoom(job.Job)
	var chosen []*worker
	for _, w := range e.byUse(room, e.avoid(job, it.task)) {
		if need <= 0 {
			break
		}
		chosen = append(chosen, w)
		need -= fitsEmpty(w, room)
	}
	if need > 0 || len(chosen) == 0 {
		return false
	}
	for _, w := range chosen {
		e.fleet.reserve(w, job.ID)
	}
	job.reserved = chosen
	job.reserve = now
	e.holders = append(e.holders, job)
	if e.belowShare(e.team(job.Team)) {
		e.reclaim(it, now)
	}
	return true
}

// reclaim has preemptible work of teams that are not below their share make
// way on the reserved workers, so that a team below its share need not wait
// for that work to end.
func (e *Engine) reclaim(it *item, now time.Time) {
	job := it.job
	room := e.expectedRoom(job.Job)
	need := it.tasks()
	var victims []Victim
	for _, w := range job.reserved {
		here := min(need, fitsEmpty(w, room))
		need -= here
		for _, r := range e.reclaimable(w, room, here) {
			victims = append(victims, e.spareVictim(r))
		}
	}
	if len(victims) == 0 {
		return
	}
	e.out = append(e.out, Decision{
		Verb:    VerbPreempt,
		Job:     job.ID,
		Team:    job.Team,
		Policy:  policyShare,
		Victims: victims,
		Wait:    now.Sub(job.Submitted),
	})
}

// reclaimable returns the fewest victims on the worker that make room for so
// many tasks.
func (e *Engine) reclaimable(w *worker, room quota.Room, tasks int) []*running {
	return victimsFor(w, room.Times(tasks), tasks, func(r *running) bool {
		return r.victim && !e.belowShare(e.team(r.team))
	})
}

// byUse returns the workers that would hold the room when empty, those with
// the least in use first.
func (e *Engine) byUse(room quota.Room, avoid string) []*worker {
	var fitting []*worker
	for _, w := range e.fleet.places {
		if w.reservedFor != 0 || !w.health.open() || w.ID == avoid {
			continue
		}
		if room.Fits(w.Capacity) {
			fitting = append(fitting, w)
		}
	}
	sort.SliceStable(fitting, func(i, j int) bool {
		a, b := fitting[i], fitting[j]
		return a.used.Dominant(a.Capacity) < b.used.Dominant(b.Capacity)
	})
	return fitting
}

func fitsEmpty(w *worker, room quota.Room) int {
	n := 0
	for left := w.Capacity; n < w.Slots && room.Fits(left); n++ {
		left = left.Sub(room)
	}
	return n
}

// placeReserved places the work whose reserved workers have emptied enough.
func (e *Engine) placeReserved(now time.Time, most int) {
	for _, job := range slices.Clone(e.holders) {
		if len(e.out) >= most {
			return
		}
		it := job.waitingItem()
		if it == nil {
			e.unreserve(job)
			continue
		}
		if places, ok := e.reservedPlaces(job, it.tasks()); ok && e.withinLimit(job, it) {
			e.commit(job, it, places, policyReserved, now)
		}
	}
}

func (e *Engine) withinLimit(job *jobRecord, it *item) bool {
	return e.team(job.Team).fits(job.Room.Times(it.tasks()))
}

func (job *jobRecord) waitingItem() *item {
	if job.Kind == KindGang {
		if job.gang == nil || job.gang.gone {
			return nil
		}
		return job.gang
	}
	for i := range job.tasks {
		if it := job.tasks[i].item; it != nil && !it.gone {
			return it
		}
	}
	return nil
}

func (e *Engine) reservedPlaces(job *jobRecord, tasks int) ([]Place, bool) {
	room := e.expectedRoom(job.Job)
	places := e.view.Buffer()
	for _, w := range job.reserved {
		free := w.freeRoom()
		for n := w.slots; len(places) < tasks && n < w.Slots && room.Fits(free); n++ {
			free = free.Sub(room)
			places = append(places, Place(w.place))
		}
	}
	return places, len(places) == tasks
}

func (e *Engine) unreserve(job *jobRecord) {
	if len(job.reserved) == 0 {
		return
	}
	for _, w := range job.reserved {
		if w.reservedFor == job.ID {
			e.fleet.unreserve(w)
			e.gaveBack(w)
		}
	}
	job.reserved = nil
	e.holders = slices.DeleteFunc(e.holders, func(h *jobRecord) bool { return h == job })
}
