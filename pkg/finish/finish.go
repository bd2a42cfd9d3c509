// Package finish estimates the completion time of a task from its progress
// reports and detects tasks that have stalled.
package finish

import "time"

const (
	// completePercent is the progress of a completed task.
	completePercent = 100
	// minInterval is the minimum time between two reports for estimating the
	// rate of progress.
	minInterval = 100 * time.Millisecond
	// minGain is the minimum progress between these reports, in percent.
	minGain = 3
)

// sample is the progress reported at one time, in percent.
type sample struct {
	at      time.Time
	percent float64
}

// Tracker records the progress of one task. The zero value represents a task
// without reports.
type Tracker struct {
	first sample
	last  sample
	// lastProgress is when the current progress was first reported.
	lastProgress time.Time
}

// Start records that the task has started at zero percent. It has no effect
// once the task has reported progress.
func (t *Tracker) Start(at time.Time) {
	if t.first.at.IsZero() {
		t.Update(at, 0)
	}
}

// Update records a report of the completed percentage of the task. A decrease
// in progress restarts the estimate.
func (t *Tracker) Update(at time.Time, percent float64) {
	next := sample{
		at:      at,
		percent: percent,
	}
	if t.first.at.IsZero() || percent < t.last.percent {
		t.first = next
	}
	if t.lastProgress.IsZero() || percent != t.last.percent {
		t.lastProgress = at
	}
	t.last = next
}

// EstimatedCompletion returns the estimated completion time of the task, or
// false if the reports do not suffice for an estimate.
func (t *Tracker) EstimatedCompletion() (time.Time, bool) {
	elapsed := t.last.at.Sub(t.first.at)
	gain := t.last.percent - t.first.percent
	if elapsed < minInterval || gain < minGain {
		return time.Time{}, false
	}
	remaining := time.Duration(float64(elapsed) * (completePercent - t.last.percent) / gain)
	return t.last.at.Add(remaining), true
}

// IsStalled reports whether the task has stalled: its reported progress has not
// changed for at least minDuration, and for at least factor times the average
// time per percent before. Until the progress suffices for an average, a percent
// takes at least its part of the expected duration of the task, which is zero if
// it is unknown.
func (t *Tracker) IsStalled(minDuration time.Duration, factor int, expected time.Duration) bool {
	if t.last.percent >= completePercent {
		return false
	}
	perPercent := time.Duration(0)
	gain := t.last.percent - t.first.percent
	if gain > 0 {
		perPercent = time.Duration(float64(t.lastProgress.Sub(t.first.at)) / gain)
	}
	if gain < minGain {
		perPercent = max(perPercent, expected/completePercent)
	}
	minDuration = max(minDuration, time.Duration(factor)*perPercent)
	return t.last.at.Sub(t.lastProgress) >= minDuration
}
