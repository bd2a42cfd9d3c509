package push

import (
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

// crashTime is how long a target is down after a crash.
const crashTime = 300 * time.Millisecond

// restartCrashedTargets makes the task crash each target that starts it. The target comes
// back under its name after crashTime. It returns a function that returns the times of the
// crashes so far.
func (s *fixture) restartCrashedTargets(task graph.TaskRef) func() []time.Time {
	var restarts sync.WaitGroup
	s.c.Cleanup(restarts.Wait)
	var crashes []time.Time
	s.fleet.withLock(func() {
		s.fleet.deadlyTask = task
		s.fleet.crashed = func(id string) {
			crashes = append(crashes, time.Now())
			next := s.fleet.targets[id].incarnation + 1
			restarts.Go(func() {
				time.Sleep(crashTime)
				s.startDefaultTarget(id, next)
			})
		}
	})
	return func() []time.Time {
		var times []time.Time
		s.fleet.withLock(func() { times = slices.Clone(crashes) })
		return times
	}
}

// A task that crashes each target that starts it must be given up after a few crashes:
// it takes the other tasks of each target with it, and was started for ever. The tasks
// that ran beside it are not to blame and complete.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	for _, speculative := range []bool{false, true} {
		s := newFixture(t, false, "w0", "w1", "w2", "w3", "w4", "w5")
		s.fleet.runTime = 200 * time.Millisecond
		deadly := graph.TaskRef{
			Job:   "deadly",
			Index: 1,
		}
		crashes := s.restartCrashedTargets(deadly)
		step := tasks(4)
		step.Speculative = speculative
		others := []graph.JobID{"a", "b", "c", "d"}
		for _, id := range others[:2] {
			s.submit(id, step)
		}
		s.submit(deadly.Job, step)
		for _, id := range others[2:] {
			s.submit(id, step)
		}
		s.eventually(waitTimeout, "deadly job given up", func() bool {
			return s.state(deadly.Job) == graph.StateFailed
		})
		for _, id := range others {
			s.waitCompleted(id)
		}
		// After three crashes a task may be started twice more.
		s.c.Check(len(crashes()) <= 5, qt.IsTrue, qt.Commentf("%d crashes, speculative %v", len(crashes()), speculative))
		s.assertNoDoubleRuns()
	}
}

// A second run of a suspect task beside the first would crash two targets at a time. It
// is not started before the end of the first one's target has told whether it crashed.
func TestSuspectTaskGetsNoSecondRun(t *testing.T) {
	s := newFixture(t, false, "w0", "w1", "w2", "w3")
	deadly := graph.TaskRef{Job: "deadly"}
	crashes := s.restartCrashedTargets(deadly)
	step := tasks(2)
	step.Speculative = true
	s.submit(deadly.Job, step)
	s.eventually(waitTimeout, "deadly job given up", func() bool {
		return s.state(deadly.Job) == graph.StateFailed
	})
	// The first run has a second one beside it, as nothing is known of the task yet.
	times := crashes()
	for i := 2; i < len(times); i++ {
		gap := times[i].Sub(times[i-1])
		s.c.Check(gap >= crashTime, qt.IsTrue, qt.Commentf("crash %d follows after %s", i+1, gap))
	}
}

// A target that crashes for reasons of its own must not make its tasks be given up, not
// even tasks that run for long and meet several such crashes.
func TestTasksOfCrashingTargetsAreNotGivenUp(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	longRunning := tasks(2)
	longRunning.LongRunning = true
	s.submit("a", longRunning)
	for incarnation := int64(1); incarnation < 6; incarnation++ {
		s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
		// The target has listed the runs for a while.
		time.Sleep(testTiming().ClearSuspectAfter + 2*testTiming().RenewalWait)
		s.startDefaultTarget("w0", incarnation+1)
	}
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
	s.c.Assert(s.state("a"), qt.Equals, graph.StateRunning)
}

// A start that found nobody at the target's address has crashed nobody. Counted as the
// cause of the crash before it, an innocent task would be given up at its first.
func TestUndeliveredStartIsNoSuspect(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	target := s.scheduler.ledger.Targets()[0]
	assignment := s.scheduler.ledger.Assignments(target.ID)[0]
	for _, test := range []struct {
		down     bool
		suspects int
	}{
		{
			down:     false,
			suspects: 1,
		},
		{
			down:     true,
			suspects: 0,
		},
	} {
		d := newDriver(s.scheduler.currentLeader.Load(), target)
		d.setClock(Clock(time.Hour))
		s.fleet.withLock(func() { s.fleet.targets["w0"].down = test.down })
		d.sendStart(keyOf(assignment.Task, assignment.Run), plan.Ticket{}, time.Now().Add(maxStartDelay))
		s.c.Check(d.suspects([]graph.Assignment{assignment}), qt.HasLen, test.suspects, qt.Commentf("down %t", test.down))
	}
}

// The last of the calls to a crashed target may get no clear answer, on a slow link or
// through a relay. The refused connections before it have told that its process is gone.
func TestTargetStaysDownUntilItAnswers(t *testing.T) {
	s := newFixture(t, false, "w0")
	d := newDriver(s.scheduler.currentLeader.Load(), s.scheduler.ledger.Targets()[0])
	d.leaseExpiry = time.Now().Add(time.Hour)
	c := s.c
	c.Check(d.handleRenewalFailure(ErrDown), qt.IsFalse)
	c.Check(d.down, qt.IsTrue)
	c.Check(d.handleRenewalFailure(ErrNoAnswer), qt.IsFalse)
	c.Check(d.down, qt.IsTrue)
	c.Assert(d.renewLease(), qt.IsNil)
	c.Check(d.down, qt.IsFalse)
}

// An earlier leader has most likely started a long-running task long before the crash that
// its successor sees. Suspected at each change of the leader it would be given up in the
// end.
func TestInheritedLongRunningTaskIsNoSuspect(t *testing.T) {
	s := newFixture(t, false, "w0")
	d := newDriver(s.scheduler.currentLeader.Load(), s.scheduler.ledger.Targets()[0])
	long := graph.Assignment{
		Task:        graph.TaskRef{Job: "long"},
		Run:         1,
		LongRunning: true,
	}
	short := graph.Assignment{
		Task: graph.TaskRef{Job: "short"},
		Run:  1,
	}
	d.inherited[keyOf(long.Task, long.Run)] = true
	d.inherited[keyOf(short.Task, short.Run)] = true
	s.c.Check(d.suspects([]graph.Assignment{long, short}), qt.DeepEquals, []graph.TaskRef{short.Task})
}
