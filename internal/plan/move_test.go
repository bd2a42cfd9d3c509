package plan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// moves returns the moves of a fixture whose runs take their remaining time, or their estimate.
func (f *fixture) moves(remaining map[graph.TaskRef]time.Duration, moving map[graph.TaskRef]uint32) []Move {
	var chosen []Move
	waits := f.decide().WaitReasons
	f.ledger.View(f.now, func(v *graph.View) {
		chosen = Moves(MoveInput{
			Input: Input{
				View:   v,
				Now:    f.now,
				Advice: func(key StepKey) *StepAdvice { return f.advice[key] },
				Usable: func(graph.TargetID) bool { return true },
				Speed:  func(graph.TargetID) float64 { return 1 },
			},
			WaitReasons: waits,
			Remaining: func(_ graph.TargetID, ref graph.TaskRef, _ uint32, estimate graph.Millis) (time.Duration, bool) {
				if left, known := remaining[ref]; known {
					return left, left > 0
				}
				return time.Duration(estimate) * time.Millisecond, true
			},
			LongerThan: 5 * time.Second,
			Moving:     moving,
			Limit:      4,
		})
	})
	return chosen
}

// newCheckpointed returns a step whose tasks save checkpoints and run for a minute.
func newCheckpointed(count int) graph.Step {
	step := newStep(count, 1000)
	step.Checkpoints = true
	step.Estimate = 60_000
	return step
}

// startIn has the job run in the failure domain east, which is then evacuated. Another job has
// the given number of tasks in west, where 24 fit.
func (f *fixture) startIn(queue string, step graph.Step, others int) {
	f.evacuate("west", false)
	f.submit(queue, "a", step)
	f.commit(f.decide())
	f.evacuate("west", true)
	f.evacuate("east", false)
	if others > 0 {
		f.submit("batch", "b", newStep(others, 1000))
		f.commit(f.decide())
	}
}

// Those that take longest are moved first, only a few at a time, and none that ends soon by
// itself or of which it is not known when it ends.
func TestLongestRunsAreMovedFirst(t *testing.T) {
	c, f := qt.New(t), newDomainFixture()
	f.startIn("batch", newCheckpointed(8), 0)
	remaining := map[graph.TaskRef]time.Duration{}
	step := StepKey{Job: "a"}
	for i := range 8 {
		remaining[step.TaskRef(i)] = time.Duration(i) * 2 * time.Second
	}
	chosen := f.moves(remaining, nil)
	c.Assert(chosen, qt.HasLen, 4)
	for i, move := range chosen {
		c.Check(move.Task, qt.Equals, step.TaskRef(7-i))
		c.Check(move.Run, qt.Equals, uint32(1))
		c.Check(move.Target.ID[:4], qt.Equals, "east")
	}
	moving := map[graph.TaskRef]uint32{step.TaskRef(7): 1}
	c.Check(f.moves(remaining, moving), qt.HasLen, 3)
	// Of tasks 0 to 2 it is not known how long they take, and 3 to 5 take just 5 s.
	for i := range 6 {
		remaining[step.TaskRef(i)] = time.Duration(i/3) * 5 * time.Second
	}
	c.Check(f.moves(remaining, nil), qt.HasLen, 2)
	f.evacuate("east", true)
	c.Check(f.moves(nil, nil), qt.HasLen, 0)
}

// A task that would lose its work, or that has to start again with others, must not be stopped.
func TestOnlyTasksThatLoseNothingAreMoved(t *testing.T) {
	for name, change := range map[string]func(*graph.Step){
		"no checkpoints": func(s *graph.Step) { s.Checkpoints = false },
		"gang":           func(s *graph.Step) { s.Gang = true },
		"long-running":   func(s *graph.Step) { s.LongRunning = true },
	} {
		c, f := qt.New(t), newDomainFixture()
		step := newCheckpointed(3)
		change(&step)
		f.startIn("batch", step, 0)
		c.Check(f.moves(nil, nil), qt.HasLen, 0, qt.Commentf("%s", name))
	}
}

// A task that is stopped without room for it elsewhere would wait instead of running. Room for
// which other work waits is not free, and neither is that of the tasks that are moved already.
func TestTasksAreMovedOnlyWithFreeRoom(t *testing.T) {
	for _, test := range []struct {
		others, moving, want int
	}{
		{others: 0, want: 4},
		{others: 22, want: 2},
		{others: 22, moving: 1, want: 1},
		{others: 22, moving: 2, want: 0},
		{others: 24, want: 0},
		{others: 25, want: 0},
	} {
		c, f := qt.New(t), newDomainFixture()
		f.startIn("batch", newCheckpointed(8), test.others)
		moving := map[graph.TaskRef]uint32{}
		for i := range test.moving {
			moving[StepKey{Job: "a"}.TaskRef(i)] = 1
		}
		c.Check(f.moves(nil, moving), qt.HasLen, test.want, qt.Commentf("%+v", test))
	}
	c, f := qt.New(t), newDomainFixture()
	f.startIn("batch", newCheckpointed(8), 0)
	wide := newStep(1, 7000)
	wide.Label = "none"
	f.submit("batch", "c", wide)
	c.Check(f.moves(nil, nil), qt.HasLen, 0)
}

// The advisor may have refused all targets outside: the task could not start there.
func TestTasksAreMovedOnlyToApprovedTargets(t *testing.T) {
	c, f := qt.New(t), newDomainFixture()
	step := StepKey{Job: "a"}
	f.advice[step] = newAdvice(f.now, "east0", "east1", "east2")
	f.startIn("advised", newCheckpointed(8), 0)
	running := 0
	for i := range 3 {
		running += f.ledger.RunCount(graph.TargetID{ID: fmt.Sprint("east", i)})
		f.advice[step].Requested[fmt.Sprint("west", i)] = true
	}
	c.Assert(running, qt.Equals, 8)
	c.Check(f.moves(nil, nil), qt.HasLen, 0)
	// A ticket that has expired is renewed.
	f.advice[step].Approved["west1"] = Ticket{}
	c.Check(f.moves(nil, nil), qt.HasLen, 4)
	delete(f.advice, step)
	c.Check(f.moves(nil, nil), qt.HasLen, 4)
}
