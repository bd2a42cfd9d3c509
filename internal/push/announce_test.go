package push

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A heartbeat of another writer may lack the labels. Those of the target's own heartbeats
// were never taken over then.
func TestLabelsOfLaterHeartbeatAreTaken(t *testing.T) {
	s := newFixture(t, false)
	fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: defaultAnnouncement("w0", 1)})
	s.c.Assert(fault == nil, qt.IsTrue)
	labelled := defaultAnnouncement("w0", 1)
	labelled.Labels = []string{"gpu"}
	fault = s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{Announce: labelled})
	s.c.Assert(fault == nil, qt.IsTrue)
	target, known := s.scheduler.ledger.Target(labelled.ID)
	s.c.Assert(known, qt.IsTrue)
	s.c.Check(target.HasLabel("gpu"), qt.IsTrue)
}

// Any attribute that differs from the record has to be committed, or the first heartbeat's
// stays for the target's whole life. One that is equal must not be, as each heartbeat would
// be a command.
func TestEachAttributeCountsAsChange(t *testing.T) {
	c := qt.New(t)
	announce := func(change func(a *graph.Announcement)) *graph.Announcement {
		a := defaultAnnouncement("w0", 1)
		a.Seq = 2
		a.Labels = []string{"gpu", "r1"}
		change(&a)
		return &a
	}
	record := &graph.Target{Announcement: *announce(func(a *graph.Announcement) { a.Seq = 1 })}
	for name, change := range map[string]func(a *graph.Announcement){
		"service":  func(a *graph.Announcement) { a.Service = "other" },
		"capacity": func(a *graph.Announcement) { a.Capacity.CPU++ },
		"address":  func(a *graph.Announcement) { a.Address = "other" },
		"machine":  func(a *graph.Announcement) { a.Machine = "other" },
		"domain":   func(a *graph.Announcement) { a.Domain = "other" },
		"rack":     func(a *graph.Announcement) { a.Rack = "other" },
		"labels":   func(a *graph.Announcement) { a.Labels = []string{"gpu", "r2"} },
		"leaving":  func(a *graph.Announcement) { a.Leaving = true },
	} {
		c.Check(announcementChanged(record, announce(change)), qt.IsTrue, qt.Commentf("%s", name))
	}
	c.Check(announcementChanged(record, announce(func(*graph.Announcement) {})), qt.IsFalse)
}

// A target without labels may be recorded with an empty list of them. Its heartbeats are no
// changes.
func TestEmptyLabelsAreNoChange(t *testing.T) {
	record := &graph.Target{Announcement: defaultAnnouncement("w0", 1)}
	next := defaultAnnouncement("w0", 1)
	next.Labels = []string{}
	qt.Check(t, announcementChanged(record, &next), qt.IsFalse)
}

func BenchmarkAnnouncementUnchanged(b *testing.B) {
	record := &graph.Target{Announcement: defaultAnnouncement("w0", 1)}
	record.Labels = []string{"large", "r1-3"}
	next := defaultAnnouncement("w0", 1)
	next.Labels = []string{"large", "r1-3"}
	for b.Loop() {
		announcementChanged(record, &next)
	}
}
