// Package graph implements a deterministic state machine for jobs that are
// graphs of steps and whose tasks are pushed to targets. Every invariant is
// checked when a command is applied: the capacity of targets, the number of
// active runs of a task, the dependencies between steps, the resource limits of
// tenants and the atomic placement of gangs. The package reads no clock and no
// random source; time comes with the commands.
package graph

import (
	"fmt"
	"strconv"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Millis is a Unix time or a duration in milliseconds.
type Millis int64

// JobID identifies a job to its client.
type JobID string

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Room is the resource request of each task.
	Room quota.Room
	// Estimate is the client's estimate of a task's duration.
	Estimate Millis
	// Depends lists the indexes of earlier steps that must be done first.
	Depends []int
	// Checkpoints is set if tasks can resume from a checkpoint.
	Checkpoints bool
	// Gang tasks are placed all together, under one run number, or not at
	// all.
	Gang bool
	// Tight tasks are tightly coupled: they are slower when they run on more
	// than one rack.
	Tight bool
	// Label is a label that the target must have; empty matches any target.
	Label string
	// Rack is the rack that holds the step's data.
	Rack string
	// Spread is the maximum number of the step's tasks on one target; zero is
	// unlimited.
	Spread int
	// Copies allows speculative execution: a task may have a second run while
	// the first is active, and the first to complete wins.
	Copies bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image names the program that the tasks run.
	Image string
	// Latency is the upper bound on the tail response time that a lasting
	// task should keep.
	Latency Millis
	// Filler tasks use only CPU time that other tasks leave idle.
	Filler bool
	// Disruption is the maximum number of the step's tasks that the system
	// itself may keep from running at the same time.
	Disruption int
}

// maxSpeculativeRuns is the maximum number of concurrent runs of a task whose
// step allows speculative execution.
const maxSpeculativeRuns = 2

// MostRuns returns the maximum number of concurrent runs of a task.
func (s *Step) MostRuns() int {
	if s.Copies && !s.Gang && !s.Lasting {
		return maxSpeculativeRuns
	}
	return 1
}

// Takes returns the part of a target's capacity that a task reserves. Filler
// tasks reserve no CPU.
func (s *Step) Takes() quota.Room {
	room := s.Room
	if s.Filler {
		room.CPU = 0
	}
	return room
}

// Spec is a client's specification of a job.
type Spec struct {
	Payload string
	Steps   []Step
	// Times is the number of occurrences; zero counts as one.
	Times int
	// StartAt is the time at which the first occurrence is due, and Interval
	// the time between two occurrences.
	StartAt  Millis
	Interval Millis
}

// State is the state of a job.
type State uint8

// States of a job. Those from StateCompleted on are final.
const (
	StateQueued State = iota + 1
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateQueued:
		return "queued"
	case StateRunning:
		return "running"
	case StateCompleted:
		return "completed"
	case StateFailed:
		return "failed"
	case StateCancelled:
		return "cancelled"
	}
	return "unknown"
}

// Final reports whether the state is final.
func (s State) Final() bool {
	return s >= StateCompleted
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	// TaskPlaced means that the task is assigned to a target, which may be
	// running it.
	TaskPlaced
	TaskDone
)

// Task is one task of one occurrence.
type Task struct {
	_     struct{} `cbor:",toarray"`
	State TaskState
	// Run is the number of the latest run. Run numbers of a task increase.
	Run uint32
	// Target is the target of the latest run.
	Target   TargetID
	Failures int
	// Checkpoint is the latest checkpoint.
	Checkpoint string
	// Held is the number of runs that may still be active on targets.
	Held int
	// Evicted is set while the run is being stopped so that the task can be
	// placed again elsewhere.
	Evicted bool
}

// StepExecution is the progress of one step in one occurrence.
type StepExecution struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// Left counts the tasks that are not done, and Waiting those in
	// TaskWaiting.
	Left    int
	Waiting int
	// Failures counts the failed runs of a gang. LastFailedRun is the number
	// of the latest of them, so that a run with several failed members counts
	// once.
	Failures      int
	LastFailedRun uint32
}

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Due Millis
	// Rounds has one entry for each step.
	Rounds []StepExecution
	// Left is the number of steps that are not done.
	Left int
}

// Job is an admitted job.
type Job struct {
	ID       JobID
	Queue    string
	Service  string
	Tenant   string
	Spec     Spec
	Admitted Millis
	State    State
	Ended    Millis
	// Begun is set once a task has been placed.
	Begun       bool
	Occurrences []Occurrence
	// Waiting counts the tasks in TaskWaiting over all occurrences.
	Waiting int
}

// TaskRef identifies a task.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// TargetID identifies one incarnation of a target.
type TargetID struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Born is the incarnation: it is higher after each restart of the target.
	Born int64
}

// Target is one incarnation of a target.
type Target struct {
	Announce

	// Used is the part of the capacity that active runs reserve.
	Used quota.Room
	// Runs are the runs that may be active on the target.
	Runs map[TaskRef]ActiveRun
}

// ActiveRun is a run that may be active on a target.
type ActiveRun struct {
	_   struct{} `cbor:",toarray"`
	Run uint32
	// Room is the resource request of the task.
	Room   quota.Room
	Tenant string
	// Filler runs reserve no CPU on the target.
	Filler bool
}

// Has reports whether the target has the label. It returns true for the empty
// label.
func (t *Target) Has(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range t.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Free returns the capacity that no run reserves.
func (t *Target) Free() quota.Room {
	return t.Capacity.Sub(t.Used)
}

func newOccurrence(spec *Spec, due Millis) Occurrence {
	o := Occurrence{
		Due:    due,
		Rounds: make([]StepExecution, len(spec.Steps)),
		Left:   len(spec.Steps),
	}
	for i, step := range spec.Steps {
		o.Rounds[i] = StepExecution{
			Tasks:   make([]Task, step.Count),
			Left:    step.Count,
			Waiting: step.Count,
		}
	}
	return o
}

// Turn reports whether the tasks of the step may run now: the occurrence is due
// and all dependencies of the step are done.
func (j *Job) Turn(occurrence, step int, now Millis) bool {
	o := &j.Occurrences[occurrence]
	if o.Due > now {
		return false
	}
	for _, d := range j.Spec.Steps[step].Depends {
		if o.Rounds[d].Left > 0 {
			return false
		}
	}
	return true
}

// Task returns the task, or nil if the reference is out of range.
func (j *Job) Task(ref TaskRef) *Task {
	if ref.Occurrence < 0 || ref.Occurrence >= len(j.Occurrences) {
		return nil
	}
	steps := j.Occurrences[ref.Occurrence].Rounds
	if ref.Step < 0 || ref.Step >= len(steps) {
		return nil
	}
	tasks := steps[ref.Step].Tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil
	}
	return &tasks[ref.Index]
}

// Name returns the task's name for log messages: job.occurrence.step.index.
func (r TaskRef) Name() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// Place returns the task and its run without the job, for log messages:
// occurrence.step.index:run.
func (r TaskRef) Place(run uint32) string {
	name := make([]byte, 0, 24)
	name = strconv.AppendInt(name, int64(r.Occurrence), 10)
	name = append(name, '.')
	name = strconv.AppendInt(name, int64(r.Step), 10)
	name = append(name, '.')
	name = strconv.AppendInt(name, int64(r.Index), 10)
	name = append(name, ':')
	return string(strconv.AppendUint(name, uint64(run), 10))
}
