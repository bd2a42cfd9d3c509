package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A client that got no answer hands its job in again, at any time. It must stay one job, with
// the run that it has, and once it is over, it must not begin again.
func TestSubmissionAgainIsOneJob(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitJob(l, "a", singleTaskStep())
	c.Assert(placeTasks(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	submitJob(l, "a", singleTaskStep(), singleTaskStep())
	state, target, run := l.RunOf(ref)
	c.Check(state, qt.Equals, TaskPlaced)
	c.Check(target, qt.Equals, testTargetID("w0"))
	c.Check(run, qt.Equals, uint32(1))
	endRun(l, "w0", 1, OutcomeDone, ref)
	submitJob(l, "a", singleTaskStep())
	jobState, refusal := l.StateOf(testAddress, "a")
	c.Check(refusal, qt.Equals, Refusal(""))
	c.Check(jobState, qt.Equals, StateCompleted)
	c.Check(l.Counts().Live, qt.Equals, 0)
}

// A cancel that comes again, or after the end of its job, is accepted and changes nothing.
func TestLateCancelChangesNothing(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitJob(l, "a", singleTaskStep())
	submitJob(l, "b", singleTaskStep())
	c.Assert(placeTasks(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	endRun(l, "w0", 1, OutcomeDone, ref)
	for range 2 {
		for job, want := range map[JobID]State{
			"a": StateCompleted,
			"b": StateCancelled,
		} {
			c.Check(l.CheckCancel(testAddress, job), qt.Equals, Refusal(""))
			c.Check(l.Apply(Command{Cancel: &Cancel{ID: job}}).Refusal, qt.Equals, Refusal(""))
			state, _ := l.StateOf(testAddress, job)
			c.Check(state, qt.Equals, want)
		}
	}
	c.Check(l.Counts().Live, qt.Equals, 0)
	c.Check(l.Counts().Pending, qt.Equals, 0)
}
