package sched

import "time"

const (
	// minStartRate is the lower bound, in starts per second, on the start
	// rate used in estimates. It covers teams without recent starts.
	minStartRate = 0.1
	// maxWaitEstimate caps the estimated wait.
	maxWaitEstimate = time.Hour
)

// EstimateWait estimates how long a new job of the team would wait, from the
// number of items queued ahead of it and the team's recent start rate.
func (e *Engine) EstimateWait(j Job, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	team := e.team(j.Team)
	ahead := 0
	for _, q := range team.queues {
		if q.class.kind == j.Kind && q.class.urgent == j.Urgent {
			ahead += len(q.items) - q.head
		}
	}
	if ahead == 0 {
		return 0
	}
	starts := team.startRate
	starts.decay(now)
	seconds := float64(ahead) / max(starts.value, minStartRate)
	return min(time.Duration(seconds*float64(time.Second)), maxWaitEstimate)
}

// Stats is a snapshot of an Engine's state.
type Stats struct {
	Workers      int
	Waiting      int
	Running      int
	Jobs         int
	ReservedJobs int
	Quarantined  int
	// Packing is the dominant share of the fleet's resources that is in use.
	Packing float64
	// Shares holds the current dominant share of each team.
	Shares map[string]float64
}

// Stats returns a snapshot of the Engine's state.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{
		Workers:      len(e.fleet.byID),
		Jobs:         len(e.jobs),
		ReservedJobs: len(e.reservedJobs),
		Quarantined:  len(e.quarantined),
		Packing:      e.fleet.used.DominantShare(e.fleet.total),
		Shares:       make(map[string]float64, len(e.teams)),
	}
	for _, w := range e.fleet.byID {
		s.Running += len(w.placements)
	}
	for name, team := range e.teams {
		s.Waiting += team.waiting
		s.Shares[name] = team.used.DominantShare(e.fleet.total)
	}
	return s
}
