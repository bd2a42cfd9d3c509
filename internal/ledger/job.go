// Package ledger is the deterministic state machine behind the replicated
// log. Every promise of the system is checked here when a command is
// applied, whatever proposed it. It reads no clock, no random source and no
// map order: time comes with the commands.
package ledger

import (
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Millis is a Unix time in milliseconds.
type Millis int64

// JobID numbers the admitted jobs in their order.
type JobID uint64

// Scope keeps the request ids of different callers apart: "team/NAME" for
// those with a key, "open/SERVICE" for those without.
type Scope string

// RequestKey identifies a job to its caller.
type RequestKey struct {
	Scope Scope  `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

// TaskState is where a task stands.
type TaskState uint8

// States of a task. The states from TaskSucceeded on are final.
const (
	TaskQueued TaskState = iota + 1
	// TaskPlaced: its order is out, the target has not confirmed a start.
	TaskPlaced
	// TaskHeld: a target keeps room for it until its whole gang is held.
	TaskHeld
	TaskRunning
	TaskSucceeded
	TaskFailed
	// TaskStopped: it ran, and was stopped before its end.
	TaskStopped
	// TaskNotRun: it surely never started.
	TaskNotRun
	// TaskUnknown: it may have run, and it will not run again.
	TaskUnknown
)

// Final tells whether the state never changes again.
func (s TaskState) Final() bool {
	return s >= TaskSucceeded
}

// Active tells whether the task takes room on a target.
func (s TaskState) Active() bool {
	return s == TaskPlaced || s == TaskHeld || s == TaskRunning
}

// Outcome is the one answer to a job. It is empty until the job is over.
type Outcome string

// Outcomes of a job.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeStopped   Outcome = "stopped"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
)

// Reason tells why a task was stopped or a job not run.
type Reason string

// Reasons.
const (
	ReasonNone         Reason = ""
	ReasonCancelled    Reason = "cancelled"
	ReasonKeyWithdrawn Reason = "key-withdrawn"
	ReasonService      Reason = "service-withdrawn"
	ReasonDeadline     Reason = "deadline"
	ReasonNeverFits    Reason = "never-fits"
	ReasonPreempted    Reason = "preempted"
	ReasonOverLimit    Reason = "over-limit"
	ReasonGang         Reason = "gang"
	ReasonDrain        Reason = "drain"
	ReasonSessionEnded Reason = "session-ended"
	ReasonAttempts     Reason = "attempts-used-up"
	ReasonOversize     Reason = "over-declared-size"
)

// Spec is what a caller asks for.
type Spec struct {
	Service string `cbor:"1,keyasint"`
	// Count is the number of tasks.
	Count int `cbor:"2,keyasint"`
	// Room is what each task is declared to need.
	Room quota.Room `cbor:"3,keyasint"`
	// Idempotent tasks may run again after a failure or a lost target.
	Idempotent bool `cbor:"4,keyasint,omitempty"`
	// StartBy is when the job ends as not run if it is still queued.
	StartBy Millis `cbor:"5,keyasint,omitempty"`
	// RunMillis is the declared run time, a hint in milliseconds.
	RunMillis int64 `cbor:"6,keyasint,omitempty"`
	// MaxAttempts bounds the runs of each task.
	MaxAttempts int    `cbor:"7,keyasint,omitempty"`
	Payload     []byte `cbor:"8,keyasint,omitempty"`
}

// Job is an admitted job. A Job is never changed once it can be seen: a
// change stores a new one, so that readers need no lock.
type Job struct {
	ID       JobID      `cbor:"1,keyasint"`
	Request  RequestKey `cbor:"2,keyasint"`
	Digest   string     `cbor:"3,keyasint"`
	Team     string     `cbor:"4,keyasint"`
	KeyID    string     `cbor:"5,keyasint,omitempty"`
	Kind     note.Kind  `cbor:"6,keyasint"`
	Spec     Spec       `cbor:"7,keyasint"`
	Urgent   bool       `cbor:"8,keyasint,omitempty"`
	Preempt  bool       `cbor:"9,keyasint,omitempty"`
	Admitted Millis     `cbor:"10,keyasint"`
	Finished Millis     `cbor:"11,keyasint,omitempty"`
	Outcome  Outcome    `cbor:"12,keyasint,omitempty"`
	Reason   Reason     `cbor:"13,keyasint,omitempty"`
	Detail   string     `cbor:"14,keyasint,omitempty"`
	// Ending is why no task of the job may start any more.
	Ending Reason `cbor:"15,keyasint,omitempty"`
	// Released tells that every task of the gang is held and may start.
	Released bool   `cbor:"16,keyasint,omitempty"`
	Tasks    []Task `cbor:"17,keyasint"`
}

// Task is one task of a job.
type Task struct {
	State   TaskState `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint,omitempty"`
	Target  string    `cbor:"3,keyasint,omitempty"`
	Session string    `cbor:"4,keyasint,omitempty"`
	// Stop is why the target has been told to stop the attempt.
	Stop Reason `cbor:"5,keyasint,omitempty"`
	// Started tells that some attempt surely started, MayHaveRun that one
	// may have.
	Started    bool   `cbor:"6,keyasint,omitempty"`
	MayHaveRun bool   `cbor:"7,keyasint,omitempty"`
	Failures   uint32 `cbor:"8,keyasint,omitempty"`
	ExitCode   int    `cbor:"9,keyasint,omitempty"`
	Output     []byte `cbor:"10,keyasint,omitempty"`
	Checksum   string `cbor:"11,keyasint,omitempty"`
	Checkpoint string `cbor:"12,keyasint,omitempty"`
	Placed     Millis `cbor:"13,keyasint,omitempty"`
	StartedAt  Millis `cbor:"14,keyasint,omitempty"`
	EndedAt    Millis `cbor:"15,keyasint,omitempty"`
	Preempted  uint32 `cbor:"16,keyasint,omitempty"`
}

// Attempt names one run of one task.
type Attempt struct {
	Job    JobID  `cbor:"1,keyasint" json:"job"`
	Task   int    `cbor:"2,keyasint" json:"task"`
	Number uint32 `cbor:"3,keyasint" json:"number"`
}

// Over tells whether the job has its outcome.
func (j *Job) Over() bool {
	return j.Outcome != ""
}

// Queued returns how many tasks wait for a place.
func (j *Job) Queued() int {
	return j.count(func(t Task) bool { return t.State == TaskQueued })
}

// Active returns how many tasks take room.
func (j *Job) Active() int {
	return j.count(func(t Task) bool { return t.State.Active() })
}

func (j *Job) count(match func(Task) bool) int {
	n := 0
	for _, t := range j.Tasks {
		if match(t) {
			n++
		}
	}
	return n
}

// edit returns a copy that may be changed before it is stored.
func (j *Job) edit() *Job {
	next := *j
	next.Tasks = append([]Task(nil), j.Tasks...)
	return &next
}

// outcome returns what the final tasks add up to.
func (j *Job) outcome() Outcome {
	seen := make(map[TaskState]int, len(j.Tasks))
	for _, t := range j.Tasks {
		seen[t.State]++
	}
	switch {
	case seen[TaskSucceeded] == len(j.Tasks):
		return OutcomeSucceeded
	case seen[TaskNotRun] == len(j.Tasks):
		return OutcomeNotRun
	case seen[TaskUnknown] > 0:
		return OutcomeUnknown
	case seen[TaskFailed] > 0:
		return OutcomeFailed
	}
	return OutcomeStopped
}

// Target is a worker as it announced itself, for one session. Like a Job it
// is never changed once it can be seen.
type Target struct {
	ID       string     `cbor:"1,keyasint"`
	Session  string     `cbor:"2,keyasint"`
	Capacity quota.Room `cbor:"3,keyasint"`
	Slots    int        `cbor:"4,keyasint"`
	Rack     string     `cbor:"5,keyasint"`
	Domain   string     `cbor:"6,keyasint"`
	// Leaving targets get no new work.
	Leaving  bool       `cbor:"7,keyasint,omitempty"`
	Used     quota.Room `cbor:"8,keyasint"`
	Attempts []Attempt  `cbor:"9,keyasint,omitempty"`
	Since    Millis     `cbor:"10,keyasint"`
}

func (t *Target) edit() *Target {
	next := *t
	next.Attempts = append([]Attempt(nil), t.Attempts...)
	return &next
}

// Usage is what a team has on the fleet.
type Usage struct {
	Running quota.Room `cbor:"1,keyasint"`
	Tasks   int        `cbor:"2,keyasint"`
	Queued  int        `cbor:"3,keyasint"`
	Live    int        `cbor:"4,keyasint"`
}
