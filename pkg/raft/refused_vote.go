package raft

// VoteRefusal is the reason why a replica refused its vote.
type VoteRefusal string

// Reasons why a vote is refused.
const (
	// RefusalLeaderAlive means that the replica has heard from a leader lately.
	RefusalLeaderAlive VoteRefusal = "leader-alive"
	// RefusalStaleTerm means that the candidate's term is over.
	RefusalStaleTerm VoteRefusal = "stale-term"
	// RefusalOldLog means that the replica's log is newer than the candidate's.
	RefusalOldLog VoteRefusal = "old-log"
	// RefusalVoted means that the replica has voted for another candidate of the term.
	RefusalVoted VoteRefusal = "voted"
)

// RefusedVote is a vote, or a pre-vote, that this replica has refused.
type RefusedVote struct {
	Candidate ID
	Reason    VoteRefusal
	// Term is the term in which the candidate wants to lead, and OwnTerm that of this
	// replica.
	Term    uint64
	OwnTerm uint64
	// CandidateLast and OwnLast are the indexes of the last entries.
	CandidateLast uint64
	OwnLast       uint64
}

// recordRefusal records that the replica has refused a vote.
func (c *Core) recordRefusal(m Message, reason VoteRefusal) {
	c.refusedVotes = append(c.refusedVotes, RefusedVote{
		Candidate:     m.From,
		Reason:        reason,
		Term:          m.Term,
		OwnTerm:       c.term,
		CandidateLast: m.Index,
		OwnLast:       c.log.lastIndex(),
	})
}

// TakeRefusedVotes returns the votes that were refused since the last call.
func (c *Core) TakeRefusedVotes() []RefusedVote {
	refused := c.refusedVotes
	c.refusedVotes = nil
	return refused
}

// refusalOfPreVote returns why a pre-vote is refused, or "" if it is granted.
func (c *Core) refusalOfPreVote(m Message) VoteRefusal {
	switch {
	case m.Term <= c.term:
		return RefusalStaleTerm
	case c.inLeaderLease():
		return RefusalLeaderAlive
	case !c.upToDate(m):
		return RefusalOldLog
	}
	return ""
}

// refusalOfVote returns why a vote is refused, or "" if it is granted.
func (c *Core) refusalOfVote(m Message) VoteRefusal {
	switch {
	case m.Term != c.term:
		return RefusalStaleTerm
	case c.vote != 0 && c.vote != m.From:
		return RefusalVoted
	case !c.upToDate(m):
		return RefusalOldLog
	}
	return ""
}
