// Package rating estimates the speed and failure rate of machines by comparing
// runs of tasks of the same step. A machine on which a task takes twice as long
// as the other tasks of its step take elsewhere is slow, even if its health
// check passes.
package rating

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// defaultSpeed is the speed of a machine without samples.
	defaultSpeed = 1.0
	minSpeed     = 0.1
	maxSpeed     = 2.0
	// minSampleWeight is the minimum weight of a new sample in the moving
	// average of a machine's speed. The first samples weigh more, as if
	// defaultSpeed had been observed priorSamples times before. failureWeight is
	// the weight of the latest task end in the moving average of a machine's
	// failure rate.
	minSampleWeight = 0.1
	priorSamples    = 2
	failureWeight   = 0.25
	// An observed speed below slowdownThreshold times the estimate indicates
	// that the machine has just become slow. Its sample weighs at least
	// slowdownWeight.
	slowdownThreshold = 0.5
	slowdownWeight    = 0.3
	// minSamples is the number of completed runs of a step that stall detection
	// needs. Rating machines needs more than this number.
	minSamples = 2
	// minDuration is the lower bound for the recorded duration of a run.
	minDuration = 20 * time.Millisecond
	// minStallBaseline replaces shorter run durations in stall detection, as
	// these are poor predictors.
	minStallBaseline = 150 * time.Millisecond
	// toleratedFailureRate is the failure rate up to which failures are not
	// attributed to the machine and its speed is not reduced.
	toleratedFailureRate = 0.3
	// failureDecay is the factor by which a machine's failure rate is multiplied
	// after each failureDecayInterval without a task end, so that the machine is
	// tried again.
	failureDecay         = 0.5
	failureDecayInterval = 4 * time.Second
)

// run is an active or completed run of a task.
type run[T comparable] struct {
	machine  T
	started  time.Time
	duration time.Duration
}

// stepRuns holds the runs of a step's tasks, which should take equally long.
type stepRuns[T comparable] struct {
	active    map[int]*run[T]
	completed []*run[T]
}

// machineStats holds the estimates for one machine.
type machineStats struct {
	speed float64
	// samples counts the runs that contributed to speed.
	samples     int
	failureRate float64
	lastEnd     time.Time
}

// Rater rates machines, identified by T, by the runs of tasks, which are grouped
// by steps, identified by S. It is safe for concurrent use.
type Rater[S, T comparable] struct {
	mu       sync.Mutex
	steps    map[S]*stepRuns[T]
	machines map[T]*machineStats
}

// NewRater returns a rater without any samples.
func NewRater[S, T comparable]() *Rater[S, T] {
	return &Rater[S, T]{
		steps:    map[S]*stepRuns[T]{},
		machines: map[T]*machineStats{},
	}
}

// Started records that a task has started on a machine.
func (r *Rater[S, T]) Started(step S, task int, machine T, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.steps[step]
	if runs == nil {
		runs = &stepRuns[T]{active: map[int]*run[T]{}}
		r.steps[step] = runs
	}
	runs.active[task] = &run[T]{
		machine: machine,
		started: at,
	}
}

// takeRun removes the active run of a task on a machine and returns it with the
// runs of its step, or nil if there is none.
func (r *Rater[S, T]) takeRun(step S, task int, machine T) (*stepRuns[T], *run[T]) {
	runs := r.steps[step]
	if runs == nil || runs.active[task] == nil || runs.active[task].machine != machine {
		return nil, nil
	}
	taken := runs.active[task]
	delete(runs.active, task)
	return runs, taken
}

// statsOf returns the estimates for the machine, creating them if necessary.
func (r *Rater[S, T]) statsOf(machine T) *machineStats {
	m := r.machines[machine]
	if m == nil {
		m = &machineStats{speed: defaultSpeed}
		r.machines[machine] = m
	}
	return m
}

