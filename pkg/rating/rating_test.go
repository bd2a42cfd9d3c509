package rating_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/rating"
)

func Example() {
	r := rating.NewRater[string, string]()
	start := time.Unix(0, 0)
	for round := range 40 {
		step := fmt.Sprint("step", round)
		for task, machine := range []string{"a", "b", "slow"} {
			r.Started(step, task, machine, start)
		}
		r.Done(step, 0, "a", start.Add(time.Second))
		r.Done(step, 1, "b", start.Add(time.Second))
		r.Done(step, 2, "slow", start.Add(4*time.Second))
	}
	fmt.Println(r.Speed("a") > 3*r.Speed("slow"), r.Speed("unknown"))
	// Output:
	// true 1
}

// The relative speeds of machines are estimated from steps that differ in
// duration and whose tasks vary in duration too.
func TestSpeedsAreLearned(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	r := rating.NewRater[int, int]()
	speeds := []float64{0.8, 1, 1.25}
	now := time.Unix(0, 0)
	for step := range 900 {
		work := 0.2 + 2*random.Float64()
		var machines [6]int
		for task := range machines {
			machines[task] = random.IntN(30)
			r.Started(step, task, machines[task], now)
		}
		for task, machine := range machines {
			variation := 0.7 + 0.6*random.Float64()
			r.Done(step, task, machine, now.Add(time.Duration(work*variation/speeds[machine%3]*float64(time.Second))))
		}
	}
	mean := [3]float64{}
	for machine := range 30 {
		mean[machine%3] += r.Speed(machine) / 10
	}
	c.Assert(mean[0] < 0.9*mean[1], qt.IsTrue, qt.Commentf("%v", mean))
	c.Assert(mean[1] < 0.9*mean[2], qt.IsTrue, qt.Commentf("%v", mean))
}

// A machine that fails every task is rated down, while one that fails
// occasionally keeps its speed.
func TestFailingMachineIsRatedDown(t *testing.T) {
	c := qt.New(t)
	r := rating.NewRater[int, string]()
	now := time.Now()
	for step := range 12 {
		r.Started(step, 0, "bad", now)
		r.Failed(step, 0, "bad")
		r.Started(step, 1, "good", now)
		if step%6 == 0 {
			r.Failed(step, 1, "good")
		} else {
			r.Done(step, 1, "good", now.Add(time.Second))
		}
	}
	c.Assert(r.Speed("good"), qt.Equals, 1.0)
	c.Assert(r.Speed("bad") < 0.2, qt.IsTrue)
}

func TestStalled(t *testing.T) {
	c := qt.New(t)
	r := rating.NewRater[int, string]()
	now := time.Unix(0, 0)
	for task := range 4 {
		r.Started(1, task, "a", now)
	}
	for task := range 3 {
		r.Done(1, task, "a", now.Add(time.Second))
	}
	c.Assert(r.Stalled(1, 3, 3, now.Add(2*time.Second)), qt.IsFalse)
	c.Assert(r.Stalled(1, 3, 3, now.Add(4*time.Second)), qt.IsTrue)
	c.Assert(r.Stalled(1, 0, 3, now.Add(4*time.Second)), qt.IsFalse)
}

// When a task runs on two machines at once, a failure of the first run does not
// affect the rating of the second machine.
func TestReplacedRunIsIgnored(t *testing.T) {
	r := rating.NewRater[int, string]()
	now := time.Now()
	for step := range 8 {
		r.Started(step, 0, "first", now)
		r.Started(step, 0, "second", now)
		r.Failed(step, 0, "first")
	}
	qt.Check(t, r.Speed("second"), qt.Equals, 1.0)
}

// Slow machines are distinguished from fast ones after only a few runs each, as
// at the beginning of a day.
func TestSpeedsAreLearnedFromFewRuns(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	r := rating.NewRater[int, int]()
	speeds := []float64{0.8, 1, 1.25}
	now := time.Unix(0, 0)
	for step := range 20 {
		for task := range 6 {
			machine := (step*6 + task) % 30
			r.Started(step, task, machine, now)
		}
		for task := range 6 {
			machine := (step*6 + task) % 30
			work := 0.85 + 0.3*random.Float64()
			r.Done(step, task, machine, now.Add(time.Duration(work/speeds[machine%3]*float64(time.Second))))
		}
	}
	mean := [3]float64{}
	for machine := range 30 {
		mean[machine%3] += r.Speed(machine) / 10
	}
	// At least half of the true difference is observed after four runs each.
	minDifference := (speeds[2] - speeds[0]) / 2
	c.Assert(mean[2]-mean[0] > minDifference, qt.IsTrue, qt.Commentf("%v after 4 runs each", mean))
}

// One run is no measure for the other tasks of its step, so its duration is not
// given before a second has completed.
func TestLongestRunNeedsSamples(t *testing.T) {
	c := qt.New(t)
	r := rating.NewRater[string, string]()
	start := time.Unix(0, 0)
	c.Check(r.LongestRun("step"), qt.Equals, time.Duration(0))
	for task := range 3 {
		r.Started("step", task, "a", start)
	}
	r.Done("step", 0, "a", start.Add(2*time.Second))
	c.Check(r.LongestRun("step"), qt.Equals, time.Duration(0))
	r.Done("step", 1, "a", start.Add(time.Second))
	c.Check(r.LongestRun("step"), qt.Equals, 2*time.Second)
}
