// Package fake holds stand-ins for what lies outside a cell: targets that
// run tasks by waiting, a witness of what they ran, and links that can be
// delayed and cut.
package fake

import (
	"sort"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Run is one run of a task as a target saw it.
type Run struct {
	Attempt ledger.Attempt
	Target  string
	Service string
	Team    string
	Request string
	Room    quota.Room
	Started time.Time
	// Ended is zero while the task runs.
	Ended time.Time
}

// Witness notes what targets really run. It knows nothing of the cell.
type Witness struct {
	mu       sync.Mutex
	runs     []*Run
	byTask   map[taskKey][]*Run
	onTarget map[string]quota.Room
	byTeam   map[string]quota.Room
	capacity map[string]quota.Room
	limits   map[string]quota.Room
	owners   map[string]string
	// The counts of broken promises.
	overCapacity int
	overLimit    int
	doubleRuns   int
	wrongTeam    int
}

type taskKey struct {
	job  ledger.JobID
	task int
}

// NewWitness returns a witness that has seen nothing.
func NewWitness() *Witness {
	return &Witness{
		byTask:   map[taskKey][]*Run{},
		onTarget: map[string]quota.Room{},
		byTeam:   map[string]quota.Room{},
		capacity: map[string]quota.Room{},
		limits:   map[string]quota.Room{},
		owners:   map[string]string{},
	}
}

// SetCapacity tells what a target has.
func (w *Witness) SetCapacity(target string, capacity quota.Room) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity[target] = capacity
}

// SetLimit tells a team's upper limit.
func (w *Witness) SetLimit(team string, limit quota.Room) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[team] = limit
}

// SetOwner tells which team the work of a service is for.
func (w *Witness) SetOwner(service, team string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners[service] = team
}

// start notes a start and checks it against everything that runs.
func (w *Witness) start(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := taskKey{
		job:  run.Attempt.Job,
		task: run.Attempt.Task,
	}
	for _, other := range w.byTask[key] {
		if other.Ended.IsZero() {
			w.doubleRuns++
		}
	}
	w.runs = append(w.runs, run)
	w.byTask[key] = append(w.byTask[key], run)
	w.onTarget[run.Target] = w.onTarget[run.Target].Add(run.Room)
	w.byTeam[run.Team] = w.byTeam[run.Team].Add(run.Room)
	if !w.onTarget[run.Target].Fits(w.capacity[run.Target]) {
		w.overCapacity++
	}
	if limit, ok := w.limits[run.Team]; ok && !w.byTeam[run.Team].Fits(limit) {
		w.overLimit++
	}
	if owner, ok := w.owners[run.Service]; ok && owner != run.Team {
		w.wrongTeam++
	}
}

// end notes the end of a run.
func (w *Witness) end(run *Run, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !run.Ended.IsZero() {
		return
	}
	run.Ended = at
	w.onTarget[run.Target] = w.onTarget[run.Target].Sub(run.Room)
	w.byTeam[run.Team] = w.byTeam[run.Team].Sub(run.Room)
}

// Broken counts the promises that were broken.
type Broken struct {
	OverCapacity int
	OverLimit    int
	DoubleRuns   int
	WrongTeam    int
}

// Broken returns what has been counted so far.
func (w *Witness) Broken() Broken {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Broken{
		OverCapacity: w.overCapacity,
		OverLimit:    w.overLimit,
		DoubleRuns:   w.doubleRuns,
		WrongTeam:    w.wrongTeam,
	}
}

// Runs returns a copy of every run of the request, in the order of starts.
func (w *Witness) Runs(request string) []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []Run
	for _, run := range w.runs {
		if run.Request == request {
			runs = append(runs, *run)
		}
	}
	return runs
}

// All returns a copy of every run, in the order of starts.
func (w *Witness) All() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, *run)
	}
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
	return runs
}

// Running returns the room taken on all targets and by each team now.
func (w *Witness) Running() (total quota.Room, teams map[string]quota.Room) {
	w.mu.Lock()
	defer w.mu.Unlock()
	teams = make(map[string]quota.Room, len(w.byTeam))
	for team, room := range w.byTeam {
		teams[team] = room
		total = total.Add(room)
	}
	return total, teams
}
