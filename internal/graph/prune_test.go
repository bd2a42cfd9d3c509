package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// ledgerWithRun returns a ledger with a job of three tasks, the last of which runs on w0.
func ledgerWithRun(c *qt.C) (*Ledger, RunEnd) {
	l := NewLedger()
	l.Apply(Command{Config: testConfig(1, 0)})
	target := newAnnouncement("w0", 1, 4000)
	l.Apply(Command{Target: target})
	submitTasks(c, l, 3)
	run := RunEnd{
		Target: target.ID,
		Task: TaskRef{
			Job:   "a",
			Index: 2,
		},
		Run:     1,
		Outcome: OutcomeStopped,
	}
	result := l.Apply(Command{Place: &Place{Groups: [][]Placement{{{
		Task:   run.Task,
		Run:    run.Run,
		Target: run.Target,
	}}}}})
	c.Assert(result.Groups, qt.DeepEquals, []Refusal{""})
	return l, run
}

func submitTasks(c *qt.C, l *Ledger, count int) {
	result := l.Apply(Command{Submit: &Submit{
		Address: testAddress,
		ID:      "a",
		Spec:    Spec{Steps: []Step{{Count: count}}},
	}})
	c.Assert(result.Refusal, qt.Equals, Refusal(""))
}

// A target may hold a run for longer than the record of its cancelled job is kept, if it
// does not carry out the stop. A new job with the same id then took the run for one of its
// own: the end of a task that it does not have ended every replica, and again at each
// start, and the end of one that it has let that task start twice.
func TestJobWithActiveRunIsNotPruned(t *testing.T) {
	c := qt.New(t)
	l, run := ledgerWithRun(c)
	l.Apply(Command{Cancel: &Cancel{
		Address: testAddress,
		ID:      "a",
	}})
	l.Apply(Command{
		Time:  1000,
		Prune: &Prune{Before: 1000},
	})
	submitTasks(c, l, 1)
	state, refusal := l.StateOf(testAddress, "a")
	c.Assert(refusal, qt.Equals, Refusal(""))
	c.Assert(state, qt.Equals, StateCancelled)
	l.Apply(Command{Events: &Events{Ends: []RunEnd{run}}})
	l.Apply(Command{Prune: &Prune{Before: 1000}})
	c.Assert(l.jobs, qt.HasLen, 0)
}

// A log or snapshot of older instances may hold a run of a task that its job does not have.
// It can be read and ended.
func TestRunOfUnknownTaskIsEnded(t *testing.T) {
	c := qt.New(t)
	l, run := ledgerWithRun(c)
	delete(l.jobs, "a")
	delete(l.liveJobs, "a")
	submitTasks(c, l, 1)
	c.Check(l.Assignments(run.Target), qt.DeepEquals, []Assignment{{
		Task: run.Task,
		Run:  run.Run,
	}})
	l.Apply(Command{Events: &Events{Ends: []RunEnd{run}}})
	c.Check(l.RunCount(run.Target), qt.Equals, 0)
}
