// Package raft implements a replicated log with leader election (pre-vote and
// check-quorum), leader leases, batched and pipelined log replication, snapshots,
// learners, and single-server membership changes. It follows Raft (Ongaro and
// Ousterhout, USENIX ATC 2014; Ongaro's thesis, 2014).
//
// Core implements the protocol without I/O: it is given messages and the time, and
// returns what to persist, send and apply. Replica runs a Core with a storage, a
// transport and a state machine.
package raft

import "time"

// ID identifies a replica. An ID is tied to the data on one disk: a replica that
// has lost its disk must rejoin under a new ID.
type ID uint64

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota + 1
	EntryMembership
	EntryEmpty
)

// Entry is a log entry.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Member is one replica of a group.
type Member struct {
	ID      ID     `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Address string `cbor:"3,keyasint" json:"address"`
	Domain  string `cbor:"4,keyasint" json:"domain"`
	Voter   bool   `cbor:"5,keyasint" json:"voter"`
}

// Membership lists the replicas of a group.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// Find returns the member with the ID, and whether it exists.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the IDs of the voters.
func (m Membership) Voters() []ID {
	var ids []ID
	for _, member := range m.Members {
		if member.Voter {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// With returns a copy with the member added or replaced.
func (m Membership) With(member Member) Membership {
	next := m.Without(member.ID)
	next.Members = append(next.Members, member)
	return next
}

// Without returns a copy without the member.
func (m Membership) Without(id ID) Membership {
	next := Membership{Members: make([]Member, 0, len(m.Members)+1)}
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// HardState is the protocol state that a replica must sync before it sends
// replies.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta identifies the part of the log covered by a snapshot: all entries
// up to Index.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// MessageKind is the kind of a message.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageTimeoutNow
)

// Message is a message between replicas. Messages may be lost, delayed, duplicated
// or reordered.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	From    ID          `cbor:"2,keyasint"`
	To      ID          `cbor:"3,keyasint"`
	Term    uint64      `cbor:"4,keyasint"`
	Index   uint64      `cbor:"5,keyasint,omitempty"`
	LogTerm uint64      `cbor:"6,keyasint,omitempty"`
	Entries []Entry     `cbor:"7,keyasint,omitempty"`
	Commit  uint64      `cbor:"8,keyasint,omitempty"`
	Reject  bool        `cbor:"9,keyasint,omitempty"`
	// Hint is set in a rejected append's reply: the index up to which the logs may
	// agree.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Transfer marks a vote request of a leadership transfer, for which the voters
	// ignore the lease of the current leader.
	Transfer bool `cbor:"11,keyasint,omitempty"`
	// SentAt is the leader's time when it sent the message. A reply returns it
	// unchanged.
	SentAt   time.Duration `cbor:"12,keyasint,omitempty"`
	Snapshot *SnapshotMeta `cbor:"13,keyasint,omitempty"`
	// State is the content of the snapshot. Only a Replica and its transport use
	// it.
	State []byte `cbor:"14,keyasint,omitempty"`
	// Silent is set in an append: the members that do not reply to the leader. A
	// follower that becomes the leader goes on counting from there.
	Silent []Silence `cbor:"15,keyasint,omitempty"`
}

// Silence tells how long a member has not replied to the leader.
type Silence struct {
	ID  ID            `cbor:"1,keyasint"`
	For time.Duration `cbor:"2,keyasint"`
}

// Role is the role of a replica in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "none"
}
