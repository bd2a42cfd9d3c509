package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A task may need much longer than the others of its step, as on a rack far from its data.
// It was stopped each time although it made progress, and never completed.
func TestSlowTaskWithProgressCompletes(t *testing.T) {
	s := newFixture(t, false, "w0", "w1")
	s.fleet.runTime = 300 * time.Millisecond
	slow := graph.TaskRef{
		Job:   "a",
		Index: 4,
	}
	s.submit("a", tasks(5))
	s.eventually(waitTimeout, "all tasks run", func() bool { return s.runCount("w0")+s.runCount("w1") == 5 })
	s.fleet.withLock(func() {
		s.fleet.runTime = 2 * time.Second
		for _, target := range s.fleet.targets {
			if r := target.running[slow]; r != nil {
				r.endsAt = r.started.Add(2 * time.Second)
			}
		}
	})
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && s.state("a") != graph.StateCompleted; {
		time.Sleep(10 * time.Millisecond)
	}
	s.c.Check(s.state("a"), qt.Equals, graph.StateCompleted, qt.Commentf("run %d was started", s.sentRuns("a")))
}

// A task may need several times its rough estimate, and percents are whole numbers: its
// first percent then takes longer than a stall. It was stopped before it, again and again.
// From a task that stands still it can't be told before, so one move is right.
func TestTaskMuchLongerThanItsEstimateIsMovedOnce(t *testing.T) {
	s := newFixture(t, false, "w0", "w1")
	s.fleet.runTime = 2 * time.Minute
	step := tasks(1)
	step.Estimate = 15_000
	s.submit("a", step)
	time.Sleep(8 * time.Second)
	s.c.Check(s.sentRuns("a") <= 2, qt.IsTrue, qt.Commentf("run %d was started", s.sentRuns("a")))
	s.assertNoDoubleRuns()
}

// A task that stands still on one target after another is still moved, but each time after
// a longer wait, and a move that is committed again counts once.
func TestPatienceDoublesWithEachMove(t *testing.T) {
	c := qt.New(t)
	m := newMoves()
	task := graph.TaskRef{Job: "a"}
	c.Check(m.patience(task), qt.Equals, 1)
	m.record(task, 1)
	m.record(task, 1)
	c.Check(m.patience(task), qt.Equals, 2)
	m.record(task, 3)
	c.Check(m.patience(task), qt.Equals, 4)
	c.Check(m.patience(graph.TaskRef{Job: "b"}), qt.Equals, 1)
	m.forget(func(id graph.JobID) bool { return id != "a" })
	c.Check(m.patience(task), qt.Equals, 4)
	m.forget(func(id graph.JobID) bool { return id == "a" })
	c.Check(m.patience(task), qt.Equals, 1)
}
