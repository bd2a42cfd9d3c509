// Package graph implements a deterministic state machine for jobs that are
// graphs of steps and whose tasks are pushed to targets. Every invariant is
// checked when a command is applied: the capacity of targets, the number of
// active runs of a task, the dependencies between steps, the resource limits of
// client accounts and the atomic placement of gangs. The package reads no clock
// and no random source; time comes with the commands.
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
	// Resources is the resource request of each task.
	Resources quota.Resources `cbor:"Room"`
	// Estimate is the client's estimate of a task's duration.
	Estimate Millis
	// DependsOn lists the indexes of earlier steps that must be done first.
	DependsOn []int `cbor:"Depends"`
	// Checkpoints is set if tasks can resume from a checkpoint.
	Checkpoints bool
	// Gang tasks are placed all together, under one run number, or not at
	// all.
	Gang bool
	// TightlyCoupled tasks are slower when they run on more than one rack.
	TightlyCoupled bool `cbor:"Tight"`
	// Label is a label that the target must have; empty matches any target.
	Label string
	// Rack is the rack that holds the step's data.
	Rack string
	// MaxPerTarget is the maximum number of the step's tasks on one target;
	// zero is unlimited.
	MaxPerTarget int `cbor:"Spread"`
	// Speculative allows speculative execution: a task may have a second run
	// while the first is active, and the first to complete wins.
	Speculative bool `cbor:"Copies"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"Lasting"`
	// Image names the program that the tasks run.
	Image string
	// Latency is the upper bound on the tail response time that a long-running
	// task should keep.
	Latency Millis
	// BestEffort tasks use only CPU time that other tasks leave idle.
	BestEffort bool `cbor:"Filler"`
	// MaxUnavailable is the maximum number of the step's tasks that the system
	// itself may keep from running at the same time.
	MaxUnavailable int `cbor:"Disruption"`
}

// maxSpeculativeRuns is the maximum number of concurrent runs of a task whose
// step allows speculative execution.
const maxSpeculativeRuns = 2

// MaxConcurrentRuns returns the maximum number of concurrent runs of a task.
func (s *Step) MaxConcurrentRuns() int {
	if s.Speculative && !s.Gang && !s.LongRunning {
		return maxSpeculativeRuns
	}
	return 1
}

// Reservation returns the part of a target's capacity that a task reserves.
// Best-effort tasks reserve no CPU.
func (s *Step) Reservation() quota.Resources {
	resources := s.Resources
	if s.BestEffort {
		resources.CPU = 0
	}
	return resources
}

// Spec is a client's specification of a job.
type Spec struct {
	Payload string
	Steps   []Step
	// Occurrences is the number of occurrences; zero counts as one.
	Occurrences int `cbor:"Times"`
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
	// ActiveRuns is the number of runs that may still be active on targets.
	ActiveRuns int
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
	// Steps has one entry for each step.
	Steps []StepExecution `cbor:"Rounds"`
	// Left is the number of steps that are not done.
	Left int
}

// Job is an admitted job.
type Job struct {
	ID            JobID
	Queue         string
	Service       string
	ClientAccount string `cbor:"Tenant"`
	Spec          Spec
	Admitted      Millis
	State         State
	Ended         Millis
	// Started is set once a task has been placed.
	Started     bool `cbor:"Begun"`
	Occurrences []Occurrence
	// Waiting counts the tasks in TaskWaiting over all occurrences.
	Waiting int
	// Crashes has the tasks under which targets have crashed.
	Crashes []CrashCount `cbor:",omitempty"`
	// Blames has the evidence against the tasks under which targets have crashed.
	Blames []Blame `cbor:",omitempty"`
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
	// Incarnation increases with each restart of the target.
	Incarnation int64
}

// Target is one incarnation of a target.
type Target struct {
	Announcement

	// Used is the part of the capacity that active runs reserve.
	Used quota.Resources
	// Runs are the runs that may be active on the target.
	Runs map[TaskRef]ActiveRun
}

// ActiveRun is a run that may be active on a target.
type ActiveRun struct {
	_   struct{} `cbor:",toarray"`
	Run uint32
	// Resources is the resource request of the task.
	Resources     quota.Resources
	ClientAccount string
	// BestEffort runs reserve no CPU on the target.
	BestEffort bool
}

// HasLabel reports whether the target has the label. It returns true for the
// empty label.
func (t *Target) HasLabel(label string) bool {
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
func (t *Target) Free() quota.Resources {
	return t.Capacity.Sub(t.Used)
}

func newOccurrence(spec *Spec, due Millis) Occurrence {
	o := Occurrence{
		Due:   due,
		Steps: make([]StepExecution, len(spec.Steps)),
		Left:  len(spec.Steps),
	}
	for i, step := range spec.Steps {
		o.Steps[i] = StepExecution{
			Tasks:   make([]Task, step.Count),
			Left:    step.Count,
			Waiting: step.Count,
		}
	}
	return o
}

// IsStepReady reports whether the tasks of the step may run now: the occurrence
// is due and all dependencies of the step are done.
func (j *Job) IsStepReady(occurrence, step int, now Millis) bool {
	o := &j.Occurrences[occurrence]
	if o.Due > now {
		return false
	}
	for _, d := range j.Spec.Steps[step].DependsOn {
		if o.Steps[d].Left > 0 {
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
	steps := j.Occurrences[ref.Occurrence].Steps
	if ref.Step < 0 || ref.Step >= len(steps) {
		return nil
	}
	tasks := steps[ref.Step].Tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil
	}
	return &tasks[ref.Index]
}

// StepOf returns the step of the task, or nil if the job has no such step.
func (j *Job) StepOf(ref TaskRef) *Step {
	if ref.Step < 0 || ref.Step >= len(j.Spec.Steps) {
		return nil
	}
	return &j.Spec.Steps[ref.Step]
}

// Name returns the task's name for log messages: job.occurrence.step.index.
func (r TaskRef) Name() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// RunName returns the task and its run without the job, for log messages:
// occurrence.step.index:run.
func (r TaskRef) RunName(run uint32) string {
	name := make([]byte, 0, 24)
	name = strconv.AppendInt(name, int64(r.Occurrence), 10)
	name = append(name, '.')
	name = strconv.AppendInt(name, int64(r.Step), 10)
	name = append(name, '.')
	name = strconv.AppendInt(name, int64(r.Index), 10)
	name = append(name, ':')
	return string(strconv.AppendUint(name, uint64(run), 10))
}
