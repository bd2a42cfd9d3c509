package graph

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/blame"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// ErrDecode is returned for a command or snapshot that cannot be decoded.
var ErrDecode = errors.New("graph data cannot be decoded")

// Command is one change to the ledger. Exactly one of the pointers is set.
// Applying a command a second time has no effect.
type Command struct {
	// Time is the proposer's clock. The ledger takes the maximum over all
	// commands, so its own time is monotonic.
	Time   Millis
	Submit *Submit
	Cancel *Cancel
	Place  *Place
	Events *Events
	Target *Announcement
	Gone   *EndIncarnations
	Evict  *Evict
	Copy   *Speculate
	Config *Config
	Prune  *Prune
	Clear  *ClearSuspicion
	// Evacuate is ignored by replicas of the previous release.
	Evacuate *Evacuate `cbor:",omitempty"`
}

// Address is the host and path of a client's request, and its API key.
type Address struct {
	Host string
	Path string
	Key  string
}

// Submit admits a job.
type Submit struct {
	Address Address
	ID      JobID
	Spec    Spec
	// BodyBytes is the size of the request, which the leader checks before it proposes the
	// job. Earlier releases do not set it.
	BodyBytes int64 `cbor:",omitempty"`
}

// Cancel cancels a job. Its active runs are stopped.
type Cancel struct {
	// Address is empty if the proposer has checked that the caller may cancel the
	// job. Earlier releases set it.
	Address Address
	ID      JobID
}

// Place assigns tasks to targets. Each group is placed atomically.
type Place struct {
	Groups [][]Placement
}

// Placement assigns a task to a target under a run number.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskRef
	Run    uint32
	Target TargetID
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// Outcomes of runs.
const (
	OutcomeDone RunOutcome = iota + 1
	OutcomeFailed
	OutcomeStopped
	// OutcomeLeaseExpired means that the lease expired.
	OutcomeLeaseExpired
	// OutcomeGangBroken means that another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangTimedOut means that the other members of the gang did not
	// start in time.
	OutcomeGangTimedOut
	// OutcomeNeverStarted means that the run is known never to have started,
	// and cannot start any more.
	OutcomeNeverStarted
)

// Events reports runs that ended on targets.
type Events struct {
	Ends []RunEnd
}

// RunEnd is the end of one run.
type RunEnd struct {
	_       struct{} `cbor:",toarray"`
	Target  TargetID
	Task    TaskRef
	Run     uint32
	Outcome RunOutcome
	// Checkpoint is the last checkpoint of the run, if there is one.
	Checkpoint string
}

// Announcement adds a target or updates its attributes.
type Announcement struct {
	ID      TargetID
	Service string
	Machine string
	Address string
	// Domain is the failure domain.
	Domain   string
	Capacity quota.Resources
	Labels   []string
	Rack     string
	// Leaving targets are draining: they get no new runs. Once set, it stays
	// set for that target ID.
	Leaving bool
	// Seq increases with each heartbeat of the incarnation, so that a late one does
	// not undo what a later one said. Zero is unknown.
	Seq uint64 `cbor:",omitempty"`
}

// IsLate reports whether the target has sent the announcement before the other one.
func (a *Announcement) IsLate(other *Announcement) bool {
	return a.Seq != 0 && a.Seq < other.Seq
}

// LacksPropertyOf reports whether the announcement leaves out a property that the other one of
// the same target has. A target announces the same properties each time, so that such an
// announcement is of another writer.
func (a *Announcement) LacksPropertyOf(other *Announcement) bool {
	return a.Domain == "" && other.Domain != "" ||
		a.Machine == "" && other.Machine != "" ||
		len(a.Labels) == 0 && len(other.Labels) > 0 ||
		a.Capacity.CPU == 0 && other.Capacity.CPU != 0 ||
		a.Capacity.Memory == 0 && other.Capacity.Memory != 0 ||
		a.ID.Incarnation == 0 && other.ID.Incarnation != 0 ||
		a.Seq == 0 && other.Seq != 0
}

