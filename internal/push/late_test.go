package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// cutOff cuts the target off while it runs the number of tasks, until these are done and its
// lease is over. A start that was not answered yet would hold its run for longer.
func (s *fixture) cutOff(name string, running int) {
	s.c.Helper()
	s.eventually(waitTimeout, "starts are answered", func() bool {
		d := s.scheduler.currentLeader.Load().driver(graph.TargetID{
			ID:          name,
			Incarnation: 1,
		})
		d.mu.Lock()
		defer d.mu.Unlock()
		answered := 0
		for key, info := range d.runs {
			if info.state == runStarted && !d.canOutlive(key) {
				answered++
			}
		}
		return answered == running
	})
	s.fleet.withLock(func() { s.fleet.targets[name].silent = true })
	s.eventually(waitTimeout, "lease is over", func() bool {
		for _, target := range s.scheduler.ledger.Targets() {
			if target.ID.ID == name {
				return false
			}
		}
		return true
	})
	s.c.Assert(s.runCount(name), qt.Equals, 0)
}

// reach ends the cut of the target.
func (s *fixture) reach(name string) {
	s.fleet.withLock(func() { s.fleet.targets[name].silent = false })
}

// newLateFixture returns a fixture whose tasks are done long before a lease is over.
func newLateFixture(t *testing.T, names ...string) *fixture {
	s := newFixture(t, false, names...)
	s.fleet.withLock(func() { s.fleet.runTime = 500 * time.Millisecond })
	return s
}

// labeled returns the step for targets with the label.
func labeled(step graph.Step, label string) graph.Step {
	step.Label = label
	return step
}

// A target lists that a task is done after its lease is over, as it was cut off. The end was
// acknowledged and dropped, and the task was to run again, though work that waited for the
// same target took its room, and the next step waited for it.
func TestLateDoneEndsTaskThatWaits(t *testing.T) {
	s := newLateFixture(t, "w1")
	announcement := defaultAnnouncement("w0", 1)
	announcement.Labels = []string{"own"}
	s.startTarget(announcement)
	second := tasks(1)
	second.DependsOn = []int{0}
	s.submit("a", labeled(tasks(3), "own"), second)
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 3 })
	lasting := tasks(1)
	lasting.LongRunning = true
	lasting.Resources.CPU = 4000
	s.submit("b", labeled(lasting, "own"))
	s.cutOff("w0", 3)
	s.reach("w0")
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
	s.eventually(waitTimeout, "target gets work", func() bool { return s.sentRuns("b") > 0 })
}

// A task may run elsewhere when it is told that it is done. That run was kept up to its end.
func TestLateDoneEndsTaskThatRunsElsewhere(t *testing.T) {
	s := newLateFixture(t, "w0")
	s.submit("a", tasks(1))
	s.cutOff("w0", 1)
	s.fleet.withLock(func() { s.fleet.runTime = time.Hour })
	s.startDefaultTarget("w1", 1)
	s.eventually(waitTimeout, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.reach("w0")
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(2))
	s.eventually(waitTimeout, "run is stopped", func() bool { return s.runCount("w1") == 0 })
}

// The tasks of a gang that runs elsewhere are stopped together when one end tells that they are
// done. Those whose starts were still being repeated were started.
func TestLateDoneEndsGangThatRunsElsewhere(t *testing.T) {
	s := newLateFixture(t, "w0")
	gang := tasks(2)
	gang.Gang = true
	s.submit("a", gang)
	s.cutOff("w0", 2)
	s.fleet.withLock(func() { s.fleet.runTime = time.Hour })
	s.startDefaultTarget("w1", 1)
	s.eventually(waitTimeout, "gang runs elsewhere", func() bool { return s.runCount("w1") == 2 })
	s.reach("w0")
	s.waitCompleted("a")
	s.eventually(waitTimeout, "runs are stopped", func() bool { return s.runCount("w1") == 0 })
}

// A target that leaves may be given no work, not even for a moment, and a gang needs room for
// all its tasks at once. Their next runs are ended in place of being started.
func TestLateDoneIsKeptInMind(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newLateFixture(t, "w0")
		step := tasks(2)
		step.Gang = gang
		s.submit("a", step)
		s.cutOff("w0", 2)
		if !gang {
			leaving := defaultAnnouncement("w0", 1)
			leaving.Leaving = true
			fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: leaving})
			s.c.Assert(fault == nil, qt.IsTrue)
		}
		s.reach("w0")
		if !gang {
			s.eventually(waitTimeout, "end is known", func() bool {
				return s.scheduler.currentLeader.Load().doneTasks.has(graph.TaskRef{Job: "a"})
			})
			s.startDefaultTarget("w1", 1)
		}
		s.waitCompleted("a")
		s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1), qt.Commentf("gang %t", gang))
	}
}

// The late end of a job that is over, or of a task that lasts, changes nothing.
func TestLateDoneOfOtherTasksIsIgnored(t *testing.T) {
	s := newLateFixture(t, "w0")
	lasting := tasks(1)
	lasting.LongRunning = true
	s.submit("a", lasting)
	s.submit("b", tasks(1))
	s.cutOff("w0", 2)
	answer, fault := s.scheduler.Cancel(s.ctx(), &JobQuery{
		Address: s.address(),
		ID:      "b",
	})
	s.c.Assert(fault == nil && answer.Refusal == "", qt.IsTrue)
	s.reach("w0")
	s.eventually(waitTimeout, "task runs again", func() bool { return s.sentRuns("a") == 2 })
	s.c.Check(s.state("a"), qt.Equals, graph.StateRunning)
	s.c.Check(s.state("b"), qt.Equals, graph.StateCancelled)
	s.c.Check(s.sentRuns("b"), qt.Equals, uint32(1))
}
