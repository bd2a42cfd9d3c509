package push

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// crashTime is how long a target is down after a crash.
const crashTime = 300 * time.Millisecond

// restartCrashedTargets makes the task crash each target that starts it. The target comes
// back under its name after crashTime. It returns a function that returns the number of
// crashes so far.
func (s *fixture) restartCrashedTargets(task graph.TaskRef) func() int {
	var restarts sync.WaitGroup
	s.c.Cleanup(restarts.Wait)
	crashes := 0
	s.fleet.withLock(func() {
		s.fleet.deadlyTask = task
		s.fleet.crashed = func(id string) {
			crashes++
			next := s.fleet.targets[id].incarnation + 1
			restarts.Go(func() {
				time.Sleep(crashTime)
				s.startDefaultTarget(id, next)
			})
		}
	})
	return func() int {
		count := 0
		s.fleet.withLock(func() { count = crashes })
		return count
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
		s.c.Check(crashes() <= 5, qt.IsTrue, qt.Commentf("%d crashes, speculative %v", crashes(), speculative))
		s.assertNoDoubleRuns()
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
