package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/jasmineward/jasmineward/internal/plan"
)

func heldOn(now time.Time, ids ...string) *plan.Hold {
	hold := &plan.Hold{}
	for _, id := range ids {
		hold.Targets = append(hold.Targets, plan.HeldTarget{
			ID:       id,
			StartsAt: now.Add(time.Second),
		})
	}
	return hold
}

// Which room is held for whom is logged when it changes, not with each decision:
// there may be a hundred decisions a second.
func TestHoldsAreLoggedWhenTheyChange(t *testing.T) {
	c := qt.New(t)
	logger, hook := logtest.NewNullLogger()
	w := newWaitLog(logrus.NewEntry(logger), newMetrics().waiting)
	now := time.Unix(1000, 0)
	step := plan.StepKey{Job: "j"}
	first := map[plan.StepKey]*plan.Hold{step: heldOn(now, "a", "b")}
	w.logHolds(now, nil, first)
	w.logHolds(now, first, map[plan.StepKey]*plan.Hold{step: heldOn(now.Add(time.Second), "a", "b")})
	c.Assert(hook.AllEntries(), qt.HasLen, 1)
	c.Check(hook.LastEntry().Data["targets"], qt.Equals, "a+1000ms b+1000ms")
	w.logHolds(now, first, map[plan.StepKey]*plan.Hold{step: heldOn(now, "a", "c")})
	c.Assert(hook.AllEntries(), qt.HasLen, 2)
	w.logHolds(now, first, nil)
	c.Assert(hook.AllEntries(), qt.HasLen, 2)
}
