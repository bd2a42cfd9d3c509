package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// MoveInput contains the data that the choice of moves out of evacuated failure domains is
// based on. Of Input it needs View, Now, Advice, Usable, Pending and Speed.
type MoveInput struct {
	Input
	// WaitReasons are those of the last decision.
	WaitReasons map[StepKey]WaitReason
	// Remaining predicts how much longer a run takes that is at work. It returns false if
	// that is unknown.
	Remaining func(id graph.TargetID, task graph.TaskRef, run uint32, estimate graph.Millis) (time.Duration, bool)
	// LongerThan is how much longer a run must take at least to be moved.
	LongerThan time.Duration
	// Moving has the tasks that are being moved and are not placed again yet.
	Moving map[graph.TaskRef]uint32
	// Limit is the maximum number of tasks that are being moved.
	Limit int
}

// Move is a run that is to be stopped with its checkpoint, so that its task can be placed
// outside of the evacuated failure domains.
type Move struct {
	Task   graph.TaskRef
	Run    uint32
	Target graph.TargetID
	// Remaining is how much longer the run is expected to take.
	Remaining time.Duration
}

// Moves returns the runs to move now, those first that take longest. A run is moved if its
// task saves checkpoints and can be placed by itself, and if there is free room for it on
// another target that no other work waits for.
func Moves(in MoveInput) []Move {
	if len(in.Moving) >= in.Limit {
		return nil
	}
	p := newPlanner(in.Input)
	p.loadTargets()
	for ref := range in.Moving {
		if job := in.View.Jobs()[ref.Job]; job != nil && !p.takeElsewhere(job, ref) {
			return nil
		}
	}
	services, accounts := p.waiting(in.WaitReasons)
	var moves []Move
	for _, move := range p.movable(in) {
		job := in.View.Jobs()[move.Task.Job]
		if len(in.Moving)+len(moves) >= in.Limit {
			break
		}
		if !services[in.View.ServiceOf(job)] && !accounts[job.ClientAccount] && p.takeElsewhere(job, move.Task) {
			moves = append(moves, move)
		}
	}
	return moves
}

// waiting returns the services that other work waits for, and the client accounts that have
// reached their limits: a task of theirs that is stopped might not start again.
func (p *planner) waiting(reasons map[StepKey]WaitReason) (services, accounts map[string]bool) {
	services, accounts = map[string]bool{}, map[string]bool{}
	for key, reason := range reasons {
		job := p.input.View.Jobs()[key.Job]
		switch {
		case job == nil:
		case reason == ReasonClientAccountLimit:
			accounts[job.ClientAccount] = true
		default:
			services[p.input.View.ServiceOf(job)] = true
		}
	}
	return services, accounts
}

// movable returns the runs in evacuated failure domains that may be moved, those first that
// take longest.
func (p *planner) movable(in MoveInput) []Move {
	var moves []Move
	for id, target := range in.View.Targets() {
		if !in.View.IsEvacuated(target.Domain) {
			continue
		}
		for ref, active := range target.Runs {
			step := p.stepOf(ref)
			if step == nil || !step.Checkpoints || step.Gang || step.LongRunning {
				continue
			}
			task := in.View.Jobs()[ref.Job].Task(ref)
			if task.State != graph.TaskPlaced || task.Run != active.Run || task.Evicted || task.ActiveRuns > 1 {
				continue
			}
			remaining, known := in.Remaining(id, ref, active.Run, step.Estimate)
			if known && remaining > in.LongerThan {
				moves = append(moves, Move{
					Task:      ref,
					Run:       active.Run,
					Target:    id,
					Remaining: remaining,
				})
			}
		}
	}
	slices.SortFunc(moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Name(), b.Task.Name()))
	})
	return moves
}

// takeElsewhere deducts the task from the room of a target that can run it, and reports whether
// there is one. If the step needs advice and has got some, the target is an approved one.
func (p *planner) takeElsewhere(job *graph.Job, ref graph.TaskRef) bool {
	step := &pendingStep{
		job:   job,
		queue: p.input.View.QueueOf(job),
		key:   StepKeyOf(ref),
		spec:  job.StepOf(ref),
	}
	var advice *StepAdvice
	if step.queue != nil && step.queue.Advice != nil {
		advice = p.input.Advice(step.key)
	}
	for _, target := range p.candidates(step, advice) {
		if target.info.HasLabel(step.spec.Label) && !target.hasRun(ref) && p.taskCapacity(step, target) > 0 {
			p.take(step, target)
			target.addPlaced(step.key, 1)
			return true
		}
	}
	return false
}
