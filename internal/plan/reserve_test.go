package plan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// newKeptRoom returns a fixture with two targets of 8 cores that have 2 free, on which an
// urgent task of 4 cores of account a does not fit, while a batch task of account b does.
func newKeptRoom(accounts ...graph.ClientAccount) *fixture {
	f := newFixture(2, quota.Resources{})
	f.setAccounts(accounts...)
	for _, id := range []graph.JobID{"r0", "r1"} {
		step := newStep(1, 6000)
		step.Estimate = 20_000
		step.Checkpoints = true
		f.submitAs("b", "batch", id, step)
		f.commit(f.decide())
	}
	f.submitAs("a", "urgent", "u", newStep(1, 4000))
	f.submitAs("b", "batch", "w", newStep(1, 1000))
	return f
}

// Room that becomes free must go to urgent work that waits for it, and to other work only if
// no urgent work has a claim to it.
func TestBatchIsHeldBackOnlyForUrgentWork(t *testing.T) {
	c := qt.New(t)
	check := func(f *fixture, held bool, why string) {
		c.Helper()
		d := f.decide()
		c.Check(len(d.Groups) == 0, qt.Equals, held, qt.Commentf(why))
		c.Check(d.WaitReasons[StepKey{Job: "w"}] == ReasonHeld, qt.Equals, held, qt.Commentf(why))
	}
	check(newKeptRoom(weighted(1, 1)...), true, "urgent work waits for room")
	check(newKeptRoom(weighted(0, 0)...), false, "no weights")

	f := newKeptRoom(weighted(1, 1)...)
	f.submitAs("a", "urgent", "o", newStep(1, 1000))
	f.overRate = func(id graph.JobID) bool { return id == "o" }
	check(f, true, "other work over its rate")

	f = newKeptRoom(weighted(1, 1)...)
	f.overRate = func(id graph.JobID) bool { return id == "u" }
	check(f, false, "urgent work over its rate")

	f = newKeptRoom(weighted(1, 1)...)
	f.now = f.now.Add(time.Minute)
	f.submitAs("b", "batch", "w", newStep(1, 1000))
	check(f, false, "urgent work without value")

	limited := weighted(1, 1)
	limited[0].Limit = quota.Resources{CPU: 3000}
	check(newKeptRoom(limited...), false, "account at its limit")
}

// However long urgent work waits, work of lower priority must be served again and again.
func TestHoldingBackIsBounded(t *testing.T) {
	c := qt.New(t)
	f := newKeptRoom(weighted(1, 1)...)
	began := f.now
	for f.now.Sub(began) < maxHeldBack {
		f.submitAs("a", "urgent", graph.JobID("u"+f.now.String()), newStep(1, 4000))
		c.Assert(f.decide().Groups, qt.HasLen, 0)
		f.now = f.now.Add(500 * time.Millisecond)
	}
	c.Check(f.decide().Groups, qt.HasLen, 1)
	f.now = f.now.Add(heldBackPause)
	f.submitAs("a", "urgent", "last", newStep(1, 4000))
	c.Check(f.decide().Groups, qt.HasLen, 0)
}

// Long-running work is not held back.
func TestLongRunningWorkIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	f := newKeptRoom(weighted(1, 1)...)
	step := newStep(1, 500)
	step.LongRunning = true
	f.submitAs("b", "batch", "l", step)
	d := f.decide()
	c.Assert(d.Groups, qt.HasLen, 1)
	c.Check(d.Groups[0][0].Task.Job, qt.Equals, graph.JobID("l"))
}

// playCalm plays work that takes three quarters of the targets, and reports whether any
// urgent work was found short of room.
func playCalm(s *simulation, queue string) (short bool) {
	s.submitRate("batch", "b", "batch", 4.5, 0, 15*time.Second, batchStepOf())
	s.submitRate("usual", "a", queue, 3, 0, 15*time.Second, urgentStepOf())
	for range 25 * time.Second / tick {
		s.playShared(tick)
		short = short || len(s.urgent.Short) > 0
	}
	return short
}

// Calm traffic must be decided exactly as without kept room and preemption. With advice, decisions depend on
// the order of maps, so that only the cause is compared.
func TestCalmTrafficIsDecidedAsBefore(t *testing.T) {
	c := qt.New(t)
	with, without := newUrgentSimulation(), newUrgentSimulation()
	without.keepsRoom = false
	with.mayPreempt = with.mayPreemptOnce
	c.Check(playCalm(with, "urgent"), qt.IsFalse)
	playCalm(without, "urgent")
	c.Check(len(with.completed) > 100, qt.IsTrue)
	c.Check(with.completed, qt.DeepEquals, without.completed)
	c.Check(playCalm(newUrgentSimulation(), "express"), qt.IsFalse)
}
