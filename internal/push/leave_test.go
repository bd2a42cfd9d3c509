package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// startLeaving starts a target with a long task, and then another target. It returns the
// id of the first.
func (s *fixture) startLeaving() graph.TargetID {
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	return graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
}

// A target whose message that it leaves is not answered goes on for a while. Its task ran
// twice, since the message was taken for the end of its runs.
func TestRunsOfLeavingTargetAreStoppedFirst(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.stopDelay = 200 * time.Millisecond
	id := s.startLeaving()
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	s.eventually(testTiming().TTL, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.assertNoDoubleRuns()
	s.eventually(waitTimeout, "target is forgotten", func() bool {
		_, known := s.scheduler.ledger.Target(id)
		return !known
	})
}

// A target that ends when its leave is confirmed must not hold its tasks back until its
// lease is over.
func TestRunsOfEndedLeavingTargetMoveAtOnce(t *testing.T) {
	timing := testTiming()
	timing.TTL = 8 * time.Second
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.fleet.stopDelay = time.Hour
	id := s.startLeaving()
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	s.fleet.withLock(func() {
		target := s.fleet.targets["w0"]
		target.down = true
		clear(target.running)
	})
	s.eventually(time.Second, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.assertNoDoubleRuns()
}

// A message that a target leaves may be of an older process with its id if it names no
// incarnation. It must not end the runs of the process that has the id now.
func TestUnannouncedLeaveWithoutIncarnationIsIgnored(t *testing.T) {
	s := newFixture(t, false, "w0")
	id := s.startLeaving()
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), graph.TargetID{ID: "w0"}) == nil, qt.IsTrue)
	target, known := s.scheduler.ledger.Target(id)
	s.c.Check(known && !target.Leaving, qt.IsTrue)
	s.c.Check(s.scheduler.ledger.RunCount(id), qt.Equals, 1)
	s.c.Check(s.runCount("w0"), qt.Equals, 1)
	s.assertNoDoubleRuns()
}

// A target that leaves gets no more work, also from a later leader.
func TestLeavingIsCommitted(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.stopDelay = time.Hour
	id := s.startLeaving()
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	target, known := s.scheduler.ledger.Target(id)
	s.c.Check(known && target.Leaving, qt.IsTrue)
	s.c.Check(s.scheduler.ledger.RunCount(id), qt.Equals, 1)
}

// A target whose message that it leaves is not answered sends it again, also after it was
// forgotten. That must end nothing of another target, and not bring it back.
func TestLeaveAgainChangesNothing(t *testing.T) {
	s := newFixture(t, false, "w0")
	id := s.startLeaving()
	for range 2 {
		s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	}
	s.eventually(waitTimeout, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.eventually(waitTimeout, "target is forgotten", func() bool {
		_, known := s.scheduler.ledger.Target(id)
		return !known
	})
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	s.announce("w0", 1)
	_, known := s.scheduler.ledger.Target(id)
	s.c.Check(known, qt.IsFalse)
	s.c.Check(s.runCount("w1"), qt.Equals, 1)
	s.assertNoDoubleRuns()
}
