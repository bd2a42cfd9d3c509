package push

import (
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A run whose stop was carried out, and the answer to it lost, is in neither list of its
// target while it ends. One that had been listed for long was taken for absent in the
// first list without it, so that its task ran twice until the stop was done.
func TestRunWithLostStopIsNotAbsentAtOnce(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.fleet.stopDelay = testTiming().StopSettleTime * 3 / 4
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	time.Sleep(testTiming().StopSettleTime + testTiming().RenewalWait)
	s.fleet.withLock(func() { s.fleet.targets["w0"].lostStops = 1 })
	s.scheduler.currentLeader.Load().evictTasks(graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}, []graph.TaskRef{{Job: "a"}})
	s.eventually(waitTimeout, "task runs again", func() bool { return s.sentRuns("a") == 2 })
	s.assertNoDoubleRuns()
}
