package graph

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// ErrDecode is returned for a command or snapshot that can't be read.
var ErrDecode = errors.New("graph data cannot be decoded")

// Command is one change asked of the ledger. Exactly one of the pointers is
// set. A command that is applied twice has no effect the second time.
type Command struct {
	// Time is the proposer's clock; the ledger's own time never steps back.
	Time   Millis
	Submit *Submit
	Cancel *Cancel
	Place  *Place
	Events *Events
	Target *Announce
	Gone   *Gone
	Evict  *Evict
	Copy   *Copy
	Config *Config
	Prune  *Prune
}

// Address is where a caller's call is meant for, and its key.
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
}

// Cancel ends a job as soon as that is possible.
type Cancel struct {
	Address Address
	ID      JobID
}

// Place places tasks. Each group is taken whole or not at all.
type Place struct {
	Groups [][]Spot
}

// Spot puts a task on a target, as the run.
type Spot struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskRef
	Run    uint32
	Target TargetID
}

// How tells how a run ended.
type How uint8

// Ends of runs.
const (
	HowDone How = iota + 1
	HowFailed
	HowStopped
	// HowLapsed: the lease ended.
	HowLapsed
	// HowBroken: another member of the gang ended.
	HowBroken
	// HowAlone: the other members of the gang did not come in time.
	HowAlone
	// HowAbsent: the run surely never started and never will.
	HowAbsent
)

// Events brings the ends of runs on targets.
type Events struct {
	Ends []End
}

// End is the end of one run.
type End struct {
	_      struct{} `cbor:",toarray"`
	Target TargetID
	Task   TaskRef
	Run    uint32
	How    How
	Saved  string
}

// Announce tells of a target's lifetime as it is now.
type Announce struct {
	ID       TargetID
	Service  string
	Machine  string
	Address  string
	Domain   string
	Capacity quota.Room
	Labels   []string
	Rack     string
	// Leaving targets get no new work.
	Leaving bool
}

// Gone ends lifetimes. Its proposer vouches that they run nothing any more.
type Gone struct {
	Targets []TargetID
}

// Evict has runs stopped, to run again elsewhere.
type Evict struct {
	Tasks []TaskRef
}

// Copy has tasks run a second time beside the run that goes on, where their
// step allows it. The first run to be done counts.
type Copy struct {
	Tasks []TaskRef
}

// Prune forgets jobs that ended before the time.
type Prune struct {
	Before Millis
}

// Refusal is why something was refused.
type Refusal string

// Refusals.
const (
	RefusedNoQueue   Refusal = "no-such-queue"
	RefusedNoConfig  Refusal = "no-configuration"
	RefusedKey       Refusal = "key-not-in-force"
	RefusedNoJob     Refusal = "no-such-job"
	RefusedState     Refusal = "wrong-state"
	RefusedTurn      Refusal = "not-its-turn"
	RefusedTarget    Refusal = "no-such-target"
	RefusedLeaving   Refusal = "target-leaving"
	RefusedService   Refusal = "wrong-service"
	RefusedLabel     Refusal = "label-missing"
	RefusedSpread    Refusal = "too-many-on-target"
	RefusedRoom      Refusal = "no-room"
	RefusedLimit     Refusal = "over-limit"
	RefusedGang      Refusal = "gang-not-whole"
	RefusedHeld      Refusal = "earlier-run-not-over"
	RefusedBadSpec   Refusal = "bad-spec"
	RefusedQueueFull Refusal = "queue-full"
	RefusedNeverFits Refusal = "never-fits"
)

// Result answers a command.
type Result struct {
	Refusal Refusal
	Detail  string
	// Groups has a refusal for each group of a Place, empty where taken.
	Groups []Refusal
	// Finished are the jobs that the command brought to an end.
	Finished []Finished
}

// Finished tells of a job that has come to an end.
type Finished struct {
	Job   JobID
	State State
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

// String returns the name of the end.
func (h How) String() string {
	switch h {
	case HowDone:
		return "done"
	case HowFailed:
		return "failed"
	case HowStopped:
		return "stopped"
	case HowLapsed:
		return "lapsed"
	case HowBroken:
		return "broken"
	case HowAlone:
		return "alone"
	case HowAbsent:
		return "absent"
	}
	return "unknown"
}
