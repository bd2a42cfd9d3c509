package push

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// maxHeldBack is how long work may wait beside free room.
const maxHeldBack = 3 * time.Second

// A stop may be found unanswered only after its target has become idle, as a timeout takes
// its time. The target was out of use until the next renewal, up to idleInterval later.
func TestLostStopAnswerKeepsIdleTargetInUse(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.waitIdle("w0")
	s.fleet.withLock(func() {
		target := s.fleet.targets["w0"]
		target.unknownRuns = []ActiveRun{{
			Task: graph.TaskRef{Job: "old"},
			Run:  1,
		}}
		target.lostStops = 1
		s.fleet.stopTime = 600 * time.Millisecond
	})
	s.submit("a", tasks(1))
	s.waitCompleted("a")
	s.fleet.withLock(func() { s.fleet.targets["w0"].unknownRuns = nil })
	time.Sleep(700 * time.Millisecond)
	s.submit("b", tasks(1))
	s.eventually(maxHeldBack, "job completed", func() bool { return s.state("b") == graph.StateCompleted })
}

// A placement whose commit is uncertain may be applied after all. Nothing sent its start
// while its target was idle.
func TestUncertainPlacementOnIdleTargetIsStarted(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.waitIdle("w0")
	l := s.scheduler.currentLeader.Load()
	setInFlight := func(n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.proposalsInFlight = n
	}
	setInFlight(maxProposalsInFlight)
	time.Sleep(100 * time.Millisecond)
	s.submit("a", tasks(1))
	ctx, cancel := context.WithCancel(s.ctx())
	cancel()
	_, fault := l.propose(ctx, graph.Command{Place: &graph.Place{Groups: [][]graph.Placement{{{
		Task: graph.TaskRef{Job: "a"},
		Run:  1,
		Target: graph.TargetID{
			ID:          "w0",
			Incarnation: 1,
		},
	}}}}})
	s.c.Assert(fault, qt.IsNotNil)
	s.c.Assert(fault.Code, qt.Equals, wire.CodeUncertain)
	s.eventually(waitTimeout, "placement is applied", func() bool {
		return len(s.scheduler.ledger.Assignments(s.scheduler.ledger.Targets()[0].ID)) == 1
	})
	setInFlight(0)
	s.eventually(maxHeldBack, "task runs", func() bool { return s.sentRuns("a") == 1 })
}
