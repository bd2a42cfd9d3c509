// Package fake runs a cell in one process for tests and measurements. It
// simulates the targets, records what they run, and can delay and partition the
// network between the instances.
package fake

import (
	"sort"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Run is one execution of a task attempt on a target.
type Run struct {
	Attempt   ledger.Attempt
	Target    string
	Service   string
	Team      string
	RequestID string
	Resources quota.Resources
	Started   time.Time
	// Ended is the zero time while the task is running.
	Ended time.Time
}

// Recorder records what the targets run and counts violations of the cell's
// guarantees. It uses no state of the cell, so that it can check the cell
// independently.
type Recorder struct {
	mu               sync.Mutex
	runs             []*Run
	runsByTask       map[taskKey][]*Run
	usedByTarget     map[string]quota.Resources
	usedByTeam       map[string]quota.Resources
	capacityByTarget map[string]quota.Resources
	limitByTeam      map[string]quota.Resources
	teamByService    map[string]string
	// Counts of violations.
	overCapacity int
	overLimit    int
	doubleRuns   int
	wrongTeam    int
}

type taskKey struct {
	job  ledger.JobID
	task int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		runsByTask:       map[taskKey][]*Run{},
		usedByTarget:     map[string]quota.Resources{},
		usedByTeam:       map[string]quota.Resources{},
		capacityByTarget: map[string]quota.Resources{},
		limitByTeam:      map[string]quota.Resources{},
		teamByService:    map[string]string{},
	}
}

// SetCapacity sets the capacity of a target.
func (r *Recorder) SetCapacity(target string, capacity quota.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacityByTarget[target] = capacity
}

// SetLimit sets the upper limit of a team.
func (r *Recorder) SetLimit(team string, limit quota.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitByTeam[team] = limit
}

// SetOwner sets the team to which the tasks of a service are charged.
func (r *Recorder) SetOwner(service, team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.teamByService[service] = team
}

// recordStart records the start of a run and checks it against all current runs.
func (r *Recorder) recordStart(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := taskKey{
		job:  run.Attempt.Job,
		task: run.Attempt.Task,
	}
	for _, other := range r.runsByTask[key] {
		if other.Ended.IsZero() {
			r.doubleRuns++
		}
	}
	r.runs = append(r.runs, run)
	r.runsByTask[key] = append(r.runsByTask[key], run)
	r.usedByTarget[run.Target] = r.usedByTarget[run.Target].Add(run.Resources)
	r.usedByTeam[run.Team] = r.usedByTeam[run.Team].Add(run.Resources)
	if !r.usedByTarget[run.Target].FitsIn(r.capacityByTarget[run.Target]) {
		r.overCapacity++
	}
	if limit, ok := r.limitByTeam[run.Team]; ok && !r.usedByTeam[run.Team].FitsIn(limit) {
		r.overLimit++
	}
	if owner, ok := r.teamByService[run.Service]; ok && owner != run.Team {
		r.wrongTeam++
	}
}

// recordEnd records the end of a run. It does nothing if the run has ended
// already.
func (r *Recorder) recordEnd(run *Run, endedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !run.Ended.IsZero() {
		return
	}
	run.Ended = endedAt
	r.usedByTarget[run.Target] = r.usedByTarget[run.Target].Sub(run.Resources)
	r.usedByTeam[run.Team] = r.usedByTeam[run.Team].Sub(run.Resources)
}

// Violations counts the violations of each guarantee. DoubleRuns counts starts of
// a task while an earlier run of it had not ended.
type Violations struct {
	OverCapacity int
	OverLimit    int
	DoubleRuns   int
	WrongTeam    int
}

// Violations returns the counts so far.
func (r *Recorder) Violations() Violations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Violations{
		OverCapacity: r.overCapacity,
		OverLimit:    r.overLimit,
		DoubleRuns:   r.doubleRuns,
		WrongTeam:    r.wrongTeam,
	}
}

// Runs returns copies of the runs of a request, in the order in which they were
// recorded.
func (r *Recorder) Runs(requestID string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []Run
	for _, run := range r.runs {
		if run.RequestID == requestID {
			runs = append(runs, *run)
		}
	}
	return runs
}

// AllRuns returns copies of all runs, ordered by start time.
func (r *Recorder) AllRuns() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
	return runs
}

// Usage returns the resources in use now, in total and by team.
func (r *Recorder) Usage() (total quota.Resources, byTeam map[string]quota.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTeam = make(map[string]quota.Resources, len(r.usedByTeam))
	for team, used := range r.usedByTeam {
		byTeam[team] = used
		total = total.Add(used)
	}
	return total, byTeam
}
