package plan

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// A long-running task that ends at once is placed with a delay, the others of its step are
// not. A gang waits for its delayed member, and a delay of another kind of task means nothing.
func TestDelayedTaskWaits(t *testing.T) {
	for _, test := range []struct {
		name        string
		longRunning bool
		gang        bool
		placed      int
	}{
		{
			name:        "long-running",
			longRunning: true,
			placed:      2,
		},
		{
			name:        "gang",
			longRunning: true,
			gang:        true,
		},
		{
			name:   "other",
			placed: 3,
		},
	} {
		c := qt.New(t)
		f := newFixture(3, quota.Resources{})
		f.delayed = graph.TaskRef{
			Job:   "a",
			Index: 1,
		}
		step := newStep(3, 500)
		step.LongRunning = test.longRunning
		step.Gang = test.gang
		f.submit("batch", "a", step)
		placed := 0
		for _, group := range f.decide().Groups {
			placed += len(group)
		}
		c.Check(placed, qt.Equals, test.placed, qt.Commentf("%s", test.name))
		f.delayed = graph.TaskRef{}
		placed = 0
		for _, group := range f.decide().Groups {
			placed += len(group)
		}
		c.Check(placed, qt.Equals, 3, qt.Commentf("%s", test.name))
	}
}
