package ledger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// ErrDecode is returned for a command or snapshot that can't be read.
var ErrDecode = errors.New("ledger data cannot be decoded")

// Command is one change asked of the ledger. Exactly one of the pointers is
// set. Every command is idempotent: applied twice, the second has no effect.
type Command struct {
	// Time is the proposer's clock; the ledger's own time never steps back.
	Time     Millis      `cbor:"1,keyasint"`
	Submit   *Submit     `cbor:"2,keyasint,omitempty"`
	Cancel   *Cancel     `cbor:"3,keyasint,omitempty"`
	Place    *Place      `cbor:"4,keyasint,omitempty"`
	End      *End        `cbor:"5,keyasint,omitempty"`
	Stop     *Stop       `cbor:"6,keyasint,omitempty"`
	Announce *Announce   `cbor:"7,keyasint,omitempty"`
	Leave    *Leave      `cbor:"8,keyasint,omitempty"`
	Session  *EndSession `cbor:"9,keyasint,omitempty"`
	Report   *Report     `cbor:"10,keyasint,omitempty"`
	Note     *note.Note  `cbor:"11,keyasint,omitempty"`
	Prune    *Prune      `cbor:"12,keyasint,omitempty"`
}

// Submit admits a job.
type Submit struct {
	Request RequestKey `cbor:"1,keyasint"`
	Digest  string     `cbor:"2,keyasint"`
	KeyID   string     `cbor:"3,keyasint,omitempty"`
	Spec    Spec       `cbor:"4,keyasint"`
}

// Cancel ends a job as soon as that is possible.
type Cancel struct {
	Request RequestKey `cbor:"1,keyasint"`
}

// Place places tasks. Each group is one job's; a gang's group names all its
// tasks and is taken whole or not at all.
type Place struct {
	Groups []Group `cbor:"1,keyasint"`
}

// Group is the placements of one job.
type Group struct {
	Job   JobID  `cbor:"1,keyasint"`
	Spots []Spot `cbor:"2,keyasint"`
}

// Spot puts one task on one session of a target.
type Spot struct {
	Task    int    `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Target  string `cbor:"3,keyasint"`
	Session string `cbor:"4,keyasint"`
}

// End ends the queued tasks of jobs.
type End struct {
	Items []EndItem `cbor:"1,keyasint"`
}

// EndItem ends the queued tasks of one job for the reason.
type EndItem struct {
	Job    JobID  `cbor:"1,keyasint"`
	Reason Reason `cbor:"2,keyasint"`
	Detail string `cbor:"3,keyasint,omitempty"`
}

// Stop has attempts stopped by their targets.
type Stop struct {
	Attempts []Attempt `cbor:"1,keyasint"`
	Reason   Reason    `cbor:"2,keyasint"`
}

// Announce opens the session of a target.
type Announce struct {
	Target   string     `cbor:"1,keyasint"`
	Session  string     `cbor:"2,keyasint"`
	Capacity quota.Room `cbor:"3,keyasint"`
	Slots    int        `cbor:"4,keyasint"`
	Rack     string     `cbor:"5,keyasint"`
	Domain   string     `cbor:"6,keyasint"`
}

// Leave has a target get no new work.
type Leave struct {
	Target  string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
}

// EndSession ends a session. Its proposer vouches that the lease of the
// session has ended, or that the target has confirmed that nothing runs.
type EndSession struct {
	Target  string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	// Clean tells that the target itself said that nothing runs.
	Clean bool `cbor:"3,keyasint,omitempty"`
}

// EventKind is what a target tells of an attempt.
type EventKind string

// Kinds of events.
const (
	// EventHeld: room is kept for the task until its gang is released.
	EventHeld    EventKind = "held"
	EventStarted EventKind = "started"
	// EventFinished: the task ended by itself.
	EventFinished EventKind = "finished"
	// EventStopped: the task ran and was stopped.
	EventStopped EventKind = "stopped"
	// EventFenced: the task had not started and never will.
	EventFenced EventKind = "fenced"
)

// Event is one thing a target tells of an attempt.
type Event struct {
	Attempt  Attempt   `cbor:"1,keyasint"           json:"attempt"`
	Kind     EventKind `cbor:"2,keyasint"           json:"kind"`
	ExitCode int       `cbor:"3,keyasint,omitempty" json:"exit-code,omitempty"`
	Output   []byte    `cbor:"4,keyasint,omitempty" json:"output,omitempty"`
	// Checksum is the SHA-256 of the output, in hex.
	Checksum   string `cbor:"5,keyasint,omitempty" json:"checksum,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty" json:"checkpoint,omitempty"`
}

// Report brings the events of one session.
type Report struct {
	Target  string  `cbor:"1,keyasint"`
	Session string  `cbor:"2,keyasint"`
	Events  []Event `cbor:"3,keyasint"`
}

// Prune forgets jobs whose retention has ended.
type Prune struct {
	Jobs []JobID `cbor:"1,keyasint"`
}

// Refusal is why the ledger refused something.
type Refusal string

// Refusals.
const (
	RefusedNoJob      Refusal = "no-such-job"
	RefusedState      Refusal = "wrong-state"
	RefusedAttempt    Refusal = "wrong-attempt"
	RefusedTarget     Refusal = "no-such-session"
	RefusedLeaving    Refusal = "target-leaving"
	RefusedRoom       Refusal = "no-room"
	RefusedSlots      Refusal = "no-slot"
	RefusedLimit      Refusal = "over-limit"
	RefusedKey        Refusal = "key-not-in-force"
	RefusedService    Refusal = "no-such-service"
	RefusedDeadline   Refusal = "past-deadline"
	RefusedMayHaveRun Refusal = "may-have-run"
	RefusedGang       Refusal = "gang-not-whole"
	RefusedReuse      Refusal = "request-id-reused"
	RefusedTooOld     Refusal = "request-id-too-old"
	RefusedAhead      Refusal = "request-id-ahead"
	RefusedBadID      Refusal = "request-id-malformed"
	RefusedQueueFull  Refusal = "queue-full"
	RefusedRetained   Refusal = "too-many-kept-answers"
	RefusedSpec       Refusal = "bad-spec"
	RefusedLive       Refusal = "session-live"
	RefusedPermission Refusal = "not-this-team"
)

// SubmitResult answers a Submit.
type SubmitResult struct {
	Job     JobID
	Again   bool
	Refusal Refusal
	Detail  string
}

// CancelResult answers a Cancel.
type CancelResult struct {
	Job     *Job
	Refusal Refusal
}

// PlaceResult answers a Place: a refusal for each spot of each group, empty
// where the spot was taken.
type PlaceResult struct {
	Groups [][]Refusal
}

// AnnounceResult answers an Announce.
type AnnounceResult struct {
	Refusal Refusal
}

// ReportResult answers a Report or a Leave.
type ReportResult struct {
	Refusal Refusal
	// Late counts events of attempts that are no longer the session's.
	Late int
}

// NoteResult answers a release note. Err is nil, or one of the errors of
// note.State.Apply.
type NoteResult struct {
	State *note.State
	Err   error
}

// Encode returns the command as it goes into the log.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return data, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// DecodeCommand reads a command, or returns ErrDecode.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrapf(ErrDecode, "command: %s", err)
	}
	return c, nil
}
