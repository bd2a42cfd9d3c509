package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A job whose queue is removed for a while must have all its attempts: they were looked
// up in the configuration in force, and one was allowed where the queue was not found.
func TestRemovedQueueKeepsItsAttempts(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = 300 * time.Millisecond
	s.fleet.failedRuns = 2
	queue := s.defaultQueue()
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.configureQueues(2)
	s.eventually(waitTimeout, "first run has failed", func() bool { return s.sentRuns("a") == 2 })
	s.configureQueues(3, queue)
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(3))
}

// A job whose queue stays away fails after as many failed runs as its queue allowed.
func TestRemovedQueueLimitsAttempts(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.failedRuns = 100
	queue := s.defaultQueue()
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.configureQueues(2)
	s.eventually(waitTimeout, "job is over", func() bool { return !s.scheduler.ledger.IsLive("a") })
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(queue.Attempts))
	s.configureQueues(3, queue)
	s.c.Check(s.state("a"), qt.Equals, graph.StateFailed)
}

// A start of a job whose queue has been removed still needs the ticket that its queue
// asked for. Without one the target refuses it, so that the task could not start.
func TestRemovedQueueKeepsItsTickets(t *testing.T) {
	s := newFixture(t, true)
	s.submit("a", tasks(1))
	s.configureQueues(2)
	s.fleet.withLock(func() { s.fleet.ticketByTarget["w0"] = "ticket-w0" })
	s.startDefaultTarget("w0", 1)
	s.eventually(waitTimeout, "job is over", func() bool { return !s.scheduler.ledger.IsLive("a") })
	s.fleet.withLock(func() { s.c.Check(s.fleet.refused, qt.Equals, 0) })
}
