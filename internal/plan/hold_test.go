package plan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// acceleratorTarget announces a target with accelerators.
func (f *fixture) acceleratorTarget(id string, accelerators int64) graph.TargetID {
	target := graph.TargetID{ID: id}
	f.ledger.Apply(graph.Command{Target: &graph.Announcement{
		ID:      target,
		Service: "s",
		Capacity: quota.Resources{
			CPU:          8000,
			Memory:       8000,
			Accelerators: accelerators,
		},
	}})
	return target
}

// acceleratorStep is a step whose tasks need accelerators and little else.
func acceleratorStep(count int, accelerators int64, estimate graph.Millis) graph.Step {
	return graph.Step{
		Count:    count,
		Estimate: estimate,
		Resources: quota.Resources{
			CPU:          10,
			Memory:       10,
			Accelerators: accelerators,
		},
	}
}

// fillTarget places a task of the given number of accelerators that is expected
// to end after the given time.
func (f *fixture) fillTarget(c *qt.C, id graph.JobID, accelerators int64, ends time.Duration) {
	f.submit("urgent", id, acceleratorStep(1, accelerators, 1000))
	c.Assert(f.commit(f.decide()), qt.DeepEquals, []graph.Refusal{""})
	if f.expectedEnds == nil {
		f.expectedEnds = map[graph.TaskRef]time.Time{}
	}
	f.expectedEnds[graph.TaskRef{Job: id}] = f.now.Add(ends)
}

// placedJobs returns the jobs that the decision places tasks of.
func placedJobs(d Decision) map[graph.JobID]int {
	jobs := map[graph.JobID]int{}
	for _, group := range d.Groups {
		for _, placement := range group {
			jobs[placement.Task.Job]++
		}
	}
	return jobs
}

// A steady stream of small tasks must not take the room that a large task waits
// for: each would be placed as soon as a little of it is free.
func TestSmallStreamDoesNotStarveLargeTask(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	f.acceleratorTarget("w", 8)
	f.fillTarget(c, "first", 6, 800*time.Millisecond)
	f.submit("urgent", "large", acceleratorStep(1, 8, 1000))
	f.submit("batch", "small", acceleratorStep(4, 1, 3000))
	d := f.decide()
	c.Assert(placedJobs(d), qt.HasLen, 0)
	c.Assert(d.Holds[StepKey{Job: "large"}].has("w"), qt.IsTrue)
	c.Assert(d.WaitReasons[StepKey{Job: "small"}], qt.Equals, ReasonHeld)
}

// Work that ends before the large task can start uses the held room.
func TestShortWorkFillsHeldRoom(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	f.acceleratorTarget("w", 8)
	f.fillTarget(c, "first", 6, 800*time.Millisecond)
	f.submit("urgent", "large", acceleratorStep(1, 8, 1000))
	f.submit("batch", "short", acceleratorStep(1, 1, 500))
	c.Assert(placedJobs(f.decide()), qt.DeepEquals, map[graph.JobID]int{"short": 1})
}

// Room beside the large task is not held: tasks that outlast the wait get it.
func TestSurplusOfHeldTargetIsUsed(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	f.acceleratorTarget("w", 8)
	f.fillTarget(c, "first", 6, 800*time.Millisecond)
	f.submit("urgent", "large", acceleratorStep(1, 7, 1000))
	f.submit("batch", "small", acceleratorStep(2, 1, 3000))
	c.Assert(placedJobs(f.decide()), qt.DeepEquals, map[graph.JobID]int{"small": 1})
}

// Room is held no further ahead than the task would run twice, so that a target
// with long-running tasks is not kept empty beside them.
func TestRoomIsNotHeldFarAhead(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	f.acceleratorTarget("w", 8)
	f.fillTarget(c, "first", 6, 2100*time.Millisecond)
	f.submit("urgent", "large", acceleratorStep(1, 8, 1000))
	f.submit("batch", "small", acceleratorStep(2, 1, 3000))
	c.Assert(placedJobs(f.decide()), qt.DeepEquals, map[graph.JobID]int{"small": 2})
}

