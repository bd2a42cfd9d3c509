package plan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// newPreempting returns newKeptRoom with preemption allowed.
func newPreempting(accounts ...graph.ClientAccount) *fixture {
	f := newKeptRoom(accounts...)
	f.expectedEnds = map[graph.TaskRef]time.Time{}
	f.mayPreempt = func(graph.TaskRef) bool { return true }
	return f
}

// evict applies the preemptions of the decision.
func (f *fixture) evict(d Decision) {
	for _, preemption := range d.Preemptions {
		f.ledger.Apply(graph.Command{Evict: &graph.Evict{Tasks: []graph.TaskRef{preemption.Task}}})
	}
}

// end applies the end of a run that was preempted.
func (f *fixture) end(preemption Preemption, outcome graph.RunOutcome) {
	f.ledger.Apply(graph.Command{
		Time: graph.Millis(f.now.UnixMilli()),
		Events: &graph.Events{Ends: []graph.RunEnd{{
			Target:     preemption.Target,
			Task:       preemption.Task,
			Run:        preemption.Run,
			Outcome:    outcome,
			Checkpoint: "c",
		}}},
	})
}

// One run is stopped for the urgent task and no more while its room is coming, and the room
// goes to the urgent task. The same holds if the run is done before it is stopped.
func TestPreemptedRoomGoesToUrgentTask(t *testing.T) {
	c := qt.New(t)
	for _, outcome := range []graph.RunOutcome{graph.OutcomeStopped, graph.OutcomeDone} {
		f := newPreempting(weighted(1, 1)...)
		d := f.decide()
		c.Assert(d.Preemptions, qt.HasLen, 1)
		preempted := d.Preemptions[0]
		c.Check(preempted.For.Job, qt.Equals, graph.JobID("u"))
		for range 3 {
			c.Check(f.decide().Preemptions, qt.HasLen, 0)
			f.evict(d)
			f.now = f.now.Add(200 * time.Millisecond)
		}
		f.end(preempted, outcome)
		d = f.decide()
		c.Check(d.Preemptions, qt.HasLen, 0)
		c.Check(d.Urgent.Preemptions, qt.HasLen, 0)
		c.Assert(len(d.Groups) > 0, qt.IsTrue)
		c.Check(d.Groups[0][0].Task.Job, qt.Equals, graph.JobID("u"))
		c.Check(d.Groups[0][0].Target, qt.Equals, preempted.Target)
	}
}

// A stop that takes too long must not keep the urgent task waiting, and the run that is being
// stopped is not chosen again.
func TestSlowStopIsForgotten(t *testing.T) {
	c := qt.New(t)
	f := newPreempting(weighted(1, 1)...)
	d := f.decide()
	f.evict(d)
	f.now = f.now.Add(preemptionTimeout)
	f.submitAs("a", "urgent", "later", newStep(1, 4000))
	again := f.decide()
	c.Assert(again.Preemptions, qt.HasLen, 1)
	c.Check(again.Preemptions[0].Task, qt.Not(qt.Equals), d.Preemptions[0].Task)
}

// Nothing more is stopped once the burst is over, and the task that was stopped runs again.
func TestBurstEndsDuringPreemption(t *testing.T) {
	c := qt.New(t)
	f := newPreempting(weighted(1, 1)...)
	d := f.decide()
	f.evict(d)
	f.ledger.Apply(graph.Command{
		Time: graph.Millis(f.now.UnixMilli()),
		Cancel: &graph.Cancel{
			Address: graph.Address{
				Host: "h",
				Path: "/urgent/x",
				Key:  "ka",
			},
			ID: "u",
		},
	})
	next := f.decide()
	c.Check(next.Preemptions, qt.HasLen, 0)
	c.Check(next.Urgent.Preemptions, qt.HasLen, 1)
	f.end(d.Preemptions[0], graph.OutcomeStopped)
	next = f.decide()
	c.Check(next.Urgent.Preemptions, qt.HasLen, 0)
	placed := jobsInOrder(next)
	c.Check(placed, qt.Contains, d.Preemptions[0].Task.Job)
	c.Check(placed, qt.Contains, graph.JobID("w"))
}

// Nothing is stopped for work that has no claim to it, or that gains too little, and no run
// that can't go on from a checkpoint.
func TestNoPreemptionWithoutCause(t *testing.T) {
	c := qt.New(t)
	check := func(f *fixture, why string) {
		c.Helper()
		c.Check(f.decide().Preemptions, qt.HasLen, 0, qt.Commentf(why))
	}
	check(newPreempting(weighted(0, 0)...), "no weights")

	f := newPreempting(weighted(1, 1)...)
	f.overRate = func(id graph.JobID) bool { return id == "u" }
	check(f, "over its rate")

	f = newPreempting(weighted(1, 1)...)
	f.now = f.now.Add(time.Minute)
	check(f, "late without value")

	limited := weighted(1, 1)
	limited[0].Limit = quota.Resources{CPU: 3000}
	check(newPreempting(limited...), "account at its limit")

	f = newPreempting(weighted(1, 1)...)
	f.mayPreempt = func(graph.TaskRef) bool { return false }
	check(f, "each task preempted as often as it may be")

	f = newPreempting(weighted(1, 1)...)
	for _, id := range []graph.JobID{"r0", "r1"} {
		f.expectedEnds[graph.TaskRef{Job: id}] = f.now.Add(time.Second)
	}
	check(f, "runs that end soon")
}

// Only tasks that save checkpoints, by themselves and for a bounded time, can be preempted.
func TestWhichStepsCanBePreempted(t *testing.T) {
	c := qt.New(t)
	step := graph.Step{Checkpoints: true}
	c.Check(canPreempt(&step), qt.IsTrue)
	for _, change := range []func(*graph.Step){
		func(s *graph.Step) { s.Checkpoints = false },
		func(s *graph.Step) { s.Gang = true },
		func(s *graph.Step) { s.LongRunning = true },
		func(s *graph.Step) { s.BestEffort = true },
		func(s *graph.Step) { s.Speculative = true },
	} {
		changed := step
		change(&changed)
		c.Check(canPreempt(&changed), qt.IsFalse)
	}
}

// An urgent step that needs advice asked for none on full targets. It must name those where
// preemption makes room, and gets room once one of them is approved.
func TestUrgentStepAsksForTargetsToPreemptOn(t *testing.T) {
	c := qt.New(t)
	s := newUrgentSimulation()
	s.mayPreempt = func(graph.TaskRef) bool { return true }
	long := batchStepOf()
	long.Count = 180
	long.Resources.CPU = 5000
	long.Estimate = 60_000
	s.submitAs("b", "batch", "r", long)
	s.playShared(10 * tick)
	s.submitAs("a", "express", "u", urgentStepOf())
	d := s.decide()
	c.Assert(d.AdviceRequests, qt.HasLen, 1)
	c.Check(len(d.AdviceRequests[0].Targets) >= minTargetsPerRequest, qt.IsTrue)
	c.Check(d.WaitReasons[StepKey{Job: "u"}], qt.Equals, ReasonNoCapacity)
	c.Check(d.Preemptions, qt.HasLen, 0)
	s.advise(d.AdviceRequests[0])
	s.playShared(400 * time.Millisecond)
	c.Assert(len(s.preempted) > 0, qt.IsTrue)
	for _, preemption := range s.urgent.Preemptions {
		approved := s.advice[StepKey{Job: "u"}].Approved
		_, isApproved := approved[preemption.Target.ID]
		c.Check(isApproved, qt.IsTrue)
	}
}
