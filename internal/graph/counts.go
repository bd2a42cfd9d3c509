package graph

import "github.com/jasmineward/jasmineward/pkg/quota"

// Counts holds totals over the ledger, for metrics.
type Counts struct {
	// Live counts the jobs that are not in a final state, Pending those of
	// which no task has been placed, and Waiting the tasks in TaskWaiting.
	Live    int
	Pending int
	Waiting int
	Targets int
	Version int64
	// Oldest is the admission time of the oldest pending job; zero if there is
	// none.
	Oldest Millis
	// Used is the part of the targets' total Capacity that runs reserve.
	Used     quota.Resources
	Capacity quota.Resources
	// Evacuated counts the evacuated failure domains.
	Evacuated int
}

// Counts returns the current totals.
func (l *Ledger) Counts() Counts {
	l.mu.RLock()
	defer l.mu.RUnlock()
	c := Counts{
		Live:    len(l.liveJobs),
		Targets: len(l.targets),

		Evacuated: len(l.evacuated),
	}
	for _, n := range l.pendingByQueue {
		c.Pending += n
	}
	for _, job := range l.liveJobs {
		c.Waiting += job.Waiting
		if !job.Started && (c.Oldest == 0 || job.Admitted < c.Oldest) {
			c.Oldest = job.Admitted
		}
	}
	for _, target := range l.targets {
		c.Used = c.Used.Add(target.Used)
		c.Capacity = c.Capacity.Add(target.Capacity)
	}
	if l.config != nil {
		c.Version = l.config.config.Version
	}
	return c
}
