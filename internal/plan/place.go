package plan

import (
	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// urgentSpeedWeight is the weight of a target's speed in the score for the
	// most urgent work.
	urgentSpeedWeight = 4.0
	// minHealthySpeed is the speed below which a target is avoided by all work.
	minHealthySpeed = 0.6
	// failedTargetPenalty outweighs all other terms of the score: a task is not
	// retried on the target where it has just failed unless no other target is
	// free.
	failedTargetPenalty = 20.0
	// acceleratorPenalty outweighs the other differences between healthy
	// targets: work without accelerators leaves targets that have them free.
	acceleratorPenalty = 6.0
	// urgentColdPenalty outweighs the speed and the rack of a target: urgent work avoids
	// cold targets. It is below failedTargetPenalty. With coldPenalty other work prefers
	// warm targets to cold ones on the rack of its data, but not to those with accelerators.
	urgentColdPenalty = 12.0
	coldPenalty       = 5.0
	// urgentReserve is the fraction of a client account's limit that is
	// reserved for its urgent work while it has any.
	urgentReserve = 0.2
)

// placeStep places as many tasks of the step as possible, and requests the advice
// that the others need. A gang is placed as a whole or not at all, and all its
// tasks get the same run number. While it waits, room is held for it.
func (p *planner) placeStep(step *pendingStep) {
	needsAdvice := step.queue != nil && step.queue.Advice != nil
	var advice *StepAdvice
	if needsAdvice {
		advice = p.adviceOf(step)
	}
	mayPlace := !needsAdvice || advice != nil
	placed := p.placedTasks
	if mayPlace && p.placeTasks(step, advice) {
		return
	}
	step.missing = p.waitingTasks(step) - (p.placedTasks - placed)
	step.short = !needsAdvice || p.wasShort(step)
	var hold *Hold
	if mayPlace && p.needsHold(step) && p.withinClientAccountLimit(step) {
		hold = p.holdRoom(step, advice)
	}
	p.decision.WaitReasons[step.key] = p.waitReason(step, advice)
	if needsAdvice {
		p.requestAdvice(step, advice, hold)
	}
	if step.short && p.isUrgent(step) {
		p.recordUrgent(step)
		if p.decision.WaitReasons[step.key] == ReasonNoAdvice && (advice == nil || !advice.InFlight) {
			p.decision.WaitReasons[step.key] = ReasonNoCapacity
		}
	}
}

// placeTasks places as many tasks of the step as possible, or all of a gang or
// none. It reports whether no task is left waiting.
func (p *planner) placeTasks(step *pendingStep, advice *StepAdvice) bool {
	var placements []graph.Placement
	var gangRun uint32
	for i := range step.tasks {
		gangRun = max(gangRun, step.tasks[i].Run+1)
	}
	for i := range step.tasks {
		task := &step.tasks[i]
		ref := step.key.TaskRef(i)
		if !p.needsPlacement(step, i) || task.ActiveRuns >= step.spec.MaxConcurrentRuns() {
			continue
		}
		target := p.selectTarget(step, ref, advice)
		if target == nil {
			if step.spec.Gang {
				p.rollback(step, placements)
				return false
			}
			p.commit(step, placements)
			return false
		}
		placement := graph.Placement{
			Task:   ref,
			Run:    task.Run + 1,
			Target: target.info.ID,
		}
		if step.spec.Gang {
			placement.Run = gangRun
		}
		p.assign(step, target, advice, ref)
		placements = append(placements, placement)
	}
	p.commit(step, placements)
	return true
}

// commit adds the placements to the decision. It rolls back an incomplete gang.
func (p *planner) commit(step *pendingStep, placements []graph.Placement) {
	if len(placements) == 0 {
		return
	}
	p.placedTasks += len(placements)
	if step.spec.Gang {
		if len(placements) == len(step.tasks) {
			p.decision.Groups = append(p.decision.Groups, placements)
		} else {
			p.rollback(step, placements)
		}
		return
	}
	for _, placement := range placements {
		p.decision.Groups = append(p.decision.Groups, []graph.Placement{placement})
	}
}

