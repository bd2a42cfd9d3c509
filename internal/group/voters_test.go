package group

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// The leader may be lost between the promotion of a learner and the removal of the lost
// voter. The next leader has not missed that voter yet and must not demote the learner
// that was just promoted: the group would be one loss from its end again.
func TestNewLeaderDemotesNoVoterBeforeItKnowsWhichRespond(t *testing.T) {
	c := qt.New(t)
	plan := planWithLostVoter(0, true)
	promoted, _ := plan.Status.Membership.Find(4)
	promoted.Voter = true
	plan.Status.Membership = plan.Status.Membership.With(promoted)

	_, change := plan.NextChange()
	c.Check(change, qt.Equals, "")
	// Later it may have missed the voter, but not yet for long enough to remove it.
	for _, leading := range []time.Duration{
		100 * time.Millisecond,
		responsiveWithin,
		1500 * time.Millisecond,
		time.Minute,
	} {
		plan.Leading = leading
		plan.SinceLastReply[3] = min(leading, 1500*time.Millisecond)
		_, change = plan.NextChange()
		c.Check(change, qt.Equals, "", qt.Commentf("after %s", leading))
	}

	plan.SinceLastReply = map[raft.ID]time.Duration{
		2: 0,
		3: 3 * time.Second,
		4: 0,
	}
	_, change = plan.NextChange()
	c.Check(change, qt.Equals, "removed unresponsive voter n3")

	plan.SinceLastReply[3] = 0
	_, change = plan.NextChange()
	c.Check(change, qt.Equals, "demoted n4 to learner")
}

// Each instance that is replaced for good as a learner would leave an entry behind, to
// which the leader sends heartbeats for ever.
func TestLostLearnerIsRemoved(t *testing.T) {
	c := qt.New(t)
	plan := planWithLostVoter(0, true)
	plan.SinceLastReply[4] = forgetLearnerAfter - time.Second
	_, change := plan.NextChange()
	c.Check(change, qt.Equals, "")
	plan.SinceLastReply[4] = forgetLearnerAfter
	_, change = plan.NextChange()
	c.Check(change, qt.Equals, "removed unresponsive learner n4")
}

// A voter that does not respond stays until that is due. A learner that becomes a voter
// meanwhile makes four voters of which three are needed, and is lost itself before it has
// caught up for long.
func TestNoLearnerIsPromotedBesideSilentVoter(t *testing.T) {
	plan := func(silence time.Duration, members ...raft.Member) VoterPlan {
		return VoterPlan{
			Status: raft.Status{
				ID:         1,
				Membership: raft.Membership{Members: members},
			},
			SinceLastReply: map[raft.ID]time.Duration{
				2: 0,
				3: silence,
				4: 0,
			},
			VoterCount:   5,
			ReplaceAfter: 2 * time.Second,
			Leading:      time.Minute,
			CaughtUp:     func(raft.ID) bool { return true },
		}
	}
	member := func(id raft.ID, domain string, voter bool) raft.Member {
		return raft.Member{
			ID:     id,
			Name:   "n" + string(rune('0'+id)),
			Domain: domain,
			Voter:  voter,
		}
	}
	spread := []raft.Member{member(1, "d1", true), member(2, "d1", true), member(3, "d2", true), member(4, "d3", false)}
	for _, voterCount := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters wanted", voterCount), func(t *testing.T) {
			c := qt.New(t)
			p := plan(1500*time.Millisecond, spread...)
			p.VoterCount = voterCount
			_, change := p.NextChange()
			c.Check(change, qt.Equals, "")
			p.SinceLastReply[3] = 0
			_, change = p.NextChange()
			c.Check(change, qt.Equals, "promoted n4 to voter")
			p.SinceLastReply[3] = 2 * time.Second
			_, change = p.NextChange()
			c.Check(change, qt.Equals, "removed unresponsive voter n3")
		})
	}
	c := qt.New(t)
	_, change := plan(0, member(1, "d1", true), member(4, "d3", false)).NextChange()
	c.Check(change, qt.Equals, "promoted n4 to voter")
}
