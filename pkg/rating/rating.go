// Package rating learns how fast and how sound machines are, by comparing
// runs of alike tasks: a machine on which a task takes twice as long as its
// siblings took elsewhere is slow, whatever its health check says.
package rating

import (
	"sync"
	"time"
)

const (
	// usual is the speed of a machine that nothing is known of.
	usual   = 1.0
	slowest = 0.1
	fastest = 2.0
	// newest is the least weight of the newest run in a machine's speed. The
	// first runs weigh more: as much as if the usual speed had been seen
	// assumedRuns times before. newestEnd is the weight of the newest end in a
	// machine's part of failures.
	newest      = 0.1
	assumedRuns = 2
	newestEnd   = 0.25
	// A run on a machine that takes it several times as long as expected tells
	// of a machine that has just turned slow, and weighs turnedSlow.
	muchSlower  = 0.5
	turnedSlow  = 0.3
	leastAlike  = 2
	leastLength = 20 * time.Millisecond
	// leastStall is taken for the length of shorter tasks, whose length says
	// little.
	leastStall = 150 * time.Millisecond
	// tolerated is the part of failures that says nothing about a machine.
	tolerated = 0.3
	// forgiven is the part of a machine's failures that is left after each
	// forgiveEvery without an end, so that it is tried again.
	forgiven     = 0.5
	forgiveEvery = 4 * time.Second
)

// run is a task as it runs, or ran.
type run[T comparable] struct {
	machine T
	started time.Time
	length  time.Duration
}

// alike are the runs of tasks that should take equally long.
type alike[T comparable] struct {
	runs map[int]*run[T]
	done []*run[T]
}

// machine is what is known of one machine.
type machine struct {
	speed float64
	// runs counts those that were compared.
	runs     int
	failures float64
	ended    time.Time
}

// Rater rates machines T by tasks that are grouped by steps S. It is safe for
// several goroutines.
type Rater[S, T comparable] struct {
	mu       sync.Mutex
	steps    map[S]*alike[T]
	machines map[T]*machine
}

// NewRater returns a rater that knows nothing.
func NewRater[S, T comparable]() *Rater[S, T] {
	return &Rater[S, T]{
		steps:    map[S]*alike[T]{},
		machines: map[T]*machine{},
	}
}

// Started notes that a task has started on a machine.
func (r *Rater[S, T]) Started(step S, task int, on T, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.steps[step]
	if a == nil {
		a = &alike[T]{runs: map[int]*run[T]{}}
		r.steps[step] = a
	}
	a.runs[task] = &run[T]{
		machine: on,
		started: at,
	}
}

// take removes and returns the run of a task on a machine, or nil.
func (r *Rater[S, T]) take(step S, task int, on T) (*alike[T], *run[T]) {
	a := r.steps[step]
	if a == nil || a.runs[task] == nil || a.runs[task].machine != on {
		return nil, nil
	}
	got := a.runs[task]
	delete(a.runs, task)
	return a, got
}

func (r *Rater[S, T]) machine(id T) *machine {
	m := r.machines[id]
	if m == nil {
		m = &machine{speed: usual}
		r.machines[id] = m
	}
	return m
}

// Done notes that a task is done on a machine. Once enough alike tasks are, their machines
// are rated against each other.
func (r *Rater[S, T]) Done(step S, task int, on T, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, got := r.take(step, task, on)
	if got == nil {
		return
	}
	m := r.machine(got.machine)
	m.failures -= newestEnd * m.failures
	m.ended = at
	got.length = max(at.Sub(got.started), leastLength)
	a.done = append(a.done, got)
	if len(a.runs) == 0 && len(a.done) > leastAlike {
		r.compare(a)
	}
}

// compare rates the machines of runs that are done. The work in a run is its
// length times its machine's speed.
func (r *Rater[S, T]) compare(a *alike[T]) {
	mean := 0.0
	for _, d := range a.done {
		mean += d.length.Seconds() * r.machine(d.machine).speed
	}
	mean /= float64(len(a.done))
	for _, d := range a.done {
		m := r.machine(d.machine)
		seen := mean / d.length.Seconds()
		m.learn(min(max(seen, slowest), fastest))
	}
	a.done = nil
}

// learn takes the speed that one run has shown.
func (m *machine) learn(seen float64) {
	m.runs++
	weight := max(newest, 1/float64(m.runs+assumedRuns))
	if seen < muchSlower*m.speed {
		weight = max(weight, turnedSlow)
	}
	m.speed += weight * (seen - m.speed)
}

// Failed notes that a task has failed on a machine.
func (r *Rater[S, T]) Failed(step S, task int, on T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, got := r.take(step, task, on)
	if got == nil {
		return
	}
	m := r.machine(got.machine)
	m.failures += newestEnd * (1 - m.failures)
	m.ended = time.Now()
}

// Dropped notes that a run on a machine has ended for a reason that says nothing.
func (r *Rater[S, T]) Dropped(step S, task int, on T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take(step, task, on)
}

// Speed returns how fast the machine works, where 1 is usual. It is lowered
// for one on which more than the tolerated part of tasks fail.
func (r *Rater[S, T]) Speed(id T) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.machines[id]
	if m == nil {
		return usual
	}
	failures := m.failures
	for left := time.Since(m.ended); left > forgiveEvery && failures > tolerated; left -= forgiveEvery {
		failures *= forgiven
	}
	if failures > tolerated {
		return m.speed * (1 - failures) / 2
	}
	return m.speed
}

// Stalled tells whether the task has run for over times as long as the longest
// of its alike tasks that are done.
func (r *Rater[S, T]) Stalled(step S, task int, times float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.steps[step]
	if a == nil || len(a.done) < leastAlike || a.runs[task] == nil {
		return false
	}
	longest := leastStall
	for _, d := range a.done {
		longest = max(longest, d.length)
	}
	return now.Sub(a.runs[task].started) > time.Duration(times*float64(longest))
}

// Forget drops the steps that are over.
func (r *Rater[S, T]) Forget(over func(S) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for step := range r.steps {
		if over(step) {
			delete(r.steps, step)
		}
	}
}
