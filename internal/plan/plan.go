// Package plan assigns waiting tasks to targets and selects the targets on
// which the advisor has to be consulted. It never modifies the ledger; the
// ledger validates each proposed placement when it is applied.
package plan

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
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
	// ExpectedEnd predicts the end of a run from its progress, or returns false.
	ExpectedEnd func(id graph.TargetID, task graph.TaskRef, run uint32) (time.Time, bool)
	// Holds has the room held by the previous decision.
	Holds map[StepKey]*Hold
	// Pending contains the placements that are proposed but not yet committed
	// to the log.
	Pending map[graph.TaskRef]graph.TargetID
	// Delayed reports whether the long-running task is not to be placed yet. Nil delays none.
	Delayed func(graph.TaskRef) bool
	// Speed returns the relative speed of the target; 1 is the default.
	Speed func(graph.TargetID) float64
	// Cold reports whether the target is still slow after its start. Nil stands for none.
	Cold func(graph.TargetID) bool
}

// AdviceRequest is a request for advice on the targets for a step.
type AdviceRequest struct {
	Step    StepKey
	Queue   graph.Queue
	Targets []string
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
	Groups  [][]graph.Placement
	Tickets map[graph.TaskRef]string
	// AdviceRequests are in the order of urgency. There may be more of them
	// than calls can be made now.
	AdviceRequests []AdviceRequest
	// Holds has the room that is held for gangs and large tasks that wait.
	Holds map[StepKey]*Hold
	// WaitReasons gives the reason for each step that still has waiting tasks.
	WaitReasons map[StepKey]WaitReason
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
	decision         Decision
	placedTasks      int
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
	}
	p.decision.Holds = map[StepKey]*Hold{}
	p.decision.Tickets = map[graph.TaskRef]string{}
	p.decision.WaitReasons = map[StepKey]WaitReason{}
	return p
}

// Decide returns the placements to propose and the advice to request.
func Decide(in Input) Decision {
	p := newPlanner(in)
	steps := p.pendingSteps()
	if len(steps) == 0 {
		return p.decision
	}
	p.loadTargets()
	for _, step := range steps {
		if p.placedTasks >= maxPlacements {
			p.decision.WaitReasons[step.key] = ReasonMoreUrgentWork
			continue
		}
		p.placeStep(step)
	}
	return p.decision
}
