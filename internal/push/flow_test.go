package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const testValidity = 2500 * time.Millisecond

// commitsOf returns a flow that has seen commits of the given times, one after the other,
// and the time after them.
func commitsOf(took ...time.Duration) (*commitFlow, time.Time) {
	flow, now := newCommitFlow(), time.Unix(1000, 0)
	for _, time := range took {
		number := flow.begin(now)
		now = now.Add(time)
		flow.end(number, now, false)
	}
	return flow, now
}

// While commits are fast, or no queue needs tickets, placements are proposed as ever.
func TestFastCommitsLeaveProposalsUnbounded(t *testing.T) {
	c := qt.New(t)
	calm := flowLimits{
		proposals:  maxProposalsInFlight,
		placements: maxPlacementsProposed,
	}
	flow, now := commitsOf(5*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond)
	c.Check(flow.limits(now, testValidity), qt.Equals, calm)
	flow, now = commitsOf(3*time.Second, 3*time.Second)
	c.Check(flow.limits(now, 0), qt.Equals, calm)
}

// A slow quorum was sent three proposals of 400 tasks each, whose tickets had expired when it
// had committed them.
func TestSlowCommitsBoundProposals(t *testing.T) {
	c := qt.New(t)
	flow, now := commitsOf(time.Second, time.Second, time.Second, time.Second, time.Second, time.Second)
	limits := flow.limits(now, testValidity)
	c.Check(limits.proposals, qt.Equals, 1)
	c.Check(limits.placements < maxPlacementsProposed/2, qt.IsTrue)
	c.Check(limits.placements >= minPlacementsProposed, qt.IsTrue)
	for range 6 {
		number := flow.begin(now)
		now = now.Add(10 * time.Millisecond)
		flow.end(number, now, false)
	}
	c.Check(flow.limits(now, testValidity).proposals, qt.Equals, maxProposalsInFlight)
}

// A quorum that has stopped committing has no latest commit that tells of it: the age of the
// open one does.
func TestOpenCommitBoundsProposals(t *testing.T) {
	c := qt.New(t)
	flow, now := commitsOf(5*time.Millisecond, 5*time.Millisecond)
	stuck := flow.begin(now)
	c.Check(flow.limits(now.Add(200*time.Millisecond), testValidity).proposals, qt.Equals, maxProposalsInFlight)
	c.Check(flow.limits(now.Add(time.Second), testValidity).proposals, qt.Equals, 1)
	// A refusal says nothing about the time of commits.
	flow.end(stuck, now.Add(time.Second), true)
	c.Check(flow.limits(now.Add(time.Second), testValidity).proposals, qt.Equals, maxProposalsInFlight)
	c.Check(flow.open, qt.HasLen, 0)
}

// Slower commits never let more be proposed, and some placing always goes on.
func TestLimitsFallWithCommitTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faster := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "faster"))
		slower := faster + time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "more"))
		valid := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "valid"))
		fast, at := commitsOf(faster)
		slow, later := commitsOf(slower)
		a, b := fast.limits(at, valid), slow.limits(later, valid)
		if b.proposals > a.proposals || b.placements > a.placements || b.proposals < 1 || b.placements < minPlacementsProposed {
			t.Fatalf("limits %+v after %s, %+v after %s", a, faster, b, slower)
		}
	})
}
