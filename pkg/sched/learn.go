package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// learnPart is how much a new observation moves an estimate.
	learnPart = 0.2
	// sizeDecay is how much of a learned excess each smaller report leaves.
	sizeDecay = 0.95
)

// serviceKey is what estimates are kept for.
type serviceKey struct {
	team    string
	service string
}

// serviceRecord is what has been seen of a team's service.
type serviceRecord struct {
	run     time.Duration
	room    quota.Room
	results []workerResult
}

type workerResult struct {
	worker string
	failed bool
}

func (e *Engine) service(team, name string) *serviceRecord {
	key := serviceKey{
		team:    team,
		service: name,
	}
	record := e.services[key]
	if record == nil {
		record = &serviceRecord{}
		e.services[key] = record
	}
	return record
}

func (e *Engine) learn(job *jobRecord, record *taskRecord, result Result) {
	service := e.service(job.Team, job.Service)
	if !result.Failed && result.Ran > 0 {
		service.observeRun(result.Ran)
	}
	w := record.run.worker
	e.blame(job, w, service, result)
	service.observeResult(w.ID, result.Failed)
}

func (s *serviceRecord) observeRun(ran time.Duration) {
	if s.run == 0 {
		s.run = ran
		return
	}
	s.run += time.Duration(learnPart * float64(ran-s.run))
}

// observeResult keeps the last result of each of the latest workers.
func (s *serviceRecord) observeResult(worker string, failed bool) {
	for i, r := range s.results {
		if r.worker == worker {
			s.results = append(s.results[:i], s.results[i+1:]...)
			break
		}
	}
	if len(s.results) >= rememberedWorkers {
		s.results = s.results[1:]
	}
	s.results = append(s.results, workerResult{
		worker: worker,
		failed: failed,
	})
}

// failsElsewhere returns the part of the other workers on which the service
// failed last.
func (s *serviceRecord) failsElsewhere(worker string) float64 {
	failed, others := 0, 0
	for _, r := range s.results {
		if r.worker == worker {
			continue
		}
		others++
		if r.failed {
			failed++
		}
	}
	if others == 0 {
		return 0
	}
	return float64(failed) / float64(others)
}

// ObserveUsage learns from a report of what a task of the service really
// uses, however late it comes.
func (e *Engine) ObserveUsage(team, service string, declared, actual quota.Room) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(team, service)
	s.room.CPU = learnAmount(s.room.CPU, declared.CPU, actual.CPU)
	s.room.Memory = learnAmount(s.room.Memory, declared.Memory, actual.Memory)
}

// learnAmount keeps the largest excess over the declared amount, and lets it
// fade while reports stay below it.
func learnAmount[A ~int64](learned, declared, actual A) A {
	if actual <= declared {
		actual = 0
	}
	faded := A(sizeDecay * float64(learned))
	return max(actual, faded)
}

// expectedRoom returns the room to keep for a task: what it was declared to
// need, or what its service has been seen to use if that is more.
func (e *Engine) expectedRoom(job Job) quota.Room {
	learned := e.service(job.Team, job.Service).room
	room := job.Room
	room.CPU = max(room.CPU, learned.CPU)
	room.Memory = max(room.Memory, learned.Memory)
	if room == job.Room || e.fleet.everFits(vectorOf(room, 1)) {
		return room
	}
	return job.Room
}

// expected returns the room counted on a worker, which is never more than it
// has left unless the declared room itself is.
func (e *Engine) expected(job Job, w *worker) quota.Room {
	room := e.expectedRoom(job)
	if room.Fits(w.freeRoom()) {
		return room
	}
	return job.Room
}

// RunTime returns the learned run time of the team's service, or the
// declared one while nothing has been seen.
func (e *Engine) RunTime(team, service string, declared time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run := e.service(team, service).run; run > 0 {
		return run
	}
	return declared
}

// Action is what to do about a task that uses more than it declared.
type Action uint8

// Actions.
const (
	ActionNone Action = iota + 1
	ActionThrottle
	ActionStop
)

// Enforce returns what to do about a task by what it was declared to need
// and what it uses. Processors can be throttled; memory can only be stopped.
func Enforce(declared, actual quota.Room) Action {
	switch {
	case actual.Memory > declared.Memory:
		return ActionStop
	case actual.CPU > declared.CPU:
		return ActionThrottle
	}
	return ActionNone
}
