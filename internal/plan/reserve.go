package plan

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/rank"
)

const (
	// scatterFactor is the ratio of the room that is kept for waiting urgent work to its
	// demand. It is more than 1, because the room is spread over all targets, and a step
	// may run on some of them only.
	scatterFactor = 2.0
	// Work of lower priority is held back for maxHeldBack at a time, then served in its
	// order for heldBackPause, so that lasting urgent work does not stop it altogether.
	maxHeldBack   = 10 * time.Second
	heldBackPause = 2 * time.Second
	// maxUrgentTasks bounds the waiting tasks of one step that count as urgent demand,
	// because each of them is compared with the client account's limit.
	maxUrgentTasks = 256
)

// UrgentState is the state of urgent work that waits for room. Each decision passes it to the
// next.
type UrgentState struct {
	// Short has the steps that are known to wait for room.
	Short map[StepKey]bool
	// Since has, by service, the time since which work of lower priority is held back.
	Since map[string]time.Time
	// Preemptions has the preemptions that are under way.
	Preemptions map[graph.TaskRef]Preemption
}

func newUrgentState() UrgentState {
	return UrgentState{
		Short: map[StepKey]bool{},
		Since: map[string]time.Time{},

		Preemptions: map[graph.TaskRef]Preemption{},
	}
}

// urgentWork is the most urgent work that waits for room in this decision.
type urgentWork struct {
	// enabled is set if client accounts have weights and the queues more than one
	// priority, of which priority is the most urgent one.
	enabled   bool
	priority  int
	byService map[string]*urgentDemand
	// byAccount sums up what the waiting tasks of the client accounts ask for.
	byAccount map[string]quota.Resources
}

// urgentDemand is the urgent work that waits for room in a service.
type urgentDemand struct {
	steps []urgentStep
	// total is what the waiting tasks ask for, and smallest the least of each component
	// that one of them needs.
	total    quota.Resources
	smallest quota.Resources
	// usable is the room in which such tasks fit, once counted is set.
	usable  quota.Resources
	counted bool
	// paused is set while lower priorities are served in spite of the demand.
	paused bool
}

// urgentStep is a step with the number of tasks that wait for room.
type urgentStep struct {
	step    *pendingStep
	missing int
}

func (p *planner) newUrgentWork() urgentWork {
	work := urgentWork{
		byService: map[string]*urgentDemand{},
		byAccount: map[string]quota.Resources{},
	}
	if p.conditions.Weighted && p.input.Urgent != nil {
		work.priority, work.enabled = p.input.View.UrgentPriority()
	}
	return work
}

// isUrgent reports whether room is kept for the step: it is of the most urgent priority,
// within its account's rate, and can have value. Room for gangs and large tasks is held.
func (p *planner) isUrgent(step *pendingStep) bool {
	return p.urgent.enabled && step.priority == p.urgent.priority &&
		!step.spec.LongRunning && !step.spec.BestEffort && !step.work.OverRate &&
		step.work.Class() != rank.ClassWorthless && !p.needsHold(step)
}

// recordUrgent adds the urgent step to the work that waits for room, as far as the client
// account's limit allows its tasks.
func (p *planner) recordUrgent(step *pendingStep) {
	missing := p.tasksWithinLimit(step, min(step.missing, maxUrgentTasks))
	if missing <= 0 {
		return
	}
	service := p.input.View.ServiceOf(step.job)
	reservation := step.spec.Reservation()
	demand := p.urgent.byService[service]
	if demand == nil {
		demand = &urgentDemand{smallest: reservation}
		p.urgent.byService[service] = demand
		p.recordHeldBack(service, demand)
	}
	account := step.job.ClientAccount
	p.urgent.byAccount[account] = p.urgent.byAccount[account].Add(step.spec.Resources.Times(missing))
	demand.total = demand.total.Add(reservation.Times(missing))
	demand.smallest = demand.smallest.Min(reservation)
	demand.steps = append(demand.steps, urgentStep{
		step:    step,
		missing: missing,
	})
	p.decision.Urgent.Short[step.key] = true
}

// wasShort reports whether the previous decision knew the step to wait for room.
func (p *planner) wasShort(step *pendingStep) bool {
	return p.input.Urgent != nil && p.input.Urgent.Short[step.key]
}

// recordHeldBack records since when lower priorities are held back in the service.
func (p *planner) recordHeldBack(service string, demand *urgentDemand) {
	since, known := p.input.Urgent.Since[service]
	if !known {
		since = p.input.Now
	}
	p.decision.Urgent.Since[service] = since
	demand.paused = p.input.Now.Sub(since)%(maxHeldBack+heldBackPause) >= maxHeldBack
}

// tasksWithinLimit returns how many of n more tasks of the step stay within the client
// account's limit, after those of other steps that wait for room.
func (p *planner) tasksWithinLimit(step *pendingStep, n int) int {
	usage, account := p.input.View.ClientAccount(step.job.ClientAccount)
	if account == nil {
		return n
	}
	name := step.job.ClientAccount
	total := usage.Add(p.usedByClientAccount[name]).Add(p.urgent.byAccount[name])
	limit := p.clientAccountLimit(step, account)
	for i := range n {
		total = total.Add(step.spec.Resources)
		if !graph.WithinLimit(total, limit) {
			return i
		}
	}
	return n
}

// isHeldBack reports whether the step goes behind urgent work that waits for room in its
// service, by its priority or its tier, and one more task of it would take room that is kept.
// Long-running work, work that uses idle CPU and starving jobs are not held back.
func (p *planner) isHeldBack(step *pendingStep) bool {
	if !p.conditions.Short || len(p.urgent.byService) == 0 ||
		step.priority <= p.urgent.priority && step.tier == 0 || step.spec.LongRunning || step.spec.BestEffort || step.starving {
		return false
	}
	service := p.input.View.ServiceOf(step.job)
	demand := p.urgent.byService[service]
	if demand == nil || demand.paused {
		return false
	}
	p.countUsable(service, demand)
	left := demand.usable.Sub(demand.total.Scale(scatterFactor))
	return !demand.relevant(step.spec.Reservation()).FitsIn(left.Max(quota.Resources{}))
}

// relevant returns the components of the request that all waiting urgent tasks need.
func (d *urgentDemand) relevant(request quota.Resources) quota.Resources {
	if d.smallest.CPU == 0 {
		request.CPU = 0
	}
	if d.smallest.Memory == 0 {
		request.Memory = 0
	}
	if d.smallest.Accelerators == 0 {
		request.Accelerators = 0
	}
	return request
}

// countUsable sums up the room of the targets on which a waiting urgent task fits.
func (p *planner) countUsable(service string, demand *urgentDemand) {
	if demand.counted {
		return
	}
	demand.counted = true
	for _, target := range p.byService[service] {
		if n := demand.smallest.FitCount(target.free); n > 0 && !demand.smallest.IsZero() {
			demand.usable = demand.usable.Add(demand.smallest.Times(n))
		}
	}
}

// chargeUsable deducts the change of the room in use from what is left for urgent work.
func (p *planner) chargeUsable(target *targetState, change quota.Resources) {
	if demand := p.urgent.byService[target.info.Service]; demand != nil && demand.counted {
		demand.usable = demand.usable.Sub(change)
	}
}
