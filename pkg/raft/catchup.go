package raft

import "time"

// commitMarks are commit indexes that the leader remembers to tell whether a member
// keeps up with the log.
type commitMarks struct {
	// latest is the commit index at the time at, and settled is one that was reached
	// at least a heartbeat interval before that.
	latest  uint64
	settled uint64
	at      time.Duration
}

// markCommit moves the marks on once a heartbeat interval has passed.
func (c *Core) markCommit() {
	if c.now-c.marks.at < c.cfg.HeartbeatInterval {
		return
	}
	c.marks = commitMarks{
		latest:  max(c.marks.latest, c.commit),
		settled: c.marks.latest,
		at:      c.now,
	}
}

// CaughtUp reports whether the member has synced all entries that were committed a
// heartbeat interval ago, and the first one of this leader, and has replied within an
// election timeout. Under a steady load the newest entries are always on their way to
// it. A member that has gone silent would be missing in the quorum that it is to join.
func (c *Core) CaughtUp(id ID) bool {
	pr := c.progress[id]
	return pr != nil && pr.match >= c.marks.settled && c.now-pr.lastReplyAt < c.cfg.ElectionTimeout
}
