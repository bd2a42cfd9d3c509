package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/jasmineward/jasmineward/internal/graph"
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
	w := newWaitLog(logrus.NewEntry(logger), newMetrics())
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

// Kept room is logged when it begins and ends, not with each decision, and not at all if it
// lasts for a few decisions only.
func TestKeptRoomIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	logger, hook := logtest.NewNullLogger()
	w := newWaitLog(logrus.NewEntry(logger), newMetrics())
	now := time.Unix(1000, 0)
	kept := plan.UrgentState{Since: map[string]time.Time{"s": now}}
	w.logKeptRoom(now, kept)
	w.logKeptRoom(now, plan.UrgentState{})
	c.Assert(hook.AllEntries(), qt.HasLen, 0)
	w.logKeptRoom(now.Add(waitLogDelay), kept)
	w.logKeptRoom(now.Add(2*waitLogDelay), kept)
	c.Assert(hook.AllEntries(), qt.HasLen, 1)
	w.logKeptRoom(now.Add(time.Second), plan.UrgentState{})
	c.Assert(hook.AllEntries(), qt.HasLen, 2)
	c.Check(hook.LastEntry().Data["since"], qt.Equals, int64(1000))
}

// counted returns the sum of the counters of the given name.
func counted(c *qt.C, m *metrics, name string) float64 {
	families, err := m.registry.Gather()
	c.Assert(err, qt.IsNil)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}

// Who was put behind whom, since when and by which rule is counted once and logged once it
// has lasted, not with each decision.
func TestPutBehindIsLoggedAndCounted(t *testing.T) {
	c := qt.New(t)
	logger, hook := logtest.NewNullLogger()
	m := newMetrics()
	w := newWaitLog(logrus.NewEntry(logger), m)
	now := time.Unix(1000, 0)
	step := plan.StepKey{Job: "j"}
	decision := plan.Decision{
		WaitReasons: map[plan.StepKey]plan.WaitReason{step: plan.ReasonNoCapacity},
		PutBehind: map[plan.StepKey]plan.PutBehind{step: {
			Reason:  plan.ReasonOverShare,
			Account: "sender",
			Job:     "other",
		}},
	}
	for i := range 5 {
		w.update(now.Add(time.Duration(i)*100*time.Millisecond), decision)
	}
	c.Assert(hook.AllEntries(), qt.HasLen, 2)
	c.Check(hook.AllEntries()[0].Message, qt.Equals, "sched: waits")
	last := hook.LastEntry()
	c.Check(last.Message, qt.Equals, "sched: put behind")
	c.Check(last.Data["rule"], qt.Equals, plan.ReasonOverShare)
	c.Check(last.Data["account"], qt.Equals, "sender")
	c.Check(last.Data["for"], qt.Equals, graph.JobID("other"))
	c.Check(last.Data["since"], qt.Equals, int64(200))
	c.Check(counted(c, m, "jasmineward_steps_put_behind_total"), qt.Equals, 1.0)
	decision.PutBehind = nil
	w.update(now.Add(time.Second), decision)
	c.Check(hook.AllEntries(), qt.HasLen, 2)
}
