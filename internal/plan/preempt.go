package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// checkpointInterval, restoreTime and maxStopTime are the upper bounds seen in
	// deployments of the work since the last checkpoint, the time that a task takes to
	// resume, and the time that a run takes to stop. usualStopTime is the expected time from
	// the decision to preempt a run until its room is free.
	checkpointInterval = 2 * time.Second
	restoreTime        = 600 * time.Millisecond
	maxStopTime        = 900 * time.Millisecond
	usualStopTime      = 600 * time.Millisecond
	// preemptionMargin is how much longer than maxStopTime a run must be expected to take,
	// as stopping one that is about to end frees its room no sooner.
	preemptionMargin = 500 * time.Millisecond
	// preemptionTimeout is how long the room of a preempted run is expected to become free.
	// After it, other runs may be preempted instead.
	preemptionTimeout = 3 * time.Second
	// urgentFactor is how many core-seconds of lower priority a core-second of delay of the
	// most urgent work is worth. Such a job has a fifth of its value if it is late, and each
	// of its tasks delays the whole job.
	urgentFactor = 4.0
	// maxPreemptions bounds the preemptions of one decision, and maxVictims the runs that
	// are preempted together on one target.
	maxPreemptions = 16
	maxVictims     = 3
	// maxExaminedTargets and maxExaminedOptions bound the work of one decision: for how many
	// targets the runs are examined, and for how many pairs of steps and targets the room.
	maxExaminedTargets = 150
	maxExaminedOptions = 4000
	// sampledTargets is about how many targets the room that becomes free is estimated from.
	sampledTargets = 40
)

// Preemption is a run that is stopped with its checkpoint to free room for an urgent step.
type Preemption struct {
	Task   graph.TaskRef
	Run    uint32
	Target graph.TargetID
	// For is the step that gets the room.
	For StepKey
	// Since is when the preemption was decided.
	Since time.Time
	// Cost is the expected loss of work: its cores times the seconds.
	Cost float64
	// Reserved is the room that becomes free.
	Reserved quota.Resources
}

// victim is a run that may be preempted.
type victim struct {
	task     graph.TaskRef
	run      uint32
	reserved quota.Resources
	cost     float64
}

// carryPreemptions passes on the preemptions whose runs have not ended yet. Those older than
// preemptionTimeout are dropped, so that their room is no longer expected to become free.
func (p *planner) carryPreemptions() {
	if p.input.Urgent == nil {
		return
	}
	for ref, preemption := range p.input.Urgent.Preemptions {
		target := p.input.View.Targets()[preemption.Target]
		if target == nil || target.Runs[ref].Run != preemption.Run || p.input.Now.Sub(preemption.Since) >= preemptionTimeout {
			continue
		}
		p.decision.Urgent.Preemptions[ref] = preemption
	}
}

// preempt selects runs to stop so that urgent work which waits for room gets it soon.
func (p *planner) preempt() {
	if p.input.MayPreempt == nil || !p.conditions.Short {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(p.urgent.byService)) {
		p.preemptFor(service)
	}
}

// preemptFor preempts runs for the waiting urgent work of a service, in its order. What is
// under way exceeds the demand that is not met otherwise by one run at most.
func (p *planner) preemptFor(service string) {
	demand := p.urgent.byService[service]
	unmet := demand.total.CPU - p.comingCPU(service, demand)
	var underWay quota.MilliCPU
	for _, preemption := range p.decision.Urgent.Preemptions {
		if target := p.byID[preemption.Target.ID]; target != nil && p.urgent.byService[target.info.Service] == demand {
			underWay += preemption.Reserved.CPU
		}
	}
	for _, urgent := range demand.steps {
		if underWay >= unmet || len(p.decision.Preemptions) >= maxPreemptions {
			return
		}
		candidates := p.preemptionCandidates(urgent.step)
		urgent.missing -= p.claimComing(urgent, candidates)
		for _, option := range p.preemptionOptions(urgent, candidates) {
			if urgent.missing <= 0 || underWay >= unmet ||
				len(p.decision.Preemptions)+len(option.victims) > maxPreemptions {
				break
			}
			underWay += p.takeOption(urgent.step, option)
			urgent.missing -= option.tasks
		}
	}
}

