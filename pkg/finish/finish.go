// Package finish foretells when a task will be done from the progress that it
// reports, and notices one that stands still.
package finish

import "time"

const (
	// whole is the progress of a task that is done, in percent.
	whole = 100
	// leastBase is how far apart two reports must be to give a speed.
	leastBase = 100 * time.Millisecond
	// leastGain is the progress between them that gives a speed, in percent.
	leastGain = 3
)

// report is the progress that was told at a time, in percent.
type report struct {
	at      time.Time
	percent float64
}

// Track follows one task. The zero value is a task that has not reported.
type Track struct {
	first report
	last  report
	// moved is when the progress was first seen to be what it is now.
	moved time.Time
}

// Begin notes that the task has started from nothing, unless it has reported
// already.
func (t *Track) Begin(at time.Time) {
	if t.first.at.IsZero() {
		t.Note(at, 0)
	}
}

// Note takes a report: the percent of the task's work that is done.
func (t *Track) Note(at time.Time, percent float64) {
	next := report{
		at:      at,
		percent: percent,
	}
	if t.first.at.IsZero() || percent < t.last.percent {
		t.first = next
	}
	if t.moved.IsZero() || percent != t.last.percent {
		t.moved = at
	}
	t.last = next
}

// Done returns when the task should be done, and false while its reports do
// not tell.
func (t *Track) Done() (time.Time, bool) {
	base := t.last.at.Sub(t.first.at)
	gain := t.last.percent - t.first.percent
	if base < leastBase || gain < leastGain {
		return time.Time{}, false
	}
	left := time.Duration(float64(base) * (whole - t.last.percent) / gain)
	return t.last.at.Add(left), true
}

// Stands tells whether the task has reported the same progress for some time,
// and for several times as long as it took for each percent before.
func (t *Track) Stands(least time.Duration, times int) bool {
	if t.last.percent >= whole {
		return false
	}
	if gain := t.last.percent - t.first.percent; gain > 0 {
		each := float64(t.moved.Sub(t.first.at)) / gain
		least = max(least, time.Duration(each*float64(times)))
	}
	return t.last.at.Sub(t.moved) >= least
}
