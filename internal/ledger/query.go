package ledger

import (
	"sort"

	"github.com/jasmineward/jasmineward/internal/note"
)

// Job returns the job with the given id, and whether it exists.
func (l *Ledger) Job(id JobID) (*Job, bool) {
	return l.jobs.Get(id)
}

// JobByRequest returns the job admitted for the request, and whether it exists.
func (l *Ledger) JobByRequest(key RequestKey) (*Job, bool) {
	id, ok := l.requests.Get(key)
	if !ok {
		return nil, false
	}
	return l.jobs.Get(id)
}

// Target returns the target with the given id, and whether it has a session.
func (l *Ledger) Target(id string) (*Target, bool) {
	return l.targets.Get(id)
}

// Targets returns all targets that have a session, sorted by id.
func (l *Ledger) Targets() []*Target {
	var targets []*Target
	l.targets.Range(func(_ string, t *Target) bool {
		targets = append(targets, t)
		return true
	})
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}

// Jobs returns the matching jobs, newest first, but no more than limit.
func (l *Ledger) Jobs(match func(*Job) bool, limit int) []*Job {
	var jobs []*Job
	l.jobs.Range(func(_ JobID, j *Job) bool {
		if match(j) {
			jobs = append(jobs, j)
		}
		return true
	})
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].ID > jobs[j].ID })
	if len(jobs) > limit {
		jobs = jobs[:limit]
	}
	return jobs
}

// Config returns the current configuration.
func (l *Ledger) Config() *note.State {
	return l.config.Load()
}

// Usage returns the current usage of the team.
func (l *Ledger) Usage(team string) Usage {
	l.usageMu.RLock()
	defer l.usageMu.RUnlock()
	return l.usage[team]
}

// UnfinishedJobs returns the unfinished jobs in order of admission. It must be
// called by the goroutine that applies commands.
func (l *Ledger) UnfinishedJobs() []*Job {
	return l.liveByID()
}

func (l *Ledger) liveByID() []*Job {
	jobs := make([]*Job, 0, len(l.live))
	for _, job := range l.live {
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].ID < jobs[j].ID })
	return jobs
}

// FinishedJobIDs returns the ids of the finished jobs in the order in which
// they finished.
func (l *Ledger) FinishedJobIDs() []JobID {
	var finished []*Job
	l.jobs.Range(func(_ JobID, j *Job) bool {
		if j.IsFinished() {
			finished = append(finished, j)
		}
		return true
	})
	sort.Slice(finished, func(i, j int) bool {
		if finished[i].FinishedAt != finished[j].FinishedAt {
			return finished[i].FinishedAt < finished[j].FinishedAt
		}
		return finished[i].ID < finished[j].ID
	})
	ids := make([]JobID, 0, len(finished))
	for _, j := range finished {
		ids = append(ids, j.ID)
	}
	return ids
}

// CanPrune reports whether a Prune at the given time would delete the job.
func (l *Ledger) CanPrune(id JobID, now Millis) bool {
	job, ok := l.jobs.Get(id)
	return ok && l.canPrune(job, now)
}
