package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leadership that ended left no trace of the cause: a lost quorum looked like a rival.
func TestLostLeadTellsWhy(t *testing.T) {
	for _, tc := range []struct {
		reason LossReason
		end    func(c *qt.C, core *Core, now time.Duration)
	}{
		{LossNoQuorum, func(_ *qt.C, core *Core, now time.Duration) {
			core.Tick(now + 2*testElectionTimeout)
		}},
		{LossHigherTerm, func(_ *qt.C, core *Core, now time.Duration) {
			core.Step(Message{
				Kind: MessageAppend,
				From: 3,
				To:   1,
				Term: core.term + 2,
			}, now)
		}},
		{LossTransferred, func(c *qt.C, core *Core, now time.Duration) {
			c.Assert(core.Transfer(3), qt.IsNil)
			core.Step(Message{
				Kind:     MessageVote,
				From:     3,
				To:       1,
				Term:     core.term + 1,
				Transfer: true,
			}, now)
		}},
		{LossTransferTimeout, func(c *qt.C, core *Core, now time.Duration) {
			c.Assert(core.Transfer(3), qt.IsNil)
			for end := now + 3*testElectionTimeout; now < end; now += time.Millisecond {
				core.Tick(now)
				answerAsReplica2(core, now)
			}
		}},
	} {
		t.Run(string(tc.reason), func(t *testing.T) {
			c := qt.New(t)
			core := newThreeVoterCore()
			now := electCore(c, core, time.Millisecond)
			term := core.term
			answerAsReplica2(core, now)
			tc.end(c, core, now)
			lost := core.TakeLostLeads()
			c.Assert(lost, qt.HasLen, 1)
			c.Check(lost[0].Reason, qt.Equals, tc.reason)
			c.Check(lost[0].Term, qt.Equals, term)
			if tc.reason == LossNoQuorum {
				c.Check(lost[0].QuorumSilent > testElectionTimeout, qt.IsTrue)
				c.Check(lost[0].Silent, qt.HasLen, 2)
			}
			if tc.reason == LossHigherTerm {
				c.Check(lost[0].From, qt.Equals, ID(3))
				c.Check(lost[0].HigherTerm, qt.Equals, term+2)
			}
			c.Check(core.TakeLostLeads(), qt.HasLen, 0)
		})
	}
}
