package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// innocentCrashes is how many targets are lost under a task in the tests of tasks that
// must not be given up for it.
const innocentCrashes = 5

// crashTargets ends the processes of the targets.
func (s *fixture) crashTargets(names ...string) {
	s.fleet.withLock(func() {
		for _, name := range names {
			s.fleet.targets[name].down = true
			clear(s.fleet.targets[name].running)
		}
	})
}

// eventuallyRuns waits until the targets run the number of tasks, and checks that the job
// is not given up.
func (s *fixture) eventuallyRuns(job graph.JobID, count int, names ...string) {
	s.c.Helper()
	s.eventuallyLive(job, "tasks run", func() bool {
		running := 0
		s.fleet.withLock(func() {
			for _, name := range names {
				running += len(s.fleet.targets[name].running)
			}
		})
		return running == count
	})
}

// eventuallyLive waits for the condition, and checks that the job is not over.
func (s *fixture) eventuallyLive(job graph.JobID, what string, condition func() bool) {
	s.c.Helper()
	s.eventually(waitTimeout, what, func() bool {
		return condition() || !s.scheduler.ledger.IsLive(job)
	})
	s.c.Assert(s.scheduler.ledger.IsLive(job), qt.IsTrue, qt.Commentf("%s is live", job))
}

// Jobs were shown as failed without a failed run. A start that a target did not answer, as
// it had gone dark just before, counted as the cause of its loss.
func TestUnansweredStartOnDarkTargetGivesNoJobUp(t *testing.T) {
	s := newFixture(t, false)
	for incarnation := int64(1); incarnation <= innocentCrashes; incarnation++ {
		s.startDefaultTarget("w0", incarnation)
		s.fleet.withLock(func() { s.fleet.targets["w0"].silentFromStart = true })
		if incarnation == 1 {
			s.submit("a", tasks(1))
		}
		s.eventuallyLive("a", "target is silent", func() bool {
			silent := false
			s.fleet.withLock(func() { silent = s.fleet.targets["w0"].silent })
			return silent
		})
		// The leader has seen that the start is not answered.
		time.Sleep(2 * testTiming().CallTimeout)
	}
	s.startDefaultTarget("w0", innocentCrashes+1)
	s.eventually(2*waitTimeout, "job is over", func() bool { return !s.scheduler.ledger.IsLive("a") })
	s.c.Assert(s.state("a"), qt.Equals, graph.StateCompleted)
}

// Jobs were shown as failed without a failed run. A new leader has not seen the runs that
// it takes over, and counted each on a lost target as one that was started in vain.
func TestNewLeaderGivesNoJobUpForInheritedRuns(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	for i := range int64(innocentCrashes) {
		s.eventuallyRuns("a", 1, "w0")
		term := s.scheduler.currentLeader.Load().term
		s.scheduler.LostLeadership()
		s.crashTargets("w0")
		s.scheduler.BecameLeader(term + 1)
		// The new leader has seen that the target is gone.
		time.Sleep(testTiming().CallTimeout)
		s.startDefaultTarget("w0", i+2)
	}
	s.eventuallyRuns("a", 1, "w0")
	s.c.Assert(s.state("a"), qt.Equals, graph.StateRunning)
}

// Jobs were shown as failed without a failed run. Targets that crash together do so for a
// common reason, and not because of the one task that each of them has just started.
func TestTargetsLostTogetherGiveNoJobUp(t *testing.T) {
	names := []string{"w0", "w1", "w2", "w3", "w4", "w5"}
	s := newFixture(t, false, names...)
	s.fleet.runTime = time.Hour
	step := tasks(len(names))
	step.MaxPerTarget = 1
	s.submit("a", step)
	for i := range int64(innocentCrashes) {
		s.eventuallyRuns("a", len(names), names...)
		s.crashTargets(names...)
		time.Sleep(testTiming().CallTimeout)
		for _, name := range names {
			s.startDefaultTarget(name, i+2)
		}
	}
	s.eventuallyRuns("a", len(names), names...)
	s.c.Assert(s.state("a"), qt.Equals, graph.StateRunning)
}

// Jobs were shown as failed without a failed run. A target that goes down and up by turns
// takes whatever it has just started with it.
func TestTargetDownByTurnsGivesNoJobUp(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	for i := range int64(innocentCrashes) {
		s.eventuallyRuns("a", 1, "w0")
		time.Sleep(testTiming().FreshRunTime / 2)
		s.crashTargets("w0")
		time.Sleep(testTiming().CallTimeout)
		s.startDefaultTarget("w0", i+2)
	}
	s.eventuallyRuns("a", 1, "w0")
	s.c.Assert(s.state("a"), qt.Equals, graph.StateRunning)
}

// A leader that does not know that the end of an incarnation was committed commits it
// again. The one end counted as two crashes, and the job was given up.
func TestReplacementCommittedTwiceIsOneCrash(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.fleet.withLock(func() { s.fleet.targets["w0"].delayedStarts = startAttempts })
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "start is sent", func() bool { return s.sentRuns("a") == 1 })
	l := s.scheduler.currentLeader.Load()
	next := graph.TargetID{
		ID:          "w0",
		Incarnation: 2,
	}
	for range innocentCrashes {
		s.c.Assert(l.replaceOlder(next) == nil, qt.IsTrue)
		s.c.Check(s.state("a"), qt.Equals, graph.StateRunning)
		l.mu.Lock()
		clear(l.replaced)
		l.mu.Unlock()
	}
}

// Connections may be refused on the way to a target whose process runs on. Once that
// answers again there was no crash, and the evidence of it must be forgotten.
func TestCrashOfAnsweringTargetIsWithdrawn(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventuallyRuns("a", 1, "w0")
	ref := graph.TaskRef{Job: "a"}
	id := graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
	crashes := func() int { return len(s.scheduler.ledger.AssignmentOf(id, ref, 1).Blame.Targets) }
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = true })
	s.eventually(waitTimeout, "crash is committed", func() bool { return crashes() == 1 })
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = false })
	s.eventually(waitTimeout, "crash is withdrawn", func() bool { return crashes() == 0 })
	s.eventuallyRuns("a", 1, "w0")
}
