package ledger

import (
	"sort"

	"github.com/jasmineward/jasmineward/internal/note"
)

// Job returns the job with the id, and whether there is one.
func (l *Ledger) Job(id JobID) (*Job, bool) {
	return l.jobs.Get(id)
}

// Request returns the job of the request, and whether there is one.
func (l *Ledger) Request(key RequestKey) (*Job, bool) {
	id, ok := l.requests.Get(key)
	if !ok {
		return nil, false
	}
	return l.jobs.Get(id)
}

// Target returns the target with the id, and whether it has a session.
func (l *Ledger) Target(id string) (*Target, bool) {
	return l.targets.Get(id)
}

// Targets returns every target with a session, by id.
func (l *Ledger) Targets() []*Target {
	var targets []*Target
	l.targets.Each(func(_ string, t *Target) bool {
		targets = append(targets, t)
		return true
	})
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}

// Jobs returns the jobs that match, newest first, at most so many.
func (l *Ledger) Jobs(match func(*Job) bool, most int) []*Job {
	var jobs []*Job
	l.jobs.Each(func(_ JobID, j *Job) bool {
		if match(j) {
			jobs = append(jobs, j)
		}
		return true
	})
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].ID > jobs[j].ID })
	if len(jobs) > most {
		jobs = jobs[:most]
	}
	return jobs
}

// Config returns the configuration in force.
func (l *Ledger) Config() *note.State {
	return l.config.Load()
}

// Usage returns what the team has on the fleet.
func (l *Ledger) Usage(team string) Usage {
	l.usageMu.RLock()
	defer l.usageMu.RUnlock()
	return l.usage[team]
}

// Live returns the jobs that are not over, in the order of admission. It
// must be called by the goroutine that applies.
func (l *Ledger) Live() []*Job {
	return l.liveInOrder()
}

func (l *Ledger) liveInOrder() []*Job {
	jobs := make([]*Job, 0, len(l.live))
	for _, job := range l.live {
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].ID < jobs[j].ID })
	return jobs
}

// Finished returns the jobs that are over, in the order in which they ended.
func (l *Ledger) Finished() []JobID {
	var over []*Job
	l.jobs.Each(func(_ JobID, j *Job) bool {
		if j.Over() {
			over = append(over, j)
		}
		return true
	})
	sort.Slice(over, func(i, j int) bool {
		if over[i].Finished != over[j].Finished {
			return over[i].Finished < over[j].Finished
		}
		return over[i].ID < over[j].ID
	})
	ids := make([]JobID, 0, len(over))
	for _, j := range over {
		ids = append(ids, j.ID)
	}
	return ids
}

// MayPrune tells whether the job may be forgotten at the time.
func (l *Ledger) MayPrune(id JobID, now Millis) bool {
	job, ok := l.jobs.Get(id)
	return ok && l.prunable(job, now)
}
