package plan

import (
	"cmp"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/rank"
)

// pendingStep is a runnable step with waiting tasks.
type pendingStep struct {
	job   *graph.Job
	queue *graph.Queue
	key   StepKey
	spec  *graph.Step
	tasks []graph.Task
	// waiting counts the tasks that wait, from loadPools on without those whose placement
	// is pending.
	waiting  int
	priority int
	// work is what the order depends on.
	work rank.Work
	// idle is set if nothing of the job runs, and idleSince is since when.
	idle      bool
	idleSince graph.Millis
	// tier is set by orderSteps, see rank.Entry.
	tier int
	// starving is set by orderSteps, see rank.Entry.
	starving bool
	// missing counts the tasks that placeStep has not placed, and short is set if they are
	// known to wait for room.
	missing int
	short   bool
	// advice caches the advisor's answers, see planner.adviceOf.
	advice      *StepAdvice
	adviceKnown bool
	// approvedTargets caches the targets of the step's service that the advisor
	// approved.
	approvedTargets []*targetState
}

// pendingSteps returns the runnable steps with waiting tasks, in no order. It also records
// which client accounts have urgent jobs, and what the accounts use if they have weights.
func (p *planner) pendingSteps() []*pendingStep {
	var steps []*pendingStep
	for _, job := range p.input.View.Jobs() {
		if queue := p.input.View.QueueOf(job); queue != nil && queue.Priority == 0 {
			p.urgentClientAccounts[job.ClientAccount] = true
		}
		running := p.conditions.Weighted && p.recordUsage(job)
		if job.Waiting == 0 {
			continue
		}
		first := len(steps)
		steps = p.appendStepsOf(steps, job)
		if p.conditions.Weighted && !running && len(steps) > first {
			since := p.idleSince(job)
			for _, step := range steps[first:] {
				step.idle = true
				step.idleSince = since
			}
		}
	}
	return steps
}

// appendStepsOf appends the runnable steps of the job with waiting tasks.
func (p *planner) appendStepsOf(steps []*pendingStep, job *graph.Job) []*pendingStep {
	queue := p.input.View.QueueOf(job)
	known := false
	var base rank.Work
	for k := range job.Occurrences {
		occurrence := &job.Occurrences[k]
		var rest time.Duration
		first := true
		for i := range occurrence.Steps {
			if occurrence.Steps[i].Waiting == 0 || !job.IsStepReady(k, i, p.input.View.Now) {
				continue
			}
			if !known {
				base = p.workOf(job, queue)
				known = true
			}
			if first && p.conditions.Weighted {
				rest = p.restOf(job, queue, occurrence)
				first = false
			}
			step := &pendingStep{
				job:   job,
				queue: queue,
				key: StepKey{
					Job:        job.ID,
					Occurrence: k,
					Step:       i,
				},
				spec:     &job.Spec.Steps[i],
				tasks:    occurrence.Steps[i].Tasks,
				waiting:  occurrence.Steps[i].Waiting,
				priority: base.Priority,
				work:     base,
			}
			step.work.LongRunning = step.spec.LongRunning
			step.work.BestEffort = step.spec.BestEffort
			step.work.Age = milliseconds(p.input.View.Now - max(job.Admitted, occurrence.Due))
			step.work.Rest = rest
			steps = append(steps, step)
		}
	}
	return steps
}

// workOf returns what the steps of the job have in common.
func (p *planner) workOf(job *graph.Job, queue *graph.Queue) rank.Work {
	criticalPath := job.Spec.CriticalPath(p.scratchFor(job))
	work := rank.Work{Objective: milliseconds(criticalPath)}
	if queue != nil {
		work.Priority = queue.Priority
		work.Objective = milliseconds(graph.Millis(queue.Stretch*float64(criticalPath)) + queue.Latency)
	}
	if p.conditions.Weighted {
		work.Path = p.restOf(job, queue, nil)
		work.OverRate = p.input.OverRate != nil && p.input.OverRate(job.ID)
	}
	return work
}

// restOf returns the expected duration of the longest chain of steps that is left of the
// occurrence, or of all steps if it is nil, with the calls for their advice. Steps of which
// all tasks run count as about to end.
func (p *planner) restOf(job *graph.Job, queue *graph.Queue, occurrence *graph.Occurrence) time.Duration {
	ratio, call := p.durationRatio(job), callTime(queue)
	after := p.scratchFor(job)
	var rest graph.Millis
	for i := len(job.Spec.Steps) - 1; i >= 0; i-- {
		if occurrence != nil && occurrence.Steps[i].Left == 0 {
			continue
		}
		chain := after[i]
		if occurrence == nil || occurrence.Steps[i].Waiting > 0 {
			chain += graph.Millis(ratio*float64(job.Spec.Steps[i].Estimate)) + call
		}
		rest = max(rest, chain)
		for _, dependency := range job.Spec.Steps[i].DependsOn {
			after[dependency] = max(after[dependency], chain)
		}
	}
	return milliseconds(rest)
}

// callTime returns the usual time of a call for the advice of one step.
func callTime(queue *graph.Queue) graph.Millis {
	if queue == nil || queue.Advice == nil {
		return 0
	}
	timing := queue.Advice
	return graph.Millis((timing.Base + time.Duration(usualTargets(timing))*timing.Each).Milliseconds())
}

// scratchFor returns a slice with a zero for each step of the job, which is valid until the
// next call.
func (p *planner) scratchFor(job *graph.Job) []graph.Millis {
	n := len(job.Spec.Steps)
	if cap(p.scratch) < n {
		p.scratch = make([]graph.Millis, n)
	}
	p.scratch = p.scratch[:n]
	clear(p.scratch)
	return p.scratch
}

// durationRatio returns by which factor the job's tasks are expected to take longer than
// estimated.
func (p *planner) durationRatio(job *graph.Job) float64 {
	if p.input.DurationRatio == nil {
		return 1
	}
	ratio, known := p.ratioByQueue[job.Queue]
	if !known {
		ratio = p.input.DurationRatio(job.Queue)
		p.ratioByQueue[job.Queue] = ratio
	}
	return ratio
}

func milliseconds(m graph.Millis) time.Duration {
	return time.Duration(m) * time.Millisecond
}

// compareSteps orders steps that are equally urgent.
func compareSteps(a, b *pendingStep) int {
	if a.key.Job != b.key.Job {
		return cmp.Compare(a.key.Job, b.key.Job)
	}
	if a.key.Step != b.key.Step {
		return cmp.Compare(a.key.Step, b.key.Step)
	}
	return cmp.Compare(a.key.Occurrence, b.key.Occurrence)
}
