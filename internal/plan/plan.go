// Package plan decides which waiting tasks go to which targets, and about
// which targets the advisor is to be asked. It only reads; the ledger checks
// what it proposes.
package plan

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// maxSpots bounds the tasks placed by one decision.
	maxSpots = 400
	// ticketSlack is how long a ticket must still last for a start.
	ticketSlack = 300 * time.Millisecond
)

// StepKey names one step of one occurrence.
type StepKey struct {
	Job        graph.JobID
	Occurrence int
	Step       int
}

// StepOf returns the step of a task.
func StepOf(ref graph.TaskRef) StepKey {
	return StepKey{
		Job:        ref.Job,
		Occurrence: ref.Occurrence,
		Step:       ref.Step,
	}
}

// Task returns the name of a task of the step.
func (k StepKey) Task(index int) graph.TaskRef {
	return graph.TaskRef{
		Job:        k.Job,
		Occurrence: k.Occurrence,
		Step:       k.Step,
		Index:      index,
	}
}

// Ticket lets the tasks of a step start on a target until it runs out.
type Ticket struct {
	Value string
	Until time.Time
}

// Advised is what is known of a step from the advisor.
type Advised struct {
	// Good has the targets that may run the step, and their tickets.
	Good map[string]Ticket
	// Asked has all that the advisor was asked about.
	Asked map[string]bool
	// Busy tells that a call is under way.
	Busy bool
}

// Input is what a decision is made from.
type Input struct {
	View *graph.View
	Now  time.Time
	// Advice returns what is known of a step, or nil.
	Advice func(StepKey) *Advised
	// Share is the part of targets that is likely to be good for the queue.
	Share func(queue string) float64
	// Usable tells whether the target answers.
	Usable func(graph.TargetID) bool
	// MayAsk tells whether a call for advice that takes so long could be made
	// soon.
	MayAsk func(cost time.Duration) bool
	// Pending are placements that are on their way into the log.
	Pending map[graph.TaskRef]graph.TargetID
	// Speed is how fast the target works; 1 is usual.
	Speed func(graph.TargetID) float64
}

// Question asks the advisor about targets for a step.
type Question struct {
	Step    StepKey
	Queue   graph.Queue
	Targets []string
}

// Reason is why tasks of a step wait though its turn has come.
type Reason string

// Reasons to wait.
const (
	// WaitsLimit: the tenant has as much running as it may.
	WaitsLimit Reason = "tenant-limit"
	// WaitsAdvice: no target is known yet that the advisor calls good.
	WaitsAdvice Reason = "advice"
	// WaitsRoom: no target that may run the tasks has room for one.
	WaitsRoom Reason = "room"
	// WaitsTurn: more urgent work took all that one decision may place.
	WaitsTurn Reason = "more-urgent-work"
)

// Decision is what a plan comes to.
type Decision struct {
	Groups    [][]graph.Spot
	Tickets   map[graph.TaskRef]string
	Questions []Question
	// Waits tells of each step with tasks left over why they wait.
	Waits map[StepKey]Reason
}

// planner holds one decision as it is made.
type planner struct {
	in      Input
	targets map[string][]*slot
	byID    map[string]*slot
	used    map[string]quota.Room
	// urgent are the tenants that have urgent work, waiting or running.
	urgent map[string]bool
	// sorted are the services whose targets are in the order of their room.
	sorted map[string]bool
	// tooLong is the shortest call for advice that could not be made.
	tooLong time.Duration
	out     Decision
	spots   int
}

// Decide returns the placements and questions for now.
func Decide(in Input) Decision {
	p := &planner{
		in:      in,
		targets: map[string][]*slot{},
		used:    map[string]quota.Room{},
		urgent:  map[string]bool{},
		sorted:  map[string]bool{},
	}
	p.out.Tickets = map[graph.TaskRef]string{}
	p.out.Waits = map[StepKey]Reason{}
	rounds := p.rounds()
	if len(rounds) == 0 {
		return p.out
	}
	p.slots()
	for _, r := range rounds {
		if p.spots >= maxSpots {
			p.out.Waits[r.key] = WaitsTurn
			continue
		}
		p.placeRound(r)
	}
	return p.out
}
