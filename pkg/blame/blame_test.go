package blame

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1_700_000_000, 0)

// spanAt returns a span of 50 ms that ends the given time after the epoch.
func spanAt(after time.Duration) Span {
	return Span{
		From: epoch.Add(after - 50*time.Millisecond),
		To:   epoch.Add(after),
	}
}

// fleetCrash is a crash of a machine of a fleet.
type fleetCrash = Crash[string, int, string]

// promptCrash returns a crash of a machine that was up for a minute, 20 ms after the start
// of its only suspect.
func promptCrash() *fleetCrash {
	return &fleetCrash{
		Machine:  "a",
		Life:     1,
		Span:     spanAt(time.Minute),
		Known:    time.Minute,
		Fleet:    40,
		Observed: 40,
		Suspects: []Suspect[string]{{
			Task:     "suspect",
			Exposure: 20 * time.Millisecond,
		}},
	}
}

func ExampleMonitor() {
	started := time.Unix(1_700_000_000, 0)
	monitor := NewMonitor[string, int, string](started)
	crash := &Crash[string, int, string]{
		Machine: "a",
		Life:    1,
		Span: Span{
			From: started.Add(time.Minute),
			To:   started.Add(time.Minute + 50*time.Millisecond),
		},
		Known:    time.Minute,
		Fleet:    40,
		Observed: 40,
		Suspects: []Suspect[string]{
			{
				Task:     "new",
				Exposure: 20 * time.Millisecond,
			},
			{
				Task:     "old",
				Exposure: 4 * time.Second,
			},
		},
	}
	fmt.Println(monitor.Weigh(crash))
	// Output: [334 -79]
}

// Each change makes the crash more likely without the task, so it must speak less against
// it: jobs were given up for crashes of which any of these was true.
func TestCrashWithOtherReasonWeighsLess(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewMonitor[string, int, string](epoch).Weigh(promptCrash()), qt.DeepEquals, []Weight{382})
	for name, change := range map[string]func(*fleetCrash){
		"long after the start": func(crash *fleetCrash) { crash.Suspects[0].Exposure = 5 * time.Second },
		"machine just up":      func(crash *fleetCrash) { crash.Known = 20 * time.Millisecond },
		"others at once":       func(crash *fleetCrash) { crash.Open = slices.Repeat([]Open[int, string]{{Span: crash.Span}}, 2) },
		"newer task":           func(crash *fleetCrash) { crash.Suspects = append(crash.Suspects, Suspect[string]{}) },
	} {
		crash := promptCrash()
		change(crash)
		weight := NewMonitor[string, int, string](epoch).Weigh(crash)[0]
		c.Check(weight <= 310, qt.IsTrue, qt.Commentf("%s: %d", name, weight))
	}
}

// losses records losses of a machine without suspects, one after the other.
func losses(m *Monitor[string, int, string], machine string, count int, interval time.Duration) {
	for life := range count {
		m.Weigh(&fleetCrash{
			Machine: machine,
			Life:    -life,
			Span:    spanAt(time.Minute - time.Duration(life+1)*interval),
			Fleet:   40,
		})
	}
}

// A machine or a fleet that is often lost by itself must not bring blame on its tasks.
func TestCrashOfUnsteadyMachineWeighsLess(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		machine string
		count   int
		most    Weight
	}{
		{
			machine: "a",
			count:   3,
			most:    280,
		},
		{
			machine: "b",
			count:   3,
			most:    380,
		},
		{
			machine: "b",
			count:   800,
			most:    280,
		},
	} {
		m := NewMonitor[string, int, string](epoch)
		losses(m, test.machine, test.count, 50*time.Millisecond)
		weight := m.Weigh(promptCrash())[0]
		c.Check(weight <= test.most, qt.IsTrue, qt.Commentf("%d of %s: %d", test.count, test.machine, weight))
	}
}

// A task that has crashed machines before explains the next crash, so that the tasks beside
// it are not blamed.
func TestTaskBesideCulpritIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	crash := promptCrash()
	crash.Suspects = append(crash.Suspects, Suspect[string]{
		Exposure: 20 * time.Millisecond,
		Weight:   400,
	})
	weights := NewMonitor[string, int, string](epoch).Weigh(crash)
	c.Check(weights[0] < 0, qt.IsTrue, qt.Commentf("%v", weights))
	c.Check(weights[1] > 100, qt.IsTrue, qt.Commentf("%v", weights))
}

// Two runs of a task may crash two machines in the same moment. That is no sign of a common
// reason.
func TestTwoRunsOfTaskCrashTogether(t *testing.T) {
	c := qt.New(t)
	m := NewMonitor[string, int, string](epoch)
	first, second := promptCrash(), promptCrash()
	second.Machine, second.Life = "b", 2
	first.Open = []Open[int, string]{{
		Life:  second.Life,
		Span:  second.Span,
		Tasks: []string{"suspect"},
	}}
	weight := m.Weigh(first)[0]
	second.Suspects[0].Weight = weight
	c.Check(weight+m.Weigh(second)[0] >= GiveUpWeight, qt.IsTrue)
}

