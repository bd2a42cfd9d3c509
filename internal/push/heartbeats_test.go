package push

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// Heartbeats that were held up must not count, also if several come in a row, but those of
// a target must count again although another writer has used a high number with its id.
func TestHeartbeatOrder(t *testing.T) {
	c := qt.New(t)
	order := &heartbeatOrder{}
	for _, beat := range []struct {
		seq  uint64
		late bool
		anew bool
	}{
		{
			seq: 1,
		},
		{
			seq: 5,
		},
		{
			seq:  2,
			late: true,
		},
		{
			seq:  3,
			late: true,
		},
		{
			seq:  4,
			late: true,
		},
		{
			seq: 6,
		},
		{
			seq: 6,
		},
		{
			seq: 0,
		},
		{
			seq: 1 << 50,
		},
		{
			seq:  7,
			late: true,
		},
		{
			seq:  7,
			late: true,
		},
		{
			seq:  8,
			late: true,
		},
		{
			seq:  9,
			late: true,
		},
		{
			seq:  10,
			anew: true,
		},
		{
			seq: 11,
		},
		{
			seq:  10,
			late: true,
		},
	} {
		late, anew := order.record(beat.seq)
		c.Check(late, qt.Equals, beat.late, qt.Commentf("seq %d", beat.seq))
		c.Check(anew, qt.Equals, beat.anew, qt.Commentf("seq %d", beat.seq))
	}
}

// An announcement of another writer may have a number far above the target's own. A leader
// that did not see it come took all later announcements for late ones.
func TestNewLeaderOverrulesAnnouncementWithHugeNumber(t *testing.T) {
	s := newFixture(t, false)
	odd := defaultAnnouncement("w0", 1)
	odd.Service = "other"
	odd.Seq = 1 << 50
	l := s.scheduler.currentLeader.Load()
	_, fault := l.propose(s.ctx(), graph.Command{Target: &odd})
	s.c.Assert(fault == nil, qt.IsTrue)
	for seq := uint64(5); seq < 5+2*maxLateInOrder+2; seq++ {
		own := defaultAnnouncement("w0", 1)
		own.Seq = seq
		fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: own})
		s.c.Assert(fault == nil, qt.IsTrue)
	}
	target, _ := s.scheduler.ledger.Target(odd.ID)
	s.c.Check(target.Service, qt.Equals, "s")
}

// The heartbeat with which the numbers begin anew may change nothing, so that the ledger
// keeps the number that is too high. Later changes were taken for late ones then.
func TestChangeAfterNumbersBeganAnewIsTaken(t *testing.T) {
	s := newFixture(t, false)
	forward := func(a *graph.Announcement) {
		s.c.Helper()
		fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: *a})
		s.c.Assert(fault == nil, qt.IsTrue)
	}
	odd := defaultAnnouncement("w0", 1)
	odd.Seq = 1 << 50
	forward(&odd)
	own := defaultAnnouncement("w0", 1)
	for own.Seq = 5; own.Seq <= 5+maxLateInOrder; own.Seq++ {
		forward(&own)
	}
	own.Domain = "other"
	forward(&own)
	target, _ := s.scheduler.ledger.Target(odd.ID)
	s.c.Check(target.Domain, qt.Equals, "other")
}

// A heartbeat that was held up while the leader changed must not undo what a later one has
// said to the leader before, nor may three of them in a row.
func TestNewLeaderIgnoresHeartbeatsBelowRecordedNumber(t *testing.T) {
	s := newFixture(t, false)
	recorded := defaultAnnouncement("w0", 1)
	recorded.Seq = 10
	l := s.scheduler.currentLeader.Load()
	_, fault := l.propose(s.ctx(), graph.Command{Target: &recorded})
	s.c.Assert(fault == nil, qt.IsTrue)
	late := recorded
	late.Domain = "other"
	for late.Seq = recorded.Seq - maxLateInOrder; late.Seq < recorded.Seq; late.Seq++ {
		fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: late})
		s.c.Assert(fault == nil, qt.IsTrue)
	}
	target, _ := s.scheduler.ledger.Target(recorded.ID)
	s.c.Check(target.Domain, qt.Equals, recorded.Domain)
}
