package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
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

// The clock in the answer to a start tells which process took it only if a later process can't
// have run for as long. Two that start shortly one after the other have clocks that are closer
// than the drift that is allowed for, and the later one was taken for the earlier one.
func TestClockOfNextIncarnationIsNotTakenForOwn(t *testing.T) {
	s := newFixture(t, false)
	d := newDriver(s.scheduler.currentLeader.Load(), graph.Target{})
	s.c.Check(d.isOwnClock(Clock(time.Hour)), qt.IsFalse)
	first := time.Now().Add(-time.Minute)
	d.recordListing(RunList{Clock: Clock(time.Second)}, first)
	// The process has run for a minute, and for no longer than since its only answer.
	s.c.Check(d.isOwnClock(Clock(time.Second+time.Minute)), qt.IsFalse)
	d.recordListing(RunList{Clock: Clock(time.Minute)}, time.Now().Add(-time.Second))
	s.c.Check(d.isOwnClock(Clock(time.Minute+time.Second)), qt.IsTrue)
	s.c.Check(d.isOwnClock(Clock(time.Second)), qt.IsFalse)
}
