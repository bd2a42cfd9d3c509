// Package graph is the deterministic state machine for jobs that are graphs
// of steps and run on pushed targets. Every promise is checked when a command
// is applied: room, one live run of a task, the order of steps, a tenant's
// upper limit, gangs whole or not at all. It reads no clock and no random
// source: time comes with the commands.
package graph

import (
	"fmt"
	"strconv"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Millis is a Unix time or a duration in milliseconds.
type Millis int64

// JobID identifies a job to its caller.
type JobID string

// Step is a number of alike tasks of a job.
type Step struct {
	Count int
	// Room is what each task takes.
	Room quota.Room
	// Estimate is the caller's guess at a task's duration.
	Estimate Millis
	// Depends numbers the earlier steps that must be done first.
	Depends []int
	// Checkpoints tells that tasks can resume from a checkpoint.
	Checkpoints bool
	// Gang tasks run together, under one run number, or not at all.
	Gang bool
	// Tight tasks are slower when they run on more than one rack.
	Tight bool
	// Label is one that the target must have.
	Label string
	// Rack is where the step's data is.
	Rack string
	// Spread is how many of the step's tasks may share a target; zero is
	// any number.
	Spread int
	// Copies may run beside each other; the first to finish counts.
	Copies bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image names what the tasks run.
	Image string
	// Latency is what a lasting task's tail response time should stay
	// under.
	Latency Millis
	// Filler tasks take only the processor time that others leave.
	Filler bool
	// Disruption is how many of the step's tasks may be away at the same
	// time by the system's own doing.
	Disruption int
}

// copiedRuns is how many runs of a task that may be copied can go on at once.
const copiedRuns = 2

// MostRuns returns how many runs of a task may go on at the same time.
func (s *Step) MostRuns() int {
	if s.Copies && !s.Gang && !s.Lasting {
		return copiedRuns
	}
	return 1
}

// Takes returns what a task takes of a target's room.
func (s *Step) Takes() quota.Room {
	room := s.Room
	if s.Filler {
		room.CPU = 0
	}
	return room
}

// Spec is what a caller asks for.
type Spec struct {
	Payload string
	Steps   []Step
	// Times is how often the steps run; zero is once, at once.
	Times int
	// StartAt is when the first occurrence is due, Interval the time
	// between two.
	StartAt  Millis
	Interval Millis
}

// State is how a job stands.
type State uint8

// States of a job. Those from StateCompleted on are final.
const (
	StateQueued State = iota + 1
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// String returns the state's name.
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

// Final tells whether the state never changes again.
func (s State) Final() bool {
	return s >= StateCompleted
}

// TaskState is how a task stands.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	// TaskPlaced: a target has been chosen, and may run it.
	TaskPlaced
	TaskDone
)

// Task is one task of one occurrence.
type Task struct {
	_     struct{} `cbor:",toarray"`
	State TaskState
	// Run numbers the starts; it is the newest one's.
	Run      uint32
	Target   TargetID
	Failures int
	// Saved is the newest checkpoint.
	Saved string
	// Held counts the runs that targets may still hold.
	Held int
	// Evicted runs are being stopped to run again elsewhere.
	Evicted bool
}

// Round is one step of one occurrence.
type Round struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// Left counts the tasks that are not done, Waiting those that wait.
	Left    int
	Waiting int
	// Failures and FailedRun count failed runs of a gang.
	Failures  int
	FailedRun uint32
}

// Occurrence is one passage through the steps of a job.
type Occurrence struct {
	Due    Millis
	Rounds []Round
	Left   int
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
	// Begun tells that some task has been placed.
	Begun       bool
	Occurrences []Occurrence
	// Waiting counts the tasks that wait.
	Waiting int
}

// TaskRef names a task.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// TargetID names one lifetime of a target.
type TargetID struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

// Target is one lifetime of a target.
type Target struct {
	Announce

	Used quota.Room
	// Runs are those that the target may hold.
	Runs map[TaskRef]Held
}

// Held is a run that a target may hold, and the room it takes.
type Held struct {
	_      struct{} `cbor:",toarray"`
	Run    uint32
	Room   quota.Room
	Tenant string
	// Filler runs take no processor time of their own.
	Filler bool
}

// Has tells whether the target has the label; all have none.
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

// Free returns the room that nothing takes.
func (t *Target) Free() quota.Room {
	return t.Capacity.Sub(t.Used)
}

func newOccurrence(spec *Spec, due Millis) Occurrence {
	o := Occurrence{
		Due:    due,
		Rounds: make([]Round, len(spec.Steps)),
		Left:   len(spec.Steps),
	}
	for i, step := range spec.Steps {
		o.Rounds[i] = Round{
			Tasks:   make([]Task, step.Count),
			Left:    step.Count,
			Waiting: step.Count,
		}
	}
	return o
}

// Turn tells whether the tasks of the step may run now.
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

// Task returns the task, or nil when there is none.
func (j *Job) Task(ref TaskRef) *Task {
	if ref.Occurrence < 0 || ref.Occurrence >= len(j.Occurrences) {
		return nil
	}
	rounds := j.Occurrences[ref.Occurrence].Rounds
	if ref.Step < 0 || ref.Step >= len(rounds) {
		return nil
	}
	tasks := rounds[ref.Step].Tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil
	}
	return &tasks[ref.Index]
}

// Name returns the task's name as logs have it.
func (r TaskRef) Name() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// Place returns the task and its run without the job, as logs have them:
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