// lostTogether returns what the losses of ten of 400 machines in the same moment, each with
// one new task, and each time other machines, add up to for the tasks.
func lostTogether(rounds int, exposure time.Duration) []Weight {
	m := NewMonitor[string, int, string](epoch)
	totals := make([]Weight, 10)
	for round := range rounds {
		for i := range totals {
			life := round*len(totals) + i
			crash := promptCrash()
			crash.Machine, crash.Life = fmt.Sprint(life), life
			crash.Span = spanAt(time.Minute + time.Duration(round)*5*time.Second)
			crash.Fleet, crash.Observed = 400, 200
			for k := i + 1; k < len(totals); k++ {
				crash.Open = append(crash.Open, Open[int, string]{
					Life: life + k - i,
					Span: crash.Span,
				})
			}
			crash.Suspects[0] = Suspect[string]{
				Task:     fmt.Sprint(i),
				Exposure: exposure,
				Weight:   totals[i],
			}
			totals[i] = max(0, totals[i]+m.Weigh(crash)[0])
		}
	}
	return totals
}

// Tasks that were lost together, each on a machine of its own, must not take each other for
// the reasons of the other losses, and so be convicted at the third time.
func TestTasksLostTogetherDoNotConvictEachOther(t *testing.T) {
	for _, exposure := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		totals := lostTogether(3, exposure)
		qt.Check(t, slices.Max(totals) < GiveUpWeight, qt.IsTrue, qt.Commentf("%s: %v", exposure, totals))
	}
}

// Machines that only their silence tells of are never recorded as lost. They must count
// among those lost in the same moment also when the crash is weighed again.
func TestSilentLossesCountWhenWeighedAgain(t *testing.T) {
	c := qt.New(t)
	m := NewMonitor[string, int, string](epoch)
	var total Weight
	for round := range 3 {
		crash := promptCrash()
		crash.Machine, crash.Life = fmt.Sprint(round), round
		crash.Fleet, crash.Observed = 400, 200
		crash.Span = spanAt(time.Minute + time.Duration(round)*5*time.Second)
		crash.Open = slices.Repeat([]Open[int, string]{{
			Life: -1,
			Span: crash.Span,
		}}, 10)
		crash.Suspects[0].Weight = total
		total = max(0, total+m.Weigh(crash)[0])
	}
	c.Check(total < GiveUpWeight, qt.IsTrue, qt.Commentf("%d", total))
}

// A crash that is withdrawn, as the machine answers again, must not come back when the next
// one is weighed.
func TestWithdrawnCrashIsForgotten(t *testing.T) {
	c := qt.New(t)
	m := NewMonitor[string, int, string](epoch)
	m.Weigh(promptCrash())
	m.Withdraw(1)
	m.Clear("suspect")
	second := promptCrash()
	second.Life = 2
	c.Check(m.Weigh(second)[0], qt.Equals, NewMonitor[string, int, string](epoch).Weigh(promptCrash())[0])
}

// What was not seen speaks against nobody, but it may be the cause.
func TestUnseenSuspectIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	crash := promptCrash()
	crash.Suspects = append(crash.Suspects, Suspect[string]{
		Exposure: 20 * time.Millisecond,
		Unseen:   true,
	})
	weights := NewMonitor[string, int, string](epoch).Weigh(crash)
	c.Check(weights, qt.DeepEquals, []Weight{121, 0})
}

// However unlikely one crash is without the task, it must not suffice.
func TestOneCrashNeverSuffices(t *testing.T) {
	c := qt.New(t)
	c.Check(weightOf(0) < GiveUpWeight, qt.IsTrue)
	c.Check(2*weightOf(0) >= GiveUpWeight, qt.IsTrue)
}

// The new tasks of a machine share the blame for its crash. Once one of them runs well
// elsewhere, the crash speaks the more against the other.
func TestCrashIsWeighedAgain(t *testing.T) {
	c := qt.New(t)
	m := NewMonitor[string, int, string](epoch)
	first := promptCrash()
	first.Suspects = append(first.Suspects, Suspect[string]{
		Task:     "innocent",
		Exposure: 20 * time.Millisecond,
	})
	shared := m.Weigh(first)[0]
	second := promptCrash()
	second.Machine, second.Life = "b", 2
	second.Span = spanAt(time.Minute + 4*time.Second)
	second.Suspects[0].Weight = shared
	second.IsCleared = func(task string, _ time.Duration) bool { return task == "innocent" }
	added := m.Weigh(second)[0]
	c.Check(shared < 150, qt.IsTrue, qt.Commentf("%d", shared))
	c.Check(shared+added >= GiveUpWeight, qt.IsTrue, qt.Commentf("%d and %d", shared, added))
}

// A loss counts once, and none for ever.
func TestMonitorForgetsOldLosses(t *testing.T) {
	c := qt.New(t)
	m := NewMonitor[string, int, string](epoch)
	losses(m, "b", 5, time.Second)
	losses(m, "b", 5, time.Second)
	c.Check(m.losses, qt.HasLen, 5)
	late := promptCrash()
	late.Span = spanAt(2 * time.Minute)
	m.Weigh(late)
	c.Check(m.losses, qt.HasLen, 1)
}
