package finish_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/finish"
)

var start = time.UnixMilli(1_000_000)

// after returns the time ms milliseconds after start.
func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func ExampleTracker() {
	var t finish.Tracker
	t.Update(after(200), 10)
	t.Update(after(400), 30)
	done, _ := t.EstimatedCompletion()
	fmt.Println(done.Sub(start))
	// Output: 1.1s
}

// Reports that are too close together yield no estimate.
func TestNoEstimateFromCloseReports(t *testing.T) {
	c := qt.New(t)
	var tracker finish.Tracker
	_, known := tracker.EstimatedCompletion()
	c.Check(known, qt.IsFalse)
	tracker.Update(after(100), 20)
	tracker.Update(after(150), 24)
	_, known = tracker.EstimatedCompletion()
	c.Check(known, qt.IsFalse)
}

// A task makes progress, stalls and then continues.
func TestStalledTask(t *testing.T) {
	c := qt.New(t)
	const minDuration, factor = 500 * time.Millisecond, 4
	var tracker finish.Tracker
	tracker.Update(after(0), 10)
	tracker.Update(after(300), 40)
	c.Check(tracker.IsStalled(minDuration, factor, 0), qt.IsFalse)
	tracker.Update(after(700), 40)
	c.Check(tracker.IsStalled(minDuration, factor, 0), qt.IsFalse)
	tracker.Update(after(900), 40)
	c.Check(tracker.IsStalled(minDuration, factor, 0), qt.IsTrue)
	tracker.Update(after(1000), 41)
	c.Check(tracker.IsStalled(minDuration, factor, 0), qt.IsFalse)
}

// A task that takes 400 ms per percent, longer than the minimum duration of a
// stall, has not stalled.
func TestSlowTaskIsNotStalled(t *testing.T) {
	c := qt.New(t)
	var tracker finish.Tracker
	for i := range 20 {
		tracker.Update(after(i*200), float64(i/2))
		c.Check(tracker.IsStalled(300*time.Millisecond, 4, 0), qt.IsFalse)
	}
}

// A task that makes no progress after its start has stalled.
func TestStalledFromStart(t *testing.T) {
	var tracker finish.Tracker
	tracker.Update(after(0), 0)
	tracker.Update(after(800), 0)
	qt.Check(t, tracker.IsStalled(700*time.Millisecond, 4, 0), qt.IsTrue)
}

// A task that is expected to take 100 s needs about 1 s per percent. It was taken for
// stalled before its first, as only progress of its own counted.
func TestExpectedDurationCountsUntilProgressIsKnown(t *testing.T) {
	c := qt.New(t)
	const minDuration, factor, expected = 700 * time.Millisecond, 4, 100 * time.Second
	var tracker finish.Tracker
	tracker.Update(after(0), 40)
	tracker.Update(after(3900), 40)
	c.Check(tracker.IsStalled(minDuration, factor, expected), qt.IsFalse)
	tracker.Update(after(4000), 40)
	c.Check(tracker.IsStalled(minDuration, factor, expected), qt.IsTrue)
	// The first percent may have been nearly complete when it was first reported.
	tracker = finish.Tracker{}
	tracker.Update(after(0), 40)
	tracker.Update(after(50), 41)
	tracker.Update(after(1000), 41)
	c.Check(tracker.IsStalled(minDuration, factor, expected), qt.IsFalse)
	// A task that is much faster than expected is judged by its own progress.
	tracker.Update(after(1050), 50)
	tracker.Update(after(1750), 50)
	c.Check(tracker.IsStalled(minDuration, factor, expected), qt.IsTrue)
}

// A decrease in progress, as after a restart, resets the estimate.
func TestProgressReset(t *testing.T) {
	c := qt.New(t)
	var tracker finish.Tracker
	tracker.Update(after(0), 50)
	tracker.Update(after(500), 80)
	tracker.Update(after(1000), 0)
	_, known := tracker.EstimatedCompletion()
	c.Check(known, qt.IsFalse)
	tracker.Update(after(1500), 50)
	done, known := tracker.EstimatedCompletion()
	c.Check(known, qt.IsTrue)
	c.Check(done, qt.Equals, after(2000))
}
