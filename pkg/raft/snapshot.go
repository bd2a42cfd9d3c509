package raft

// SnapshotMetaAt returns the metadata for a snapshot of the state after the entry
// at the index has been applied. It returns false if the index has not been
// applied, is no longer in the log, or is not newer than the last snapshot.
func (c *Core) SnapshotMetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index > c.applied || index <= c.snapshot.Index {
		return SnapshotMeta{}, false
	}
	membership, _ := c.log.membershipAt(index)
	return SnapshotMeta{
		Index:      index,
		Term:       term,
		Membership: membership,
	}, true
}

// Compact discards the log entries covered by a saved snapshot, except for the
// given number of trailing entries.
func (c *Core) Compact(meta SnapshotMeta, trailing uint64) {
	if meta.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = meta
	if meta.Index <= trailing || meta.Index-trailing <= c.log.base.Index {
		return
	}
	base := SnapshotMeta{Index: meta.Index - trailing}
	base.Term, _ = c.log.term(base.Index)
	base.Membership, _ = c.log.membershipAt(base.Index)
	c.log.compact(base)
}

// Retained returns the newest snapshot and the entries that follow it.
func (c *Core) Retained() (SnapshotMeta, []Entry) {
	return c.snapshot, c.log.slice(c.snapshot.Index+1, c.log.lastIndex(), noByteLimit)
}

// sendSnapshot sends the newest snapshot to the replica, unless one is on its way.
func (c *Core) sendSnapshot(to ID, pr *progress) {
	if pr.pendingSnapshot != 0 {
		return
	}
	meta := c.snapshot
	pr.pendingSnapshot = meta.Index
	pr.snapshotSentAt = c.now
	pr.snapshotDelivered = false
	c.sendBeforeSync(Message{
		Kind:     MessageSnapshot,
		To:       to,
		Term:     c.term,
		Snapshot: &meta,
		SentAt:   c.now,
	})
}

// SnapshotFailed records that the snapshot message m could not be delivered.
func (c *Core) SnapshotFailed(m Message) {
	if pr := c.snapshotProgress(m); pr != nil {
		c.dropSnapshot(pr)
	}
}

// snapshotProgress returns the progress of the replica to which the snapshot message m
// is being sent. It returns nil if another snapshot is being sent by now, or none.
func (c *Core) snapshotProgress(m Message) *progress {
	pr := c.progress[m.To]
	if pr == nil || pr.pendingSnapshot == 0 || m.Term != c.term || m.SentAt != pr.snapshotSentAt {
		return nil
	}
	return pr
}

// dropSnapshot gives up the snapshot that is being sent, so that another one is sent if
// the replica still needs it.
func (c *Core) dropSnapshot(pr *progress) {
	pr.pendingSnapshot = 0
	pr.probing = true
	pr.probeSent = false
	pr.next = c.log.firstIndex()
}

// SnapshotDelivered records that the replica has received the snapshot message m. It
// handles messages in the order of their arrival, so its reply to a later one shows
// whether it has installed the snapshot.
func (c *Core) SnapshotDelivered(m Message) {
	if pr := c.snapshotProgress(m); pr != nil {
		pr.snapshotDelivered = true
		pr.snapshotDeliveredAt = c.now
	}
}

// checkSnapshotInstalled sends the pending snapshot again if the reply m shows that
// the replica has received but not installed it, because it has failed or was
// restarted in between.
func (c *Core) checkSnapshotInstalled(m Message, pr *progress) {
	if pr.pendingSnapshot != 0 && pr.snapshotDelivered && m.SentAt > pr.snapshotDeliveredAt {
		c.dropSnapshot(pr)
	}
}
