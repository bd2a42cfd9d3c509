package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// newRestartFixture returns a fixture with a target w0 whose renewals wait for long, so that
// a start reaches its next incarnation before a renewal tells of that.
func newRestartFixture(t *testing.T) *fixture {
	timing := testTiming()
	timing.RenewalWait = time.Second
	return newFixtureWithTiming(t, timing, false, "w0")
}

// restartSilently replaces the process of a target by a new incarnation that has not
// sent a heartbeat yet.
func (s *fixture) restartSilently(name string, incarnation int64) {
	s.fleet.withLock(func() { s.fleet.targets[name] = newFakeTarget(incarnation) })
}

// announce sends a heartbeat of the target's running process until it is acknowledged, as a
// target does.
func (s *fixture) announce(name string, incarnation int64) {
	s.c.Helper()
	s.eventually(waitTimeout, "heartbeat is acknowledged", func() bool {
		var clock Clock
		s.fleet.withLock(func() { clock = s.fleet.targets[name].clock() })
		return s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
			Announce: defaultAnnouncement(name, incarnation),
			Clock:    clock,
		}) == nil
	})
}

// sentRuns returns the highest run number that was sent for the job's first task.
func (s *fixture) sentRuns(job graph.JobID) uint32 {
	var highest uint32
	s.fleet.withLock(func() {
		for _, start := range s.fleet.starts {
			if start.Task.Job == job {
				highest = max(highest, start.Run)
			}
		}
	})
	return highest
}

// A task must not run twice when its target was restarted under its id and the new
// process took the start before its first heartbeat: the start names only the id. The
// run was taken for one that ended with the old process, and started again elsewhere.
func TestStartTakenByNextIncarnationRunsOnce(t *testing.T) {
	for _, heard := range []bool{true, false} {
		s := newRestartFixture(t)
		s.waitIdle("w0")
		s.fleet.runTime = 1200 * time.Millisecond
		s.restartSilently("w0", 2)
		s.submit("a", tasks(1))
		s.eventually(waitTimeout, "new process runs the task", func() bool { return s.runCount("w0") == 1 })
		s.startDefaultTarget("w1", 1)
		if heard {
			s.announce("w0", 2)
		}
		s.waitCompleted("a")
		s.assertNoDoubleRuns()
		s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1), qt.Commentf("announced %t", heard))
	}
}

// A start that was lost on its way to one process of a target may be carried out late by
// the next one under the same id, whose clock does not tell that its deadline is over.
// The task must wait until the next process has been told not to run it, and no longer.
func TestLostStartIsNotCarriedOutByNextIncarnation(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.fleet.runTime = 2 * time.Second
	s.fleet.withLock(func() { s.fleet.targets["w0"].delayedStarts = startAttempts })
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "start is sent", func() bool { return s.sentRuns("a") == 1 })
	s.startDefaultTarget("w1", 1)
	s.restartSilently("w0", 2)
	s.announce("w0", 2)
	restarted := time.Now()
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0")+s.runCount("w1") == 1 })
	timing := testTiming()
	s.c.Check(time.Since(restarted) < timing.MaxLease, qt.IsTrue)
	time.Sleep(s.fleet.startDelay)
	s.assertNoDoubleRuns()
	s.waitCompleted("a")
	s.assertNoDoubleRuns()
}

// A relay of an earlier release does not say which incarnation answered it. The target
// then counts as one that does not answer, as long as it may have taken a start.
func TestUnknownIncarnationKeepsUncertainRuns(t *testing.T) {
	s := newRestartFixture(t)
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	target := s.scheduler.ledger.Targets()[0]
	d := newDriver(s.scheduler.currentLeader.Load(), target)
	d.inherit()
	s.c.Check(d.handleReplacement(ErrOtherIncarnation), qt.IsFalse)
	s.c.Check(s.scheduler.ledger.RunCount(target.ID), qt.Equals, 1)
	s.c.Check(d.extendLease(), qt.Equals, Clock(0))
}

