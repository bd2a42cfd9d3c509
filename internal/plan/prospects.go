package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// release is the expected end of a run.
type release struct {
	task     graph.TaskRef
	at       time.Time
	reserved quota.Resources
}

// prospects is the room that a target may have soon.
type prospects struct {
	// ending has the runs that are expected to end by themselves.
	ending []release
	// victims has the runs that may be preempted, the cheapest first.
	victims []victim
	// underWay has the preemptions that are under way on the target.
	underWay []Preemption
	// claimed is the part of this room that is expected to go to steps earlier in the order.
	claimed quota.Resources
}

// prospectsOf returns the room that the target may have soon, or nil if too many targets were
// examined already.
func (p *planner) prospectsOf(target *targetState) *prospects {
	if target.prospects != nil {
		return target.prospects
	}
	if p.examinedTargets >= maxExaminedTargets {
		return nil
	}
	p.examinedTargets++
	found := &prospects{}
	target.prospects = found
	for ref, run := range target.info.Runs {
		if preemption, known := p.decision.Urgent.Preemptions[ref]; known && preemption.Run == run.Run {
			found.underWay = append(found.underWay, preemption)
			continue
		}
		at, ends := p.expectedEnd(target.info.ID, ref, run.Run)
		if !ends {
			continue
		}
		found.ending = append(found.ending, release{
			task:     ref,
			at:       at,
			reserved: run.Reserved(),
		})
		if rest := at.Sub(p.input.Now); rest >= maxStopTime+preemptionMargin && p.isPreemptible(target, ref, run) {
			found.victims = append(found.victims, p.victimOf(target, ref, run, rest))
		}
	}
	slices.SortFunc(found.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
	})
	return found
}

// maxWait returns how long the step may wait for room without preemption: until half of its
// slack is used up. Before that, its delay costs no value.
func (p *planner) maxWait(step *pendingStep) time.Duration {
	return max(usualStopTime, (step.work.Objective-step.work.Age-step.work.Rest)/2)
}

// comingRoom returns the room that the target will have for the step without further
// preemption. Room that is being freed for another step counts once that step no longer waits.
func (p *planner) comingRoom(step *pendingStep, target *targetState) quota.Resources {
	room := target.free.Sub(target.prospects.claimed)
	until := p.input.Now.Add(p.maxWait(step))
	for _, end := range target.prospects.ending {
		if _, preempted := p.decision.Urgent.Preemptions[end.task]; !preempted && !end.at.After(until) {
			room = room.Add(end.reserved)
		}
	}
	for _, preemption := range target.prospects.underWay {
		if preemption.For == step.key || !p.decision.Urgent.Short[preemption.For] {
			room = room.Add(preemption.Reserved)
		}
	}
	return room
}

// nameProspects names targets for an urgent step that is short of room, on which room may be
// made for it or becomes free soon: approved ones whose tickets have expired, and targets that
// the advisor was not consulted on yet. Further targets make the call only a little longer.
func (p *planner) nameProspects(request *AdviceRequest, step *pendingStep, advice *StepAdvice) {
	wanted := float64(step.missing)
	wanted -= p.countApproved(advice,
		func(target *targetState) float64 { return float64(p.prospectiveTasks(step, target)) },
		func(target *targetState) float64 { return float64(p.addProspect(request, step, target)) })
	if wanted <= 0 {
		return
	}
	atLeast := p.minTargets(request)
	for target := range p.targetsToAsk(step) {
		if len(request.Targets) >= atLeast {
			return
		}
		if advice == nil || !advice.Requested[target.info.ID.ID] {
			p.addProspect(request, step, target)
		}
	}
}

// addProspect adds the target to the request if there may be room for the step soon. It
// returns the number of tasks that then fit there.
func (p *planner) addProspect(request *AdviceRequest, step *pendingStep, target *targetState) int {
	id := target.info.ID.ID
	if len(request.Targets) >= maxTargetsPerRequest || !target.info.HasLabel(step.spec.Label) ||
		slices.Contains(request.Targets, id) {
		return 0
	}
	n := p.prospectiveTasks(step, target)
	if n > 0 {
		request.Targets = append(request.Targets, id)
	}
	return n
}

// prospectiveTasks returns how many tasks of the step fit on the target soon, if room is made
// for them.
func (p *planner) prospectiveTasks(step *pendingStep, target *targetState) int {
	found := p.prospectsOf(target)
	if found == nil || target.hold != nil {
		return 0
	}
	room := p.comingRoom(step, target)
	for _, v := range found.victims[:min(len(found.victims), maxVictims)] {
		room = room.Add(v.reserved)
	}
	return p.tasksOn(step, target, room)
}