// comingCPU estimates from a sample of the service's targets how much CPU runs that end by
// themselves free for the urgent work while its first step may wait.
func (p *planner) comingCPU(service string, demand *urgentDemand) quota.MilliCPU {
	targets := p.byService[service]
	until := p.input.Now.Add(p.maxWait(demand.steps[0].step))
	stride := max(1, len(targets)/sampledTargets)
	var freed quota.MilliCPU
	sampled := 0
	for i := 0; i < len(targets); i += stride {
		found := p.prospectsOf(targets[i])
		if found == nil {
			continue
		}
		sampled++
		for _, end := range found.ending {
			if !end.at.After(until) {
				freed += end.reserved.CPU
			}
		}
	}
	if sampled == 0 {
		return 0
	}
	return quota.MilliCPU(float64(freed) * float64(len(targets)) / float64(sampled) / scatterFactor)
}

// preemptionCandidates returns the targets on which room may be made for the step: those with
// a ticket that is still usable then, or all if it needs none.
func (p *planner) preemptionCandidates(step *pendingStep) []*targetState {
	var advice *StepAdvice
	if step.queue != nil && step.queue.Advice != nil {
		if advice = p.adviceOf(step); advice == nil {
			return nil
		}
	}
	readyAt := p.input.Now.Add(usualStopTime)
	var candidates []*targetState
	for _, target := range p.candidates(step, advice) {
		if p.examinedOptions >= maxExaminedOptions {
			break
		}
		p.examinedOptions++
		if advice != nil && !isTicketUsable(advice.Approved[target.info.ID.ID], readyAt) {
			continue
		}
		if target.hold == nil && target.info.HasLabel(step.spec.Label) && p.prospectsOf(target) != nil {
			candidates = append(candidates, target)
		}
	}
	slices.SortFunc(candidates, func(a, b *targetState) int { return cmp.Compare(a.info.ID.ID, b.info.ID.ID) })
	return candidates
}

// isPreemptible reports whether the run may be stopped for urgent work at all.
func (p *planner) isPreemptible(target *targetState, ref graph.TaskRef, run graph.ActiveRun) bool {
	job := p.input.View.Jobs()[ref.Job]
	if p.input.MayPreempt == nil || job == nil || job.Task(ref) == nil || !canPreempt(job.StepOf(ref)) {
		return false
	}
	queue, task := p.input.View.QueueOf(job), job.Task(ref)
	if queue == nil || queue.Priority <= p.urgent.priority {
		return false
	}
	return task.State == graph.TaskPlaced && task.Run == run.Run && task.Target == target.info.ID &&
		!task.Evicted && task.ActiveRuns == 1 && !p.input.View.IsSuspect(ref) && p.input.MayPreempt(ref)
}

// canPreempt reports whether tasks of the step can go on elsewhere from a checkpoint, and free
// CPU when they are stopped.
func canPreempt(step *graph.Step) bool {
	return step.Checkpoints && !step.Gang && !step.LongRunning && !step.BestEffort && step.MaxConcurrentRuns() == 1
}

// victimOf returns the run with the cost of its preemption, given the time that it has left. Of
// a run without known progress the whole interval between checkpoints counts as lost.
func (p *planner) victimOf(target *targetState, ref graph.TaskRef, run graph.ActiveRun, rest time.Duration) victim {
	lost := checkpointInterval
	if _, known := p.input.ExpectedEnd(target.info.ID, ref, run.Run); known {
		job := p.input.View.Jobs()[ref.Job]
		whole := time.Duration(p.durationRatio(job) * float64(milliseconds(job.StepOf(ref).Estimate)))
		lost = min(lost, max(0, whole-rest))
	}
	seconds := (lost + restoreTime + maxStopTime).Seconds()
	return victim{
		task:     ref,
		run:      run.Run,
		reserved: run.Reserved(),
		cost:     cores(run.Reserved()) * seconds,
	}
}

// claimComing returns how many tasks of the step fit in room that is free, becomes free soon,
// or is being freed for it, and records that room as claimed.
func (p *planner) claimComing(urgent urgentStep, candidates []*targetState) int {
	claimed := 0
	for _, target := range candidates {
		if claimed >= urgent.missing {
			break
		}
		n := min(p.tasksOn(urgent.step, target, p.comingRoom(urgent.step, target)), urgent.missing-claimed)
		target.prospects.claimed = target.prospects.claimed.Add(urgent.step.spec.Reservation().Times(n))
		claimed += n
	}
	return claimed
}

