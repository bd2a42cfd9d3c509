package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// A target's capacity may shrink while it runs and grow again. Starts that only fit its
// earlier capacity would bring it over the one it has, and so would a heartbeat that was
// held up on its way and still says the earlier one.
func TestShrunkTargetTakesNoMoreThanItSays(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	announce := func(cpu quota.MilliCPU, seq uint64) {
		a := newAnnouncement("w0", 1, cpu)
		a.Seq = seq
		l.Apply(Command{Target: a})
	}
	step := singleTaskStep()
	step.Count = 4
	submitJob(l, "a", step)
	place := func(index int) Refusal {
		return placeTasks(l, 1000, "w0", 1, TaskRef{
			Job:   "a",
			Index: index,
		})
	}
	announce(4000, 1)
	c.Assert(place(0), qt.Equals, Refusal(""))
	c.Assert(place(1), qt.Equals, Refusal(""))
	announce(1000, 3)
	c.Check(place(2), qt.Equals, RefusedCapacity)
	announce(4000, 2)
	c.Check(place(2), qt.Equals, RefusedCapacity, qt.Commentf("a late heartbeat counts"))
	announce(4000, 4)
	c.Check(place(2), qt.Equals, Refusal(""))
}
