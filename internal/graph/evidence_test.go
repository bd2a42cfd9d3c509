package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// crashWithEvidence ends the target by a crash that speaks against the task, and starts it
// again. It gives the task up if told to.
func crashWithEvidence(l *Ledger, id string, ref TaskRef, giveUp bool) Result {
	ended := &EndIncarnations{
		Targets: []TargetID{testTargetID(id)},
		Evidence: []Evidence{{
			Target: testTargetID(id),
			Task:   ref,
			Weight: 250,
		}},
	}
	if giveUp {
		ended.Crashes = GiveUp(testTargetID(id), ref)
	}
	result := l.Apply(Command{Gone: ended})
	l.Apply(Command{Target: newAnnouncement(id, 1, 4000)})
	return result
}

// Crashes ended jobs by their number. However many there are, the ledger ends a job only
// when the leader has weighed them.
func TestEvidenceAloneEndsNoJob(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "a", singleTaskStep())
	ref := TaskRef{Job: "a"}
	for run := uint32(1); run <= 10; run++ {
		c.Assert(placeTasks(l, 1000, "w0", run, ref), qt.Equals, Refusal(""))
		c.Check(crashWithEvidence(l, "w0", ref, false).Finished, qt.HasLen, 0)
	}
	c.Check(l.IsLive("a"), qt.IsTrue)
	c.Check(l.blames[ref].Targets, qt.HasLen, 1, qt.Commentf("crashes of one incarnation"))
}

// A crash that is committed again, as its first commit was uncertain, must not count twice.
func TestCrashOfIncarnationCountsOnce(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "a", singleTaskStep())
	ref := TaskRef{Job: "a"}
	c.Assert(placeTasks(l, 1000, "w0", 1, ref), qt.Equals, Refusal(""))
	crash := Command{Gone: &EndIncarnations{Evidence: []Evidence{{
		Target: testTargetID("w0"),
		Task:   ref,
		Weight: 250,
	}}}}
	l.Apply(crash)
	l.Apply(crash)
	c.Check(l.blames[ref].Targets, qt.HasLen, 1)
	c.Check(int(l.blames[ref].Weight), qt.Equals, 250)
	l.Apply(Command{Gone: &EndIncarnations{Targets: []TargetID{testTargetID("w0")}}})
	l.Apply(crash)
	c.Check(l.blames[ref].Targets, qt.HasLen, 1)
}

// Two runs of a task may crash two targets, and both crashes be committed again. Each must
// count once all the same.
func TestCrashesCommittedAgainInTurnCountOnce(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	step := singleTaskStep()
	step.Speculative = true
	submitJob(l, "a", step)
	ref := TaskRef{Job: "a"}
	c.Assert(placeTasks(l, 1000, "w0", 1, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Speculate{Tasks: []TaskRef{ref}}})
	c.Assert(placeTasks(l, 1000, "w1", 2, ref), qt.Equals, Refusal(""))
	for _, id := range []string{"w0", "w1", "w0", "w1"} {
		l.Apply(Command{Gone: &EndIncarnations{Evidence: []Evidence{{
			Target: testTargetID(id),
			Task:   ref,
			Weight: 200,
		}}}})
	}
	c.Check(l.blames[ref].Targets, qt.HasLen, 2)
	c.Check(int(l.blames[ref].Weight), qt.Equals, 400)
}

// A new leader has to know the evidence of the one before it, and forgets it once the task
// has run well.
func TestEvidenceOutlivesLeader(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "a", singleTaskStep())
	ref := TaskRef{Job: "a"}
	c.Assert(placeTasks(l, 1000, "w0", 1, ref), qt.Equals, Refusal(""))
	crashWithEvidence(l, "w0", ref, false)
	state, err := l.Snapshot()()
	c.Assert(err, qt.IsNil)
	l = NewLedger()
	c.Assert(l.Restore(state), qt.IsNil)
	c.Check(l.isSuspect(ref), qt.IsTrue)
	c.Check(int(l.blames[ref].Weight), qt.Equals, 250)
	l.Apply(Command{Clear: &ClearSuspicion{Tasks: []TaskRef{ref}}})
	c.Check(l.isSuspect(ref), qt.IsFalse)
	c.Check(l.jobs["a"].Blames, qt.HasLen, 0)
}

// lastRelease is the form of EndIncarnations in the release that counts crashes.
type lastRelease struct {
	Targets []TargetID
	Crashes []Crash `cbor:",omitempty"`
}

// Replicas of the last release do not know the evidence. What gives a task up must do so
// there as well, and what does not must not: replicas of a cell would end a job differently.
func TestEvidenceInLastRelease(t *testing.T) {
	for _, giveUp := range []bool{false, true} {
		c := qt.New(t)
		l := newTestLedger()
		submitJob(l, "a", singleTaskStep())
		ref := TaskRef{Job: "a"}
		c.Assert(placeTasks(l, 1000, "w0", 1, ref), qt.Equals, Refusal(""))
		ended := EndIncarnations{Evidence: []Evidence{{
			Target: testTargetID("w0"),
			Task:   ref,
			Weight: 700,
		}}}
		if giveUp {
			ended.Crashes = GiveUp(testTargetID("w0"), ref)
		}
		data, err := cbor.Marshal(ended)
		c.Assert(err, qt.IsNil)
		var old lastRelease
		c.Assert(cbor.Unmarshal(data, &old), qt.IsNil)
		l.Apply(Command{Gone: &EndIncarnations{
			Targets: old.Targets,
			Crashes: old.Crashes,
		}})
		c.Check(l.IsLive("a"), qt.Equals, !giveUp)
	}
}
