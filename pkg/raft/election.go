package raft

// preCampaign asks the voters whether they would vote for this replica, without
// starting a new term.
func (c *Core) preCampaign() {
	c.role = RolePreCandidate
	c.leader = 0
	c.votes = map[ID]bool{c.cfg.ID: true}
	if c.hasVoteQuorum() {
		c.campaign(false)
		return
	}
	c.requestVotes(MessagePreVote, c.term+1, false)
}

// campaign starts an election in a new term. With transfer set, the voters ignore
// the lease of the current leader.
func (c *Core) campaign(transfer bool) {
	c.becomeFollower(c.term + 1)
	c.role = RoleCandidate
	c.vote = c.cfg.ID
	c.votes = map[ID]bool{c.cfg.ID: true}
	if c.hasVoteQuorum() {
		c.becomeLeader()
		return
	}
	c.requestVotes(MessageVote, c.term, transfer)
}

func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range c.membership.Voters() {
		if id == c.cfg.ID {
			continue
		}
		c.sendAfterSync(Message{
			Kind:     kind,
			To:       id,
			Term:     term,
			Index:    c.log.lastIndex(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// hasVoteQuorum reports whether a quorum of the voters has granted its vote. The
// candidate's own vote may be counted before it is synced: the candidate's
// messages are sent only after the sync, and a single voter commits nothing
// before its first sync.
func (c *Core) hasVoteQuorum() bool {
	voters := c.membership.Voters()
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// upToDate reports whether the candidate's log is at least as up to date as this
// replica's log.
func (c *Core) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.lastIndex())
}

func (c *Core) onPreVote(m Message) {
	refusal := c.refusalOfPreVote(m)
	grant := refusal == ""
	if !grant {
		c.recordRefusal(m, refusal)
	}
	reply := Message{
		Kind:   MessagePreVoteReply,
		To:     m.From,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		reply.Term = c.term
	}
	c.sendAfterSync(reply)
}

func (c *Core) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > c.term {
			c.recordLoss(LossHigherTerm, m.From, m.Term)
			c.becomeFollower(m.Term)
		}
		return
	}
	if c.role != RolePreCandidate || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.campaign(false)
	}
}

func (c *Core) onVote(m Message) {
	refusal := c.refusalOfVote(m)
	grant := refusal == ""
	if grant {
		c.vote = m.From
		c.resetElectionDeadline()
	} else {
		c.recordRefusal(m, refusal)
	}
	c.sendAfterSync(Message{
		Kind:   MessageVoteReply,
		To:     m.From,
		Term:   c.term,
		Reject: !grant,
	})
}

func (c *Core) onVoteReply(m Message) {
	if c.role != RoleCandidate || m.Term != c.term || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}

// becomeLeader makes the replica the leader of its term and appends an empty
// entry. Committing that entry commits all entries before it.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.cfg.ID
	c.leaderSince = c.now
	c.leaseRevoked = false
	c.progress = nil
	c.refreshMembership()
	c.lastHeard = nil
	first := c.appendEntry(EntryEmpty, nil)
	c.marks = commitMarks{
		latest:  first,
		settled: first,
		at:      c.now,
	}
	c.heartbeat()
}

// Transfer starts a transfer of the leadership to the given voter. The replica
// then rejects proposals, and steps down if the transfer does not complete in
// time. Transfer returns ErrNotLeader if the replica is not the leader, and
// ErrMembershipChange if the target is this replica or not a voter.
func (c *Core) Transfer(to ID) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if to == c.cfg.ID || !c.isVoter(to) {
		return ErrMembershipChange
	}
	c.transferee = to
	c.transferDeadline = c.now + 2*c.cfg.ElectionTimeout
	c.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow tells the target of a leadership transfer to start an
// election once it has the whole log. It revokes the leader's lease, because the
// voters do not wait for that lease to expire in this election.
func (c *Core) maybeSendTimeoutNow() {
	pr := c.progress[c.transferee]
	if pr == nil || pr.match < c.log.lastIndex() {
		return
	}
	c.leaseRevoked = true
	c.sendAfterSync(Message{
		Kind: MessageTimeoutNow,
		To:   c.transferee,
		Term: c.term,
	})
}
