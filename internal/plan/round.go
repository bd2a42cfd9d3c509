package plan

import (
	"sort"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// round is a step whose turn has come, with tasks that wait.
type round struct {
	job   *graph.Job
	queue *graph.Queue
	key   StepKey
	step  *graph.Step
	tasks []graph.Task
	// due is when the job's aim passes.
	due      graph.Millis
	priority int
	// good are the targets that the advisor called good.
	good []*slot
}

// rounds returns the steps that have tasks waiting, most urgent first.
func (p *planner) rounds() []*round {
	var all []*round
	for _, job := range p.in.View.Jobs() {
		if queue := p.in.View.QueueOf(job); queue != nil && queue.Priority == 0 {
			p.urgent[job.Tenant] = true
		}
		if job.Waiting == 0 {
			continue
		}
		all = append(all, p.roundsOf(job)...)
	}
	sort.Slice(all, func(i, j int) bool { return before(all[i], all[j]) })
	return all
}

func (p *planner) roundsOf(job *graph.Job) []*round {
	var all []*round
	queue := p.in.View.QueueOf(job)
	for k := range job.Occurrences {
		o := &job.Occurrences[k]
		for i := range o.Rounds {
			if o.Rounds[i].Waiting == 0 || !job.Turn(k, i, p.in.View.Now) {
				continue
			}
			r := &round{
				job:   job,
				queue: queue,
				key: StepKey{
					Job:        job.ID,
					Occurrence: k,
					Step:       i,
				},
				step:  &job.Spec.Steps[i],
				tasks: o.Rounds[i].Tasks,
				due:   max(job.Admitted, o.Due) + aim(job, queue),
			}
			if queue != nil {
				r.priority = queue.Priority
			}
			all = append(all, r)
		}
	}
	return all
}

// aim returns how long the job should take at most, by its own estimates.
func aim(job *graph.Job, queue *graph.Queue) graph.Millis {
	longest := make([]graph.Millis, len(job.Spec.Steps))
	var chain graph.Millis
	for i, step := range job.Spec.Steps {
		for _, d := range step.Depends {
			longest[i] = max(longest[i], longest[d])
		}
		longest[i] += step.Estimate
		chain = max(chain, longest[i])
	}
	if queue == nil {
		return chain
	}
	return graph.Millis(queue.Stretch*float64(chain)) + queue.Latency
}

func before(a, b *round) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.step.Lasting != b.step.Lasting {
		return a.step.Lasting
	}
	if a.step.Filler != b.step.Filler {
		return b.step.Filler
	}
	if a.due != b.due {
		return a.due < b.due
	}
	if a.key.Job != b.key.Job {
		return a.key.Job < b.key.Job
	}
	return a.key.Step < b.key.Step
}
