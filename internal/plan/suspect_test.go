package plan

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// crashUnder places the waiting tasks and makes the target of the first one crash, with
// all its tasks as suspects. It returns the tasks that ran there.
func (f *fixture) crashUnder(c *qt.C) []graph.TaskRef {
	d := f.decide()
	f.commit(d)
	target := d.Groups[0][0].Target
	var suspects []graph.TaskRef
	for _, group := range d.Groups {
		if group[0].Target == target {
			suspects = append(suspects, group[0].Task)
		}
	}
	f.ledger.Apply(graph.Command{Gone: &graph.EndIncarnations{
		Targets: []graph.TargetID{target},
		Crashes: []graph.Crash{{
			Target:   target,
			Suspects: suspects,
		}},
	}})
	c.Assert(len(suspects) > 1, qt.IsTrue)
	return suspects
}

// The tasks of a crashed target are all suspect. If they were placed together again the
// next crash would tell no more than the first one, and other tasks beside them would be
// lost too.
func TestSuspectTasksAreKeptApart(t *testing.T) {
	c := qt.New(t)
	f := newFixture(8, quota.Resources{})
	f.submit("urgent", "a", newStep(4, 2000))
	suspects := f.crashUnder(c)
	f.submit("urgent", "b", newStep(3, 2000))

	d := f.decide()
	tasksOn := map[graph.TargetID][]graph.TaskRef{}
	for _, group := range d.Groups {
		tasksOn[group[0].Target] = append(tasksOn[group[0].Target], group[0].Task)
	}
	for _, ref := range suspects {
		found := 0
		for _, refs := range tasksOn {
			for _, other := range refs {
				if other == ref {
					found++
					c.Check(refs, qt.HasLen, 1, qt.Commentf("%s", ref.Name()))
				}
			}
		}
		c.Check(found, qt.Equals, 1, qt.Commentf("%s", ref.Name()))
	}
}

// Many targets may crash at once for a reason of their own. Their tasks must not wait for
// a target each.
func TestSuspectTasksDoNotWaitForEmptyTargets(t *testing.T) {
	c := qt.New(t)
	f := newFixture(3, quota.Resources{})
	f.submit("urgent", "a", newStep(4, 2000))
	suspects := f.crashUnder(c)
	d := f.decide()
	c.Check(d.Groups, qt.HasLen, len(suspects), qt.Commentf(fmt.Sprint(d.WaitReasons)))
}
