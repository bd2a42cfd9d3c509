package raft

import (
	"slices"
	"time"
)

// Propose appends a command to the leader's log and returns its place. It
// fails with ErrNotLeader or ErrLeaderChanging.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	index = c.appendOwn(EntryCommand, data)
	return index, c.term, nil
}

// ProposeMembership replaces the membership. Only one voter may differ, a
// new voter must be a learner that has caught up, and the last change must
// be committed; otherwise it returns ErrMembership.
func (c *Core) ProposeMembership(next Membership) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if !c.mayChange(next) {
		return 0, 0, ErrMembership
	}
	data, err := encodeMembership(next)
	if err != nil {
		return 0, 0, err
	}
	index = c.appendOwn(EntryMembership, data)
	c.refreshMembers()
	c.broadcast()
	return index, c.term, nil
}

func (c *Core) mayPropose() error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return ErrLeaderChanging
	}
	return nil
}

func (c *Core) mayChange(next Membership) bool {
	if c.membersIndex > c.commit || !c.committedOwn() {
		return false
	}
	before, after := c.members.Voters(), next.Voters()
	if len(after) == 0 {
		return false
	}
	changed := 0
	for _, id := range after {
		if slices.Contains(before, id) {
			continue
		}
		changed++
		pr := c.progress[id]
		if pr == nil || pr.match < c.commit {
			return false
		}
	}
	for _, id := range before {
		if !slices.Contains(after, id) {
			changed++
		}
	}
	return changed <= 1
}

// committedOwn tells whether an entry of the leader's own term is committed.
func (c *Core) committedOwn() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.term
}

func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	entry := Entry{
		Index: c.log.last() + 1,
		Term:  c.term,
		Kind:  kind,
		Data:  data,
	}
	c.log.append(entry)
	return entry.Index
}

// Flush sends the entries proposed since the last one, in one batch.
func (c *Core) Flush() {
	if c.role == RoleLeader {
		c.broadcast()
	}
}

func (c *Core) broadcast() {
	for _, member := range c.members.Members {
		if member.ID != c.cfg.ID {
			c.sendEntries(member.ID)
		}
	}
}

func (c *Core) sendEntries(to ID) {
	pr := c.progress[to]
	if pr.probing {
		c.probe(to, pr)
		return
	}
	for pr.snapshot == 0 && pr.next <= c.log.last() {
		if pr.next > pr.match+c.cfg.Window {
			return
		}
		if !c.sendAppend(to, pr, pr.next-1, true) {
			return
		}
	}
}

// probe asks where the follower's log agrees with the leader's. It carries no
// entries: a follower that is cut off is asked with each heartbeat, and what
// was sent meanwhile would all arrive when the cut heals.
func (c *Core) probe(to ID, pr *progress) {
	if pr.snapshot != 0 || pr.probeSent {
		return
	}
	pr.probeSent = true
	c.sendAppend(to, pr, pr.next-1, false)
}

// sendAppend sends the entries behind prev, or a snapshot when the log no
// longer reaches back so far. It tells whether entries were sent.
func (c *Core) sendAppend(to ID, pr *progress, prev uint64, withEntries bool) bool {
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(to, pr)
		return false
	}
	m := Message{
		Kind:    MessageAppend,
		To:      to,
		Term:    c.term,
		Index:   prev,
		LogTerm: prevTerm,
		Commit:  c.commit,
		Sent:    c.now,
	}
	if withEntries {
		m.Entries = c.log.slice(prev+1, c.log.last(), c.cfg.BatchBytes)
		pr.next = prev + 1 + uint64(len(m.Entries))
	}
	c.sendEarly(m)
	return len(m.Entries) > 0
}

func (c *Core) sendSnapshot(to ID, pr *progress) {
	if pr.snapshot != 0 {
		return
	}
	meta := c.snap
	pr.snapshot = meta.Index
	pr.snapshotAt = c.now
	c.sendEarly(Message{
		Kind:     MessageSnapshot,
		To:       to,
		Term:     c.term,
		Snapshot: &meta,
		Sent:     c.now,
	})
}

// sendHeartbeat sends an append that also finds out what was lost: in the
// middle of a pipeline it names the last entry sent as its predecessor.
func (c *Core) sendHeartbeat(to ID) {
	pr := c.progress[to]
	pr.probeSent = false
	if pr.snapshot != 0 {
		if c.now-pr.snapshotAt > snapshotTimeout {
			c.SnapshotFailed(to)
		}
		c.sendAppend(to, pr, c.log.base.Index, false)
		return
	}
	if pr.probing {
		c.probe(to, pr)
		return
	}
	c.sendAppend(to, pr, pr.next-1, false)
}

