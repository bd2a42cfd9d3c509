package plan

import (
	"fmt"
	"hash/fnv"
	"iter"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const (
	// maxAdviceRequests limits the advice requests of one decision. The next
	// decision follows within milliseconds.
	maxAdviceRequests = 16
	// An advice request names between minTargetsPerRequest and
	// maxTargetsPerRequest targets: enough that the expected capacity of those
	// approved is capacityFactor times the number of waiting tasks.
	minTargetsPerRequest = 8
	maxTargetsPerRequest = 40
	capacityFactor       = 3.0
)

// ensureAdvice reports whether approved targets with valid tickets have
// capacity for tasks of the step. It requests advice on more targets if that
// capacity is less than the step needs.
func (p *planner) ensureAdvice(step *pendingStep, advice *StepAdvice) bool {
	capacity := 0
	if advice != nil {
		for id, ticket := range advice.Approved {
			target := p.byID[id]
			if target != nil && ticket.ExpiresAt.Sub(p.input.Now) >= minTicketLifetime {
				capacity += p.taskCapacity(step, target)
			}
		}
	}
	waiting := 0
	for i := range step.tasks {
		if p.needsPlacement(step, i) {
			waiting++
		}
	}
	if capacity < waiting && (advice == nil || !advice.InFlight) && p.withinClientAccountLimit(step) {
		p.requestAdvice(step, advice, waiting-capacity)
	}
	return capacity > 0
}

// needsPlacement reports whether a task is waiting and has no pending
// placement.
func (p *planner) needsPlacement(step *pendingStep, index int) bool {
	_, pending := p.input.Pending[step.key.TaskRef(index)]
	return !pending && step.tasks[index].State == graph.TaskWaiting
}

// taskCapacity returns how many more tasks of the step fit on the target.
func (p *planner) taskCapacity(step *pendingStep, target *targetState) int {
	limit := step.spec.Count
	if step.spec.MaxPerTarget > 0 {
		limit = step.spec.MaxPerTarget - target.info.RunsOfStep(step.key.TaskRef(0)) - target.placedTasks[step.key]
	}
	return min(limit, step.spec.Reservation().FitCount(target.free))
}

// requestAdvice adds an advice request for the step. It names approved targets
// with expired tickets first, then targets that the advisor was not consulted
// on yet, those with the most free resources first.
func (p *planner) requestAdvice(step *pendingStep, advice *StepAdvice, missing int) {
	if len(p.decision.AdviceRequests) >= maxAdviceRequests {
		return
	}
	request := AdviceRequest{
		Step:  step.key,
		Queue: *step.queue,
	}
	if !p.canRequestAdvice(request.Queue.Advice.Base + minTargetsPerRequest*request.Queue.Advice.Each) {
		return
	}
	wanted := capacityFactor * float64(missing)
	if advice != nil {
		for id, ticket := range advice.Approved {
			if target := p.byID[id]; target != nil && ticket.ExpiresAt.Sub(p.input.Now) < minTicketLifetime {
				wanted -= p.addTarget(&request, step, target, 1)
			}
		}
	}
	approvalRate := p.input.ApprovalRate(step.queue.Name)
	for target := range p.rotatedTargets(step) {
		if len(request.Targets) >= maxTargetsPerRequest || wanted <= 0 && len(request.Targets) >= minTargetsPerRequest {
			break
		}
		if advice == nil || !advice.Requested[target.info.ID.ID] {
			wanted -= p.addTarget(&request, step, target, approvalRate)
		}
	}
	if len(request.Targets) > 0 {
		p.decision.AdviceRequests = append(p.decision.AdviceRequests, request)
	}
}

// rotatedTargets iterates over the targets of the step's service, the half with
// more free resources first. Iteration of that half starts at an offset
// derived from the step's key, so that concurrent requests name different
// targets and their steps do not compete for the same resources.
func (p *planner) rotatedTargets(step *pendingStep) iter.Seq[*targetState] {
	targets := p.targetsByFreeShare(p.input.View.ServiceOf(step.job))
	half := (len(targets) + 1) / 2
	offset := int(step.key.hash() % uint64(max(half, 1)))
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

// canRequestAdvice reports whether an advice call of the given duration could
// be made soon. Once a duration is rejected, longer ones are rejected without
// another check.
func (p *planner) canRequestAdvice(duration time.Duration) bool {
	if p.rejectedDuration > 0 && duration >= p.rejectedDuration {
		return false
	}
	if p.input.CanRequestAdvice(duration) {
		return true
	}
	p.rejectedDuration = duration
	return false
}

// addTarget adds the target to the request if it has capacity for the step. It
// returns the number of tasks that the target is expected to accept, given the
// probability of its approval.
func (p *planner) addTarget(request *AdviceRequest, step *pendingStep, target *targetState, probability float64) float64 {
	n := p.taskCapacity(step, target)
	if n == 0 || len(request.Targets) >= maxTargetsPerRequest || !target.info.HasLabel(step.spec.Label) {
		return 0
	}
	request.Targets = append(request.Targets, target.info.ID.ID)
	return probability * float64(n)
}
