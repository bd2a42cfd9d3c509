package raft

func (c *Core) onAppend(m Message) {
	if m.Term < c.term {
		c.sendAfterSync(Message{
			Kind:   MessageAppendReply,
			To:     m.From,
			Term:   c.term,
			Reject: true,
		})
		return
	}
	c.recordLeaderContact(m.From)
	c.recordSilence(m)
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

// recordLeaderContact records a message from the leader of this term and restarts
// the election timeout.
func (c *Core) recordLeaderContact(leader ID) {
	if c.role != RoleFollower {
		c.becomeFollower(c.term)
	}
	c.leader = leader
	c.lastLeaderContact = c.now
	c.heardFromLeader = true
	c.resetElectionDeadline()
}

// appendFrom appends the entries that are not in the log yet. A conflicting entry
// is truncated together with all entries after it.
func (c *Core) appendFrom(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.log.truncateFrom(e.Index)
			c.stable = min(c.stable, e.Index-1)
		}
		c.log.append(entries[i:]...)
		c.refreshMembership()
		return
	}
}

func (c *Core) replyAppend(m Message, match uint64) {
	c.sendAfterSync(Message{
		Kind:   MessageAppendReply,
		To:     m.From,
		Term:   c.term,
		Index:  match,
		SentAt: m.SentAt,
	})
}

// rejectAppend rejects an append and gives the leader a hint at the index up to
// which the logs may agree.
func (c *Core) rejectAppend(m Message) {
	hint := min(m.Index-1, c.log.lastIndex())
	for hint > c.commit {
		term, ok := c.log.term(hint)
		if !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	c.sendAfterSync(Message{
		Kind:   MessageAppendReply,
		To:     m.From,
		Term:   c.term,
		Index:  m.Index,
		Reject: true,
		Hint:   hint,
		SentAt: m.SentAt,
	})
}

func (c *Core) onSnapshot(m Message) {
	if m.Term < c.term || m.Snapshot == nil {
		return
	}
	c.recordLeaderContact(m.From)
	if m.Snapshot.Index <= c.commit {
		c.replyAppend(m, c.commit)
		return
	}
	meta := *m.Snapshot
	// If the log contains the last entry of the snapshot, the entries after it
	// may already count towards a quorum, so they must be kept.
	if term, ok := c.log.term(meta.Index); ok && term == meta.Term {
		c.commit = meta.Index
		c.replyAppend(m, meta.Index)
		return
	}
	c.log.entries = nil
	c.log.memberships = nil
	c.log.base = meta
	c.snapshot = meta
	c.commit = meta.Index
	c.applied = meta.Index
	c.stable = meta.Index
	c.refreshMembership()
	c.installed = &meta
	c.replyAppend(m, meta.Index)
}
