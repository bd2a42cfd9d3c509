package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target that has just started is slow, which only its heartbeats tell. Work must go to a warm
// one while there is one, and to the target as before once its time is over.
func TestHeartbeatTellsThatTargetIsCold(t *testing.T) {
	s := newFixture(t, false)
	s.fleet.runTime = time.Hour
	l := s.scheduler.currentLeader.Load()
	w0, w1 := defaultAnnouncement("w0", 1), defaultAnnouncement("w1", 1)
	s.startTarget(w1)
	s.fleet.withLock(func() { s.fleet.targets["w0"] = newFakeTarget(1) })
	beat := func(cold time.Duration) {
		fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
			Announce: w0,
			Clock:    s.fleet.targets["w0"].clock(),
			Cold:     cold,
		})
		s.c.Assert(fault == nil, qt.IsTrue)
	}
	beat(time.Minute)
	s.c.Check(l.isCold(w0.ID, time.Now()), qt.IsTrue)
	s.c.Check(l.isCold(w1.ID, time.Now()), qt.IsFalse)
	s.c.Check(s.scheduler.coldTargets(), qt.Equals, 1.0)
	s.eventually(waitTimeout, "both targets are in use", func() bool {
		now := time.Now()
		beat(time.Minute)
		return l.usable(w0.ID, now) && l.usable(w1.ID, now)
	})
	s.submit("a", longTasks(4))
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w1") == 4 })
	beat(time.Minute)
	s.submit("b", longTasks(1))
	s.eventually(waitTimeout, "no other target is free", func() bool {
		beat(time.Minute)
		return s.runCount("w0") == 1
	})
	beat(20 * time.Millisecond)
	s.c.Check(l.isCold(w0.ID, time.Now().Add(20*time.Millisecond)), qt.IsFalse)
	beat(time.Minute)
	beat(0)
	s.c.Check(l.isCold(w0.ID, time.Now()), qt.IsFalse)
}