// Done records that a task has completed on a machine. Once no run of the step
// is active and enough have completed, their machines are rated against each
// other.
func (r *Rater[S, T]) Done(step S, task int, machine T, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs, finished := r.takeRun(step, task, machine)
	if finished == nil {
		return
	}
	m := r.statsOf(finished.machine)
	m.failureRate -= failureWeight * m.failureRate
	m.lastEnd = at
	finished.duration = max(at.Sub(finished.started), minDuration)
	runs.completed = append(runs.completed, finished)
	if len(runs.active) == 0 && len(runs.completed) > minSamples {
		r.rateMachines(runs)
	}
}

// rateMachines updates the speeds of the machines of completed runs. The work of
// a run is its duration multiplied by the speed of its machine.
func (r *Rater[S, T]) rateMachines(runs *stepRuns[T]) {
	meanWork := 0.0
	for _, completed := range runs.completed {
		meanWork += completed.duration.Seconds() * r.statsOf(completed.machine).speed
	}
	meanWork /= float64(len(runs.completed))
	for _, completed := range runs.completed {
		m := r.statsOf(completed.machine)
		observed := meanWork / completed.duration.Seconds()
		m.addSample(min(max(observed, minSpeed), maxSpeed))
	}
	runs.completed = nil
}

// addSample updates the speed with the one observed in a run.
func (m *machineStats) addSample(observed float64) {
	m.samples++
	weight := max(minSampleWeight, 1/float64(m.samples+priorSamples))
	if observed < slowdownThreshold*m.speed {
		weight = max(weight, slowdownWeight)
	}
	m.speed += weight * (observed - m.speed)
}

// Failed records that a task has failed on a machine.
func (r *Rater[S, T]) Failed(step S, task int, machine T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, failed := r.takeRun(step, task, machine)
	if failed == nil {
		return
	}
	m := r.statsOf(failed.machine)
	m.failureRate += failureWeight * (1 - m.failureRate)
	m.lastEnd = time.Now()
}

// Discarded discards a run that ended for a reason unrelated to its machine.
func (r *Rater[S, T]) Discarded(step S, task int, machine T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeRun(step, task, machine)
}

// Speed returns the relative speed of the machine, where 1 is the default. The
// speed is reduced if the failure rate of the machine exceeds
// toleratedFailureRate.
func (r *Rater[S, T]) Speed(machine T) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.machines[machine]
	if m == nil {
		return defaultSpeed
	}
	failureRate := m.failureRate
	for elapsed := time.Since(m.lastEnd); elapsed > failureDecayInterval && failureRate > toleratedFailureRate; elapsed -= failureDecayInterval {
		failureRate *= failureDecay
	}
	if failureRate > toleratedFailureRate {
		return m.speed * (1 - failureRate) / 2
	}
	return m.speed
}

// Stalled reports whether the task has run for more than factor times the
// longest duration of a completed run of the same step.
func (r *Rater[S, T]) Stalled(step S, task int, factor float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := r.longestRun(step)
	if longest == 0 || r.steps[step].active[task] == nil {
		return false
	}
	longest = max(longest, minStallBaseline)
	return now.Sub(r.steps[step].active[task].started) > time.Duration(factor*float64(longest))
}

// LongestRun returns the longest duration of a completed run of the step, or zero
// while too few have completed.
func (r *Rater[S, T]) LongestRun(step S) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longestRun(step)
}

// longestRun is LongestRun with the lock held.
func (r *Rater[S, T]) longestRun(step S) time.Duration {
	runs := r.steps[step]
	if runs == nil || len(runs.completed) < minSamples {
		return 0
	}
	longest := time.Duration(0)
	for _, completed := range runs.completed {
		longest = max(longest, completed.duration)
	}
	return longest
}

// Forget deletes the data of finished steps. The function may take locks that are
// held while the rater is used, as it is not called with the rater's lock held.
func (r *Rater[S, T]) Forget(finished func(S) bool) {
	r.mu.Lock()
	steps := slices.Collect(maps.Keys(r.steps))
	r.mu.Unlock()
	steps = slices.DeleteFunc(steps, func(step S) bool { return !finished(step) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, step := range steps {
		delete(r.steps, step)
	}
}