// tasksOn returns how many more tasks of the step may run in the room on the target.
func (p *planner) tasksOn(step *pendingStep, target *targetState, room quota.Resources) int {
	return max(0, min(p.taskLimit(step, target), step.spec.Reservation().FitCount(room)))
}

// preemptionOption is a set of victims on a target, and how many tasks then fit there.
type preemptionOption struct {
	target  *targetState
	victims []victim
	tasks   int
	cost    float64
}

// preemptionOptions returns the options that are worth their cost for the step, the cheapest
// for a task first.
func (p *planner) preemptionOptions(urgent urgentStep, candidates []*targetState) []preemptionOption {
	if urgent.missing <= 0 {
		return nil
	}
	var options []preemptionOption
	for _, target := range candidates {
		if option, ok := p.optionOn(urgent, target); ok {
			options = append(options, option)
		}
	}
	slices.SortStableFunc(options, func(a, b preemptionOption) int {
		return cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks))
	})
	return options
}

// optionOn returns the cheapest victims on the target that make room for tasks of the step,
// or false if none do or their cost exceeds the delay that is saved.
func (p *planner) optionOn(urgent urgentStep, target *targetState) (preemptionOption, bool) {
	option := preemptionOption{
		target:  target,
		victims: p.victimsFor(urgent.step, target),
	}
	room := p.comingRoom(urgent.step, target)
	for _, v := range option.victims {
		room = room.Add(v.reserved)
		option.cost += v.cost
	}
	option.tasks = min(p.tasksOn(urgent.step, target, room), urgent.missing)
	if len(option.victims) == 0 || option.tasks == 0 {
		return option, false
	}
	saved := p.delaySaved(urgent.step, target).Seconds() * cores(urgent.step.spec.Reservation()) * float64(option.tasks)
	return option, option.cost <= urgentFactor*saved
}

// victimsFor returns the cheapest victim that makes room for a task of the step, or the
// cheapest few that do together, or none.
func (p *planner) victimsFor(step *pendingStep, target *targetState) []victim {
	room := p.comingRoom(step, target)
	victims := target.prospects.victims
	for i, v := range victims {
		if p.tasksOn(step, target, room.Add(v.reserved)) > 0 {
			return victims[i : i+1]
		}
	}
	for i, v := range victims[:min(len(victims), maxVictims)] {
		room = room.Add(v.reserved)
		if p.tasksOn(step, target, room) > 0 {
			return victims[:i+1]
		}
	}
	return nil
}

// delaySaved returns how much sooner a task of the step starts on the target if room is made
// for it, at most the objective of the step.
func (p *planner) delaySaved(step *pendingStep, target *targetState) time.Duration {
	most := step.work.Objective
	request := step.spec.Reservation().Add(target.prospects.claimed)
	at, fits := p.timelineOf(target).EarliestFit(request)
	if !fits {
		return most
	}
	return min(most, at.Sub(p.input.Now)-usualStopTime)
}

// takeOption records the preemptions of the option, and returns the CPU that they free.
func (p *planner) takeOption(step *pendingStep, option preemptionOption) quota.MilliCPU {
	var freed quota.MilliCPU
	found := option.target.prospects
	for _, v := range option.victims {
		preemption := Preemption{
			Task:     v.task,
			Run:      v.run,
			Target:   option.target.info.ID,
			For:      step.key,
			Since:    p.input.Now,
			Cost:     v.cost,
			Reserved: v.reserved,
		}
		p.decision.Preemptions = append(p.decision.Preemptions, preemption)
		p.decision.Urgent.Preemptions[v.task] = preemption
		found.underWay = append(found.underWay, preemption)
		freed += v.reserved.CPU
	}
	found.victims = slices.DeleteFunc(slices.Clone(found.victims), func(v victim) bool {
		_, taken := p.decision.Urgent.Preemptions[v.task]
		return taken
	})
	found.claimed = found.claimed.Add(step.spec.Reservation().Times(option.tasks))
	return freed
}

// cores returns the CPU of the resources in cores.
func cores(r quota.Resources) float64 {
	return float64(r.CPU) / 1000
}
