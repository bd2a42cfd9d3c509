package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// crashTarget ends the target by a crash of which the tasks are suspected, and starts it
// again.
func crashTarget(l *Ledger, id string, suspects ...TaskRef) Result {
	result := l.Apply(Command{Gone: &EndIncarnations{
		Targets: []TargetID{testTargetID(id)},
		Crashes: []Crash{{
			Target:   testTargetID(id),
			Suspects: suspects,
		}},
	}})
	l.Apply(Command{Target: newAnnouncement(id, 1, 4000)})
	return result
}

// A task that crashes each target has to be given up although it never ends as failed,
// and the tasks beside it must not pay for it. A new leader has to know of the crashes.
func TestTaskIsGivenUpAfterTargetsCrashUnderIt(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "deadly", singleTaskStep())
	submitJob(l, "other", singleTaskStep())
	deadly, other := TaskRef{Job: "deadly"}, TaskRef{Job: "other"}
	c.Assert(placeTasks(l, 1000, "w0", 1, deadly), qt.Equals, Refusal(""))
	c.Assert(placeTasks(l, 1000, "w0", 1, other), qt.Equals, Refusal(""))
	c.Check(crashTarget(l, "w0", deadly, other).Finished, qt.HasLen, 0)

	state, err := l.Snapshot()()
	c.Assert(err, qt.IsNil)
	l = NewLedger()
	c.Assert(l.Restore(state), qt.IsNil)

	c.Assert(placeTasks(l, 1000, "w0", 2, deadly), qt.Equals, Refusal(""))
	c.Assert(placeTasks(l, 1000, "w1", 2, other), qt.Equals, Refusal(""))
	c.Check(crashTarget(l, "w0", deadly).Finished, qt.DeepEquals, []FinishedJob{{
		Job:   "deadly",
		State: StateFailed,
		GaveUp: &CrashCount{
			Task:  deadly,
			Count: 2,
			Total: 2,
		},
	}})
	c.Check(l.IsLive("other"), qt.IsTrue)
}

// A suspect that was not alone at its second crash may not be the cause, so it gets one
// more chance. The task without an earlier crash is not blamed beside it.
func TestSuspectBesideOthersIsGivenUpAtThirdCrash(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "deadly", singleTaskStep())
	submitJob(l, "other", singleTaskStep())
	deadly, other := TaskRef{Job: "deadly"}, TaskRef{Job: "other"}
	for run := uint32(1); run <= 3; run++ {
		c.Assert(l.IsLive("deadly"), qt.IsTrue)
		c.Assert(placeTasks(l, 1000, "w0", run, deadly), qt.Equals, Refusal(""))
		suspects := []TaskRef{deadly}
		if run > 1 {
			c.Assert(placeTasks(l, 1000, "w0", run-1, other), qt.Equals, Refusal(""))
			suspects = append(suspects, other)
		}
		crashTarget(l, "w0", suspects...)
	}
	c.Check(l.IsLive("deadly"), qt.IsFalse)
	c.Check(l.suspects, qt.DeepEquals, map[TaskRef]CrashCount{
		other: {
			Task:  other,
			Total: 2,
		},
	})
}

// A task could crash targets for ever if a more suspect one was beside it each time.
func TestTaskHiddenBehindSuspectsIsGivenUp(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "deadly", singleTaskStep())
	deadly := TaskRef{Job: "deadly"}
	for run := uint32(1); run <= maxCrashesInAll; run++ {
		c.Assert(l.IsLive("deadly"), qt.IsTrue)
		id := JobID(rune('a' + run))
		submitJob(l, id, singleTaskStep())
		other := TaskRef{Job: id}
		c.Assert(placeTasks(l, 1000, "w1", 1, other), qt.Equals, Refusal(""))
		crashTarget(l, "w1", other)
		c.Assert(placeTasks(l, 1000, "w0", run, deadly), qt.Equals, Refusal(""))
		c.Assert(placeTasks(l, 1000, "w0", 2, other), qt.Equals, Refusal(""))
		crashTarget(l, "w0", deadly, other)
	}
	c.Check(l.IsLive("deadly"), qt.IsFalse)
}

// A task that has run well since its target crashed was not the cause.
func TestClearedTaskIsNoSuspect(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "a", singleTaskStep())
	ref := TaskRef{Job: "a"}
	for run := uint32(1); run <= 5; run++ {
		c.Assert(placeTasks(l, 1000, "w0", run, ref), qt.Equals, Refusal(""))
		l.Apply(Command{Clear: &ClearSuspicion{Tasks: []TaskRef{ref}}})
		crashTarget(l, "w0", ref)
		c.Assert(l.IsLive("a"), qt.IsTrue)
	}
}
