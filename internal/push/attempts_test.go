package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// listAgain lists the ends to a leader that knows of none, once under their numbers, once
// under others, and once as those of a later incarnation of the target.
func (s *fixture) listAgain(id graph.TargetID, ends ...EndedRun) {
	l := s.scheduler.currentLeader.Load()
	for _, shift := range []uint64{0, 0, 100} {
		for _, incarnation := range []int64{id.Incarnation, id.Incarnation + 1} {
			target, _ := s.scheduler.ledger.Target(id)
			target.ID.Incarnation = incarnation
			d := newDriver(l, target)
			listed := make([]EndedRun, 0, len(ends))
			for _, end := range ends {
				end.Seq += shift
				listed = append(listed, end)
			}
			s.c.Assert(d.commitListedEnds(listed), qt.IsNil)
		}
	}
}

// failedEnds returns the ends of all members of the job's run as failed.
func failedEnds(job graph.JobID, members int, run uint32) []EndedRun {
	var ends []EndedRun
	for i := range members {
		ends = append(ends, EndedRun{
			Seq: uint64(int(run)*members + i),
			Task: graph.TaskRef{
				Job:   job,
				Index: i,
			},
			Run:     run,
			Outcome: graph.OutcomeFailed,
		})
	}
	return ends
}

// A failed run must count once, however often its end is listed: again after a lost answer,
// to the next leader, under another number or by another process of the target, and by each
// member of a gang. Counted twice, its job is shown as failed with attempts left.
func TestFailedRunCountsOnce(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newFixture(t, false, "w0")
		s.fleet.runTime = 300 * time.Millisecond
		allowed := uint32(s.defaultQueue().Attempts)
		s.fleet.failedRuns = allowed - 1
		s.fleet.withLock(func() { s.fleet.targets["w0"].lostRunLists = 1 })
		step := tasks(1)
		if gang {
			step = tasks(3)
			step.Gang = true
		}
		s.submit("a", step)
		id := s.scheduler.ledger.Targets()[0].ID
		var listed []EndedRun
		for run := uint32(1); run < allowed; run++ {
			s.eventually(waitTimeout, "next run is sent", func() bool { return s.sentRuns("a") > run })
			listed = append(listed, failedEnds("a", step.Count, run)...)
			s.listAgain(id, listed...)
			s.c.Assert(s.state("a"), qt.Not(qt.Equals), graph.StateFailed, qt.Commentf("gang %t, run %d", gang, run))
		}
		s.waitCompleted("a")
		s.c.Check(s.sentRuns("a"), qt.Equals, allowed)
	}
}

// A run that was committed as absent or expired, and is listed as failed after that, must
// not count against the run that has replaced it.
func TestFailedEndOfReplacedRunDoesNotCount(t *testing.T) {
	for _, outcome := range []graph.RunOutcome{graph.OutcomeNeverStarted, graph.OutcomeLeaseExpired} {
		s := newFixture(t, false, "w0")
		s.fleet.runTime = time.Hour
		s.submit("a", tasks(1))
		s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
		id := s.scheduler.ledger.Targets()[0].ID
		d := s.scheduler.currentLeader.Load().driver(id)
		for run := uint32(1); run <= 4; run++ {
			ends := failedEnds("a", 1, run)
			s.c.Assert(d.commitEnds([]graph.RunEnd{d.endOf(keyOf(ends[0].Task, run), outcome)}), qt.IsNil)
			s.eventually(waitTimeout, "next run is sent", func() bool { return s.sentRuns("a") == run+1 })
			s.listAgain(id, ends...)
			s.c.Assert(s.state("a"), qt.Equals, graph.StateRunning, qt.Commentf("%s, run %d", outcome, run))
		}
	}
}

// A run that the next process of its target has taken counts once when it fails there,
// whichever incarnation the ledger has it for.
func TestFailedAdoptedRunCountsOnce(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.fleet.runTime = 600 * time.Millisecond
	allowed := uint32(s.defaultQueue().Attempts)
	s.fleet.failedRuns = allowed - 1
	s.restartSilently("w0", 2)
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "new process runs the task", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	s.announce("w0", 2)
	s.eventually(waitTimeout, "next run is sent", func() bool { return s.sentRuns("a") >= 2 })
	s.listAgain(graph.TargetID{
		ID:          "w0",
		Incarnation: 2,
	}, failedEnds("a", 1, 1)...)
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, allowed)
}

// Tasks that last must be started again however they end. The limit of failed runs was
// applied to gangs of such tasks, whose job was then shown as failed.
func TestLongRunningTasksHaveNoLimitOfFailedRuns(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newFixture(t, false, "w0")
		s.fleet.failedRuns = 1000
		step := tasks(2)
		step.LongRunning, step.Gang = true, gang
		s.submit("a", step)
		enough := 2 * uint32(s.defaultQueue().Attempts)
		s.eventually(waitTimeout, "task runs after many failed runs", func() bool {
			return s.sentRuns("a") > enough || !s.scheduler.ledger.IsLive("a")
		})
		s.c.Check(s.state("a"), qt.Equals, graph.StateRunning, qt.Commentf("gang %t", gang))
	}
}
