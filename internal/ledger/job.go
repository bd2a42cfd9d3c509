// Package ledger implements the deterministic state machine of the replicated
// log. It enforces every guarantee of the system when a command is applied,
// whoever proposed it. To give the same result on every replica, it depends on
// no clock, random source or map order: the time is part of each command.
package ledger

import (
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Millis is a Unix time in milliseconds.
type Millis int64

// JobID identifies an admitted job. Ids are assigned in ascending order of
// admission.
type JobID uint64

// Scope is the namespace of a caller's request ids: "team/NAME" for callers
// with an API key, "open/SERVICE" for callers without one.
type Scope string

// RequestKey is the identity of a job as chosen by its caller.
type RequestKey struct {
	Scope Scope  `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

// TaskState is the state of a task.
type TaskState uint8

// Task states. TaskSucceeded and all later states are final.
const (
	TaskQueued TaskState = iota + 1
	// TaskPlaced: assigned to a target, which has not confirmed a start.
	TaskPlaced
	// TaskHeld: its target has reserved resources for it and waits until all
	// tasks of the gang are held.
	TaskHeld
	TaskRunning
	TaskSucceeded
	TaskFailed
	// TaskStopped: it ran, and was stopped before it finished.
	TaskStopped
	// TaskNotRun: it is known that it never started.
	TaskNotRun
	// TaskUnknown: it may have run, its result is not known, and it will not
	// run again.
	TaskUnknown
)

// Final reports whether the state can no longer change.
func (s TaskState) Final() bool {
	return s >= TaskSucceeded
}

// Active reports whether a task in this state occupies resources on a target.
func (s TaskState) Active() bool {
	return s == TaskPlaced || s == TaskHeld || s == TaskRunning
}

// Outcome is the final result of a job. It is empty until all its tasks are
// final, and never changes after that.
type Outcome string

// Job outcomes.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeStopped   Outcome = "stopped"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
)

// Reason is why a task was stopped or a job was ended.
type Reason string

// Reasons for stopping a task or ending a job.
const (
	ReasonNone              Reason = ""
	ReasonCancelled         Reason = "cancelled"
	ReasonKeyWithdrawn      Reason = "key-withdrawn"
	ReasonServiceWithdrawn  Reason = "service-withdrawn"
	ReasonDeadline          Reason = "deadline"
	ReasonNeverFits         Reason = "never-fits"
	ReasonPreempted         Reason = "preempted"
	ReasonOverLimit         Reason = "over-limit"
	ReasonGangIncomplete    Reason = "gang"
	ReasonDrain             Reason = "drain"
	ReasonSessionEnded      Reason = "session-ended"
	ReasonAttemptsExhausted Reason = "attempts-used-up"
	ReasonOversize          Reason = "over-declared-size"
)

// Spec is the specification of a job, as submitted by its caller.
type Spec struct {
	Service string `cbor:"1,keyasint"`
	// Count is the number of tasks.
	Count int `cbor:"2,keyasint"`
	// Resources is the declared resource request of each task.
	Resources quota.Resources `cbor:"3,keyasint"`
	// Idempotent allows tasks to run again after a failure or the loss of
	// their target.
	Idempotent bool `cbor:"4,keyasint,omitempty"`
	// StartBy is the start deadline: a job that is still queued then ends as
	// not run. 0 means none.
	StartBy Millis `cbor:"5,keyasint,omitempty"`
	// RunMillis is the expected run time in milliseconds, a hint for the
	// scheduler.
	RunMillis int64 `cbor:"6,keyasint,omitempty"`
	// MaxAttempts is the number of failures after which a task is not run
	// again. 0 means the default.
	MaxAttempts int    `cbor:"7,keyasint,omitempty"`
	Payload     []byte `cbor:"8,keyasint,omitempty"`
}

// Job is an admitted job. A stored Job is immutable: each change stores a new
// one, so that readers need no lock.
type Job struct {
	ID          JobID      `cbor:"1,keyasint"`
	Request     RequestKey `cbor:"2,keyasint"`
	Digest      string     `cbor:"3,keyasint"`
	Team        string     `cbor:"4,keyasint"`
	KeyID       string     `cbor:"5,keyasint,omitempty"`
	Kind        note.Kind  `cbor:"6,keyasint"`
	Spec        Spec       `cbor:"7,keyasint"`
	Urgent      bool       `cbor:"8,keyasint,omitempty"`
	Preemptible bool       `cbor:"9,keyasint,omitempty"`
	AdmittedAt  Millis     `cbor:"10,keyasint"`
	FinishedAt  Millis     `cbor:"11,keyasint,omitempty"`
	Outcome     Outcome    `cbor:"12,keyasint,omitempty"`
	// Reason is the first reason for which a task of the job was stopped for
	// good or lost, or else EndReason. Detail explains EndReason.
	Reason Reason `cbor:"13,keyasint,omitempty"`
	Detail string `cbor:"14,keyasint,omitempty"`
	// EndReason, if set, is why no more tasks of the job may start.
	EndReason Reason `cbor:"15,keyasint,omitempty"`
	// Released is set when all tasks of the gang are held, which allows them
	// to start.
	Released bool   `cbor:"16,keyasint,omitempty"`
	Tasks    []Task `cbor:"17,keyasint"`
}

// Task is one task of a job.
type Task struct {
	State   TaskState `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint,omitempty"`
	Target  string    `cbor:"3,keyasint,omitempty"`
	Session string    `cbor:"4,keyasint,omitempty"`
	// StopReason, if set, is why the target must stop the current attempt.
	StopReason Reason `cbor:"5,keyasint,omitempty"`
	// Started is set once an attempt is known to have started, and MayHaveRun
	// once an attempt may have started.
	Started     bool   `cbor:"6,keyasint,omitempty"`
	MayHaveRun  bool   `cbor:"7,keyasint,omitempty"`
	Failures    uint32 `cbor:"8,keyasint,omitempty"`
	ExitCode    int    `cbor:"9,keyasint,omitempty"`
	Output      []byte `cbor:"10,keyasint,omitempty"`
	Checksum    string `cbor:"11,keyasint,omitempty"`
	Checkpoint  string `cbor:"12,keyasint,omitempty"`
	PlacedAt    Millis `cbor:"13,keyasint,omitempty"`
	StartedAt   Millis `cbor:"14,keyasint,omitempty"`
	EndedAt     Millis `cbor:"15,keyasint,omitempty"`
	Preemptions uint32 `cbor:"16,keyasint,omitempty"`
}

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Job    JobID  `cbor:"1,keyasint" json:"job"`
	Task   int    `cbor:"2,keyasint" json:"task"`
	Number uint32 `cbor:"3,keyasint" json:"number"`
}

