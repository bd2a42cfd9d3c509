package ledger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// ErrDecode is returned for a command or snapshot that can't be decoded.
var ErrDecode = errors.New("ledger data cannot be decoded")

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. Every command is idempotent: applying it again has no effect.
type Command struct {
	// Time is the proposer's clock. The ledger's time never goes backwards:
	// it is the highest Time applied so far.
	Time       Millis      `cbor:"1,keyasint"`
	Submit     *Submit     `cbor:"2,keyasint,omitempty"`
	Cancel     *Cancel     `cbor:"3,keyasint,omitempty"`
	Place      *Place      `cbor:"4,keyasint,omitempty"`
	End        *End        `cbor:"5,keyasint,omitempty"`
	Stop       *Stop       `cbor:"6,keyasint,omitempty"`
	Announce   *Announce   `cbor:"7,keyasint,omitempty"`
	Leave      *Leave      `cbor:"8,keyasint,omitempty"`
	EndSession *EndSession `cbor:"9,keyasint,omitempty"`
	Report     *Report     `cbor:"10,keyasint,omitempty"`
	Note       *note.Note  `cbor:"11,keyasint,omitempty"`
	Prune      *Prune      `cbor:"12,keyasint,omitempty"`
}

// Submit requests the admission of a job.
type Submit struct {
	Request RequestKey `cbor:"1,keyasint"`
	Digest  string     `cbor:"2,keyasint"`
	KeyID   string     `cbor:"3,keyasint,omitempty"`
	Spec    Spec       `cbor:"4,keyasint"`
}

// Cancel ends a job: its queued tasks at once, its active ones when their
// targets have stopped them.
type Cancel struct {
	Request RequestKey `cbor:"1,keyasint"`
}

// Place assigns queued tasks to targets. Each group belongs to one job. The
// group of a gang must name all its tasks, and is accepted or refused as a
// whole.
type Place struct {
	Groups []JobPlacements `cbor:"1,keyasint"`
}

// JobPlacements holds the proposed placements of one job.
type JobPlacements struct {
	Job        JobID       `cbor:"1,keyasint"`
	Placements []Placement `cbor:"2,keyasint"`
}

