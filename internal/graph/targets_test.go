package graph

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An announcement asks for the older incarnations of its target. Doing that by
// copying all targets took a second for 3,000 that announced themselves at once,
// so that their heartbeats were not answered in time and all came again.
func TestOlderIncarnationsDoesNotCopyTargets(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	announce := func(id string, incarnation int64) {
		l.Apply(Command{Target: &Announcement{ID: TargetID{
			ID:          id,
			Incarnation: incarnation,
		}}})
	}
	for i := range 3000 {
		announce(fmt.Sprint("w", i), 5)
	}
	announce("w7", 3)
	newest := TargetID{
		ID:          "w7",
		Incarnation: 6,
	}
	older := l.OlderIncarnations(newest)
	c.Assert(older, qt.HasLen, 2)
	allocs := testing.AllocsPerRun(100, func() { l.OlderIncarnations(newest) })
	c.Check(allocs <= 2, qt.IsTrue, qt.Commentf("%v allocations", allocs))
	l.Apply(Command{Gone: &EndIncarnations{Targets: older}})
	c.Check(l.OlderIncarnations(newest), qt.HasLen, 0)
	c.Check(l.incarnations, qt.HasLen, 2999)
}

// A heartbeat for a service that does not exist comes from another writer. It ended the
// runs of the target whose id it carries.
func TestTargetOfUnknownServiceMayNotServe(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	c.Check(l.MayServe("a", "other"), qt.IsTrue)
	config := testConfig(1, 0)
	l.Apply(Command{Config: config})
	c.Check(l.MayServe("a", config.Services[0].Name), qt.IsTrue)
	c.Check(l.MayServe("a", "other"), qt.IsFalse)
	l.Apply(Command{Target: &Announcement{
		ID:      TargetID{ID: "a"},
		Service: "removed",
	}})
	c.Check(l.MayServe("a", "removed"), qt.IsTrue)
	c.Check(l.MayServe("b", "removed"), qt.IsFalse)
}
