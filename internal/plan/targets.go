package plan

import (
	"slices"
	"sort"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/holds"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// targetState tracks the free resources of a target during one decision.
type targetState struct {
	info *graph.Target
	// older are the older incarnations of the target, whose runs may still be active
	// in its process.
	older []*graph.Target
	free  quota.Resources
	// placedTasks counts the pending and newly placed tasks by step.
	placedTasks map[StepKey]int
	speed       float64
	cold        bool
	// initialFreeShare is the dominant share of the target's capacity that was
	// free at the start of the decision.
	initialFreeShare float64
	// colocation and timeline are computed on first use.
	colocation *colocation
	timeline   *holds.Timeline
	// hold is the room held for a step that waits, or nil.
	hold *holds.Hold
	// suspects counts the suspect tasks on the target, see planner.isSuspect.
	suspects int
	// prospects is computed on first use.
	prospects *prospects
}

// colocation counts the latency-sensitive services and the best-effort tasks on
// a target.
type colocation struct {
	services   int
	bestEffort int
}

// loadTargets collects the targets that accept tasks, with their free
// resources after deducting pending placements. Those in evacuated failure
// domains accept none.
func (p *planner) loadTargets() {
	targets := p.input.View.Targets()
	states := make([]targetState, 0, len(targets))
	p.byID = make(map[string]*targetState, len(targets))
	for id, info := range targets {
		if info.Leaving || !p.input.Usable(id) {
			continue
		}
		if p.input.View.IsEvacuated(info.Domain) {
			p.evacuatedServices[info.Service] = true
			continue
		}
		states = append(states, targetState{
			info:  info,
			older: p.input.View.OlderIncarnations(id),
			free:  info.Free(),
			speed: p.input.Speed(id),
			cold:  p.input.Cold != nil && p.input.Cold(id),
		})
		target := &states[len(states)-1]
		p.anyCold = p.anyCold || target.cold
		for _, older := range target.older {
			target.free = target.free.Sub(older.Used)
		}
		p.byService[info.Service] = append(p.byService[info.Service], target)
		p.byID[id.ID] = target
	}
	p.reservePending()
	p.countSuspects()
}

// runsOfStep returns the number of active runs on the target that belong to the same
// step and occurrence as the task.
func (t *targetState) runsOfStep(ref graph.TaskRef) int {
	count := t.info.RunsOfStep(ref)
	for _, older := range t.older {
		count += older.RunsOfStep(ref)
	}
	return count
}

// hasRun reports whether a run of the task may be active on the target.
func (t *targetState) hasRun(ref graph.TaskRef) bool {
	if _, running := t.info.Runs[ref]; running {
		return true
	}
	return slices.ContainsFunc(t.older, func(older *graph.Target) bool {
		_, running := older.Runs[ref]
		return running
	})
}

// targetsByFreeShare returns the targets of the service in descending order of
// their free share at the start of the decision.
func (p *planner) targetsByFreeShare(service string) []*targetState {
	targets := p.byService[service]
	if p.sortedServices[service] {
		return targets
	}
	p.sortedServices[service] = true
	for _, target := range targets {
		target.initialFreeShare = target.free.DominantShare(target.info.Capacity)
	}
	sort.Slice(targets, func(i, j int) bool {
		if targets[i].initialFreeShare != targets[j].initialFreeShare {
			return targets[i].initialFreeShare > targets[j].initialFreeShare
		}
		return targets[i].info.ID.ID < targets[j].info.ID.ID
	})
	return targets
}

// colocationOf returns the counts of colocated tasks for the target, including
// tasks placed by this decision.
func (p *planner) colocationOf(target *targetState) *colocation {
	if target.colocation != nil {
		return target.colocation
	}
	target.colocation = &colocation{}
	for ref, run := range target.info.Runs {
		if run.BestEffort {
			target.colocation.bestEffort++
		} else if step := p.stepOf(ref); step != nil && step.Latency > 0 {
			target.colocation.services++
		}
	}
	return target.colocation
}

// stepOf returns the step of the task, or nil if no live job has it.
func (p *planner) stepOf(ref graph.TaskRef) *graph.Step {
	job := p.input.View.Jobs()[ref.Job]
	if job == nil {
		return nil
	}
	return job.StepOf(ref)
}

// addPlaced adds n to the number of the step's tasks placed on the target.
func (t *targetState) addPlaced(key StepKey, n int) {
	if t.placedTasks == nil {
		t.placedTasks = map[StepKey]int{}
	}
	t.placedTasks[key] += n
}

// reservePending deducts the resources of pending placements.
func (p *planner) reservePending() {
	for ref, id := range p.input.Pending {
		job := p.input.View.Jobs()[ref.Job]
		if job == nil || job.Task(ref) == nil || job.Task(ref).State != graph.TaskWaiting {
			continue
		}
		step := &job.Spec.Steps[ref.Step]
		p.usedByClientAccount[job.ClientAccount] = p.usedByClientAccount[job.ClientAccount].Add(step.Resources)
		if target := p.byID[id.ID]; target != nil {
			target.free = target.free.Sub(step.Reservation())
			target.addPlaced(StepKeyOf(ref), 1)
			if p.isSuspect(job, ref) {
				target.suspects++
			}
		}
	}
}
