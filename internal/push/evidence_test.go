package push

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A target that crashes at a start is back before a call to it is refused. Its start was not
// answered, and no refusal was seen, so that the crash never speaks against the task.
func TestQuicklyRestartedTargetsTellDeadlyTask(t *testing.T) {
	s := newFixture(t, false, "w0", "w1", "w2", "w3")
	deadly := graph.TaskRef{Job: "deadly"}
	crashes := 0
	var announced sync.WaitGroup
	s.fleet.withLock(func() {
		s.fleet.deadlyTask = deadly
		s.fleet.crashed = func(id string) {
			crashes++
			next := s.fleet.targets[id].incarnation + 1
			s.fleet.targets[id] = newFakeTarget(next)
			announced.Go(func() { s.announce(id, next) })
		}
	})
	s.submit(deadly.Job, tasks(1))
	deadline := time.Now().Add(6 * time.Second)
	for time.Now().Before(deadline) && s.state(deadly.Job) != graph.StateFailed {
		time.Sleep(20 * time.Millisecond)
	}
	seen := 0
	s.fleet.withLock(func() { seen = crashes })
	s.c.Check(s.state(deadly.Job), qt.Equals, graph.StateFailed, qt.Commentf("%d crashes", seen))
	announced.Wait()
}

// The link to a target refuses connections for longer than its lease, while its process
// lives. Once it answers again, the crash that never was still speaks against its task.
func TestCutBeyondLeaseSpeaksAgainstNoTask(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventuallyRuns("a", 1, "w0")
	ref := graph.TaskRef{Job: "a"}
	var blame graph.Blame
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = true })
	s.eventually(waitTimeout, "lease is over", func() bool {
		for _, target := range s.scheduler.ledger.Targets() {
			for _, assignment := range s.scheduler.ledger.Assignments(target.ID) {
				if assignment.Task == ref {
					return false
				}
			}
		}
		return true
	})
	s.fleet.withLock(func() { s.fleet.targets["w0"].down = false })
	s.eventually(waitTimeout, "task runs again", func() bool {
		for _, target := range s.scheduler.ledger.Targets() {
			for _, assignment := range s.scheduler.ledger.Assignments(target.ID) {
				if assignment.Task == ref && assignment.Run > 1 {
					blame = assignment.Blame
					return true
				}
			}
		}
		return false
	})
	time.Sleep(100 * time.Millisecond)
	target := s.scheduler.ledger.Targets()[0]
	blame = s.scheduler.ledger.AssignmentOf(target.ID, ref, 2).Blame
	s.c.Check(blame.Targets, qt.HasLen, 0, qt.Commentf("%+v", blame))
}

// A call times out just after a start was answered, and the target refuses connections only
// half a second later. Its process may have ended any time between, but the crash is dated
// by the first failed call.
func TestLossLastsUntilRefusal(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventuallyRuns("a", 1, "w0")
	target := s.scheduler.ledger.Targets()[0]
	assignment := s.scheduler.ledger.Assignments(target.ID)[0]
	key := keyOf(assignment.Task, assignment.Run)
	d := newDriver(s.scheduler.currentLeader.Load(), target)
	d.setClock(Clock(time.Hour))
	s.c.Assert(d.claimSend(key), qt.IsTrue)
	d.recordTaken(key, 0, 0)
	time.Sleep(5 * time.Millisecond)
	d.handleRenewalFailure(ErrNoAnswer)
	time.Sleep(500 * time.Millisecond)
	d.handleRenewalFailure(ErrDown)
	c := d.crash([]graph.Assignment{assignment})
	s.c.Assert(c.suspects, qt.HasLen, 1)
	s.c.Check(c.suspects[0].exposure >= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", c.suspects[0].exposure))
}