// IsFinished reports whether the job is finished and has its outcome.
func (j *Job) IsFinished() bool {
	return j.Outcome != ""
}

// Queued returns the number of tasks that wait for placement.
func (j *Job) Queued() int {
	return j.countTasks(func(t Task) bool { return t.State == TaskQueued })
}

// Active returns the number of tasks that occupy resources on a target.
func (j *Job) Active() int {
	return j.countTasks(func(t Task) bool { return t.State.Active() })
}

func (j *Job) countTasks(match func(Task) bool) int {
	n := 0
	for _, t := range j.Tasks {
		if match(t) {
			n++
		}
	}
	return n
}

// clone returns a copy that may be modified until it is stored.
func (j *Job) clone() *Job {
	next := *j
	next.Tasks = append([]Task(nil), j.Tasks...)
	return &next
}

// computeOutcome derives the outcome of a job whose tasks are all final.
func (j *Job) computeOutcome() Outcome {
	counts := make(map[TaskState]int, len(j.Tasks))
	for _, t := range j.Tasks {
		counts[t.State]++
	}
	switch {
	case counts[TaskSucceeded] == len(j.Tasks):
		return OutcomeSucceeded
	case counts[TaskNotRun] == len(j.Tasks):
		return OutcomeNotRun
	case counts[TaskUnknown] > 0:
		return OutcomeUnknown
	case counts[TaskFailed] > 0:
		return OutcomeFailed
	}
	return OutcomeStopped
}

// Target is a worker that is registered under one session. Like a Job, it is
// immutable once stored.
type Target struct {
	ID       string          `cbor:"1,keyasint"`
	Session  string          `cbor:"2,keyasint"`
	Capacity quota.Resources `cbor:"3,keyasint"`
	Slots    int             `cbor:"4,keyasint"`
	Rack     string          `cbor:"5,keyasint"`
	Domain   string          `cbor:"6,keyasint"`
	// Leaving excludes the target from new placements.
	Leaving     bool            `cbor:"7,keyasint,omitempty"`
	Used        quota.Resources `cbor:"8,keyasint"`
	Attempts    []Attempt       `cbor:"9,keyasint,omitempty"`
	AnnouncedAt Millis          `cbor:"10,keyasint"`
}

func (t *Target) clone() *Target {
	next := *t
	next.Attempts = append([]Attempt(nil), t.Attempts...)
	return &next
}

// Usage is the usage of a team: the total resources and the number of its active
// tasks, the number of its queued tasks, and the number of its unfinished jobs.
type Usage struct {
	Resources quota.Resources `cbor:"1,keyasint"`
	Tasks     int             `cbor:"2,keyasint"`
	Queued    int             `cbor:"3,keyasint"`
	LiveJobs  int             `cbor:"4,keyasint"`
}
