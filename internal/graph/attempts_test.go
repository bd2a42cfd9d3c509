package graph

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// attemptModel says by itself, from the ends and configurations that were applied, when a
// job has used up the attempts of its queue.
type attemptModel struct {
	version int64
	// queue is the name of the queue at testAddress, or empty.
	queue string
	// allowed has the attempts of each queue in the last configuration that has it.
	allowed map[string]int
	queueOf map[JobID]string
	// failedRuns are the runs that have ended as failed, by task. The runs of a gang are
	// those of its first member.
	failedRuns map[TaskRef]map[uint32]bool
	// ended are ends that were applied.
	ended []RunEnd
	// over are the jobs that were reported as failed for a known cause.
	over map[JobID]bool
}

func newAttemptModel() attemptModel {
	return attemptModel{
		version:    1,
		queue:      "q",
		allowed:    map[string]int{"q": 2},
		queueOf:    map[JobID]string{},
		failedRuns: map[TaskRef]map[uint32]bool{},
		over:       map[JobID]bool{},
	}
}

// drawOutcome draws an outcome, most often OutcomeFailed.
func drawOutcome(t *rapid.T) RunOutcome {
	if rapid.Bool().Draw(t, "failed") {
		return OutcomeFailed
	}
	return RunOutcome(rapid.IntRange(int(OutcomeDone), int(OutcomeNeverStarted)).Draw(t, "outcome"))
}

// configure removes, changes, moves or restores the queues, as the leader proposes it, or
// proposes a configuration that is too old.
func (m *ledgerModel) configure(t *rapid.T) {
	next := testConfig(m.attempts.version+1, 6000)
	next.Queues = nil
	at := rapid.SampledFrom([]string{"", "q", "r"}).Draw(t, "queue")
	other := rapid.SampledFrom([]string{"", "q", "r"}).Draw(t, "other")
	allowed := map[string]int{}
	add := func(name, prefix string) {
		if _, added := allowed[name]; added || name == "" {
			return
		}
		queue := testConfig(1, 0).Queues[0]
		queue.Name, queue.Prefix = name, prefix
		queue.Attempts = rapid.IntRange(0, 4).Draw(t, "attempts")
		allowed[name] = max(1, queue.Attempts)
		next.Queues = append(next.Queues, queue)
	}
	add(at, "/q/")
	add(other, "/other/")
	with, _ := m.ledger.WithRetiredQueues(next)
	if rapid.IntRange(0, 4).Draw(t, "old") == 0 {
		with.Version = m.attempts.version - int64(rapid.IntRange(0, 1).Draw(t, "older"))
		m.apply(Command{Config: with})
		return
	}
	m.apply(Command{Config: with})
	m.attempts.version++
	m.attempts.queue = at
	for name, attempts := range allowed {
		m.attempts.allowed[name] = attempts
	}
}

// countedUnder returns the task under which the failed runs of the task are counted.
func countedUnder(ref TaskRef, step Step) TaskRef {
	if step.Gang {
		ref.Index = 0
	}
	return ref
}

// isDone reports whether the task was reported as done, or a member of its gang.
func (m *ledgerModel) isDone(ref TaskRef, step Step) bool {
	if !step.Gang {
		return m.doneTasks[ref]
	}
	for i := range step.Count {
		ref.Index = i
		if m.doneTasks[ref] {
			return true
		}
	}
	return false
}

// recordFailedRun records that an active run has ended as failed. It returns false if
// that is no attempt of the task: another member of its gang has failed in the same run,
// or the task lasts.
func (a *attemptModel) recordFailedRun(ref TaskRef, run uint32, step Step) bool {
	// The ledger counts the failed runs of a gang that lasts.
	if step.LongRunning && !step.Gang {
		return false
	}
	counted := countedUnder(ref, step)
	if a.failedRuns[counted] == nil {
		a.failedRuns[counted] = map[uint32]bool{}
	}
	known := a.failedRuns[counted][run]
	a.failedRuns[counted][run] = true
	return !known
}

// checkFinished checks that a job has failed only because of a task, or a gang, of which
// as many runs have failed as its queue allows.
func (a *attemptModel) checkFinished(t *rapid.T, finished []FinishedJob) {
	for _, f := range finished {
		if f.State != StateFailed {
			continue
		}
		failed := 0
		for ref, runs := range a.failedRuns {
			if ref.Job == f.Job {
				failed = max(failed, len(runs))
			}
		}
		a.over[f.Job] = true
		if allowed := a.allowed[a.queueOf[f.Job]]; failed < allowed {
			t.Fatalf("%s has failed after %d failed runs of a task, its queue allows %d", f.Job, failed, allowed)
		}
	}
}