// EndIncarnations removes targets. The proposer must be certain that nothing
// runs on them any more.
type EndIncarnations struct {
	Targets []TargetID
	// Crashes has an entry for each of the targets whose process is known to have
	// ended while tasks ran on it, other than by leaving.
	Crashes []Crash `cbor:",omitempty"`
	// Evidence says how much crashes of the targets speak against tasks.
	Evidence []Evidence `cbor:",omitempty"`
}

// Crash is the end of a target under its tasks. Suspects are the tasks that may have
// caused it, as far as the proposer can tell.
type Crash struct {
	Target   TargetID
	Suspects []TaskRef
}

// Evidence is what the crash of a target says about one task that ran on it.
type Evidence struct {
	Target TargetID
	Task   TaskRef
	Weight blame.Weight
}

// ClearSuspicion forgets the crashes counted against tasks, which have run for long
// enough since.
type ClearSuspicion struct {
	Tasks []TaskRef
}

// Evict stops runs so that their tasks can be placed again elsewhere.
type Evict struct {
	Tasks []TaskRef
}

// Speculate requests a speculative second run of tasks whose step allows it,
// while the first run continues. The first run to complete wins.
type Speculate struct {
	Tasks []TaskRef
}

// Prune deletes the records of jobs that ended before the given time.
type Prune struct {
	Before Millis
}

// Refusal is the reason why a command or query was refused. The empty Refusal
// means that it was accepted.
type Refusal string

// Reasons for a refusal.
const (
	RefusedNoQueue     Refusal = "no-such-queue"
	RefusedNoConfig    Refusal = "no-configuration"
	RefusedKey         Refusal = "key-not-in-force"
	RefusedNoJob       Refusal = "no-such-job"
	RefusedState       Refusal = "wrong-state"
	RefusedNotReady    Refusal = "not-its-turn"
	RefusedNoTarget    Refusal = "no-such-target"
	RefusedLeaving     Refusal = "target-leaving"
	RefusedService     Refusal = "wrong-service"
	RefusedLabel       Refusal = "label-missing"
	RefusedSpread      Refusal = "too-many-on-target"
	RefusedCapacity    Refusal = "no-room"
	RefusedLimit       Refusal = "over-limit"
	RefusedPartialGang Refusal = "gang-not-whole"
	RefusedRunActive   Refusal = "earlier-run-not-over"
	RefusedBadSpec     Refusal = "bad-spec"
	RefusedQueueFull   Refusal = "queue-full"
	RefusedNeverFits   Refusal = "never-fits"
	RefusedTooLarge    Refusal = "too-large"
)

// Result is the outcome of applying a command.
type Result struct {
	Refusal Refusal
	Detail  string
	// Groups has one entry for each group of a Place command, empty if it was placed.
	Groups []Refusal
	// Finished lists the jobs that reached a final state through the ends of
	// runs in an Events or EndIncarnations command.
	Finished []FinishedJob
}

// FinishedJob is a job that reached a final state.
type FinishedJob struct {
	Job   JobID
	State State
	// GaveUp is the task that the job failed with because targets crashed under it, with
	// their number.
	GaveUp *CrashCount
	// UsedUp is the task that the job failed with because its runs failed.
	UsedUp *AttemptCount
}

// AttemptCount counts the failed runs of a task, or of a gang, when its job failed.
// Allowed is the number of attempts that its queue allows.
type AttemptCount struct {
	Task    TaskRef
	Failed  int
	Allowed int
}

// Encode returns the encoding of the command for the replicated log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return data, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// DecodeCommand decodes a command. It returns an error that wraps ErrDecode
// if the data is invalid.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrapf(ErrDecode, "command: %s", err)
	}
	return c, nil
}

// String returns the name of the outcome.
func (o RunOutcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeFailed:
		return "failed"
	case OutcomeStopped:
		return "stopped"
	case OutcomeLeaseExpired:
		return "lapsed"
	case OutcomeGangBroken:
		return "broken"
	case OutcomeGangTimedOut:
		return "alone"
	case OutcomeNeverStarted:
		return "absent"
	}
	return "unknown"
}
