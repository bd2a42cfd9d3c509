package raft

import (
	"slices"
	"time"
)

// LossReason is the reason why a leadership ended.
type LossReason string

// Reasons why a leadership ends.
const (
	// LossNoQuorum means that no quorum has replied within an election timeout.
	LossNoQuorum LossReason = "no-quorum"
	// LossHigherTerm means that another replica had a higher term.
	LossHigherTerm LossReason = "higher-term"
	// LossTransferred means that the leadership was transferred.
	LossTransferred LossReason = "transferred"
	// LossTransferTimeout means that a transfer was not completed in time.
	LossTransferTimeout LossReason = "transfer-timeout"
	// LossRemoved means that the leader has removed itself from the voters.
	LossRemoved LossReason = "removed"
)

// LostLead tells how a leadership of this replica ended.
type LostLead struct {
	Term   uint64
	Reason LossReason
	// Led is how long it lasted.
	Led time.Duration
	// QuorumSilent is the time since the sending of the last message that a quorum
	// has answered.
	QuorumSilent time.Duration
	// Silent has the voters that have answered no message sent within an election
	// timeout, and since when.
	Silent []Silence
	// From is the replica that sent HigherTerm, or zero.
	From       ID
	HigherTerm uint64
}

// recordLoss records the end of the leadership of this replica. It does nothing if the
// replica does not lead.
func (c *Core) recordLoss(reason LossReason, from ID, term uint64) {
	if c.role != RoleLeader {
		return
	}
	if reason == LossHigherTerm && from == c.transferee {
		reason = LossTransferred
	}
	lost := LostLead{
		Term:         c.term,
		Reason:       reason,
		Led:          c.now - c.leaderSince,
		QuorumSilent: c.now - max(c.quorumAckTime(), c.leaderSince),
		From:         from,
		HigherTerm:   term,
	}
	for _, id := range c.membership.Voters() {
		pr := c.progress[id]
		if id == c.cfg.ID || pr == nil {
			continue
		}
		if silent := c.now - max(pr.ackedSendTime, c.leaderSince); silent >= c.cfg.ElectionTimeout {
			lost.Silent = append(lost.Silent, Silence{
				ID:  id,
				For: silent,
			})
		}
	}
	slices.SortFunc(lost.Silent, func(a, b Silence) int { return int(b.For - a.For) })
	c.lostLeads = append(c.lostLeads, lost)
}

// TakeLostLeads returns the leaderships that have ended since the last call.
func (c *Core) TakeLostLeads() []LostLead {
	lost := c.lostLeads
	c.lostLeads = nil
	return lost
}
