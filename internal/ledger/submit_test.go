package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// newSubmitter returns an oracle whose ledger has one service of each kind, and
// a function that submits a valid job after change has modified it.
func newSubmitter(c *qt.C) (*oracle, func(change func(*Submit)) SubmitResult) {
	o := newOracle(1, disableNone)
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
				Resources: quota.Resources{
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

// TestSubmitRefusals checks that each invalid submission is refused with the
// right refusal, and that no job is admitted.
func TestSubmitRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		want   Refusal
		change func(*Submit)
	}{
		{name: "no tasks", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.Count = 0 }},
		{name: "too many tasks", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.Count = 5000 }},
		{name: "negative resources", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.Resources.CPU = -1 }},
		{name: "excessive resources", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.Resources.Memory = 1 << 60 }},
		{name: "zero resources", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.Resources = quota.Resources{} }},
		{name: "large payload", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.Payload = make([]byte, 1<<20) }},
		{name: "start deadline in the past", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.StartBy = 1 }},
		{name: "negative run time", want: RefusedInvalidSpec, change: func(s *Submit) { s.Spec.RunMillis = -1 }},
		{name: "unknown service", want: RefusedNoService, change: func(s *Submit) { s.Spec.Service = "x" }},
		{name: "unknown key", want: RefusedInvalidKey, change: func(s *Submit) { s.KeyID = "x" }},
		{name: "no key", want: RefusedInvalidKey, change: func(s *Submit) { s.KeyID = "" }},
		{name: "other team's key", want: RefusedNotPermitted, change: func(s *Submit) { s.KeyID = "key-1" }},
		{name: "other team's service", want: RefusedNotPermitted, change: func(s *Submit) { s.Spec.Service = "service-1" }},
		{name: "malformed id", want: RefusedBadID, change: func(s *Submit) { s.Request.ID = "x" }},
		{name: "expired id", want: RefusedIDTooOld, change: func(s *Submit) { s.Request.ID = uuidAt(1_700_000_000_000, 1) }},
		{name: "id in the future", want: RefusedIDInFuture, change: func(s *Submit) { s.Request.ID = uuidAt(1_900_000_000_000, 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			o, submit := newSubmitter(c)
			c.Assert(submit(tc.change).Refusal, qt.Equals, tc.want)
			c.Assert(o.ledger.UnfinishedJobs(), qt.HasLen, 0)
		})
	}
}

// TestReusedRequestID checks that a repeated request id returns the same job for
// the same content and is refused for other content. Once the job may be
// pruned, the id must be refused as too old: otherwise a late retry would run
// the job a second time.
func TestReusedRequestID(t *testing.T) {
	c := qt.New(t)
	o, submit := newSubmitter(c)
	withSameID := func(s *Submit) { s.Request.ID = uuidAt(1_800_000_000_000, 99) }
	first := submit(withSameID)
	c.Assert(first.Refusal, qt.Equals, Refusal(""))
	repeated := submit(withSameID)
	c.Assert(repeated.Duplicate, qt.IsTrue)
	c.Assert(repeated.Job, qt.Equals, first.Job)
	other := submit(func(s *Submit) {
		withSameID(s)
		s.Digest = "other"
	})
	c.Assert(other.Refusal, qt.Equals, RefusedIDReused)
	o.apply(Command{Cancel: &Cancel{Request: RequestKey{
		Scope: TeamScope("team-0"),
		ID:    uuidAt(1_800_000_000_000, 99),
	}}})
	o.now += Millis((14 * time.Minute).Milliseconds())
	prune := Command{Prune: &Prune{Jobs: []JobID{first.Job}}}
	o.apply(prune)
	_, stored := o.ledger.Job(first.Job)
	c.Assert(stored, qt.IsTrue)
	o.now += Millis((2 * time.Minute).Milliseconds())
	o.apply(prune)
	_, stored = o.ledger.Job(first.Job)
	c.Assert(stored, qt.IsFalse)
	c.Assert(submit(withSameID).Refusal, qt.Equals, RefusedIDTooOld)
}

// TestQueueLimit checks that a service with a full queue refuses jobs, while
// other services still accept them.
func TestQueueLimit(t *testing.T) {
	c := qt.New(t)
	o, submit := newSubmitter(c)
	limits := DefaultLimits()
	limits.MaxQueued = 2
	o.ledger = New(limits)
	o.noteNumber = 0
	o.applyFirstNote()
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
