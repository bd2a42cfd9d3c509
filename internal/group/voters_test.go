package group

import (
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