// checkLeft checks that a live job of which a run has just failed has attempts left.
func (a *attemptModel) checkLeft(t *rapid.T, ref TaskRef, step Step) {
	failed, allowed := len(a.failedRuns[countedUnder(ref, step)]), a.allowed[a.queueOf[ref.Job]]
	if failed >= allowed {
		t.Fatalf("%s goes on after %d failed runs, its queue allows %d", ref.Name(), failed, allowed)
	}
}

// checkStates checks that no job is failed that was not reported as such.
func (a *attemptModel) checkStates(t *rapid.T, l *Ledger) {
	for id, job := range l.jobs {
		if job.State == StateFailed && !a.over[id] {
			t.Fatalf("%s is failed without a failed run", id)
		}
	}
}

// placeNext places the next run of a task, or of all members of its gang.
func (m *ledgerModel) placeNext(t *rapid.T) {
	ref, job := m.drawTask(t)
	if job == nil {
		return
	}
	refs := []TaskRef{ref}
	if step := job.Spec.Steps[ref.Step]; step.Gang {
		refs = refs[:0]
		for i := range step.Count {
			member := ref
			member.Index = i
			refs = append(refs, member)
		}
	}
	var group []Placement
	for _, member := range refs {
		group = append(group, Placement{
			Task:   member,
			Run:    job.Task(ref).Run + 1,
			Target: testTargetID(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target"))),
		})
	}
	if m.apply(Command{Place: &Place{Groups: [][]Placement{group}}}).Groups[0] != "" {
		return
	}
	for _, placement := range group {
		m.checkPlacement(t, placement)
	}
}

// endActive ends a run that is active, or lists the end of one that has ended once more.
func (m *ledgerModel) endActive(t *rapid.T) {
	var ends []RunEnd
	for ref, runs := range m.activeRuns {
		for run, target := range runs {
			ends = append(ends, RunEnd{
				Target: target,
				Task:   ref,
				Run:    run,
			})
		}
	}
	ends = append(ends, m.attempts.ended...)
	if len(ends) == 0 {
		return
	}
	slices.SortFunc(ends, func(a, b RunEnd) int {
		return strings.Compare(a.Task.Name()+a.Task.RunName(a.Run), b.Task.Name()+b.Task.RunName(b.Run))
	})
	end := rapid.SampledFrom(ends).Draw(t, "end")
	end.Outcome = drawOutcome(t)
	job := m.ledger.liveJobs[end.Task.Job]
	if job == nil {
		m.attempts.checkFinished(t, m.apply(Command{Events: &Events{Ends: []RunEnd{end}}}).Finished)
		delete(m.activeRuns[end.Task], end.Run)
		return
	}
	m.applyEnd(t, job, end)
	m.attempts.ended = append(m.attempts.ended, end)
}

// A job must be shown as failed once as many distinct runs of one task, or gang, have
// failed as its queue allows, and not before: whatever ends are listed again or late, the
// queue being removed, changed or replaced, and its state restored from a snapshot.
func TestJobFailsOnlyForItsFailedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel()
		m.submit(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"place":   m.placeNext,
			"place-2": m.placeNext,
			"place-3": m.placeNext,
			"end":     m.endActive,
			"end-2":   m.endActive,
			"config":  m.configure,
			"copy":    m.speculate,
			"restore": m.restore,
			"gone":    m.replaceTarget,
			"":        m.check,
		})
	})
}

// The settings of a queue that two configurations in a row remove, the second one proposed
// by a new leader that was restored from a snapshot, must still be those of its jobs.
func TestAttemptsOutliveConfigurationsOfTwoLeaders(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitJob(l, "a", singleTaskStep())
	older, newer := testConfig(2, 0), testConfig(3, 0)
	older.Queues[0].Name, newer.Queues[0].Name = "r", "s"
	older, _ = l.WithRetiredQueues(older)
	overtaken, _ := l.WithRetiredQueues(newer)
	for _, configs := range [][]*Config{
		{older, newer},
		{overtaken, older},
		{older, overtaken},
	} {
		data, err := l.Snapshot()()
		c.Assert(err, qt.IsNil)
		next := NewLedger()
		c.Assert(next.Restore(data), qt.IsNil)
		for _, config := range configs {
			if config == newer {
				config, _ = next.WithRetiredQueues(newer)
			}
			next.Apply(Command{Config: config})
		}
		c.Assert(next.Config().Version, qt.Equals, int64(3))
		c.Assert(placeTasks(next, 1, "w0", 1, ref), qt.Equals, Refusal(""))
		endRun(next, "w0", 1, OutcomeFailed, ref)
		c.Check(next.IsLive("a"), qt.IsTrue)
		c.Assert(placeTasks(next, 1, "w0", 2, ref), qt.Equals, Refusal(""))
		endRun(next, "w0", 2, OutcomeFailed, ref)
		c.Check(next.IsLive("a"), qt.IsFalse)
	}
}
