// Package plan assigns waiting tasks to targets and selects the targets on
// which the advisor has to be consulted. It never modifies the ledger; the
// ledger validates each proposed placement when it is applied.
package plan

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/rank"
)

const (
	// maxPlacements limits the number of tasks placed by one decision.
	maxPlacements = 400
	// minTicketLifetime is the remaining validity that a ticket needs for a
	// task to be started with it.
	minTicketLifetime = 300 * time.Millisecond
)

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job        graph.JobID
	Occurrence int
	Step       int
}

// StepKeyOf returns the key of the step that a task belongs to.
func StepKeyOf(ref graph.TaskRef) StepKey {
	return StepKey{
		Job:        ref.Job,
		Occurrence: ref.Occurrence,
		Step:       ref.Step,
	}
}

// TaskRef returns a reference to the task of the step with the given index.
func (k StepKey) TaskRef(index int) graph.TaskRef {
	return graph.TaskRef{
		Job:        k.Job,
		Occurrence: k.Occurrence,
		Step:       k.Step,
		Index:      index,
	}
}

// Ticket authorizes the tasks of a step to start on a target until it expires.
type Ticket struct {
	Value     string
	ExpiresAt time.Time
}

// StepAdvice holds the advisor's answers for a step.
type StepAdvice struct {
	// Approved maps the targets approved for the step to their tickets.
	Approved map[string]Ticket
	// Requested contains every target that the advisor was consulted on.
	Requested map[string]bool
	// InFlight reports whether a call to the advisor is in progress.
	InFlight bool
}

// Input contains the data that a decision is based on.
type Input struct {
	View *graph.View
	Now  time.Time
	// Advice returns the advisor's answers for a step, or nil if there are
	// none.
	Advice func(StepKey) *StepAdvice
	// ApprovalRate estimates the fraction of targets that the advisor approves
	// for steps of the queue.
	ApprovalRate func(queue string) float64
	// Usable reports whether the target responds.
	Usable func(graph.TargetID) bool
	// FreeAdviceCalls returns how many advice calls of the given expected time
	// can be made now.
	FreeAdviceCalls func(callTime time.Duration) int
	// Renew reports whether a ticket of the step expired before its task was started.
	// Its advice is requested even if more urgent requests take all calls. Nil reports
	// none.
	Renew func(StepKey) bool
	// ExpectedEnd predicts the end of a run from its progress, or returns false.
	ExpectedEnd func(id graph.TargetID, task graph.TaskRef, run uint32) (time.Time, bool)
	// Holds has the room held by the previous decision, and Unheld the steps for which it
	// found none to hold.
	Holds  map[StepKey]*Hold
	Unheld map[StepKey]bool
	// KeepHolds is set if both are recent enough to be kept. To compute them takes most
	// of a decision's time.
	KeepHolds bool
	// MaxPlacements bounds the tasks placed by the decision in addition to maxPlacements.
	// Zero means no further bound.
	MaxPlacements int
	// Pending contains the placements that are proposed but not yet committed
	// to the log.
	Pending map[graph.TaskRef]graph.TargetID
	// Delayed reports whether the long-running task is not to be placed yet. Nil delays none.
	Delayed func(graph.TaskRef) bool
	// Speed returns the relative speed of the target; 1 is the default.
	Speed func(graph.TargetID) float64
	// OverRate reports whether the job is beyond the rate of its client account. Nil means
	// that none is.
	OverRate func(graph.JobID) bool
	// DurationRatio returns by which factor the tasks of a queue take longer than
	// estimated. Nil means that the estimates are right.
	DurationRatio func(queue string) float64
	// IdleSince has since when jobs that were started before wait with nothing of them
	// running, as the previous decision found.
	IdleSince map[graph.JobID]graph.Millis
	// Turn counts the decisions.
	Turn int
	// Cold reports whether the target is still slow after its start. Nil means that
	// none is.
	Cold func(graph.TargetID) bool
	// Urgent is what the previous decision found of urgent work that waits for room. If it
	// is nil, no room is kept for such work.
	Urgent *UrgentState
	// MayPreempt reports whether the task's run may be stopped for urgent work. Nil means
	// that none may.
	MayPreempt func(graph.TaskRef) bool
}

// AdviceRequest is a request for advice on the targets for a step.
type AdviceRequest struct {
	Step    StepKey
	Queue   graph.Queue
	Targets []string
	// Tier separates requests that go behind others whatever their queues: those of a
	// higher tier are served after those of a lower one.
	Tier int
}

// WaitReason explains why tasks of a runnable step are still waiting.
type WaitReason string

// Reasons for tasks to wait.
const (
	// ReasonClientAccountLimit means that the client account has reached its
	// resource limit.
	ReasonClientAccountLimit WaitReason = "tenant-limit"
	// ReasonNoAdvice means that no target approved by the advisor is known yet.
	ReasonNoAdvice WaitReason = "advice"
	// ReasonNoCapacity means that no target allowed to run the tasks has
	// enough free resources for one.
	ReasonNoCapacity WaitReason = "room"
	// ReasonHeld means that the room in which the tasks would fit is held for a
	// more urgent step.
	ReasonHeld WaitReason = "held"
	// ReasonEvacuated means that all targets of the service that respond are in
	// evacuated failure domains.
	ReasonEvacuated WaitReason = "evacuated"
	// ReasonMoreUrgentWork means that more urgent work used up the placements
	// of one decision.
	ReasonMoreUrgentWork WaitReason = "more-urgent-work"
)

