package plan

import (
	"fmt"
	"hash/fnv"
	"iter"
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const (
	// An advice request names between minTargetsPerRequest and
	// maxTargetsPerRequest targets: enough that the expected capacity of those
	// approved is capacityFactor times the number of waiting tasks.
	minTargetsPerRequest = 8
	maxTargetsPerRequest = 40
	capacityFactor       = 3.0
	// extraTargetsFraction is the part of a call's base time by which it may
	// become longer to name more targets than are needed. What the advisor
	// approves stays valid, so this saves later calls.
	extraTargetsFraction = 0.25
	// renewalLead is how long before the room for a gang is expected to be free
	// its tickets should be there.
	renewalLead = 100 * time.Millisecond
)

// isTicketUsable reports whether the ticket is valid long enough for a start at
// the given time.
func isTicketUsable(ticket Ticket, at time.Time) bool {
	return ticket.ExpiresAt.Sub(at) >= minTicketLifetime
}

// IsValidAt reports whether the ticket has not expired at the given time. The zero ticket
// belongs to a start that needs none, and does not expire.
func (t Ticket) IsValidAt(at time.Time) bool {
	return t == Ticket{} || t.ExpiresAt.After(at)
}

// requestAdvice requests advice that the step needs for its waiting tasks to
// start. It requests none that would not let a task start soon.
func (p *planner) requestAdvice(step *pendingStep, advice *StepAdvice, hold *Hold) {
	if advice != nil && advice.InFlight || !p.mayRequestAdvice(step) ||
		!p.withinClientAccountLimit(step) || p.isHeldBack(step) {
		return
	}
	request := AdviceRequest{
		Step:  step.key,
		Queue: *step.queue,
		Tier:  step.tier,
	}
	if p.needsHold(step) {
		p.nameTargetsToHold(&request, step, advice, hold)
	} else {
		p.nameTargets(&request, step, advice)
		if step.short && p.isUrgent(step) {
			p.nameProspects(&request, step, advice)
		}
	}
	if len(request.Targets) > 0 {
		p.adviceRequestsByQueue[step.queue.Name]++
		p.decision.AdviceRequests = append(p.decision.AdviceRequests, request)
	}
}

// mayRequestAdvice reports whether advice for the step may be requested now.
func (p *planner) mayRequestAdvice(step *pendingStep) bool {
	return p.canRequestAdvice(step) || p.input.Renew != nil && p.input.Renew(step.key)
}

// adviceOf returns the advisor's answers for the step, or nil.
func (p *planner) adviceOf(step *pendingStep) *StepAdvice {
	if !step.adviceKnown {
		step.advice = p.input.Advice(step.key)
		step.adviceKnown = true
	}
	return step.advice
}

// canRequestAdvice reports whether a request of the step's queue could be served
// now, were it the next one.
func (p *planner) canRequestAdvice(step *pendingStep) bool {
	return p.adviceRequestsByQueue[step.queue.Name] < p.freeCalls(step.queue)
}

// freeCalls returns how many calls of the queue can be made now.
func (p *planner) freeCalls(queue *graph.Queue) int {
	free, known := p.freeCallsByQueue[queue.Name]
	if !known {
		timing := queue.Advice
		free = p.input.FreeAdviceCalls(timing.Base + minTargetsPerRequest*timing.Each)
		p.freeCallsByQueue[queue.Name] = free
	}
	return free
}

// nameTargets names approved targets with room whose tickets have expired, then
// targets with room that the advisor was not consulted on yet.
func (p *planner) nameTargets(request *AdviceRequest, step *pendingStep, advice *StepAdvice) {
	wanted := capacityFactor * float64(p.waitingTasks(step))
	wanted -= p.countApproved(advice,
		func(target *targetState) float64 { return float64(p.taskCapacity(step, target)) },
		func(target *targetState) float64 { return p.addTarget(request, step, target, 1) })
	p.nameUnknownTargets(request, step, advice, wanted)
}

// countApproved returns how many tasks the approved targets take: by capacity those with a
// usable ticket, and by add, which names them in a request, the others.
func (p *planner) countApproved(advice *StepAdvice, capacity, add func(*targetState) float64) float64 {
	if advice == nil {
		return 0
	}
	tasks := 0.0
	for id, ticket := range advice.Approved {
		target := p.byID[id]
		switch {
		case target == nil:
		case isTicketUsable(ticket, p.input.Now):
			tasks += capacity(target)
		default:
			tasks += add(target)
		}
	}
	return tasks
}

// nameUnknownTargets names targets with room that the advisor was not consulted
// on yet, until the wanted capacity is expected or the call gets long. If all targets
// together have too little room for the tasks, the step is short of room.
func (p *planner) nameUnknownTargets(request *AdviceRequest, step *pendingStep, advice *StepAdvice, wanted float64) {
	approvalRate := p.input.ApprovalRate(step.queue.Name)
	atLeast := p.minTargets(request)
	step.short = true
	for target := range p.targetsToAsk(step) {
		if len(request.Targets) >= maxTargetsPerRequest || wanted <= 0 && len(request.Targets) >= atLeast {
			step.short = false
			break
		}
		if advice == nil || !advice.Requested[target.info.ID.ID] {
			wanted -= p.addTarget(request, step, target, approvalRate)
		}
	}
	found := capacityFactor*float64(p.waitingTasks(step)) - wanted
	step.short = step.short && found < float64(step.missing)
}

// minTargets returns how many targets a request names if there are enough.
func (p *planner) minTargets(request *AdviceRequest) int {
	return usualTargets(request.Queue.Advice)
}

// usualTargets returns how many targets a request with the given times names if there are
// enough.
func usualTargets(timing *graph.AdviceTiming) int {
	if timing.Each <= 0 {
		return maxTargetsPerRequest
	}
	extra := int(extraTargetsFraction * float64(timing.Base) / float64(timing.Each))
	return min(maxTargetsPerRequest, max(minTargetsPerRequest, extra))
}

// nameTargetsToHold names targets for a step for which room is held. Where it may
// run is found out by one call that is as long as it needs to be. When room is
// free or about to be, one call renews the tickets of all targets.
func (p *planner) nameTargetsToHold(request *AdviceRequest, step *pendingStep, advice *StepAdvice, hold *Hold) {
	if hold != nil {
		p.nameHeldTargets(request, step, advice, hold)
		if len(request.Targets) > 0 {
			return
		}
	}
	p.nameUnknownTargets(request, step, advice, capacityFactor*float64(p.waitingTasks(step)))
	if advice == nil || hold == nil || len(request.Targets) > 0 {
		p.nameFullTargets(request, step, advice)
	}
}

// nameHeldTargets names the held targets whose tasks are about to fit, if the
// ticket of one of them would have expired by then. Other approved targets with
// room by then are named as spares.
func (p *planner) nameHeldTargets(request *AdviceRequest, step *pendingStep, advice *StepAdvice, hold *Hold) {
	timing := request.Queue.Advice
	answerAt := p.input.Now.Add(timing.Base + time.Duration(len(advice.Approved))*timing.Each)
	soon := answerAt.Add(renewalLead)
	expired := false
	for _, held := range hold.Targets {
		if !held.StartsAt.After(soon) && !isTicketUsable(advice.Approved[held.ID], held.StartsAt) {
			expired = true
		}
	}
	if !expired {
		return
	}
	lastStart := answerAt.Add(timing.Valid - minTicketLifetime)
	for _, held := range hold.Targets {
		if !held.StartsAt.After(lastStart) {
			request.Targets = append(request.Targets, held.ID)
		}
	}
	for id := range advice.Approved {
		target := p.byID[id]
		if target == nil || len(request.Targets) >= maxTargetsPerRequest || target.hold != nil {
			continue
		}
		if at, ok := p.timelineOf(target).EarliestFit(step.spec.Reservation()); ok && !at.After(soon) {
			request.Targets = append(request.Targets, id)
		}
	}
}

// nameFullTargets adds targets without room that the advisor was not consulted
// on yet, as far as they make the call little longer. It lets room be held on
// those approved.
func (p *planner) nameFullTargets(request *AdviceRequest, step *pendingStep, advice *StepAdvice) {
	atLeast := p.minTargets(request)
	for target := range p.targetsToAsk(step) {
		id := target.info.ID.ID
		if len(request.Targets) >= atLeast {
			return
		}
		known := advice != nil && advice.Requested[id]
		if !known && target.info.HasLabel(step.spec.Label) && step.spec.Reservation().FitsIn(target.info.Capacity) &&
			!slices.Contains(request.Targets, id) {
			request.Targets = append(request.Targets, id)
		}
	}
}

// needsPlacement reports whether a task is waiting, has no pending placement and is not
// delayed.
func (p *planner) needsPlacement(step *pendingStep, index int) bool {
	ref := step.key.TaskRef(index)
	_, pending := p.input.Pending[ref]
	if pending || step.tasks[index].State != graph.TaskWaiting {
		return false
	}
	return !step.spec.LongRunning || p.input.Delayed == nil || !p.input.Delayed(ref)
}

// waitingTasks returns the number of tasks of the step that need a placement.
func (p *planner) waitingTasks(step *pendingStep) int {
	waiting := 0
	for i := range step.tasks {
		if p.needsPlacement(step, i) {
			waiting++
		}
	}
	return waiting
}

// taskCapacity returns how many more tasks of the step fit on the target now.
func (p *planner) taskCapacity(step *pendingStep, target *targetState) int {
	return min(p.taskLimit(step, target), step.spec.Reservation().FitCount(p.roomFor(step, target)))
}

// taskLimit returns how many more tasks of the step may run on the target,
// whatever its room.
func (p *planner) taskLimit(step *pendingStep, target *targetState) int {
	if step.spec.MaxPerTarget > 0 {
		return step.spec.MaxPerTarget - target.runsOfStep(step.key.TaskRef(0)) - target.placedTasks[step.key]
	}
	return step.spec.Count
}

// targetsToAsk iterates over the targets of the step's service in the order in
// which the advisor is asked about them, cold ones last.
func (p *planner) targetsToAsk(step *pendingStep) iter.Seq[*targetState] {
	targets := p.targetsByNeed(step)
	if !p.anyCold {
		return targets
	}
	return last(targets, func(target *targetState) bool { return target.cold })
}

// targetsByNeed iterates over the targets of the step's service. Small accelerator work asks
// about the fullest targets first, since it should leave whole targets free; work without
// accelerators asks about targets that have them last.
func (p *planner) targetsByNeed(step *pendingStep) iter.Seq[*targetState] {
	targets := p.targetsByFreeShare(p.input.View.ServiceOf(step.job))
	if step.spec.Resources.Accelerators > 0 && !step.spec.Gang {
		return func(yield func(*targetState) bool) {
			for _, target := range slices.Backward(targets) {
				if !yield(target) {
					return
				}
			}
		}
	}
	if step.spec.Resources.Accelerators > 0 {
		return rotated(targets, step.key)
	}
	return last(rotated(targets, step.key), func(target *targetState) bool { return target.info.Capacity.Accelerators > 0 })
}

// last iterates over the targets, those for which the condition holds after all others.
func last(targets iter.Seq[*targetState], condition func(*targetState) bool) iter.Seq[*targetState] {
	return func(yield func(*targetState) bool) {
		var deferred []*targetState
		for target := range targets {
			if condition(target) {
				deferred = append(deferred, target)
			} else if !yield(target) {
				return
			}
		}
		for _, target := range deferred {
			if !yield(target) {
				return
			}
		}
	}
}

// rotated iterates over the targets, the half with more free resources first.
// Iteration of that half starts at an offset derived from the step's key, so
// that concurrent requests name different targets and their steps do not
// compete for the same resources.
func rotated(targets []*targetState, key StepKey) iter.Seq[*targetState] {
	half := (len(targets) + 1) / 2
	offset := int(key.hash() % uint64(max(half, 1)))
	return func(yield func(*targetState) bool) {
		for i, target := range targets {
			if i < half {
				target = targets[(offset+i)%half]
			}
			if !yield(target) {
				return
			}
		}
	}
}

// hash returns a uniformly distributed hash of the key.
func (k StepKey) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, k.Job, k.Occurrence, k.Step)
	return h.Sum64()
}

// addTarget adds the target to the request if it has capacity for the step. It
// returns the number of tasks that the target is expected to accept, given the
// probability of its approval.
func (p *planner) addTarget(request *AdviceRequest, step *pendingStep, target *targetState, probability float64) float64 {
	n := p.taskCapacity(step, target)
	if n <= 0 || len(request.Targets) >= maxTargetsPerRequest || !target.info.HasLabel(step.spec.Label) {
		return 0
	}
	request.Targets = append(request.Targets, target.info.ID.ID)
	return probability * float64(n)
}