// Two gangs that need the same targets must not each hold a part of them: the
// first holds all that it needs or nothing.
func TestGangsDoNotBlockEachOther(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	f.acceleratorTarget("w1", 8)
	f.acceleratorTarget("w2", 8)
	f.fillTarget(c, "first", 6, 800*time.Millisecond)
	gang := acceleratorStep(2, 8, 1000)
	gang.Gang = true
	f.submit("urgent", "g1", gang)
	f.submit("urgent", "g2", gang)
	d := f.decide()
	c.Assert(d.Holds, qt.HasLen, 1)
	c.Assert(d.Holds[StepKey{Job: "g1"}].Targets, qt.HasLen, 2)
	for _, held := range d.Holds[StepKey{Job: "g1"}].Targets {
		c.Check(held.StartsAt.Sub(f.now), qt.Equals, 800*time.Millisecond)
	}
}

// Tickets run out, so they are requested when the room is about to be free, by
// one call for all targets.
func TestTicketsOfHeldTargetsAreRenewedTogether(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	f.acceleratorTarget("w1", 8)
	f.acceleratorTarget("w2", 8)
	f.fillTarget(c, "a", 8, 1500*time.Millisecond)
	f.fillTarget(c, "b", 8, 1500*time.Millisecond)
	gang := acceleratorStep(2, 8, 2000)
	gang.Gang = true
	f.submit("advised", "g", gang)
	f.advice[StepKey{Job: "g"}] = newAdvice(f.now.Add(-5*time.Second), "w1", "w2")
	d := f.decide()
	c.Assert(d.Holds, qt.HasLen, 1)
	c.Assert(d.AdviceRequests, qt.HasLen, 0)
	f.now = f.now.Add(1100 * time.Millisecond)
	d = f.decide()
	c.Assert(d.AdviceRequests, qt.HasLen, 1)
	c.Assert(d.AdviceRequests[0].Targets, qt.HasLen, 2)
}

// Work that can still be in time goes before work that is late anyway. In the
// order of deadlines alone, a backlog makes everything after it late too.
func TestLateWorkYieldsToWorkInTime(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, quota.Resources{})
	f.submit("batch", "late", newStep(1, 8000))
	f.now = f.now.Add(10 * time.Second)
	f.submit("batch", "in-time", newStep(1, 8000))
	c.Assert(placedJobs(f.decide()), qt.DeepEquals, map[graph.JobID]int{"in-time": 1})
}

// Small accelerator tasks ask about the fullest targets first, so that whole
// targets stay free for large ones.
func TestSmallAcceleratorWorkAsksFullestTargets(t *testing.T) {
	c := qt.New(t)
	f := newFixture(0, quota.Resources{})
	for _, id := range []string{"w1", "w2", "w3"} {
		f.acceleratorTarget(id, 8)
	}
	f.fillTarget(c, "a", 4, time.Second)
	used := ""
	f.ledger.View(f.now, func(v *graph.View) {
		for id, target := range v.Targets() {
			if len(target.Runs) > 0 {
				used = id.ID
			}
		}
	})
	f.submit("advised", "small", acceleratorStep(2, 1, 1000))
	d := f.decide()
	c.Assert(d.AdviceRequests, qt.HasLen, 1)
	c.Assert(d.AdviceRequests[0].Targets[0], qt.Equals, used)
}

// Work without accelerators leaves targets that have them free while there is
// other room.
func TestWorkWithoutAcceleratorsLeavesThemFree(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, quota.Resources{})
	f.acceleratorTarget("gpu", 8)
	f.submit("batch", "b", newStep(2, 4000))
	for _, group := range f.decide().Groups {
		c.Check(group[0].Target.ID, qt.Equals, "w00")
	}
	f.submit("advised", "a", newStep(1, 4000))
	d := f.decide()
	c.Assert(d.AdviceRequests[0].Targets[0], qt.Equals, "w00")
}
