package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// startDraining starts a task of the step on w0, starts w1, and has w0 announce that it leaves
// after the given time. It returns when that was confirmed.
func (s *fixture) startDraining(step graph.Step, runTime, remaining time.Duration) time.Time {
	s.c.Helper()
	s.fleet.withLock(func() { s.fleet.runTime = runTime })
	s.submit("a", step)
	s.eventually(waitTimeout, "run is listed", func() bool {
		d := s.scheduler.currentLeader.Load().driver(graph.TargetID{
			ID:          "w0",
			Incarnation: 1,
		})
		d.mu.Lock()
		defer d.mu.Unlock()
		info := d.runs[keyOf(graph.TaskRef{Job: "a"}, 1)]
		return info != nil && !info.listedAt.IsZero()
	})
	s.startDefaultTarget("w1", 1)
	s.waitIdle("w1")
	leaving := defaultAnnouncement("w0", 1)
	leaving.Leaving = true
	fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
		Announce:  leaving,
		Remaining: remaining,
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	return time.Now()
}

// A run that can't be done before its target leaves ends with it, and its task waited for the
// lease of the target then. It has to start elsewhere at once.
func TestRunThatOutlastsItsTargetMovesAtOnce(t *testing.T) {
	s := newFixture(t, false, "w0")
	step := tasks(1)
	step.Estimate = 60_000
	s.startDraining(step, time.Minute, 4*time.Second)
	s.eventually(time.Second, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.assertNoDoubleRuns()
}

// A run that is done before its target leaves goes on.
func TestRunThatIsDoneBeforeItsTargetLeavesGoesOn(t *testing.T) {
	s := newFixture(t, false, "w0")
	step := tasks(1)
	step.Estimate = 1500
	s.startDraining(step, 1500*time.Millisecond, 4*time.Second)
	s.waitCompleted("a")
	s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
}

// A task that lasts, or that saves its work, is of use up to the last moment. It has to have ended
// before its target leaves, so that it starts elsewhere without a wait for the lease.
func TestRunOfUseIsStoppedBeforeItsTargetLeaves(t *testing.T) {
	const remaining = 2 * time.Second
	lasting, saving := tasks(1), tasks(1)
	lasting.LongRunning = true
	saving.Checkpoints = true
	saving.Estimate = 60_000
	for _, step := range []graph.Step{lasting, saving} {
		s := newFixture(t, false, "w0")
		confirmed := s.startDraining(step, time.Minute, remaining)
		time.Sleep(time.Until(confirmed.Add(remaining - s.scheduler.timing.MaxStopTime - 2*drainMargin)))
		s.c.Check(s.runCount("w0"), qt.Equals, 1)
		time.Sleep(time.Until(confirmed.Add(remaining)))
		s.c.Check(s.runCount("w0"), qt.Equals, 0)
		s.c.Check(s.runCount("w1"), qt.Equals, 1)
		s.assertNoDoubleRuns()
	}
}

// What runs when its target leaves waits for the lease, so that the lease of a target that leaves
// must end soon after it.
func TestLeaseOfLeavingTargetEndsWithIt(t *testing.T) {
	s := newFixture(t, false, "w0")
	d := newDriver(s.scheduler.currentLeader.Load(), s.scheduler.ledger.Targets()[0])
	now := time.Now()
	ttl := testTiming().TTL
	for _, test := range []struct {
		leavesIn time.Duration
		want     time.Duration
	}{
		{
			leavesIn: 2 * ttl,
			want:     ttl,
		},
		{
			leavesIn: ttl - time.Millisecond,
			want:     ttl - time.Millisecond,
		},
		{
			leavesIn: drainLease / 2,
			want:     drainLease,
		},
		{
			leavesIn: -time.Second,
			want:     drainLease,
		},
	} {
		d.leavesAt = now.Add(test.leavesIn)
		s.c.Check(d.leaseLength(now), qt.Equals, test.want, qt.Commentf("leaves in %s", test.leavesIn))
		s.c.Check(d.drainWait(now) < d.leaseLength(now)/2, qt.IsTrue, qt.Commentf("leaves in %s", test.leavesIn))
	}
	d.leavesAt = time.Time{}
	s.c.Check(d.leaseLength(now), qt.Equals, ttl)
}
