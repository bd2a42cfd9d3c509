package plan

import (
	"sort"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// pendingStep is a runnable step with waiting tasks.
type pendingStep struct {
	job   *graph.Job
	queue *graph.Queue
	key   StepKey
	spec  *graph.Step
	tasks []graph.Task
	// deadline is when the job exceeds its maximum duration.
	deadline graph.Millis
	// late is set if the deadline can no longer be met.
	late     bool
	priority int
	// approvedTargets caches the targets of the step's service that the advisor
	// approved.
	approvedTargets []*targetState
}

// pendingSteps returns the runnable steps with waiting tasks, most urgent
// first. It also records which client accounts have urgent jobs.
func (p *planner) pendingSteps() []*pendingStep {
	var steps []*pendingStep
	for _, job := range p.input.View.Jobs() {
		if queue := p.input.View.QueueOf(job); queue != nil && queue.Priority == 0 {
			p.urgentClientAccounts[job.ClientAccount] = true
		}
		if job.Waiting == 0 {
			continue
		}
		steps = append(steps, p.pendingStepsOf(job)...)
	}
	sort.Slice(steps, func(i, j int) bool { return moreUrgent(steps[i], steps[j]) })
	return steps
}

// pendingStepsOf returns the runnable steps of the job with waiting tasks.
func (p *planner) pendingStepsOf(job *graph.Job) []*pendingStep {
	var steps []*pendingStep
	queue := p.input.View.QueueOf(job)
	for k := range job.Occurrences {
		occurrence := &job.Occurrences[k]
		for i := range occurrence.Steps {
			if occurrence.Steps[i].Waiting == 0 || !job.IsStepReady(k, i, p.input.View.Now) {
				continue
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
				deadline: max(job.Admitted, occurrence.Due) + maxDuration(job, queue),
			}
			if queue != nil {
				step.priority = queue.Priority
			}
			step.late = !step.spec.LongRunning && p.input.View.Now > step.deadline
			steps = append(steps, step)
		}
	}
	return steps
}

// maxDuration returns how long the job should take at most: the estimated
// duration of its critical path, multiplied by the queue's stretch, plus the
// queue's latency.
func maxDuration(job *graph.Job, queue *graph.Queue) graph.Millis {
	pathDuration := make([]graph.Millis, len(job.Spec.Steps))
	var criticalPath graph.Millis
	for i, step := range job.Spec.Steps {
		for _, dependency := range step.DependsOn {
			pathDuration[i] = max(pathDuration[i], pathDuration[dependency])
		}
		pathDuration[i] += step.Estimate
		criticalPath = max(criticalPath, pathDuration[i])
	}
	if queue == nil {
		return criticalPath
	}
	return graph.Millis(queue.Stretch*float64(criticalPath)) + queue.Latency
}

// moreUrgent reports whether a is placed before b. Among steps of one priority, work
// that can still meet its deadline goes before work that is late anyway, so that a
// backlog does not make all work late that comes after it.
func moreUrgent(a, b *pendingStep) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.spec.LongRunning != b.spec.LongRunning {
		return a.spec.LongRunning
	}
	if a.spec.BestEffort != b.spec.BestEffort {
		return b.spec.BestEffort
	}
	if a.late != b.late {
		return b.late
	}
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	if a.key.Job != b.key.Job {
		return a.key.Job < b.key.Job
	}
	return a.key.Step < b.key.Step
}
