package wire

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Cell"

// RPC methods.
const (
	MethodHello    = ServiceName + ".Hello"
	MethodJoin     = ServiceName + ".Join"
	MethodSubmit   = ServiceName + ".Submit"
	MethodWait     = ServiceName + ".Wait"
	MethodCancel   = ServiceName + ".Cancel"
	MethodList     = ServiceName + ".List"
	MethodAnnounce = ServiceName + ".Announce"
	MethodPoll     = ServiceName + ".Poll"
	MethodReport   = ServiceName + ".Report"
	MethodLeave    = ServiceName + ".Leave"
	MethodNote     = ServiceName + ".Note"
	MethodFeed     = ServiceName + ".Feed"
	MethodStatus   = ServiceName + ".Status"
	MethodMember   = ServiceName + ".Member"
)

// HelloArgs requests the identity of an instance.
type HelloArgs struct {
	Name string `cbor:"1,keyasint"`
	// Leads is set if the caller is the leader.
	Leads bool `cbor:"2,keyasint,omitempty"`
}

// HelloReply holds the identity of an instance and its view of the cell.
type HelloReply struct {
	Name       string          `cbor:"1,keyasint"`
	Cell       string          `cbor:"2,keyasint"`
	ID         raft.ID         `cbor:"3,keyasint"`
	Leader     string          `cbor:"4,keyasint"`
	LeaderName string          `cbor:"5,keyasint"`
	Membership raft.Membership `cbor:"6,keyasint"`
	// Clock is a reading of the instance's clock. Earlier releases give none.
	Clock ProcessClock `cbor:"7,keyasint,omitzero"`
}

// ProcessClock is a reading of the clock of one process.
type ProcessClock struct {
	_ struct{} `cbor:",toarray"`
	// Process tells the process from others at its address. Zero is none.
	Process uint64
	// Reading is the time since its machine was started, with suspensions.
	Reading time.Duration
}

// JoinArgs requests to be added to the membership as a learner.
type JoinArgs struct {
	Member raft.Member `cbor:"1,keyasint"`
}

// MembershipReply holds the membership after it was changed.
type MembershipReply struct {
	Membership raft.Membership `cbor:"1,keyasint"`
}

// SubmitArgs submits a job.
type SubmitArgs struct {
	Submit ledger.Submit `cbor:"1,keyasint"`
	// Wait bounds the wait for the outcome.
	Wait time.Duration `cbor:"2,keyasint"`
}

// JobReply holds the state of a job.
type JobReply struct {
	Job *ledger.Job `cbor:"1,keyasint"`
	// Duplicate is set when the request id had been submitted before.
	Duplicate bool `cbor:"2,keyasint,omitempty"`
}

// WaitArgs requests a job and waits for its outcome.
type WaitArgs struct {
	Request ledger.RequestKey `cbor:"1,keyasint"`
	Wait    time.Duration     `cbor:"2,keyasint"`
}

// CancelArgs cancels a job.
type CancelArgs struct {
	Request ledger.RequestKey `cbor:"1,keyasint"`
}

// ListArgs requests the jobs of a scope, or of all scopes if it is empty.
type ListArgs struct {
	Scope    ledger.Scope `cbor:"1,keyasint"`
	LiveOnly bool         `cbor:"2,keyasint"`
	Limit    int          `cbor:"3,keyasint"`
}

// ListReply lists jobs, newest first.
type ListReply struct {
	Jobs []*ledger.Job `cbor:"1,keyasint"`
}

// AnnounceArgs opens a target's session.
type AnnounceArgs struct {
	Announce ledger.Announce `cbor:"1,keyasint"`
}

// AttemptStatus is a target's view of an attempt.
type AttemptStatus struct {
	Attempt ledger.Attempt `cbor:"1,keyasint" json:"attempt"`
	// Stopping is set once the stop order has been received.
	Stopping bool `cbor:"2,keyasint,omitempty" json:"stopping,omitempty"`
	// Released is set once the order to start a held task has been received.
	Released bool `cbor:"3,keyasint,omitempty" json:"released,omitempty"`
	// Throttled is set once the throttle order has been received.
	Throttled bool `cbor:"4,keyasint,omitempty" json:"throttled,omitempty"`
	// Used is the measured resource usage of the attempt, if available.
	Used quota.Resources `cbor:"5,keyasint,omitempty" json:"used"`
}

// PollArgs renews a target's lease and requests its orders.
type PollArgs struct {
	Target   string          `cbor:"1,keyasint"`
	Session  string          `cbor:"2,keyasint"`
	Attempts []AttemptStatus `cbor:"3,keyasint"`
	Wait     time.Duration   `cbor:"4,keyasint"`
}

// OrderKind is the action that an order requests.
type OrderKind string

// Order kinds.
const (
	OrderStart OrderKind = "start"
	// OrderHold reserves resources for a gang's task until it is released.
	OrderHold    OrderKind = "hold"
	OrderRelease OrderKind = "release"
	// OrderStop stops an attempt, or prevents it from starting.
	OrderStop     OrderKind = "stop"
	OrderThrottle OrderKind = "throttle"
)

// Order instructs a target to perform an action on an attempt.
type Order struct {
	Kind       OrderKind       `cbor:"1,keyasint" json:"kind"`
	Attempt    ledger.Attempt  `cbor:"2,keyasint" json:"attempt"`
	Service    string          `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	Team       string          `cbor:"4,keyasint,omitempty" json:"team,omitempty"`
	Resources  quota.Resources `cbor:"5,keyasint,omitempty" json:"room"`
	Payload    []byte          `cbor:"6,keyasint,omitempty" json:"payload,omitempty"`
	Checkpoint string          `cbor:"7,keyasint,omitempty" json:"checkpoint,omitempty"`
	Reason     string          `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
	// RunMillis is the declared run time in milliseconds.
	RunMillis int64 `cbor:"9,keyasint,omitempty" json:"run-ms,omitempty"`
}

