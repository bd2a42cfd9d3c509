package plan

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// placedOn counts the placements of a decision by target.
func placedOn(d Decision) map[string]int {
	counts := map[string]int{}
	for _, group := range d.Groups {
		for _, placement := range group {
			counts[placement.Target.ID]++
		}
	}
	return counts
}

// Urgent work missed its objective on targets that had just started, and other work goes there
// too only where no other target is free. It must not wait for them to be warm.
func TestColdTargetsAreLastChoice(t *testing.T) {
	for _, queue := range []string{"urgent", "batch"} {
		c, f := qt.New(t), newFixture(3, quota.Resources{})
		f.cold = map[string]bool{"w00": true}
		f.submit(queue, "a", newStep(16, 1000))
		c.Check(placedOn(f.decide()), qt.DeepEquals, map[string]int{
			"w01": 8,
			"w02": 8,
		}, qt.Commentf("%s", queue))
		f.submit(queue, "b", newStep(2, 1000))
		c.Check(placedOn(f.decide())["w00"], qt.Equals, 2, qt.Commentf("%s", queue))
		f.cold = nil
		c.Check(placedOn(f.decide())["w00"] > 2, qt.IsTrue, qt.Commentf("%s", queue))
	}
}

// Urgent work avoids a cold target also if it is the one with the rack of the data; but a task
// that has failed on a warm one is tried on the cold one.
func TestUrgentWorkAvoidsColdTargetOnItsRack(t *testing.T) {
	c, f := qt.New(t), newFixture(1, quota.Resources{})
	f.ledger.Apply(graph.Command{Target: &graph.Announcement{
		ID:       graph.TargetID{ID: "cold"},
		Service:  "s",
		Rack:     "r",
		Capacity: quota.Resources{CPU: 8000, Memory: 8000},
	}})
	f.cold = map[string]bool{"cold": true}
	step := newStep(1, 1000)
	step.Rack = "r"
	f.submit("urgent", "a", step)
	d := f.decide()
	c.Assert(placedOn(d), qt.DeepEquals, map[string]int{"w00": 1})
	f.commit(d)
	f.ledger.Apply(graph.Command{Events: &graph.Events{Ends: []graph.RunEnd{{
		Target:  graph.TargetID{ID: "w00"},
		Task:    graph.TaskRef{Job: "a"},
		Run:     1,
		Outcome: graph.OutcomeFailed,
	}}}})
	c.Check(placedOn(f.decide()), qt.DeepEquals, map[string]int{"cold": 1})
}

// The advisor is asked about warm targets first, as the tasks are to run there.
func TestAdviceOnColdTargetsIsAskedLast(t *testing.T) {
	c, f := qt.New(t), newFixture(12, quota.Resources{})
	f.cold = map[string]bool{
		"w00": true,
		"w05": true,
	}
	f.submit("advised", "a", newStep(2, 1000))
	requests := f.decide().AdviceRequests
	c.Assert(requests, qt.HasLen, 1)
	c.Check(len(requests[0].Targets) > 0, qt.IsTrue)
	for i, id := range requests[0].Targets {
		c.Check(f.cold[id], qt.Equals, i >= 10, qt.Commentf("%s is number %d", id, i))
	}
	for name := range f.cold {
		f.cold[name] = false
	}
	c.Check(slices.ContainsFunc(f.decide().AdviceRequests[0].Targets, func(id string) bool {
		return id == "w00" || id == "w05"
	}), qt.IsTrue)
}
