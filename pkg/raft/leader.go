package raft

import (
	"slices"
	"time"
)

// Propose appends a command to the leader's log and returns its index and term.
// It returns ErrNotLeader if the replica is not the leader, and
// ErrLeadershipTransfer during a leadership transfer.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	index = c.appendEntry(EntryCommand, data)
	return index, c.term, nil
}

// ProposeMembership appends a membership change to the leader's log. At most one
// member may be added, removed or changed, a new voter must be a learner that has
// caught up, and the previous change must be committed; otherwise
// ProposeMembership returns ErrMembershipChange. It also fails with the errors
// of Propose.
func (c *Core) ProposeMembership(next Membership) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if !c.membershipChangeAllowed(next) {
		return 0, 0, ErrMembershipChange
	}
	data, err := encodeMembership(next)
	if err != nil {
		return 0, 0, err
	}
	index = c.appendEntry(EntryMembership, data)
	c.refreshMembership()
	c.broadcast()
	return index, c.term, nil
}

func (c *Core) checkCanPropose() error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return ErrLeadershipTransfer
	}
	return nil
}

// membershipChangeAllowed reports whether the membership may be replaced by next. As
// next may differ in one member only, a change that was made from an older membership
// can't undo the one before it.
func (c *Core) membershipChangeAllowed(next Membership) bool {
	if c.membershipIndex > c.commit || !c.committedInTerm() || len(next.Voters()) == 0 || !c.hasFreshQuorum() {
		return false
	}
	changes := 0
	for _, member := range next.Members {
		before, ok := c.membership.Find(member.ID)
		if ok && before == member {
			continue
		}
		changes++
		if member.Voter && !before.Voter && !c.CaughtUp(member.ID) {
			return false
		}
	}
	for _, member := range c.membership.Members {
		if _, ok := next.Find(member.ID); !ok {
			changes++
		}
	}
	return changes <= 1
}

// hasFreshQuorum reports whether a quorum has replied within an election timeout. A
// leader without one may have been suspended and deposed meanwhile.
func (c *Core) hasFreshQuorum() bool {
	return c.now-max(c.quorumAckTime(), c.leaderSince) <= c.cfg.ElectionTimeout
}

// committedInTerm reports whether an entry of the current term is committed.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.term
}

func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{
		Index: c.log.lastIndex() + 1,
		Term:  c.term,
		Kind:  kind,
		Data:  data,
	}
	c.log.append(entry)
	return entry.Index
}

// Flush sends the entries proposed since the last call to the other members.
func (c *Core) Flush() {
	if c.role == RoleLeader {
		c.broadcast()
	}
}

func (c *Core) broadcast() {
	for _, member := range c.membership.Members {
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
	for pr.pendingSnapshot == 0 && pr.next <= c.log.lastIndex() {
		if pr.next > pr.match+c.cfg.MaxInflight {
			return
		}
		if !c.sendAppend(to, pr, pr.next-1, true) {
			return
		}
	}
}

// probe sends an empty append to find the index up to which the follower's log
// agrees with the leader's. It carries no entries because an unreachable follower
// is probed with every heartbeat, and all of these messages would be delivered
// when the connection is restored.
func (c *Core) probe(to ID, pr *progress) {
	if pr.pendingSnapshot != 0 || pr.probeSent {
		return
	}
	pr.probeSent = true
	c.sendAppend(to, pr, pr.next-1, false)
}

// sendAppend sends an append message that follows the index prev, with the next
// entries if withEntries is set. It sends a snapshot instead if the log has been
// compacted past prev. It reports whether entries were sent.
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
		SentAt:  c.now,
		Silent:  c.silentMembers(),
	}
	if withEntries {
		if prev == pr.match {
			pr.advancedAt = c.now
		}
		m.Entries = c.log.slice(prev+1, c.log.lastIndex(), c.cfg.MaxBatchBytes)
		pr.next = prev + 1 + uint64(len(m.Entries))
	}
	c.sendBeforeSync(m)
	return len(m.Entries) > 0
}

// lossTimeout returns how long the leader waits for progress of the replica before it
// takes a rejection as a sign that entries were lost. Until then they may be on their
// way over another connection. The wait doubles each time, because sending everything
// again makes a link that is only slow slower.
func (c *Core) lossTimeout(pr *progress) time.Duration {
	return c.cfg.ElectionTimeout / lossTimeoutDivisor << min(pr.losses, maxLossBackoff)
}

// mayBeOnTheWay reports whether the entries in flight may still arrive.
func (c *Core) mayBeOnTheWay(pr *progress) bool {
	return c.now-pr.advancedAt < c.lossTimeout(pr)
}

// sendHeartbeat sends an append without entries. Its predecessor is the last entry that
// the follower is known to have, because a heartbeat may overtake entries. Once there
// was no progress for a while, it is the last entry sent, so that the follower rejects
// the heartbeat if entries have been lost.
func (c *Core) sendHeartbeat(to ID) {
	pr := c.progress[to]
	pr.probeSent = false
	if pr.pendingSnapshot != 0 {
		if c.now-pr.snapshotSentAt > snapshotTimeout {
			c.dropSnapshot(pr)
		}
		c.sendAppend(to, pr, c.log.base.Index, false)
		return
	}
	if pr.probing {
		c.probe(to, pr)
		return
	}
	prev := pr.next - 1
	if _, ok := c.log.term(pr.match); ok && c.mayBeOnTheWay(pr) {
		prev = pr.match
	}
	c.sendAppend(to, pr, prev, false)
}

