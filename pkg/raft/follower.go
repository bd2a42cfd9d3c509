package raft

func (c *Core) onAppend(m Message) {
	if m.Term < c.term {
		c.sendLate(Message{
			Kind:   MessageAppendReply,
			To:     m.From,
			Term:   c.term,
			Reject: true,
		})
		return
	}
	c.follow(m.From)
	if m.Index < c.commit {
		c.replyAppend(m, c.commit)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		c.rejectAppend(m)
		return
	}
	c.appendFrom(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.replyAppend(m, last)
}

// follow notes a sign of life from the leader of this term.
func (c *Core) follow(leader ID) {
	if c.role != RoleFollower {
		c.become(c.term)
	}
	c.leader = leader
	c.lastContact = c.now
	c.contacted = true
	c.resetElection()
}

func (c *Core) appendFrom(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.log.cut(e.Index)
			c.stable = min(c.stable, e.Index-1)
		}
		c.log.append(entries[i:]...)
		c.refreshMembers()
		return
	}
}

func (c *Core) replyAppend(m Message, match uint64) {
	c.sendLate(Message{
		Kind:  MessageAppendReply,
		To:    m.From,
		Term:  c.term,
		Index: match,
		Sent:  m.Sent,
	})
}

// rejectAppend tells the leader where the logs may still agree.
func (c *Core) rejectAppend(m Message) {
	hint := min(m.Index-1, c.log.last())
	for hint > c.commit {
		term, ok := c.log.term(hint)
		if !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	c.sendLate(Message{
		Kind:   MessageAppendReply,
		To:     m.From,
		Term:   c.term,
		Index:  m.Index,
		Reject: true,
		Hint:   hint,
		Sent:   m.Sent,
	})
}

func (c *Core) onSnapshot(m Message) {
	if m.Term < c.term || m.Snapshot == nil {
		return
	}
	c.follow(m.From)
	if m.Snapshot.Index <= c.commit {
		c.replyAppend(m, c.commit)
		return
	}
	meta := *m.Snapshot
	// Entries behind a place where the logs agree may count towards a
	// quorum already, so they stay.
	if term, ok := c.log.term(meta.Index); ok && term == meta.Term {
		c.commit = meta.Index
		c.replyAppend(m, meta.Index)
		return
	}
	c.log.entries = nil
	c.log.memberships = nil
	c.log.base = meta
	c.snap = meta
	c.commit = meta.Index
	c.applied = meta.Index
	c.stable = meta.Index
	c.refreshMembers()
	c.installed = &meta
	c.replyAppend(m, meta.Index)
}
