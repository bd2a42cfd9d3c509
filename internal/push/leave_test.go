package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
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
// lease is over. It is confirmed once it has listed the ends of its runs.
func TestRunsOfEndedLeavingTargetMoveAtOnce(t *testing.T) {
	timing := testTiming()
	timing.TTL = 8 * time.Second
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.fleet.stopDelay = maxLeaveWait / 2
	id := s.startLeaving()
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	s.c.Check(s.runCount("w0"), qt.Equals, 0)
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = true })
	s.eventually(time.Second, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.assertNoDoubleRuns()
}

// A link that is cut may refuse connections. The first refusal to a target that leaves was
// taken for the end of its process, so that its task ran on two targets until its lease was
// over.
func TestRefusedConnectionIsNoEndOfLeavingTarget(t *testing.T) {
	s := newFixture(t, false, "w0")
	id := s.startLeaving()
	s.fleet.withLock(func() { s.fleet.targets["w0"].refuses = true })
	s.c.Check(s.scheduler.ForwardLeave(s.ctx(), id) != nil, qt.IsTrue)
	timing := testTiming()
	lease := s.scheduler.currentLeader.Load().withClockDrift(timing.TTL) + timing.LeaseMargin
	const slack = 700 * time.Millisecond
	s.eventually(lease+slack, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.assertNoDoubleRuns()
}

// A target that leaves forgets its ends when that is confirmed. It was confirmed before it had
// been asked for its list, so that a task which was done ran again elsewhere.
func TestEndsAreReadBeforeLeaveIsConfirmed(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.submit("a", tasks(1))
	s.fleet.withLock(func() { s.fleet.targets["w0"].lostRunLists = 1 })
	s.eventually(waitTimeout, "task has ended", func() bool { return s.sentRuns("a") == 1 && s.runCount("w0") == 0 })
	s.startDefaultTarget("w1", 1)
	id := graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
	s.eventually(waitTimeout, "leave is confirmed", func() bool { return s.scheduler.ForwardLeave(s.ctx(), id) == nil })
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = true })
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
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

// The message that a target leaves may come late, from a process that another one has replaced.
// The runs that this one may have taken must not be ended with it.
func TestLateLeaveOfReplacedIncarnationEndsNoRuns(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.fleet.runTime = 2 * time.Second
	s.restartSilently("w0", 2)
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "new process runs the task", func() bool { return s.runCount("w0") == 1 })
	s.announce("w0", 2)
	s.startDefaultTarget("w1", 1)
	s.c.Check(s.scheduler.ForwardLeave(s.ctx(), graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}) == nil, qt.IsTrue)
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
	s.assertNoDoubleRuns()
}

// A target that leaves gets no more work, also from a later leader, and is not confirmed while
// its runs are not over.
func TestLeavingIsCommitted(t *testing.T) {
	s := newFixture(t, false, "w0")
	id := s.startLeaving()
	s.fleet.withLock(func() { s.fleet.targets["w0"].refuses = true })
	fault := s.scheduler.ForwardLeave(s.ctx(), id)
	s.c.Assert(fault != nil, qt.IsTrue)
	s.c.Check(fault.Code, qt.Equals, wire.CodeBusy)
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