// Placement assigns one attempt of a task to one session of a target.
type Placement struct {
	Task    int    `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Target  string `cbor:"3,keyasint"`
	Session string `cbor:"4,keyasint"`
}

// End ends jobs that have no active task.
type End struct {
	Items []EndItem `cbor:"1,keyasint"`
}

// EndItem ends one job for the given reason.
type EndItem struct {
	Job    JobID  `cbor:"1,keyasint"`
	Reason Reason `cbor:"2,keyasint"`
	Detail string `cbor:"3,keyasint,omitempty"`
}

// Stop marks attempts that their targets must stop.
type Stop struct {
	Attempts []Attempt `cbor:"1,keyasint"`
	Reason   Reason    `cbor:"2,keyasint"`
}

// Announce registers a target under a new session.
type Announce struct {
	Target   string          `cbor:"1,keyasint"`
	Session  string          `cbor:"2,keyasint"`
	Capacity quota.Resources `cbor:"3,keyasint"`
	Slots    int             `cbor:"4,keyasint"`
	Rack     string          `cbor:"5,keyasint"`
	Domain   string          `cbor:"6,keyasint"`
}

// Leave excludes a target from new placements.
type Leave struct {
	Target  string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
}

// EndSession ends a session. The proposer must have made sure that the lease
// of the session has expired, or that the target has confirmed that nothing
// runs on it.
type EndSession struct {
	Target  string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	// ConfirmedIdle is set when the target itself confirmed that nothing runs.
	// The session then ends only if it has no attempts.
	ConfirmedIdle bool `cbor:"3,keyasint,omitempty"`
}

// EventKind is the kind of an attempt's state change.
type EventKind string

// Event kinds.
const (
	// EventHeld: the target reserves resources for the task until its gang is
	// released.
	EventHeld    EventKind = "held"
	EventStarted EventKind = "started"
	// EventFinished: the task exited by itself.
	EventFinished EventKind = "finished"
	// EventStopped: the task ran and was stopped.
	EventStopped EventKind = "stopped"
	// EventFenced: the task had not started, and the target will never start
	// the attempt.
	EventFenced EventKind = "fenced"
)

// Event is a state change of an attempt, reported by its target.
type Event struct {
	Attempt  Attempt   `cbor:"1,keyasint"           json:"attempt"`
	Kind     EventKind `cbor:"2,keyasint"           json:"kind"`
	ExitCode int       `cbor:"3,keyasint,omitempty" json:"exit-code,omitempty"`
	Output   []byte    `cbor:"4,keyasint,omitempty" json:"output,omitempty"`
	// Checksum is the SHA-256 of the output, in hex.
	Checksum   string `cbor:"5,keyasint,omitempty" json:"checksum,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty" json:"checkpoint,omitempty"`
}

// Report carries events from one session.
type Report struct {
	Target  string  `cbor:"1,keyasint"`
	Session string  `cbor:"2,keyasint"`
	Events  []Event `cbor:"3,keyasint"`
}

// Prune deletes finished jobs whose retention has expired.
type Prune struct {
	Jobs []JobID `cbor:"1,keyasint"`
}

// Refusal is the reason for which the ledger refused a command or a part of
// it. It is empty for what was accepted.
type Refusal string

// Refusals.
const (
	RefusedNoJob         Refusal = "no-such-job"
	RefusedWrongState    Refusal = "wrong-state"
	RefusedWrongAttempt  Refusal = "wrong-attempt"
	RefusedNoSession     Refusal = "no-such-session"
	RefusedLeaving       Refusal = "target-leaving"
	RefusedNoCapacity    Refusal = "no-room"
	RefusedNoSlot        Refusal = "no-slot"
	RefusedOverLimit     Refusal = "over-limit"
	RefusedInvalidKey    Refusal = "key-not-in-force"
	RefusedNoService     Refusal = "no-such-service"
	RefusedPastDeadline  Refusal = "past-deadline"
	RefusedMayHaveRun    Refusal = "may-have-run"
	RefusedPartialGang   Refusal = "gang-not-whole"
	RefusedIDReused      Refusal = "request-id-reused"
	RefusedIDTooOld      Refusal = "request-id-too-old"
	RefusedIDInFuture    Refusal = "request-id-ahead"
	RefusedBadID         Refusal = "request-id-malformed"
	RefusedQueueFull     Refusal = "queue-full"
	RefusedTooManyJobs   Refusal = "too-many-kept-answers"
	RefusedInvalidSpec   Refusal = "bad-spec"
	RefusedSessionActive Refusal = "session-live"
	RefusedNotPermitted  Refusal = "not-this-team"
)

// SubmitResult is the result of a Submit. Duplicate is set when the request had
// already been admitted, as Job.
type SubmitResult struct {
	Job       JobID
	Duplicate bool
	Refusal   Refusal
	Detail    string
}

// CancelResult is the result of a Cancel.
type CancelResult struct {
	Job     *Job
	Refusal Refusal
}

// PlaceResult is the result of a Place: a refusal for each placement of each
// group, empty where the placement was accepted.
type PlaceResult struct {
	Groups [][]Refusal
}

// AnnounceResult is the result of an Announce.
type AnnounceResult struct {
	Refusal Refusal
}

// ReportResult is the result of a Report or a Leave.
type ReportResult struct {
	Refusal Refusal
	// StaleEvents counts the events that were ignored because their attempts do
	// not, or no longer, belong to the session.
	StaleEvents int
}

// NoteResult is the result of a release note. Err is nil or an error of
// note.State.Apply, and State is the current configuration.
type NoteResult struct {
	State *note.State
	Err   error
}

// Encode returns the command as it is stored in the replicated log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return data, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// DecodeCommand decodes a command. It fails with ErrDecode.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrapf(ErrDecode, "command: %s", err)
	}
	return c, nil
}
