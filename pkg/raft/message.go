// Package raft is a replicated log: leader election with pre-vote and
// check-quorum, a leader's lease, batched and pipelined append, snapshots,
// learners, and membership change one replica at a time. It follows Raft
// (Ongaro and Ousterhout, USENIX ATC 2014; Ongaro's thesis, 2014).
//
// Core is the protocol alone: it takes messages and the time, and says what
// to persist, send and apply. Replica drives a Core with a disk, a transport
// and a state machine.
package raft

import "time"

// ID identifies a replica. It belongs to one disk: a replica that lost its
// disk comes back under a new one.
type ID uint64

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota + 1
	EntryMembership
	EntryEmpty
)

// Entry is one place in the log.
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

// Find returns the member with the id, and whether there is one.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the ids of the voters.
func (m Membership) Voters() []ID {
	var ids []ID
	for _, member := range m.Members {
		if member.Voter {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// With returns a copy in which the member is added or replaced.
func (m Membership) With(member Member) Membership {
	next := m.Without(member.ID)
	next.Members = append(next.Members, member)
	return next
}

// Without returns a copy that lacks the member.
func (m Membership) Without(id ID) Membership {
	next := Membership{Members: make([]Member, 0, len(m.Members)+1)}
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// HardState is what a replica must have synced before it answers.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta tells which part of the log a snapshot stands for.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// MessageKind tells what a message asks or answers.
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

// Message is what replicas send each other. A message may be lost, late,
// repeated or out of order.
type Message struct {
	Kind     MessageKind   `cbor:"1,keyasint"`
	From     ID            `cbor:"2,keyasint"`
	To       ID            `cbor:"3,keyasint"`
	Term     uint64        `cbor:"4,keyasint"`
	Index    uint64        `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64        `cbor:"6,keyasint,omitempty"`
	Entries  []Entry       `cbor:"7,keyasint,omitempty"`
	Commit   uint64        `cbor:"8,keyasint,omitempty"`
	Reject   bool          `cbor:"9,keyasint,omitempty"`
	Hint     uint64        `cbor:"10,keyasint,omitempty"`
	Transfer bool          `cbor:"11,keyasint,omitempty"`
	Sent     time.Duration `cbor:"12,keyasint,omitempty"`
	Snapshot *SnapshotMeta `cbor:"13,keyasint,omitempty"`
	// State is the snapshot's content, carried only between a Replica and
	// its transport.
	State []byte `cbor:"14,keyasint,omitempty"`
}

// Role is what a replica does in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name.
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
