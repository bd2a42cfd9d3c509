package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// submitter hands jobs in to a ledger with one service of each kind.
func submitter(c *qt.C) (*oracle, func(change func(*Submit)) SubmitResult) {
	o := newOracle(1, breakNone)
	count := 0
	return o, func(change func(*Submit)) SubmitResult {
		count++
		s := Submit{
			Request: RequestKey{
				Scope: TeamScope("team-0"),
				ID:    uuidAt(o.now, count),
			},
			Digest: "content",
			KeyID:  "key-0",
			Spec: Spec{
				Service: "service-0",
				Count:   1,
				Room: quota.Room{
					CPU:    100,
					Memory: 64,
				},
			},
		}
		change(&s)
		result, ok := o.apply(Command{Submit: &s}).(SubmitResult)
		c.Assert(ok, qt.IsTrue)
		return result
	}
}

// TestBadSubmit sees each wrong submit refused with its own reason, and
// nothing admitted.
func TestBadSubmit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		want   Refusal
		change func(*Submit)
	}{
		{name: "no tasks", want: RefusedSpec, change: func(s *Submit) { s.Spec.Count = 0 }},
		{name: "too many tasks", want: RefusedSpec, change: func(s *Submit) { s.Spec.Count = 5000 }},
		{name: "negative room", want: RefusedSpec, change: func(s *Submit) { s.Spec.Room.CPU = -1 }},
		{name: "absurd room", want: RefusedSpec, change: func(s *Submit) { s.Spec.Room.Memory = 1 << 60 }},
		{name: "no room", want: RefusedSpec, change: func(s *Submit) { s.Spec.Room = quota.Room{} }},
		{name: "large payload", want: RefusedSpec, change: func(s *Submit) { s.Spec.Payload = make([]byte, 1<<20) }},
		{name: "past deadline", want: RefusedSpec, change: func(s *Submit) { s.Spec.StartBy = 1 }},
		{name: "negative run time", want: RefusedSpec, change: func(s *Submit) { s.Spec.RunMillis = -1 }},
		{name: "no such service", want: RefusedService, change: func(s *Submit) { s.Spec.Service = "x" }},
		{name: "no such key", want: RefusedKey, change: func(s *Submit) { s.KeyID = "x" }},
		{name: "no key", want: RefusedKey, change: func(s *Submit) { s.KeyID = "" }},
		{name: "other team's key", want: RefusedPermission, change: func(s *Submit) { s.KeyID = "key-1" }},
		{name: "other team's service", want: RefusedPermission, change: func(s *Submit) { s.Spec.Service = "service-1" }},
		{name: "malformed id", want: RefusedBadID, change: func(s *Submit) { s.Request.ID = "x" }},
		{name: "old id", want: RefusedTooOld, change: func(s *Submit) { s.Request.ID = uuidAt(1_700_000_000_000, 1) }},
		{name: "id ahead", want: RefusedAhead, change: func(s *Submit) { s.Request.ID = uuidAt(1_900_000_000_000, 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			o, submit := submitter(c)
			c.Assert(submit(tc.change).Refusal, qt.Equals, tc.want)
			c.Assert(o.ledger.Live(), qt.HasLen, 0)
		})
	}
}

// TestReusedID sees a request id refused for other content, and found again
// for the same, until its answer may be forgotten; then it is too old.
func TestReusedID(t *testing.T) {
	c := qt.New(t)
	o, submit := submitter(c)
	same := func(s *Submit) { s.Request.ID = uuidAt(1_800_000_000_000, 99) }
	first := submit(same)
	c.Assert(first.Refusal, qt.Equals, Refusal(""))
	again := submit(same)
	c.Assert(again.Again, qt.IsTrue)
	c.Assert(again.Job, qt.Equals, first.Job)
	other := submit(func(s *Submit) {
		same(s)
		s.Digest = "other"
	})
	c.Assert(other.Refusal, qt.Equals, RefusedReuse)
	o.apply(Command{Cancel: &Cancel{Request: RequestKey{
		Scope: TeamScope("team-0"),
		ID:    uuidAt(1_800_000_000_000, 99),
	}}})
	o.now += Millis((14 * time.Minute).Milliseconds())
	prune := Command{Prune: &Prune{Jobs: []JobID{first.Job}}}
	o.apply(prune)
	_, kept := o.ledger.Job(first.Job)
	c.Assert(kept, qt.IsTrue)
	o.now += Millis((2 * time.Minute).Milliseconds())
	o.apply(prune)
	_, kept = o.ledger.Job(first.Job)
	c.Assert(kept, qt.IsFalse)
	c.Assert(submit(same).Refusal, qt.Equals, RefusedTooOld)
}

// TestQueueBound sees a full queue refuse, and others go on.
func TestQueueBound(t *testing.T) {
	c := qt.New(t)
	o, submit := submitter(c)
	bounds := DefaultBounds()
	bounds.MaxQueued = 2
	o.ledger = New(bounds)
	o.number = 0
	o.firstNote()
	for range 2 {
		c.Assert(submit(func(*Submit) {}).Refusal, qt.Equals, Refusal(""))
	}
	c.Assert(submit(func(*Submit) {}).Refusal, qt.Equals, RefusedQueueFull)
	c.Assert(submit(func(s *Submit) {
		s.Request.Scope = TeamScope("team-1")
		s.KeyID = "key-1"
		s.Spec.Service = "service-1"
	}).Refusal, qt.Equals, Refusal(""))
}
