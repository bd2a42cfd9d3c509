package wire

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Service is the name of the calls between instances.
const Service = "Cell"

// Methods.
const (
	MethodHello    = Service + ".Hello"
	MethodJoin     = Service + ".Join"
	MethodSubmit   = Service + ".Submit"
	MethodWait     = Service + ".Wait"
	MethodCancel   = Service + ".Cancel"
	MethodList     = Service + ".List"
	MethodAnnounce = Service + ".Announce"
	MethodPoll     = Service + ".Poll"
	MethodReport   = Service + ".Report"
	MethodLeave    = Service + ".Leave"
	MethodNote     = Service + ".Note"
	MethodFeed     = Service + ".Feed"
	MethodStatus   = Service + ".Status"
	MethodMember   = Service + ".Member"
)

// HelloArgs asks who an instance is.
type HelloArgs struct {
	Name string `cbor:"1,keyasint"`
}

// Hello tells who an instance is and what it knows of the cell.
type Hello struct {
	Name       string          `cbor:"1,keyasint"`
	Cell       string          `cbor:"2,keyasint"`
	ID         raft.ID         `cbor:"3,keyasint"`
	Leader     string          `cbor:"4,keyasint"`
	LeaderName string          `cbor:"5,keyasint"`
	Membership raft.Membership `cbor:"6,keyasint"`
}

// JoinArgs asks to be made a learner.
type JoinArgs struct {
	Member raft.Member `cbor:"1,keyasint"`
}

// Joined tells the membership after a join.
type Joined struct {
	Membership raft.Membership `cbor:"1,keyasint"`
}

// SubmitArgs hands in a job.
type SubmitArgs struct {
	Submit ledger.Submit `cbor:"1,keyasint"`
	// Wait is how long to wait for the outcome.
	Wait time.Duration `cbor:"2,keyasint"`
}

// JobReply tells of a job.
type JobReply struct {
	Job   *ledger.Job `cbor:"1,keyasint"`
	Again bool        `cbor:"2,keyasint,omitempty"`
}

// WaitArgs asks for a job, and waits for its outcome.
type WaitArgs struct {
	Request ledger.RequestKey `cbor:"1,keyasint"`
	Wait    time.Duration     `cbor:"2,keyasint"`
}

// CancelArgs cancels a job.
type CancelArgs struct {
	Request ledger.RequestKey `cbor:"1,keyasint"`
}

// ListArgs asks for the jobs of a scope, or of all for an empty one.
type ListArgs struct {
	Scope ledger.Scope `cbor:"1,keyasint"`
	Live  bool         `cbor:"2,keyasint"`
	Most  int          `cbor:"3,keyasint"`
}

// ListReply lists jobs, newest first.
type ListReply struct {
	Jobs []*ledger.Job `cbor:"1,keyasint"`
}

// AnnounceArgs opens a target's session.
type AnnounceArgs struct {
	Announce ledger.Announce `cbor:"1,keyasint"`
}

// Known is what a target knows of an attempt.
type Known struct {
	Attempt ledger.Attempt `cbor:"1,keyasint" json:"attempt"`
	// Stopping tells that the order to stop has been received.
	Stopping bool `cbor:"2,keyasint,omitempty" json:"stopping,omitempty"`
	// Released tells that the order to start a held task was received.
	Released bool `cbor:"3,keyasint,omitempty" json:"released,omitempty"`
	// Throttled tells that the order to throttle was received.
	Throttled bool `cbor:"4,keyasint,omitempty" json:"throttled,omitempty"`
	// Used is what the attempt really uses, where it was measured.
	Used quota.Room `cbor:"5,keyasint,omitempty" json:"used"`
}

// PollArgs renews a target's lease and asks for orders.
type PollArgs struct {
	Target  string        `cbor:"1,keyasint"`
	Session string        `cbor:"2,keyasint"`
	Known   []Known       `cbor:"3,keyasint"`
	Wait    time.Duration `cbor:"4,keyasint"`
}

// OrderKind is what a target is told to do.
type OrderKind string

// Kinds of orders.
const (
	OrderStart OrderKind = "start"
	// OrderHold keeps room for a gang's task until it is released.
	OrderHold    OrderKind = "hold"
	OrderRelease OrderKind = "release"
	// OrderStop stops an attempt, or keeps it from ever starting.
	OrderStop     OrderKind = "stop"
	OrderThrottle OrderKind = "throttle"
)

// Order tells a target what to do about an attempt.
type Order struct {
	Kind       OrderKind      `cbor:"1,keyasint" json:"kind"`
	Attempt    ledger.Attempt `cbor:"2,keyasint" json:"attempt"`
	Service    string         `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	Team       string         `cbor:"4,keyasint,omitempty" json:"team,omitempty"`
	Room       quota.Room     `cbor:"5,keyasint,omitempty" json:"room"`
	Payload    []byte         `cbor:"6,keyasint,omitempty" json:"payload,omitempty"`
	Checkpoint string         `cbor:"7,keyasint,omitempty" json:"checkpoint,omitempty"`
	Reason     string         `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
	// RunMillis is the declared run time in milliseconds.
	RunMillis int64 `cbor:"9,keyasint,omitempty" json:"run-ms,omitempty"`
}

