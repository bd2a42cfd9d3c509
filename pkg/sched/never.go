package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Reasons why work can never run.
const (
	ReasonNoWorkers   = "no worker has announced itself"
	ReasonTooLarge    = "no worker is so large"
	ReasonNoAccel     = "no worker has so many accelerators"
	ReasonLimitTooLow = "the team's upper limit is lower"
	ReasonGangTooWide = "the gang is wider than the fleet"
)

// doubt notes a job that fits nowhere now, so that it is refused unless that
// changes within the grace.
func (e *Engine) doubt(job *jobRecord, since time.Time) {
	if job.doubtful || e.neverFits(job) == "" {
		return
	}
	job.doubtful = true
	job.doubtSince = since
	e.doubtful = append(e.doubtful, job)
}

// refuseNever refuses work that can't run on the fleet as it is, once its
// grace has passed.
func (e *Engine) refuseNever(now time.Time) {
	kept := e.doubtful[:0]
	for _, job := range e.doubtful {
		if !job.doubtful {
			continue
		}
		if now.Sub(job.doubtSince) < e.settings.grace {
			kept = append(kept, job)
			continue
		}
		job.doubtful = false
		if reason := e.neverFits(job); reason != "" {
			e.refuse(job, reason, now)
		}
	}
	clear(e.doubtful[len(kept):])
	e.doubtful = kept
}

func (e *Engine) refuse(job *jobRecord, reason string, now time.Time) {
	e.out = append(e.out, Decision{
		Verb:   VerbRefuse,
		Job:    job.ID,
		Team:   job.Team,
		Policy: job.Kind.String(),
		Reason: reason,
		Wait:   now.Sub(job.Submitted),
	})
}

// neverFits returns why the job can't run even on an empty fleet, or "".
func (e *Engine) neverFits(job *jobRecord) string {
	team := e.team(job.Team)
	whole := job.Room
	if job.Kind == KindGang {
		whole = job.Room.Times(len(job.tasks))
	}
	switch {
	case !whole.Fits(team.Limit):
		return ReasonLimitTooLow
	case len(e.fleet.places) == 0:
		return ReasonNoWorkers
	case !e.fleet.everFits(vectorOf(job.Room, 1)):
		return e.tooLarge(job.Room)
	case job.Kind == KindGang && e.widest(job) < len(job.tasks):
		return ReasonGangTooWide
	}
	return ""
}

func (e *Engine) tooLarge(room quota.Room) string {
	accelerators := vector{accelerators: room.Accelerators}
	if room.Accelerators > 0 && !e.fleet.everFits(accelerators) {
		return ReasonNoAccel
	}
	return ReasonTooLarge
}

// widest returns how many tasks of the gang an empty fleet would hold.
func (e *Engine) widest(job *jobRecord) int {
	count := 0
	for _, w := range e.fleet.places {
		left := w.Capacity
		for n := 0; n < w.Slots && job.Room.Fits(left) && count < len(job.tasks); n++ {
			left = left.Sub(job.Room)
			count++
		}
	}
	return count
}
