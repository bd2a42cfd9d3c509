package sched

import "time"

const (
	// leastRate is the rate of starts assumed of a team that had none.
	leastRate = 0.1
	// maxEstimate bounds what an estimate says.
	maxEstimate = time.Hour
)

// EstimateWait returns how long a new job of the team would wait, from what
// waits before it and how fast the team's work has lately started.
func (e *Engine) EstimateWait(j Job, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	team := e.team(j.Team)
	ahead := 0
	for _, q := range team.shapes {
		if q.shape.kind == j.Kind && q.shape.urgent == j.Urgent {
			ahead += len(q.items) - q.head
		}
	}
	if ahead == 0 {
		return 0
	}
	starts := team.starts
	starts.decay(now)
	seconds := float64(ahead) / max(starts.value, leastRate)
	return min(time.Duration(seconds*float64(time.Second)), maxEstimate)
}

// Stats is a view of an Engine.
type Stats struct {
	Workers  int
	Waiting  int
	Running  int
	Jobs     int
	Reserved int
	Sick     int
	// Packing is the part of the fleet's processors that is taken.
	Packing float64
	// Shares holds each team's dominant share now.
	Shares map[string]float64
}

// Stats returns a view of what the Engine knows.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{
		Workers:  len(e.fleet.byID),
		Jobs:     len(e.jobs),
		Reserved: len(e.holders),
		Sick:     len(e.sick),
		Packing:  e.fleet.used.Dominant(e.fleet.total),
		Shares:   make(map[string]float64, len(e.teams)),
	}
	for _, w := range e.fleet.byID {
		s.Running += len(w.running)
	}
	for name, team := range e.teams {
		s.Waiting += team.waiting
		s.Shares[name] = team.used.Dominant(e.fleet.total)
	}
	return s
}
