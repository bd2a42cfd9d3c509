package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// An earlier leader has sent a stop of a run, and the run is in neither list of its target
// while it ends. The next leader sends the start of the run again, as nothing tells it of the
// stop. The target refuses it, since the run was stopped. That was taken for a run that never
// starts, and the task was started elsewhere while the first run ended.
func TestRefusedStartOfInheritedRunIsNotAbsent(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.withLock(func() {
		s.fleet.runTime = time.Hour
		s.fleet.stopDelay = testTiming().StopSettleTime * 3 / 4
	})
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	l := s.scheduler.currentLeader.Load()
	target := l.driver(graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}).target
	s.scheduler.LostLeadership()
	_, err := s.fleet.Stop(s.ctx(), &target, Stop{
		Task:  graph.TaskRef{Job: "a"},
		Run:   1,
		Token: l.token(),
	})
	s.c.Assert(err, qt.IsNil)
	s.scheduler.BecameLeader(l.term + 1)
	s.eventually(waitTimeout, "task runs again", func() bool { return s.sentRuns("a") == 2 })
	s.assertNoDoubleRuns()
}

// A target that leaves must get no start. The next leader sent those of the runs that the
// earlier one had stopped, as they left, or had not sent yet.
func TestInheritedRunIsNotStartedOnLeavingTarget(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.withLock(func() { s.fleet.runTime = time.Hour })
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	leaving := defaultAnnouncement("w0", 1)
	leaving.Leaving = true
	fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: leaving})
	s.c.Assert(fault == nil, qt.IsTrue)
	l := s.scheduler.currentLeader.Load()
	s.scheduler.LostLeadership()
	s.fleet.withLock(func() {
		clear(s.fleet.targets["w0"].running)
		s.fleet.starts = nil
	})
	s.scheduler.BecameLeader(l.term + 1)
	s.startDefaultTarget("w1", 1)
	s.eventually(waitTimeout, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.fleet.withLock(func() {
		for _, start := range s.fleet.starts {
			s.c.Check(start.Run, qt.Equals, uint32(2))
		}
	})
}

// A heartbeat may arrive as soon as the next leader is known. The leader noted the incarnations
// of the ledger only then, without a lock: such a heartbeat could be taken for one of a newer
// incarnation, or end the process, as the two met at one map.
func TestNewLeaderKnowsIncarnationsAtOnce(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.startDefaultTarget("w0", 2)
	s.eventually(waitTimeout, "target is announced", func() bool {
		_, known := s.scheduler.ledger.Target(graph.TargetID{
			ID:          "w0",
			Incarnation: 2,
		})
		return known
	})
	l := newLeader(s.scheduler, s.scheduler.currentLeader.Load().term+1)
	current, _ := l.currentIncarnation("w0")
	s.c.Check(current, qt.Equals, int64(2))
	older := defaultAnnouncement("w0", 1)
	s.c.Check(l.needsVerification(&older), qt.IsTrue)
}