// assign reserves resources on the target for the task and records its ticket.
func (p *planner) assign(step *pendingStep, target *targetState, advice *StepAdvice, ref graph.TaskRef) {
	p.take(step, target)
	target.addPlaced(step.key, 1)
	if p.isSuspect(step.job, ref) {
		target.suspects++
	}
	p.usedByClientAccount[step.job.ClientAccount] = p.usedByClientAccount[step.job.ClientAccount].Add(step.spec.Resources)
	if step.spec.BestEffort {
		p.colocationOf(target).bestEffort++
	} else if step.spec.Latency > 0 {
		p.colocationOf(target).services++
	}
	if advice != nil {
		p.decision.Tickets[ref] = advice.Approved[target.info.ID.ID]
	}
}

// rollback releases the resources and tickets that assign reserved for the
// placements. The counts of colocated tasks are left unchanged.
func (p *planner) rollback(step *pendingStep, placements []graph.Placement) {
	for _, placement := range placements {
		target := p.byID[placement.Target.ID]
		p.giveBack(step, target)
		target.addPlaced(step.key, -1)
		if p.isSuspect(step.job, placement.Task) {
			target.suspects--
		}
		p.usedByClientAccount[step.job.ClientAccount] = p.usedByClientAccount[step.job.ClientAccount].Sub(step.spec.Resources)
		delete(p.decision.Tickets, placement.Task)
	}
}

// waitReason returns why the next task of the step cannot be placed now.
func (p *planner) waitReason(step *pendingStep, advice *StepAdvice) WaitReason {
	switch {
	case !p.withinClientAccountLimit(step):
		return ReasonClientAccountLimit
	case p.isEvacuated(p.input.View.ServiceOf(step.job)):
		return ReasonEvacuated
	case p.isHeldBack(step):
		return ReasonHeld
	case step.queue != nil && step.queue.Advice != nil && (advice == nil || advice.InFlight):
		return ReasonNoAdvice
	case len(p.decision.Holds) > 0 && p.decision.Holds[step.key] == nil && p.isRoomHeld(step, advice):
		return ReasonHeld
	}
	return ReasonNoCapacity
}

// isEvacuated reports whether the service has no other targets than evacuated ones.
func (p *planner) isEvacuated(service string) bool {
	return p.evacuatedServices[service] && len(p.byService[service]) == 0
}

// isRoomHeld reports whether a task of the step would fit on a target if no room
// were held there for a gang.
func (p *planner) isRoomHeld(step *pendingStep, advice *StepAdvice) bool {
	for _, target := range p.candidates(step, advice) {
		if target.hold != nil && step.spec.Reservation().FitsIn(target.free) {
			return true
		}
	}
	return false
}

// withinClientAccountLimit reports whether one more task of the step stays
// within the client account's limit.
func (p *planner) withinClientAccountLimit(step *pendingStep) bool {
	usage, account := p.input.View.ClientAccount(step.job.ClientAccount)
	if account == nil {
		return true
	}
	total := usage.Add(p.usedByClientAccount[step.job.ClientAccount]).Add(step.spec.Resources)
	return graph.WithinLimit(total, p.clientAccountLimit(step, account))
}

// clientAccountLimit returns the part of the client account's limit that the
// step may use up. A fraction is reserved for the client account's urgent work,
// which would otherwise wait behind the client account's own batch work for
// much longer than its run time.
func (p *planner) clientAccountLimit(step *pendingStep, account *graph.ClientAccount) quota.Resources {
	if step.priority == 0 || step.spec.Gang || !p.urgentClientAccounts[step.job.ClientAccount] {
		return account.Limit
	}
	reduced := account.Limit.Scale(1 - urgentReserve)
	if !graph.WithinLimit(step.spec.Resources, reduced) {
		return account.Limit
	}
	return reduced
}

