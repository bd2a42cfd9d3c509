package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// The clock of a target's machine may be set back between two of its processes, so that the
// later one was born before the earlier one. Its heartbeats were ignored for good.
func TestTargetBornEarlierThanItsPredecessorIsUsed(t *testing.T) {
	s := newFixture(t, false)
	s.restartSilently("w0", 5000)
	s.announce("w0", 5000)
	s.eventually(waitTimeout, "target has answered", func() bool {
		d := s.scheduler.currentLeader.Load().driver(graph.TargetID{
			ID:          "w0",
			Incarnation: 5000,
		})
		return d != nil && d.idle(0)
	})
	s.startDefaultTarget("w0", 3000)
	s.submit("a", tasks(1))
	s.eventually(idleInterval+3*time.Second, "job completed", func() bool {
		return s.state("a") == graph.StateCompleted
	})
	s.c.Check(s.state("a"), qt.Equals, graph.StateCompleted)
}
