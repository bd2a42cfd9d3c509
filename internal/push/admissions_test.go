package push

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/admit"
	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

// admissionTerms are the terms of jobs of an account of weight 5.
var admissionTerms = graph.Terms{
	Queue:         "q",
	Objective:     2000,
	CriticalPath:  1000,
	ClientAccount: "a",
	Weight:        5,
}

func submission(id string) *graph.Submit {
	return &graph.Submit{ID: graph.JobID(id)}
}

// withBacklog returns admissions with a backlog of 200 jobs that does not move, which waits
// for the given reason, at the given time.
func withBacklog(reason plan.WaitReason, now time.Time) *admissions {
	a := newAdmissions()
	reasons := map[plan.StepKey]plan.WaitReason{}
	for i := range 200 {
		id := graph.JobID(fmt.Sprint("w", i))
		a.admitted(id, admit.Job{
			ID:      string(id),
			Account: "b",
		}, now.Add(-3*time.Second))
		reasons[plan.StepKey{Job: id}] = reason
	}
	a.recordWaits(reasons, now.Add(-3*time.Second))
	a.recordWaits(reasons, now)
	return a
}

// A submission whose commit is uncertain may have been admitted, so a repeated one must not be
// told that it never runs.
func TestSubmissionBeingCommittedIsNotRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	a := withBacklog(plan.ReasonNoCapacity, now)
	terms := admissionTerms
	terms.ClientAccount = "b"
	done := a.propose("j")
	_, _, refused := a.decide(submission("j"), terms, true, now)
	c.Check(refused, qt.IsFalse)
	done()
	_, refusal, refused := a.decide(submission("j"), terms, true, now)
	c.Check(refused, qt.IsTrue)
	c.Check(refusal.Rule, qt.Equals, admit.RuleTooLate)
}

// What waits for the limit of one account must not have the jobs of another refused.
func TestBacklogOfOtherAccountRefusesNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	a := withBacklog(plan.ReasonClientAccountLimit, now)
	_, _, refused := a.decide(submission("j"), admissionTerms, true, now)
	c.Check(refused, qt.IsFalse)
}

// A new leader must take the same jobs for those over the rate as the one before did.
func TestNewLeaderKnowsJobsOverTheirRate(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	first := newAdmissions()
	var history []graph.Admission
	over := 0
	for i := range 100 {
		id := fmt.Sprint("j", i)
		at := start.Add(time.Duration(i) * 40 * time.Millisecond)
		job, _, _ := first.decide(submission(id), admissionTerms, true, at)
		first.admitted(graph.JobID(id), job, at)
		if job.OverRate {
			over++
		}
		history = append(history, graph.Admission{
			ID:            graph.JobID(id),
			ClientAccount: admissionTerms.ClientAccount,
			Weight:        admissionTerms.Weight,
			At:            graph.Millis(at.UnixMilli()),
		})
	}
	c.Check(over > 60, qt.IsTrue)
	second := newAdmissions()
	second.restore(history)
	c.Check(second.overRate, qt.DeepEquals, first.overRate)
	second.forget(func(graph.JobID) bool { return true }, start)
	c.Check(second.overRate, qt.HasLen, 0)
}
