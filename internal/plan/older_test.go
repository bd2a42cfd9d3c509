package plan

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// restartTarget adds a later incarnation of the target, beside the one that has runs.
func (f *fixture) restartTarget(id string) graph.TargetID {
	next := graph.TargetID{
		ID:          id,
		Incarnation: 1,
	}
	f.ledger.Apply(graph.Command{Target: &graph.Announcement{
		ID:      next,
		Service: "s",
		Capacity: quota.Resources{
			CPU:    8000,
			Memory: 8000,
		},
	}})
	return next
}

// decideFor makes a decision with the given target as the only usable one.
func (f *fixture) decideFor(id graph.TargetID) Decision {
	f.usable = func(other graph.TargetID) bool { return other == id }
	return f.decide()
}

// A run that a restarted target may have taken for its older incarnation uses the
// target's room and counts for the step's spread. Without that, the target was given
// more than fits, as the older incarnation's runs were not seen as its own.
func TestRunsOfOlderIncarnationTakeRoom(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, quota.Resources{})
	spread := newStep(2, 3000)
	spread.MaxPerTarget = 1
	f.submit("batch", "a", spread)
	f.submit("batch", "b", newStep(2, 3000))
	f.commit(f.decide())
	next := f.restartTarget("w00")
	f.submit("batch", "c", newStep(1, 2500))
	f.submit("batch", "d", newStep(1, 2000))
	placed := map[graph.JobID]int{}
	for _, group := range f.decideFor(next).Groups {
		for _, placement := range group {
			c.Check(placement.Target, qt.Equals, next)
			placed[placement.Task.Job]++
		}
	}
	c.Check(placed, qt.DeepEquals, map[graph.JobID]int{"d": 1})
}

// The step's spread limit counts the runs of the older incarnation also where there is
// room for another task.
func TestRunsOfOlderIncarnationCountForSpread(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, quota.Resources{})
	spread := newStep(2, 1000)
	spread.MaxPerTarget = 1
	f.submit("batch", "a", spread)
	first := f.decide()
	c.Assert(first.Groups, qt.HasLen, 1)
	f.commit(first)
	c.Check(f.decideFor(f.restartTarget("w00")).Groups, qt.HasLen, 0)
}
