package push

import (
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
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