// PollReply renews the lease and delivers orders.
type PollReply struct {
	// TTL is the lease duration, counted from the time the poll was sent.
	TTL    time.Duration `cbor:"1,keyasint"`
	Orders []Order       `cbor:"2,keyasint"`
	// Settled lists the attempts of the poll that the session no longer owns.
	// The target may forget them.
	Settled []ledger.Attempt `cbor:"3,keyasint"`
}

// ReportArgs reports events of attempts.
type ReportArgs struct {
	Report ledger.Report `cbor:"1,keyasint"`
}

// ReportReply acknowledges that the events are stored durably.
type ReportReply struct {
	// StaleEvents counts the events of attempts that the session no longer owns.
	StaleEvents int `cbor:"1,keyasint"`
}

// LeaveArgs stops the assignment of new work to a target. With EndSession, it
// ends the session of a target on which nothing runs.
type LeaveArgs struct {
	Target     string `cbor:"1,keyasint"`
	Session    string `cbor:"2,keyasint"`
	EndSession bool   `cbor:"3,keyasint"`
}

// LeaveReply holds the number of tasks that still run on the target.
type LeaveReply struct {
	Running int `cbor:"1,keyasint"`
}

// NoteArgs applies a release note, or only validates it.
type NoteArgs struct {
	Note note.Note `cbor:"1,keyasint"`
	// DryRun validates the note without applying it.
	DryRun bool          `cbor:"2,keyasint"`
	Wait   time.Duration `cbor:"3,keyasint"`
}

// NoteReply holds the configuration that results from a note.
type NoteReply struct {
	State *note.State       `cbor:"1,keyasint"`
	Diff  []note.Difference `cbor:"2,keyasint"`
	// Lagging names the live instances that do not have the note yet.
	Lagging []string `cbor:"3,keyasint"`
}

// FeedArgs requests the configuration changes after a note number.
type FeedArgs struct {
	Name       string        `cbor:"1,keyasint"`
	Address    string        `cbor:"2,keyasint"`
	Domain     string        `cbor:"3,keyasint"`
	NoteNumber uint64        `cbor:"4,keyasint"`
	Digest     string        `cbor:"5,keyasint"`
	Wait       time.Duration `cbor:"6,keyasint"`
	// MembershipHash is a hash of the follower's membership.
	MembershipHash uint64 `cbor:"7,keyasint,omitempty"`
}

// FeedReply holds the notes after the number or a complete state, and the
// membership if it differs from the follower's.
type FeedReply struct {
	Notes      []note.Note     `cbor:"1,keyasint,omitempty"`
	State      *note.State     `cbor:"2,keyasint,omitempty"`
	Membership raft.Membership `cbor:"3,keyasint,omitempty"`
}

// StatusArgs requests the state of the cell.
type StatusArgs struct{}

// InstanceStatus is the leader's view of an instance.
type InstanceStatus struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Domain     string `cbor:"2,keyasint" json:"domain"`
	Role       string `cbor:"3,keyasint" json:"role"`
	NoteNumber uint64 `cbor:"4,keyasint" json:"note"`
	// SinceLastContact is the time since the leader last heard from the
	// instance.
	SinceLastContact time.Duration `cbor:"5,keyasint" json:"silent"`
}

// TeamStatus holds a team's limits and resource usage.
type TeamStatus struct {
	Name    string          `cbor:"1,keyasint" json:"name"`
	Weight  float64         `cbor:"2,keyasint" json:"weight"`
	Limit   quota.Resources `cbor:"3,keyasint" json:"limit"`
	Running quota.Resources `cbor:"4,keyasint" json:"running"`
	Tasks   int             `cbor:"5,keyasint" json:"tasks"`
	Queued  int             `cbor:"6,keyasint" json:"queued"`
	// Share is the team's dominant share of the fleet's resources.
	Share     float64 `cbor:"7,keyasint" json:"share"`
	OverLimit bool    `cbor:"8,keyasint" json:"over-limit"`
}

// TargetStatus is the cell's view of a target.
type TargetStatus struct {
	Target      *ledger.Target `cbor:"1,keyasint" json:"target"`
	Quarantined bool           `cbor:"2,keyasint" json:"quarantined"`
}

// Status is the state of the cell.
type Status struct {
	Cell         string           `cbor:"1,keyasint"`
	Leader       string           `cbor:"2,keyasint"`
	Term         uint64           `cbor:"3,keyasint"`
	CommitIndex  uint64           `cbor:"4,keyasint"`
	Instances    []InstanceStatus `cbor:"5,keyasint"`
	Members      []raft.Member    `cbor:"6,keyasint"`
	Teams        []TeamStatus     `cbor:"7,keyasint"`
	Targets      []TargetStatus   `cbor:"8,keyasint"`
	WaitingTasks int              `cbor:"9,keyasint"`
	RunningTasks int              `cbor:"10,keyasint"`
	// Packing is the dominant share of the fleet's resources that is in use.
	Packing float64 `cbor:"11,keyasint"`
}

// MemberArgs changes the membership.
type MemberArgs struct {
	// Remove is the name of the member to remove.
	Remove string `cbor:"1,keyasint"`
}
