package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// runTimeSmoothing is the weight of a new observation in the average run
	// time.
	runTimeSmoothing = 0.2
	// usageDecay is the fraction of the learned usage that remains after
	// each smaller report.
	usageDecay = 0.95
)

// serviceKey identifies a service that estimates are kept for.
type serviceKey struct {
	team    string
	service string
}

// serviceRecord holds what has been observed of a team's service.
type serviceRecord struct {
	runTime       time.Duration
	usage         quota.Resources
	recentResults []workerResult
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

func (e *Engine) recordResult(job *jobRecord, record *taskRecord, result Result) {
	service := e.service(job.Team, job.Service)
	if !result.Failed && result.RunTime > 0 {
		service.observeRunTime(result.RunTime)
	}
	w := record.placement.worker
	e.scoreResult(job, w, service, result)
	service.observeResult(w.ID, result.Failed)
}

func (s *serviceRecord) observeRunTime(runTime time.Duration) {
	if s.runTime == 0 {
		s.runTime = runTime
		return
	}
	s.runTime += time.Duration(runTimeSmoothing * float64(runTime-s.runTime))
}

// observeResult keeps the last result of each of the most recent workers.
func (s *serviceRecord) observeResult(worker string, failed bool) {
	for i, r := range s.recentResults {
		if r.worker == worker {
			s.recentResults = append(s.recentResults[:i], s.recentResults[i+1:]...)
			break
		}
	}
	if len(s.recentResults) >= maxRecentResults {
		s.recentResults = s.recentResults[1:]
	}
	s.recentResults = append(s.recentResults, workerResult{
		worker: worker,
		failed: failed,
	})
}

// failureRateElsewhere returns the fraction of the recent workers other than
// the given one whose last result is a failure.
func (s *serviceRecord) failureRateElsewhere(worker string) float64 {
	failed, others := 0, 0
	for _, r := range s.recentResults {
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

// ObserveUsage learns from a report of what a task of the service actually
// uses. Reports may arrive late.
func (e *Engine) ObserveUsage(team, service string, declared, actual quota.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(team, service)
	s.usage.CPU = decayingExcess(s.usage.CPU, declared.CPU, actual.CPU)
	s.usage.Memory = decayingExcess(s.usage.Memory, declared.Memory, actual.Memory)
}

// decayingExcess returns the largest usage above the declared amount, which
// decays while reports stay below it.
func decayingExcess[A ~int64](learned, declared, actual A) A {
	if actual <= declared {
		actual = 0
	}
	decayed := A(usageDecay * float64(learned))
	return max(actual, decayed)
}

// expectedResources returns the resources to allocate for a task: what it
// declared, or the observed usage of its service if that is more and fits
// some worker.
func (e *Engine) expectedResources(job Job) quota.Resources {
	learned := e.service(job.Team, job.Service).usage
	resources := job.Resources
	resources.CPU = max(resources.CPU, learned.CPU)
	resources.Memory = max(resources.Memory, learned.Memory)
	if resources == job.Resources || e.fleet.fitsEmptyWorker(vectorOf(resources, 1)) {
		return resources
	}
	return job.Resources
}

// expectedOnWorker returns the resources to charge to a worker: the expected
// resources if they fit its free ones, and the declared resources otherwise.
func (e *Engine) expectedOnWorker(job Job, w *worker) quota.Resources {
	resources := e.expectedResources(job)
	if resources.FitsIn(w.freeResources()) {
		return resources
	}
	return job.Resources
}

// RunTime returns the learned run time of the team's service, or the
// declared one if none has been observed.
func (e *Engine) RunTime(team, service string, declared time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if learned := e.service(team, service).runTime; learned > 0 {
		return learned
	}
	return declared
}

// Action is the response to a task that uses more than it declared.
type Action uint8

// Responses to excess usage.
const (
	ActionNone Action = iota + 1
	ActionThrottle
	ActionStop
)

// ActionFor returns the response to a task's usage, given what it declared.
// Excess CPU usage can be throttled; excess memory usage requires stopping
// the task.
func ActionFor(declared, actual quota.Resources) Action {
	switch {
	case actual.Memory > declared.Memory:
		return ActionStop
	case actual.CPU > declared.CPU:
		return ActionThrottle
	}
	return ActionNone
}