// PollReply grants the lease and gives orders.
type PollReply struct {
	// TTL is how long the lease lasts from the sending of the poll.
	TTL    time.Duration `cbor:"1,keyasint"`
	Orders []Order       `cbor:"2,keyasint"`
	// Settled lists the attempts of the poll that the cell has done with.
	Settled []ledger.Attempt `cbor:"3,keyasint"`
}

// ReportArgs brings events.
type ReportArgs struct {
	Report ledger.Report `cbor:"1,keyasint"`
}

// ReportReply tells that the events are kept for good.
type ReportReply struct {
	Late int `cbor:"1,keyasint"`
}

// LeaveArgs has a target get no new work; with Done it ends the session of
// a target on which nothing runs.
type LeaveArgs struct {
	Target  string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	Done    bool   `cbor:"3,keyasint"`
}

// LeaveReply tells what still runs on the target.
type LeaveReply struct {
	Running int `cbor:"1,keyasint"`
}

// NoteArgs applies a release note, or only checks it.
type NoteArgs struct {
	Note  note.Note     `cbor:"1,keyasint"`
	Check bool          `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// NoteReply tells what is in force.
type NoteReply struct {
	State *note.State       `cbor:"1,keyasint"`
	Diff  []note.Difference `cbor:"2,keyasint"`
	// Behind names the live instances that do not have the note yet.
	Behind []string `cbor:"3,keyasint"`
}

// FeedArgs asks for the configuration after a number.
type FeedArgs struct {
	Name    string        `cbor:"1,keyasint"`
	Address string        `cbor:"2,keyasint"`
	Domain  string        `cbor:"3,keyasint"`
	Number  uint64        `cbor:"4,keyasint"`
	Digest  string        `cbor:"5,keyasint"`
	Wait    time.Duration `cbor:"6,keyasint"`
	// Members is the sum of the membership that the follower has.
	Members uint64 `cbor:"7,keyasint,omitempty"`
}

// FeedReply brings the notes after the number, or a whole state, and the
// membership where it differs from the follower's.
type FeedReply struct {
	Notes      []note.Note     `cbor:"1,keyasint,omitempty"`
	State      *note.State     `cbor:"2,keyasint,omitempty"`
	Membership raft.Membership `cbor:"3,keyasint,omitempty"`
}

// StatusArgs asks for the state of the cell.
type StatusArgs struct{}

// InstanceStatus is what the leader knows of an instance.
type InstanceStatus struct {
	Name   string        `cbor:"1,keyasint" json:"name"`
	Domain string        `cbor:"2,keyasint" json:"domain"`
	Role   string        `cbor:"3,keyasint" json:"role"`
	Note   uint64        `cbor:"4,keyasint" json:"note"`
	Silent time.Duration `cbor:"5,keyasint" json:"silent"`
}

// TeamStatus is what a team has on the fleet.
type TeamStatus struct {
	Name      string     `cbor:"1,keyasint" json:"name"`
	Weight    float64    `cbor:"2,keyasint" json:"weight"`
	Limit     quota.Room `cbor:"3,keyasint" json:"limit"`
	Running   quota.Room `cbor:"4,keyasint" json:"running"`
	Tasks     int        `cbor:"5,keyasint" json:"tasks"`
	Queued    int        `cbor:"6,keyasint" json:"queued"`
	Share     float64    `cbor:"7,keyasint" json:"share"`
	OverLimit bool       `cbor:"8,keyasint" json:"over-limit"`
}

// TargetStatus is what the cell knows of a target.
type TargetStatus struct {
	Target      *ledger.Target `cbor:"1,keyasint" json:"target"`
	Quarantined bool           `cbor:"2,keyasint" json:"quarantined"`
}

// Status is the state of the cell.
type Status struct {
	Cell      string           `cbor:"1,keyasint"`
	Leader    string           `cbor:"2,keyasint"`
	Term      uint64           `cbor:"3,keyasint"`
	Commit    uint64           `cbor:"4,keyasint"`
	Instances []InstanceStatus `cbor:"5,keyasint"`
	Members   []raft.Member    `cbor:"6,keyasint"`
	Teams     []TeamStatus     `cbor:"7,keyasint"`
	Targets   []TargetStatus   `cbor:"8,keyasint"`
	Waiting   int              `cbor:"9,keyasint"`
	Running   int              `cbor:"10,keyasint"`
	Packing   float64          `cbor:"11,keyasint"`
}

// MemberArgs removes a member.
type MemberArgs struct {
	Remove string `cbor:"1,keyasint"`
}