// SnapshotFailed tells that a snapshot could not be delivered.
func (c *Core) SnapshotFailed(to ID) {
	if pr := c.progress[to]; pr != nil && pr.snapshot != 0 {
		pr.snapshot = 0
		pr.probing = true
		pr.probeSent = false
		pr.next = c.log.first()
	}
}

func (c *Core) onAppendReply(m Message) {
	pr := c.progress[m.From]
	if c.role != RoleLeader || m.Term != c.term || pr == nil {
		return
	}
	pr.acked = max(pr.acked, m.Sent)
	pr.active = c.now
	if m.Reject {
		c.onRejected(m, pr)
		return
	}
	if m.Index > pr.match {
		pr.match = m.Index
		c.maybeCommit()
	}
	if pr.snapshot != 0 && pr.match >= pr.snapshot {
		pr.snapshot = 0
		pr.probing = true
	}
	if pr.probing && pr.snapshot == 0 {
		pr.probing = false
		pr.next = pr.match + 1
	}
	pr.next = max(pr.next, pr.match+1)
	if m.From == c.transferee {
		c.maybeHandOver()
	}
	c.sendEntries(m.From)
}

func (c *Core) onRejected(m Message, pr *progress) {
	if m.Index <= pr.match || pr.snapshot != 0 {
		return
	}
	pr.next = max(pr.match+1, min(m.Index, m.Hint+1))
	pr.probing = true
	pr.probeSent = false
	c.sendEntries(m.From)
}

func (c *Core) maybeCommit() {
	voters := c.members.Voters()
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, c.matchOf(id))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	quorum := matches[(len(matches)-1)/2]
	term, ok := c.log.term(quorum)
	if !ok || quorum <= c.commit || term != c.term {
		return
	}
	c.commit = quorum
	if !c.isVoter(c.cfg.ID) && c.membersIndex <= c.commit {
		c.broadcast()
		c.become(c.term)
	}
}

func (c *Core) matchOf(id ID) uint64 {
	if id == c.cfg.ID {
		return c.stable
	}
	return c.progress[id].match
}

// quorumAcked returns the newest time such that a quorum of the voters has
// answered a message sent by this leader at that time or later.
func (c *Core) quorumAcked() time.Duration {
	voters := c.members.Voters()
	acked := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		if id == c.cfg.ID {
			acked = append(acked, c.now)
			continue
		}
		acked = append(acked, c.progress[id].acked)
	}
	if len(acked) == 0 {
		return neverAcked
	}
	slices.Sort(acked)
	return acked[(len(acked)-1)/2]
}

// LeaseUntil returns until when no other replica can have become leader, or
// zero when this one holds no lease.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != RoleLeader || c.leaseRevoked || !c.committedOwn() {
		return 0
	}
	return c.quorumAcked() + c.cfg.Election - c.cfg.Election/driftParts
}

// Read asks for the index that a linearizable read has to wait for. The
// token comes back in a Ready.
func (c *Core) Read(token uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	c.reads = append(c.reads, pendingRead{
		token: token,
		at:    c.now,
	})
	if len(c.reads) == 1 {
		c.heartbeat()
	}
	return nil
}

// releaseReads answers the reads asked before a message that a quorum has
// answered since, which shows that this replica was still the leader then.
func (c *Core) releaseReads() {
	if len(c.reads) == 0 || !c.committedOwn() {
		return
	}
	acked := c.quorumAcked()
	waiting := c.reads[:0]
	for _, read := range c.reads {
		if read.index == 0 {
			read.index = c.commit
		}
		if acked >= read.at {
			c.readsReady = append(c.readsReady, ReadState{
				Token: read.token,
				Index: read.index,
			})
			continue
		}
		waiting = append(waiting, read)
	}
	c.reads = waiting
}

// Silent returns how long each other member has not answered this leader.
func (c *Core) Silent() map[ID]time.Duration {
	silent := make(map[ID]time.Duration, len(c.progress))
	for id, pr := range c.progress {
		if id != c.cfg.ID {
			silent[id] = c.now - pr.active
		}
	}
	return silent
}

// CaughtUp tells whether the member has synced everything committed.
func (c *Core) CaughtUp(id ID) bool {
	pr := c.progress[id]
	return pr != nil && pr.match >= c.commit
}

func (c *Core) sendEarly(m Message) {
	m.From = c.cfg.ID
	c.early = append(c.early, m)
}

func (c *Core) sendLate(m Message) {
	m.From = c.cfg.ID
	c.late = append(c.late, m)
}