// A new leader finds runs of an older incarnation beside a newer one. It must drive only
// the newer one, and keep the runs for as long as a target may hold a lease.
func TestNewLeaderAdoptsRunsOfOlderIncarnation(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.fleet.runTime = time.Hour
	s.restartSilently("w0", 2)
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "new process runs the task", func() bool { return s.runCount("w0") == 1 })
	s.announce("w0", 2)
	next, _ := s.scheduler.ledger.Target(graph.TargetID{
		ID:          "w0",
		Incarnation: 2,
	})
	l := s.scheduler.currentLeader.Load()
	d := newDriver(l, next)
	d.inherit()
	s.c.Check(d.inherited, qt.HasLen, 0)
	s.c.Check(d.adopted, qt.HasLen, 1)
	s.c.Check(time.Until(d.leaseExpiry) > l.scheduler.timing.MaxLease, qt.IsTrue)
	older := graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
	s.c.Check(l.driver(older) == nil, qt.IsTrue)
	s.eventually(waitTimeout, "run is listed as desired", func() bool {
		assignments := s.scheduler.ledger.Assignments(next.ID)
		return len(assignments) == 1 && assignments[0].Desired
	})
}

// An incarnation that ends takes the runs along that it adopted, and the ledger forgets
// the older incarnation that had them.
func TestAdoptedRunsEndWithNextIncarnation(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.fleet.runTime = time.Hour
	s.restartSilently("w0", 2)
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "new process runs the task", func() bool { return s.runCount("w0") == 1 })
	s.announce("w0", 2)
	s.startDefaultTarget("w1", 1)
	s.eventually(waitTimeout, "run is listed", func() bool {
		d := s.scheduler.currentLeader.Load().driver(graph.TargetID{
			ID:          "w0",
			Incarnation: 2,
		})
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, info := range d.runs {
			return !info.listedAt.IsZero()
		}
		return false
	})
	s.restartSilently("w0", 3)
	s.announce("w0", 3)
	s.eventually(testTiming().TTL, "task runs again", func() bool { return s.runCount("w0")+s.runCount("w1") == 1 })
	s.eventually(waitTimeout, "older incarnations are forgotten", func() bool {
		return len(s.scheduler.ledger.OlderIncarnations(graph.TargetID{
			ID:          "w0",
			Incarnation: 3,
		})) == 0
	})
	s.assertNoDoubleRuns()
}

// waitIdle waits until the target may get work and no renewal to it is under way: it has
// answered the one that acknowledged its last end.
func (s *fixture) waitIdle(name string) {
	s.c.Helper()
	id := graph.TargetID{
		ID:          name,
		Incarnation: 1,
	}
	s.eventually(waitTimeout, "target is idle", func() bool {
		d := s.scheduler.currentLeader.Load().driver(id)
		return d != nil && d.usable(time.Now()) && d.idle(s.scheduler.ledger.RunCount(id))
	})
}

// A renewal must acknowledge no end that the process which gets it has not listed: the
// numbers of ends begin anew with each incarnation. A process that was started again
// under its id forgot the end of a task that was done, which then ran once more.
func TestEndOfNextIncarnationIsNotAcknowledgedUnseen(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.submit("a", tasks(3))
	s.waitCompleted("a")
	s.waitIdle("w0")
	s.restartSilently("w0", 2)
	s.submit("b", tasks(1))
	s.eventually(waitTimeout, "new process has run the task", func() bool {
		seq := uint64(0)
		s.fleet.withLock(func() { seq = s.fleet.targets["w0"].seq })
		return seq == 1
	})
	s.announce("w0", 2)
	s.waitCompleted("b")
	s.c.Check(s.sentRuns("b"), qt.Equals, uint32(1))
}

// A process that replaces another one may be gone before its announcement is known to be
// committed. The runs that it may have taken were left without a driver, and their tasks
// with them.
func TestReplacedIncarnationWithoutAnnouncedNextIsEnded(t *testing.T) {
	timing := testTiming()
	timing.RenewalWait = time.Second
	timing.MaxLease = time.Second
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.waitIdle("w0")
	s.fleet.withLock(func() { s.fleet.targets["w0"].delayedStarts = startAttempts })
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "start is sent", func() bool { return s.sentRuns("a") == 1 })
	s.startDefaultTarget("w1", 1)
	l := s.scheduler.currentLeader.Load()
	s.c.Assert(l.replaceIncarnation(graph.Target{Announcement: defaultAnnouncement("w0", 2)}) == nil, qt.IsTrue)
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = true })
	s.eventually(waitTimeout, "run of the older process is over", func() bool { return s.sentRuns("a") == 2 })
	s.waitCompleted("a")
}
