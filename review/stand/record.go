package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and collects the
// violations of the rules.
type record struct {
	started time.Time

	mu         sync.Mutex
	file       *os.File
	violations []string
	// active has the workers on which a run of a task is at work, by task.
	active map[string]map[string]int
	starts map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(),
		file:    file,
		active:  map[string]map[string]int{},
		starts:  map[string]int{},
	}, nil
}

// write adds a line to the record.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(format, args...)
}

func (r *record) writeLocked(format string, args ...any) {
	elapsed := float64(time.Since(r.started).Milliseconds()) / 1000
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", elapsed, fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (r *record) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violateLocked(format, args...)
}

func (r *record) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.writeLocked("BROKEN %s", text)
}

// minOverlap is how long two runs of a task are at work before that counts: the time in
// which two messages that were sent at once may arrive.
const minOverlap = 50 * time.Millisecond

// runStarted records that a worker has begun a run. It is a violation if another run
// of the task is and stays at work on a worker that is up.
func (r *record) runStarted(worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.writeLocked("run   %s starts %s run %d", worker, task, run)
	for other, otherRun := range r.active[task] {
		time.AfterFunc(minOverlap, func() { r.checkOverlap(task, run, worker, otherRun, other) })
	}
	if r.active[task] == nil {
		r.active[task] = map[string]int{}
	}
	r.active[task][worker] = run
}

// checkOverlap records a violation if both runs are still at work.
func (r *record) checkOverlap(task string, run int, worker string, otherRun int, other string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[task][worker] == run && r.active[task][other] == otherRun {
		r.violateLocked("TWICE: %s run %d is at work on %s and run %d on %s for more than %s",
			task, run, worker, otherRun, other, minOverlap)
	}
}

// runEnded records that a run is over.
func (r *record) runEnded(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[task], worker)
	r.writeLocked("run   %s ends %s run %d: %s", worker, task, run, how)
}

// countStarts returns how many runs of the task have begun.
func (r *record) countStarts(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// isActive reports whether a run of the task is at work.
func (r *record) isActive(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active[task]) > 0
}

// close ends the record and returns the violations.
func (r *record) close() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
	return r.violations
}
