package group

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// planWithLostVoter returns the plan of leader 1 for the voters 1 to 3, of which
// voter 3 has been silent for the duration, and for learner 4.
func planWithLostVoter(silence time.Duration, learnerCaughtUp bool) VoterPlan {
	return VoterPlan{
		Status: raft.Status{
			ID: 1,
			Membership: raft.Membership{Members: []raft.Member{
				{ID: 1, Name: "n1", Domain: "d1", Voter: true},
				{ID: 2, Name: "n2", Domain: "d2", Voter: true},
				{ID: 3, Name: "n3", Domain: "d3", Voter: true},
				{ID: 4, Name: "n4", Domain: "d4"},
			}},
		},
		SinceLastReply: map[raft.ID]time.Duration{
			2: 0,
			3: silence,
			4: 0,
		},
		VoterCount:   3,
		ReplaceAfter: 2 * time.Second,
		CaughtUp:     func(raft.ID) bool { return learnerCaughtUp },
	}
}

// Without these lines nobody can tell from the logs why a lost voter is still one
// when the next is lost.
func TestLogTellsWhySilentVoterStays(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	watch := NewMemberWatch(log)
	lines := func() string {
		text := out.String()
		out.Reset()
		return text
	}

	watch.RecordPlan(planWithLostVoter(0, true))
	c.Check(lines(), qt.Equals, "")
	watch.RecordPlan(planWithLostVoter(1500*time.Millisecond, true))
	text := lines()
	c.Check(text, qt.Contains, "member: no reply")
	c.Check(text, qt.Contains, "name=n3")
	c.Check(text, qt.Contains, "reason=not-due")
	watch.RecordPlan(planWithLostVoter(1800*time.Millisecond, true))
	c.Check(lines(), qt.Equals, "")
	watch.RecordPlan(planWithLostVoter(3*time.Second, false))
	c.Check(lines(), qt.Contains, "reason=learners-behind")

	watch.RecordChange("promoted n4 to voter", context.DeadlineExceeded)
	watch.RecordChange("promoted n4 to voter", context.DeadlineExceeded)
	c.Check(strings.Count(lines(), "membership change failed"), qt.Equals, 1)
	watch.RecordPlan(planWithLostVoter(0, true))
	c.Check(lines(), qt.Contains, "member: replies again")
}