// Decision is the result of one planning pass.
type Decision struct {
	// Groups holds the placements in groups: all tasks of a gang, or a single
	// task.
	Groups [][]graph.Placement
	// Tickets has the tickets of the placed tasks of queues that need advice.
	Tickets map[graph.TaskRef]Ticket
	// AdviceRequests are in the order of urgency. There may be more of them
	// than calls can be made now.
	AdviceRequests []AdviceRequest
	// Holds has the room that is held for gangs and large tasks that wait, and Unheld
	// the other steps that need some.
	Holds  map[StepKey]*Hold
	Unheld map[StepKey]bool
	// WaitReasons gives the reason for each step that still has waiting tasks.
	WaitReasons map[StepKey]WaitReason
	// PutBehind has those of these steps that were put behind others.
	PutBehind map[StepKey]PutBehind
	// IdleSince has since when jobs that were started before wait with nothing of them
	// running. It is empty if no client account has a weight.
	IdleSince map[graph.JobID]graph.Millis
	// Preemptions are the new ones, to be carried out now. Urgent has these and those that
	// are under way.
	Preemptions []Preemption
	// Urgent is the state to pass to the next decision.
	Urgent UrgentState
}

// planner holds the state of one planning pass.
type planner struct {
	input     Input
	byService map[string][]*targetState
	byID      map[string]*targetState
	// anyCold is true if a target is cold.
	anyCold bool
	// evacuatedServices contains the services with a usable target in an evacuated
	// failure domain.
	evacuatedServices map[string]bool
	// usedByClientAccount holds the resources of pending and new placements.
	usedByClientAccount map[string]quota.Resources
	// urgentClientAccounts contains the client accounts with urgent jobs,
	// waiting or running.
	urgentClientAccounts map[string]bool
	// sortedServices contains the services whose targets are already sorted
	// by free share.
	sortedServices map[string]bool
	// adviceRequestsByQueue counts the advice requests of the decision, and
	// freeCallsByQueue caches how many calls of a queue can be made.
	adviceRequestsByQueue map[string]int
	freeCallsByQueue      map[string]int
	// largestByService caches the result of largestTarget.
	largestByService map[string]quota.Resources
	// conditions determines the order, and pools has the services by name if client
	// accounts have weights.
	conditions rank.Conditions
	pools      map[string]*pool
	// ratioByQueue caches the duration ratios, and scratch is used by scratchFor.
	ratioByQueue map[string]float64
	scratch      []graph.Millis
	// urgent is the urgent work that waits for room.
	urgent urgentWork
	// examinedTargets and examinedOptions bound the work of preemption.
	examinedTargets int
	examinedOptions int
	decision        Decision
	placedTasks     int
}

func newPlanner(in Input) *planner {
	p := &planner{
		input:                in,
		byService:            map[string][]*targetState{},
		evacuatedServices:    map[string]bool{},
		usedByClientAccount:  map[string]quota.Resources{},
		urgentClientAccounts: map[string]bool{},
		sortedServices:       map[string]bool{},

		adviceRequestsByQueue: map[string]int{},
		freeCallsByQueue:      map[string]int{},
		largestByService:      map[string]quota.Resources{},

		conditions:   rank.Conditions{Weighted: in.View.HasWeights()},
		pools:        map[string]*pool{},
		ratioByQueue: map[string]float64{},
	}
	p.decision.Holds = map[StepKey]*Hold{}
	p.decision.Unheld = map[StepKey]bool{}
	p.decision.Tickets = map[graph.TaskRef]Ticket{}
	p.decision.WaitReasons = map[StepKey]WaitReason{}
	p.decision.IdleSince = map[graph.JobID]graph.Millis{}
	p.decision.Urgent = newUrgentState()
	p.urgent = p.newUrgentWork()
	return p
}

// Decide returns the placements to propose and the advice to request.
func Decide(in Input) Decision {
	p := newPlanner(in)
	p.carryPreemptions()
	steps := p.pendingSteps()
	if len(steps) == 0 {
		return p.decision
	}
	p.loadTargets()
	limit := maxPlacements
	if in.MaxPlacements > 0 {
		limit = min(limit, in.MaxPlacements)
	}
	var ahead graph.JobID
	for _, entry := range p.orderSteps(steps) {
		step := entry.Item
		if p.placedTasks >= limit {
			p.decision.WaitReasons[step.key] = ReasonMoreUrgentWork
		} else {
			p.placeStep(step)
		}
		if entry.Rule == rank.NotBehind {
			ahead = step.key.Job
		} else {
			p.recordPutBehind(entry, ahead)
		}
	}
	p.preempt()
	return p.decision
}
