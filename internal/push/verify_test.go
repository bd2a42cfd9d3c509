package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// completeAnnouncement returns an announcement of w0 with all properties.
func completeAnnouncement() graph.Announcement {
	a := defaultAnnouncement("w0", 5000)
	a.Machine = "m-0"
	a.Domain = "z"
	a.Labels = []string{"a", "r1"}
	a.Seq = 1
	return a
}

// A heartbeat may come from another writer, under the id of a target at work. One with another
// start was taken for that of a newer process, so that the target's tasks ran twice. One that
// names another address had the target called there, and one without properties took them
// away.
func TestHeartbeatOfAnotherWriterChangesNothing(t *testing.T) {
	for name, change := range map[string]func(a *graph.Announcement){
		"later start":      func(a *graph.Announcement) { a.ID.Incarnation = 6000 },
		"earlier start":    func(a *graph.Announcement) { a.ID.Incarnation = 4000 },
		"no start":         func(a *graph.Announcement) { a.ID.Incarnation = 0 },
		"target's address": func(a *graph.Announcement) { a.Address = "w1" },
		"later start at a target's address": func(a *graph.Announcement) {
			a.ID.Incarnation, a.Address = 6000, "w1"
		},
		"no failure domain": func(a *graph.Announcement) { a.Domain = "" },
		"no machine":        func(a *graph.Announcement) { a.Machine = "" },
		"no labels":         func(a *graph.Announcement) { a.Labels = nil },
		"no capacity":       func(a *graph.Announcement) { a.Capacity = quota.Resources{} },
		"no memory":         func(a *graph.Announcement) { a.Capacity.Memory = 0 },
		"no number":         func(a *graph.Announcement) { a.Seq, a.Domain = 0, "other" },
		"unknown service":   func(a *graph.Announcement) { a.Service = "other" },
		"only the start": func(a *graph.Announcement) {
			*a = graph.Announcement{
				ID: graph.TargetID{
					ID:          "w0",
					Incarnation: 6000,
				},
				Service:  a.Service,
				Address:  a.Address,
				Capacity: a.Capacity,
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, false)
			s.fleet.runTime = time.Hour
			s.startTarget(completeAnnouncement())
			s.submit("a", tasks(1))
			s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
			s.startDefaultTarget("w1", 1)
			before, _ := s.scheduler.ledger.CurrentTarget("w0")
			foreign := completeAnnouncement()
			foreign.Seq = 1000
			change(&foreign)
			for range 3 {
				_ = s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: foreign})
			}
			time.Sleep(2 * testTiming().RenewalWait)
			after, _ := s.scheduler.ledger.CurrentTarget("w0")
			s.c.Check(after, qt.DeepEquals, before)
			s.c.Check(s.sentRuns("a"), qt.Equals, uint32(1))
			s.assertNoDoubleRuns()
		})
	}
}

// A target that has started again must not wait for the lease of the process before it: its
// address tells at once which process has it.
func TestWorkOfRestartedTargetStartsAgainAtOnce(t *testing.T) {
	for _, born := range []int64{6000, 4000} {
		timing := testTiming()
		timing.TTL = 8 * time.Second
		s := newFixtureWithTiming(t, timing, false)
		s.startTarget(completeAnnouncement())
		s.fleet.runTime = time.Hour
		s.submit("a", tasks(1))
		s.eventually(waitTimeout, "run is listed", func() bool {
			d := s.scheduler.currentLeader.Load().driver(completeAnnouncement().ID)
			d.mu.Lock()
			defer d.mu.Unlock()
			info := d.runs[keyOf(graph.TaskRef{Job: "a"}, 1)]
			return info != nil && !info.listedAt.IsZero() && info.confined
		})
		next := completeAnnouncement()
		next.ID.Incarnation = born
		s.startTarget(next)
		s.eventually(time.Second, "task runs again", func() bool { return s.sentRuns("a") == 2 && s.runCount("w0") == 1 })
		s.assertNoDoubleRuns()
	}
}

// A process whose address does not answer may not be the one that has sent the heartbeat. The
// sender is told to send it again, and nothing changes.
func TestHeartbeatFromSilentAddressIsSentAgain(t *testing.T) {
	s := newFixture(t, false)
	s.startTarget(completeAnnouncement())
	moved := completeAnnouncement()
	moved.Address = "nobody"
	s.c.Check(s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: moved}) != nil, qt.IsTrue)
	known, _ := s.scheduler.ledger.CurrentTarget("w0")
	s.c.Check(known.Address, qt.Equals, "w0")
}

// An incarnation that was born later than the one that replaced it may have left a start on its
// way. The task must wait until no process can hold that run any more.
func TestUncertainRunOfTargetBornLaterIsKept(t *testing.T) {
	timing := testTiming()
	timing.MaxLease = 2500 * time.Millisecond
	timing.RenewalWait = time.Second
	s := newFixtureWithTiming(t, timing, false)
	s.startTarget(completeAnnouncement())
	s.eventually(waitTimeout, "target may get work", func() bool {
		d := s.scheduler.currentLeader.Load().driver(completeAnnouncement().ID)
		return d != nil && d.usable(time.Now()) && d.idle(0)
	})
	s.fleet.withLock(func() {
		s.fleet.maxLease = timing.MaxLease
		s.fleet.runTime = time.Hour
		s.fleet.targets["w0"].delayedStarts = startAttempts
	})
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "start is sent", func() bool { return s.sentRuns("a") == 1 })
	s.startDefaultTarget("w1", 1)
	next := completeAnnouncement()
	next.ID.Incarnation = 4000
	s.startTarget(next)
	s.eventually(2*timing.MaxLease, "task runs again", func() bool { return s.sentRuns("a") == 2 })
	s.assertNoDoubleRuns()
	s.eventually(waitTimeout, "target is used", func() bool {
		known, found := s.scheduler.ledger.CurrentTarget("w0")
		return found && known.ID == next.ID
	})
}
