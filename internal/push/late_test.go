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

// A gang that ends done behind a cut waits for room that it will not get again. Its ends were
// acknowledged and kept in the memory of the leader, and its next step never began.
func TestLateDoneEndsGangThatWaits(t *testing.T) {
	s := newLateFixture(t, "w1")
	announcement := defaultAnnouncement("w0", 1)
	announcement.Labels = []string{"own"}
	s.startTarget(announcement)
	gang := labeled(tasks(2), "own")
	gang.Gang = true
	second := tasks(1)
	second.DependsOn = []int{0}
	s.submit("a", gang, second)
	s.eventually(waitTimeout, "gang runs", func() bool { return s.runCount("w0") == 2 })
	s.cutOff("w0", 2)
	announcement.Leaving = true
	s.c.Assert(s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: announcement}) == nil, qt.IsTrue)
	s.reach("w0")
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
	s.c.Check(s.scheduler.ledger.Placeholders(), qt.HasLen, 0)
}

// An end that the ledger can't take over yet must not be acknowledged: the target forgets it
// then, and the next leader never hears of it. Later ends of the target are committed
// meanwhile, and all are acknowledged afterwards.
func TestLateDoneIsNotAcknowledgedBeforeItIsCommitted(t *testing.T) {
	s := newLateFixture(t, "w0")
	s.submit("a", tasks(1))
	s.cutOff("w0", 1)
	s.fleet.withLock(func() {
		s.fleet.runTime = time.Hour
		s.fleet.stopDelay = time.Second
	})
	s.startDefaultTarget("w1", 1)
	s.eventually(waitTimeout, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.fleet.withLock(func() { s.fleet.runTime = 50 * time.Millisecond })
	unacknowledged := func() (ends int) {
		s.fleet.withLock(func() { ends = len(s.fleet.targets["w0"].ended) })
		return ends
	}
	s.reach("w0")
	s.eventually(waitTimeout, "run elsewhere is being stopped", func() bool {
		return s.scheduler.currentLeader.Load().doneTasks.has(graph.TaskRef{Job: "a"})
	})
	for {
		open := unacknowledged()
		if s.state("a") == graph.StateCompleted {
			break
		}
		s.c.Assert(open > 0, qt.IsTrue)
		time.Sleep(20 * time.Millisecond)
	}
	s.eventually(waitTimeout, "all ends are acknowledged", func() bool { return unacknowledged() == 0 })
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(2))
}

// The next leader knows nothing of what the one before kept in mind. It must hear of an end
// that is not committed from the target.
func TestOpenEndsAreListedAgain(t *testing.T) {
	s := newFixture(t, false, "w0")
	d := newDriver(s.scheduler.currentLeader.Load(), s.scheduler.ledger.Targets()[0])
	listed := func(seqs ...uint64) (ended []EndedRun) {
		for _, seq := range seqs {
			ended = append(ended, EndedRun{
				Seq: seq,
				Run: uint32(seq),
			})
		}
		return ended
	}
	d.recordCommitted(listed(1, 2, 3, 5), listed(2))
	s.c.Check(d.committedSeq, qt.Equals, uint64(1))
	s.c.Check(d.uncommittedEnds(listed(2, 3, 5, 6)), qt.DeepEquals, listed(2, 6))
	s.c.Check(d.openEndsPause(), qt.Equals, openEndsInterval)
	d.recordCommitted(listed(2, 3, 5, 6), nil)
	s.c.Check(d.committedSeq, qt.Equals, uint64(6))
	s.c.Check(d.committedEnds, qt.HasLen, 0)
	s.c.Check(d.openEndsPause(), qt.Equals, time.Duration(0))
}

// A leader may be lost between the commands that complete a task. What it leaves behind must
// not keep the task from running.
func TestPlaceholdersOfEarlierLeaderAreRemoved(t *testing.T) {
	s := newLateFixture(t)
	s.submit("a", tasks(1))
	l := s.scheduler.currentLeader.Load()
	completion, ok := s.scheduler.ledger.CompletionOf(graph.TaskRef{Job: "a"}, 1)
	s.c.Assert(ok, qt.IsTrue)
	s.c.Assert(l.addPlaceholders([]graph.Completion{completion}) == nil, qt.IsTrue)
	_, fault := l.propose(s.ctx(), graph.Command{Place: &graph.Place{Groups: [][]graph.Placement{completion.Placements}}})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.startDefaultTarget("w0", 1)
	s.eventually(cleanupInterval+waitTimeout, "job completed", func() bool { return s.state("a") == graph.StateCompleted })
	s.c.Check(s.scheduler.ledger.Placeholders(), qt.HasLen, 0)
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
// all its tasks at once. They are done all the same, and are not started again.
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
