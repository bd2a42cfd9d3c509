package raft

// preCampaign asks whether an election could be won, without a new term.
func (c *Core) preCampaign() {
	c.role = RolePreCandidate
	c.leader = 0
	c.votes = map[ID]bool{c.cfg.ID: true}
	if c.won() {
		c.campaign(false)
		return
	}
	c.askVotes(MessagePreVote, c.term+1, false)
}

func (c *Core) campaign(transfer bool) {
	c.become(c.term + 1)
	c.role = RoleCandidate
	c.vote = c.cfg.ID
	c.votes = map[ID]bool{c.cfg.ID: true}
	if c.won() {
		c.lead()
		return
	}
	c.askVotes(MessageVote, c.term, transfer)
}

func (c *Core) askVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range c.members.Voters() {
		if id == c.cfg.ID {
			continue
		}
		c.sendLate(Message{
			Kind:     kind,
			To:       id,
			Term:     term,
			Index:    c.log.last(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// won tells whether a quorum of the voters has granted its vote. The
// candidate's own vote counts once it is synced, as its messages are only
// sent then; a lone voter commits nothing before its first sync either.
func (c *Core) won() bool {
	voters := c.members.Voters()
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (c *Core) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.last())
}

func (c *Core) onPreVote(m Message) {
	grant := m.Term > c.term && c.upToDate(m) && !c.promised()
	reply := Message{
		Kind:   MessagePreVoteReply,
		To:     m.From,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		reply.Term = c.term
	}
	c.sendLate(reply)
}

func (c *Core) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > c.term {
			c.become(m.Term)
		}
		return
	}
	if c.role != RolePreCandidate || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.campaign(false)
	}
}

func (c *Core) onVote(m Message) {
	free := c.vote == 0 || c.vote == m.From
	grant := m.Term == c.term && free && c.upToDate(m)
	if grant {
		c.vote = m.From
		c.resetElection()
	}
	c.sendLate(Message{
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
	if c.won() {
		c.lead()
	}
}

// lead makes the replica the leader of its term, whose first entry is empty:
// committing it commits everything before.
func (c *Core) lead() {
	c.role = RoleLeader
	c.leader = c.cfg.ID
	c.leaderSince = c.now
	c.leaseRevoked = false
	c.progress = nil
	c.refreshMembers()
	c.appendOwn(EntryEmpty, nil)
	c.heartbeat()
}

// Transfer hands the leadership to the voter. It returns ErrNotLeader or
// ErrMembership when that can't be; the replica takes no proposals from then
// on, and steps down if the other does not take over in time.
func (c *Core) Transfer(to ID) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if to == c.cfg.ID || !c.isVoter(to) {
		return ErrMembership
	}
	c.transferee = to
	c.transferEnd = c.now + 2*c.cfg.Election
	c.maybeHandOver()
	return nil
}

// maybeHandOver lets the successor start once it has the whole log. From
// then on the leader's lease is void, as the successor's election does not
// wait for the promise made to the old leader.
func (c *Core) maybeHandOver() {
	pr := c.progress[c.transferee]
	if pr == nil || pr.match < c.log.last() {
		return
	}
	c.leaseRevoked = true
	c.sendLate(Message{
		Kind: MessageTimeoutNow,
		To:   c.transferee,
		Term: c.term,
	})
}
