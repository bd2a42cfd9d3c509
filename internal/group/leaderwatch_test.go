package group

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// A group that has lost its quorum logs nothing on the instances that are left, unless each
// of them tells its role, whom it takes for voters and what its peers say.
func TestLogTellsWhyThereIsNoLeader(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("before")
	left := g.members[0]
	hook := logtest.NewLocal(left.host.log)
	g.members[1].stop()
	g.members[2].stop()

	line := func() *logrus.Entry {
		for _, entry := range hook.AllEntries() {
			if entry.Message == "group: no leader" {
				return entry
			}
		}
		return nil
	}
	g.eventually("the line is logged", func() bool { return line() != nil })
	fields := line().Data
	c.Check(fields["for-ms"].(int64) >= noLeaderAfter.Milliseconds(), qt.IsTrue)
	c.Check(strings.Count(fields["voters"].(string), "/"), qt.Equals, 3)
	for _, m := range g.members[1:] {
		c.Check(fields["asked"], qt.Contains, m.cfg.Address+"="+answerNone)
	}
	c.Check(left.host.LeaderSilence() >= noLeaderAfter, qt.IsTrue)
}

// A replica that asks for votes and gets none does not know why. The one that refuses says
// it once, and again when the reason changes.
func TestRefusedVoteIsLoggedWithReason(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	host := g.members[0].host
	hook := logtest.NewLocal(host.log)
	vote := raft.RefusedVote{
		Candidate: seedID(g.members[1].cfg.Address),
		Reason:    raft.RefusalOldLog,
		Term:      3,
		OwnTerm:   2,
	}
	host.leaderWatch.recordRefusal(vote)
	host.leaderWatch.recordRefusal(vote)
	vote.Reason = raft.RefusalLeaderAlive
	host.leaderWatch.recordRefusal(vote)

	var reasons []raft.VoteRefusal
	for _, entry := range hook.AllEntries() {
		if entry.Message == "group: vote refused" {
			c.Check(entry.Data["candidate"], qt.Equals, g.members[1].cfg.Address)
			reasons = append(reasons, entry.Data["reason"].(raft.VoteRefusal))
		}
	}
	c.Check(reasons, qt.DeepEquals, []raft.VoteRefusal{raft.RefusalOldLog, raft.RefusalLeaderAlive})
	c.Check(host.LeaderSilence() > 0, qt.IsTrue)
	c.Check(time.Since(host.leaderWatch.startedAt) < time.Minute, qt.IsTrue)
}
