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
	if !c.acceptAppend(m) {
		c.rejectAppend(m)
		c.keepEarly(m)
		return
	}
	c.acceptEarly()
}

// acceptAppend takes over an append of the leader of this term and replies to it. It
// reports whether the log contains the entry that the append follows.
//
// Entries up to the commit index are skipped instead of compared: the leader's log
// contains all committed entries, so the rest of the append follows the last of them.
func (c *Core) acceptAppend(m Message) bool {
	last := m.Index + uint64(len(m.Entries))
	if last < c.commit || m.Index < c.commit && len(m.Entries) == 0 {
		c.replyAppend(m, c.commit)
		return true
	}
	entries := m.Entries
	if m.Index < c.commit {
		entries = entries[c.commit-m.Index:]
	} else if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		return false
	}
	c.appendFrom(entries)
	c.commit = max(c.commit, min(m.Commit, last))
	c.replyAppend(m, last)
	return true
}

// keepEarly keeps an append that has overtaken the one before it on another connection.
// It has been rejected as well, which the leader ignores while entries may be on the way.
func (c *Core) keepEarly(m Message) {
	if m.Index <= c.log.lastIndex() || len(m.Entries) == 0 {
		return
	}
	bytes := entriesSize(m.Entries)
	for _, kept := range c.early {
		if kept.Term != m.Term {
			c.early = nil
			break
		}
		if kept.Index == m.Index && len(kept.Entries) >= len(m.Entries) {
			return
		}
		bytes += entriesSize(kept.Entries)
	}
	if bytes <= maxEarlyBytes {
		c.early = append(c.early, m)
	}
}

// acceptEarly takes over the appends that were kept for the entries before them.
func (c *Core) acceptEarly() {
	for accepted := true; accepted; {
		accepted = false
		kept := c.early
		c.early = nil
		for _, m := range kept {
			switch {
			case m.Term != c.term:
			case m.Index > c.log.lastIndex():
				c.early = append(c.early, m)
			default:
				accepted = c.acceptAppend(m) || accepted
			}
		}
	}
}

func entriesSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += entryOverhead + len(e.Data)
	}
	return size
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
	c.early = nil
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
