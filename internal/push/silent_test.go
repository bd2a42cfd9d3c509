package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newCutFixture returns a fixture with a target w0 that was started again behind a cut: it
// carries orders out, and none of its answers or heartbeats arrives. Its clock began anew.
func newCutFixture(t *testing.T) *fixture {
	timing := testTiming()
	timing.MaxLease = 3500 * time.Millisecond
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.waitIdle("w0")
	s.restartSilently("w0", 2)
	s.fleet.withLock(func() {
		s.fleet.maxLease = timing.MaxLease
		s.fleet.runTime = time.Hour
		s.fleet.targets["w0"].answersLost = true
		s.fleet.targets["w0"].clockBehind = Clock(time.Hour - time.Millisecond)
	})
	return s
}

// A start may be taken by a later process of the target that nobody has heard of. Its clock
// began anew, so the deadline of the start does not bound its lease: it holds the run for as
// long as it grants any lease. The task was started elsewhere after the shorter lease of the
// process that was known, and ran on two targets.
func TestUnansweredStartWaitsForLongestLease(t *testing.T) {
	s := newCutFixture(t)
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "later process runs the task", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	started := time.Now()
	timing := s.scheduler.timing
	l := s.scheduler.currentLeader.Load()
	longest := startAttempts*timing.CallTimeout + l.withClockDrift(timing.MaxLease) + timing.LeaseMargin
	const slack = 700 * time.Millisecond
	s.eventually(longest+slack, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.c.Check(time.Since(started) >= timing.MaxLease, qt.IsTrue)
	s.assertNoDoubleRuns()
}

// Two processes of a target that start shortly one after the other have clocks that are closer
// than the drift that is allowed for. The answer to a start was taken for one of the process
// that was known, so that its run counted as over when the next one was found, and ran twice.
func TestStartAnsweredWithLikeClockIsAdopted(t *testing.T) {
	s := newRestartFixture(t)
	s.waitIdle("w0")
	s.restartSilently("w0", 2)
	s.fleet.withLock(func() {
		s.fleet.runTime = 1200 * time.Millisecond
		s.fleet.targets["w0"].clockBehind = -Clock(200 * time.Millisecond)
	})
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "new process runs the task", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	s.waitCompleted("a")
	s.assertNoDoubleRuns()
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
}
