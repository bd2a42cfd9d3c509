package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Reasons why a job can never run.
const (
	ReasonNoWorkers      = "no worker has announced itself"
	ReasonTooLarge       = "no worker is so large"
	ReasonNoAccelerators = "no worker has so many accelerators"
	ReasonLimitTooLow    = "the team's upper limit is lower"
	ReasonGangTooWide    = "the gang is wider than the fleet"
)

// checkSchedulable marks a job that cannot run on the fleet as it is. It is
// refused unless that changes within the grace period.
func (e *Engine) checkSchedulable(job *jobRecord, since time.Time) {
	if job.unschedulable || e.unschedulableReason(job) == "" {
		return
	}
	job.unschedulable = true
	job.unschedulableSince = since
	e.unschedulable = append(e.unschedulable, job)
}

// refuseUnschedulable refuses jobs that cannot run on the fleet as it is,
// once their grace period has passed.
func (e *Engine) refuseUnschedulable(now time.Time) {
	kept := e.unschedulable[:0]
	for _, job := range e.unschedulable {
		if !job.unschedulable {
			continue
		}
		if now.Sub(job.unschedulableSince) < e.settings.unschedulableGrace {
			kept = append(kept, job)
			continue
		}
		job.unschedulable = false
		if reason := e.unschedulableReason(job); reason != "" {
			e.refuse(job, reason, now)
		}
	}
	clear(e.unschedulable[len(kept):])
	e.unschedulable = kept
}

func (e *Engine) refuse(job *jobRecord, reason string, now time.Time) {
	e.decisions = append(e.decisions, Decision{
		Type:   DecisionRefuse,
		Job:    job.ID,
		Team:   job.Team,
		Policy: job.Kind.String(),
		Reason: reason,
		Wait:   now.Sub(job.Submitted),
	})
}

// unschedulableReason returns why the job cannot run even on an empty fleet,
// or "" if it can.
func (e *Engine) unschedulableReason(job *jobRecord) string {
	team := e.team(job.Team)
	total := job.Resources
	if job.Kind == KindGang {
		total = job.Resources.Times(len(job.tasks))
	}
	switch {
	case !total.FitsIn(team.Limit):
		return ReasonLimitTooLow
	case len(e.fleet.ordered) == 0:
		return ReasonNoWorkers
	case !e.fleet.fitsEmptyWorker(vectorOf(job.Resources, 1)):
		return e.tooLargeReason(job.Resources)
	case job.Kind == KindGang && e.emptyFleetCapacity(job) < len(job.tasks):
		return ReasonGangTooWide
	}
	return ""
}

func (e *Engine) tooLargeReason(resources quota.Resources) string {
	accelerators := vector{accelerators: resources.Accelerators}
	if resources.Accelerators > 0 && !e.fleet.fitsEmptyWorker(accelerators) {
		return ReasonNoAccelerators
	}
	return ReasonTooLarge
}

// emptyFleetCapacity returns how many tasks of the gang would fit on an
// empty fleet.
func (e *Engine) emptyFleetCapacity(job *jobRecord) int {
	count := 0
	for _, w := range e.fleet.ordered {
		left := w.Capacity
		for n := 0; n < w.Slots && job.Resources.FitsIn(left) && count < len(job.tasks); n++ {
			left = left.Sub(job.Resources)
			count++
		}
	}
	return count
}
