package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// startWideTarget starts a target that has room for 40 default tasks.
func (s *fixture) startWideTarget(name string) {
	s.startTarget(wideAnnouncement(name))
}

// wideAnnouncement returns the announcement of a target that has room for 40 default tasks.
func wideAnnouncement(name string) graph.Announcement {
	a := defaultAnnouncement(name, 1)
	a.Capacity = quota.Resources{
		CPU:    40000,
		Memory: 40000,
	}
	return a
}

// A long-running task must run elsewhere once the lease that its dead target was
// given before it was missed is over. Starts that were due to the target extended
// the lease further with each attempt, three at a time, for as long as there were any.
func TestStartsDueToDeadTargetDoNotExtendLease(t *testing.T) {
	s := newFixture(t, false)
	s.startWideTarget("w0")
	longRunning := tasks(1)
	longRunning.LongRunning = true
	s.fleet.runTime = time.Hour
	s.submit("a", longRunning)
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.fleet.withLock(func() { s.fleet.targets["w0"].silent = true })
	silentSince := time.Now()
	const due = 30
	s.submit("b", tasks(due))
	target := s.scheduler.ledger.Targets()[0]
	s.eventually(waitTimeout, "starts are due", func() bool {
		return s.scheduler.ledger.RunCount(target.ID) == due+1
	})
	s.startWideTarget("w1")
	elsewhere := func() (longRuns, others int) {
		s.fleet.withLock(func() {
			for ref := range s.fleet.targets["w1"].running {
				if ref.Job == "a" {
					longRuns++
				} else {
					others++
				}
			}
		})
		return longRuns, others
	}
	// A renewal that got no answer was sent at most one wait before and is missed
	// after its timeout.
	timing := testTiming()
	missed := timing.RenewalWait + renewalTimeoutMargin
	l := s.scheduler.currentLeader.Load()
	lease := l.withClockDrift(timing.TTL) + timing.LeaseMargin
	const slack = 700 * time.Millisecond
	s.eventually(time.Until(silentSince.Add(missed+slack)), "tasks never sent run elsewhere", func() bool {
		_, others := elsewhere()
		return others >= due-2*maxConcurrentStarts
	})
	s.eventually(time.Until(silentSince.Add(missed+lease+slack)), "long-running task runs elsewhere", func() bool {
		longRuns, _ := elsewhere()
		return longRuns == 1
	})
	s.assertNoDoubleRuns()
}

// All attempts of a start carry one deadline. A deadline taken for each attempt let a
// target that was only late to answer hold its tasks longer than its lease.
func TestStartRepeatsKeepDeadline(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.withLock(func() { s.fleet.targets["w0"].delayedStarts = startAttempts })
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "all attempts sent", func() bool {
		sent := 0
		s.fleet.withLock(func() { sent = len(s.fleet.starts) })
		return sent >= startAttempts
	})
	s.fleet.withLock(func() {
		for _, start := range s.fleet.starts[:startAttempts] {
			s.c.Check(start.Run == 1 && start.Deadline == s.fleet.starts[0].Deadline, qt.IsTrue,
				qt.Commentf("run %d, deadline %s instead of %s", start.Run, time.Duration(start.Deadline), time.Duration(s.fleet.starts[0].Deadline)))
		}
	})
	s.waitCompleted("a")
	s.assertNoDoubleRuns()
}

// An order to a target that has not answered must not extend its lease, whichever
// order it is: its tasks wait for the lease to expire.
func TestLeaseOfSilentTargetIsNotExtended(t *testing.T) {
	s := newFixture(t, false, "w0")
	// The driver's renewal loop is not started, so that nothing resets the failures.
	d := newDriver(s.scheduler.currentLeader.Load(), s.scheduler.ledger.Targets()[0])
	d.setClock(Clock(time.Hour))
	s.c.Assert(d.extendLease() > 0, qt.IsTrue)
	before := d.leaseExpiry
	d.recordAnswer(0, ErrNoAnswer)
	s.c.Check(d.extendLease(), qt.Equals, Clock(0))
	s.c.Check(d.newRenewal().Deadline, qt.Equals, Clock(0))
	s.c.Check(d.leaseExpiry, qt.Equals, before)
}

// A start that was not sent may be placed elsewhere at once only if no earlier leader
// can have sent it. Otherwise the task could run twice.
func TestUnsentStartIsAbsentUnlessInherited(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	target := s.scheduler.ledger.Targets()[0]
	assignment := s.scheduler.ledger.Assignments(target.ID)[0]
	for _, test := range []struct {
		inherited bool
		want      runState
	}{
		{
			inherited: false,
			want:      runAbsent,
		},
		{
			inherited: true,
			want:      runUnknown,
		},
	} {
		d := newDriver(s.scheduler.currentLeader.Load(), target)
		if test.inherited {
			d.inherit()
		}
		d.setClock(Clock(time.Hour))
		d.recordAnswer(0, ErrNoAnswer)
		state := d.sendStart(keyOf(assignment.Task, assignment.Run), plan.Ticket{}, time.Now().Add(maxStartDelay))
		s.c.Check(state, qt.Equals, test.want, qt.Commentf("inherited %t", test.inherited))
	}
	s.fleet.withLock(func() { s.c.Check(s.fleet.starts, qt.HasLen, 1) })
}

// setClock makes the driver know the target's clock as after an answered renewal.
func (d *driver) setClock(clock Clock) {
	d.mu.Lock()
	d.answerClock, d.answerSentAt = clock, time.Now()
	d.mu.Unlock()
	d.recordHeartbeat(clock)
}
