package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// Tasks that last must be started again however their runs end. An end done completed them,
// and their job, which nobody had cancelled. The end of one member of a gang is that of all.
func TestLongRunningTasksAreStartedAgainAfterDone(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newFixture(t, false, "w0", "w1")
		step := tasks(3)
		step.LongRunning = true
		step.Gang = gang
		s.submit("a", step)
		comment := qt.Commentf("gang %t", gang)
		s.eventually(waitTimeout, "tasks are started again", func() bool {
			again := map[graph.TaskRef]bool{}
			s.fleet.withLock(func() {
				for _, start := range s.fleet.starts {
					if start.Run > 1 {
						again[start.Task] = true
					}
				}
			})
			return len(again) == step.Count
		})
		s.c.Check(s.state("a"), qt.Equals, graph.StateRunning, comment)
		s.assertNoDoubleRuns()
	}
}

// A task that lasts and ends at once each time is started again with growing delays. Its
// starts would otherwise follow each other as fast as they can be committed.
func TestLongRunningTaskThatEndsAtOnceIsDelayed(t *testing.T) {
	s := newFixture(t, false, "w0", "w1")
	s.fleet.withLock(func() { s.fleet.runTime = 10 * time.Millisecond })
	step := tasks(1)
	step.LongRunning = true
	s.submit("a", step)
	const span = 3 * time.Second
	time.Sleep(span)
	most := uint32(2)
	for at := time.Duration(0); at < span; most++ {
		at += restartDelay(int(most))
	}
	runs := s.sentRuns("a")
	s.c.Check(runs >= 3 && runs <= most, qt.IsTrue, qt.Commentf("%d runs, at most %d", runs, most))
}

// A run that lasts ends the row of short ones, and an end that is committed twice counts once.
func TestRestartDelays(t *testing.T) {
	c := qt.New(t)
	r := newRestarts()
	task := graph.TaskRef{Job: "a"}
	now := time.Now()
	var delays []time.Duration
	for run := range uint32(6) {
		delays = append(delays, r.record(task, run+1, shortRunTime/2, now))
	}
	c.Check(delays, qt.DeepEquals, []time.Duration{
		0,
		minRestartDelay,
		2 * minRestartDelay,
		4 * minRestartDelay,
		maxRestartDelay,
		maxRestartDelay,
	})
	c.Check(r.record(task, 6, shortRunTime/2, now), qt.Equals, maxRestartDelay)
	c.Check(r.isDelayed(task, now.Add(maxRestartDelay-1)), qt.IsTrue)
	c.Check(r.isDelayed(task, now.Add(maxRestartDelay)), qt.IsFalse)
	c.Check(r.record(task, 7, shortRunTime, now), qt.Equals, time.Duration(0))
	c.Check(r.record(task, 8, 0, now), qt.Equals, time.Duration(0))
	r.forget(func(graph.JobID) bool { return true })
	c.Check(r.byTask, qt.HasLen, 0)
}