// selectTarget returns the target with the highest score for a task, or nil.
func (p *planner) selectTarget(step *pendingStep, ref graph.TaskRef, advice *StepAdvice) *targetState {
	if !p.withinClientAccountLimit(step) || p.isHeldBack(step) {
		return nil
	}
	suspect := p.isSuspect(step.job, ref)
	var best *targetState
	bestScore := 0.0
	for _, target := range p.candidates(step, advice) {
		if !p.fits(step, ref, target, advice) {
			continue
		}
		score := p.score(step, target) + suspectScore(suspect, target)
		if task := &step.tasks[ref.Index]; task.Failures > 0 && task.Target == target.info.ID {
			score -= failedTargetPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = target, score
		}
	}
	return best
}

// candidates returns the targets that may run the step. If the step needs
// advice, these are the targets approved by the advisor.
func (p *planner) candidates(step *pendingStep, advice *StepAdvice) []*targetState {
	service := p.input.View.ServiceOf(step.job)
	if advice == nil {
		return p.targetsByFreeShare(service)
	}
	if step.approvedTargets != nil {
		return step.approvedTargets
	}
	step.approvedTargets = make([]*targetState, 0, len(advice.Approved))
	for id := range advice.Approved {
		if target := p.byID[id]; target != nil && target.info.Service == service {
			step.approvedTargets = append(step.approvedTargets, target)
		}
	}
	return step.approvedTargets
}

// fits reports whether the task can start on the target: resources, label,
// ticket and spread limit permit it, and no run of the task is there already.
func (p *planner) fits(step *pendingStep, ref graph.TaskRef, target *targetState, advice *StepAdvice) bool {
	if !step.spec.Reservation().FitsIn(p.roomFor(step, target)) || !target.info.HasLabel(step.spec.Label) {
		return false
	}
	if target.hasRun(ref) {
		return false
	}
	if advice != nil {
		ticket, ok := advice.Approved[target.info.ID.ID]
		if !ok || !isTicketUsable(ticket, p.input.Now) {
			return false
		}
	}
	return step.spec.MaxPerTarget == 0 || target.runsOfStep(ref)+target.placedTasks[step.key] < step.spec.MaxPerTarget
}

// speedScore returns the contribution of a target's speed to its score. Only
// the most urgent work prefers fast targets; other work prefers slow ones, to
// leave fast targets free, but avoids those below minHealthySpeed.
func (s *pendingStep) speedScore(speed float64) float64 {
	switch {
	case s.priority == 0:
		return urgentSpeedWeight * speed
	case speed < minHealthySpeed:
		return -urgentSpeedWeight
	}
	return -speed
}

// coldScore returns what is deducted from the score of a target that is slow after its start.
func (s *pendingStep) coldScore(target *targetState) float64 {
	switch {
	case !target.cold:
		return 0
	case s.priority == 0:
		return urgentColdPenalty
	}
	return coldPenalty
}

// score rates a target that fits the step. It considers speed, rack locality
// with the step's data, colocation of tightly coupled tasks, and the separation
// of best-effort tasks from latency-sensitive services. Fuller targets
// score higher, which keeps large blocks of resources free for large tasks.
func (p *planner) score(step *pendingStep, target *targetState) float64 {
	score := step.speedScore(target.speed) - step.coldScore(target)
	if step.spec.Rack != "" && target.info.Rack == step.spec.Rack {
		score += 4
	}
	if step.spec.TightlyCoupled && target.placedTasks[step.key] > 0 {
		score += 4
	}
	if step.spec.BestEffort && p.colocationOf(target).services > 0 {
		score -= 8
	}
	if step.spec.Latency > 0 && p.colocationOf(target).bestEffort > 0 {
		score -= 8
	}
	if step.spec.Resources.Accelerators == 0 && target.info.Capacity.Accelerators > 0 {
		score -= acceleratorPenalty
	}
	return score - target.free.DominantShare(target.info.Capacity)
}
