package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A start may wait for its turn while its target is confirmed to leave. It was sent all the
// same, seconds later, and its task ended with the target.
func TestWaitingStartIsNotSentToLeavingTarget(t *testing.T) {
	const startTime = 50 * time.Millisecond
	s := newFixture(t, false)
	s.startWideTarget("w0")
	s.waitIdle("w0")
	s.fleet.withLock(func() {
		s.fleet.runTime = time.Hour
		s.fleet.startTime = startTime
	})
	s.submit("a", tasks(30))
	sent := func() (starts int) {
		s.fleet.withLock(func() { starts = len(s.fleet.starts) })
		return starts
	}
	s.eventually(waitTimeout, "first starts are sent", func() bool { return sent() > 0 })
	leaving := wideAnnouncement("w0")
	leaving.Leaving = true
	s.c.Assert(s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: leaving}) == nil, qt.IsTrue)
	time.Sleep(2 * startTime)
	confirmed := sent()
	time.Sleep(6 * startTime)
	s.c.Check(sent(), qt.Equals, confirmed)
	s.c.Check(confirmed < 30, qt.IsTrue)
	s.startWideTarget("w1")
	s.eventually(waitTimeout, "other tasks run elsewhere", func() bool { return s.runCount("w1") == 30-confirmed })
}