func (c *Core) onAppendReply(m Message) {
	pr := c.progress[m.From]
	if c.role != RoleLeader || m.Term != c.term || pr == nil {
		return
	}
	pr.ackedSendTime = max(pr.ackedSendTime, m.SentAt)
	pr.lastReplyAt = c.now
	if m.Reject {
		c.checkSnapshotInstalled(m, pr)
		c.onRejected(m, pr)
		return
	}
	if m.Index > pr.match {
		pr.match = m.Index
		pr.advancedAt = c.now
		pr.losses = 0
		c.maybeCommit()
	}
	// The commit of its own removal ends the leadership.
	if c.role != RoleLeader {
		return
	}
	if pr.pendingSnapshot != 0 && pr.match >= pr.pendingSnapshot {
		pr.pendingSnapshot = 0
		pr.probing = true
	}
	c.checkSnapshotInstalled(m, pr)
	if pr.probing && pr.pendingSnapshot == 0 {
		pr.probing = false
		pr.next = pr.match + 1
	}
	pr.next = max(pr.next, pr.match+1)
	if m.From == c.transferee {
		c.maybeSendTimeoutNow()
	}
	c.sendEntries(m.From)
}

// onRejected handles the rejection of an append that follows m.Index. Rejections may be
// repeated or late: while the leader probes, only that of the current probe counts, and
// otherwise none as long as the entries in flight may still arrive.
func (c *Core) onRejected(m Message, pr *progress) {
	if m.Index <= pr.match || pr.pendingSnapshot != 0 {
		return
	}
	switch {
	case pr.probing && m.Index != pr.next-1:
		return
	case !pr.probing && c.mayBeOnTheWay(pr):
		return
	case !pr.probing:
		pr.losses++
	}
	pr.next = max(pr.match+1, min(m.Index, m.Hint+1))
	pr.probing = true
	pr.probeSent = false
	c.sendEntries(m.From)
}

// maybeCommit advances the commit index to the highest index that a quorum has
// synced, if that entry is of the current term. A leader that has committed its own
// removal from the voters then steps down.
func (c *Core) maybeCommit() {
	voters := c.membership.Voters()
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
	if !c.isVoter(c.cfg.ID) && c.membershipIndex <= c.commit {
		c.broadcast()
		c.recordLoss(LossRemoved, 0, 0)
		c.becomeFollower(c.term)
	}
}

func (c *Core) matchOf(id ID) uint64 {
	if id == c.cfg.ID {
		return c.stable
	}
	return c.progress[id].match
}

// quorumAckTime returns the latest time such that a quorum of the voters has
// acknowledged a message that this leader sent at that time or later.
func (c *Core) quorumAckTime() time.Duration {
	voters := c.membership.Voters()
	acked := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		if id == c.cfg.ID {
			acked = append(acked, c.now)
			continue
		}
		acked = append(acked, c.progress[id].ackedSendTime)
	}
	if len(acked) == 0 {
		return neverAcked
	}
	slices.Sort(acked)
	return acked[(len(acked)-1)/2]
}

// LeaseUntil returns the time before which no other replica can become leader, or
// zero if this replica holds no lease.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != RoleLeader || c.leaseRevoked || !c.committedInTerm() {
		return 0
	}
	return c.quorumAckTime() + c.cfg.ElectionTimeout - c.cfg.ElectionTimeout/leaseDriftDivisor
}

// Read requests the index that must be applied before a linearizable read. The
// result is returned with the token in Ready.Reads or Ready.FailedReads.
func (c *Core) Read(token uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	c.pendingReads = append(c.pendingReads, pendingRead{
		token:       token,
		requestedAt: c.now,
	})
	if len(c.pendingReads) == 1 {
		c.heartbeat()
	}
	return nil
}

// confirmReads completes the reads that were requested no later than a message
// that a quorum has acknowledged: the replica was still the leader at that time.
func (c *Core) confirmReads() {
	if len(c.pendingReads) == 0 || !c.committedInTerm() {
		return
	}
	acked := c.quorumAckTime()
	pending := c.pendingReads[:0]
	for _, read := range c.pendingReads {
		if read.index == 0 {
			read.index = c.commit
		}
		if acked >= read.requestedAt {
			c.readyReads = append(c.readyReads, ReadState{
				Token: read.token,
				Index: read.index,
			})
			continue
		}
		pending = append(pending, read)
	}
	c.pendingReads = pending
}

func (c *Core) sendBeforeSync(m Message) {
	m.From = c.cfg.ID
	c.beforeSync = append(c.beforeSync, m)
}

func (c *Core) sendAfterSync(m Message) {
	m.From = c.cfg.ID
	c.afterSync = append(c.afterSync, m)
}
