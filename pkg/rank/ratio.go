package rank

import (
	"sync"
	"time"
)

const (
	// ratioDecay is the factor by which earlier runs weigh less with each run. About the
	// last 50 runs count.
	ratioDecay = 0.98
	// priorRuns is the number of runs that the initial ratio of 1 counts as.
	priorRuns = 4
	// minRatio and maxRatio bound the effect of outliers.
	minRatio = 0.1
	maxRatio = 10
)

// Ratios learns by which factor runs take longer than estimated, by group. It is safe for
// concurrent use. The zero value is ready for use.
type Ratios[G comparable] struct {
	mu     sync.Mutex
	groups map[G]*ratio
}

// ratio is the decaying sum of relative durations and of their weights.
type ratio struct {
	sum    float64
	weight float64
}

// Observe records a completed run. Runs without an estimate are ignored.
func (r *Ratios[G]) Observe(group G, actual, estimated time.Duration) {
	if estimated <= 0 || actual <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.groups[group]
	if known == nil {
		if r.groups == nil {
			r.groups = map[G]*ratio{}
		}
		known = &ratio{
			sum:    priorRuns,
			weight: priorRuns,
		}
		r.groups[group] = known
	}
	observed := min(max(float64(actual)/float64(estimated), minRatio), maxRatio)
	known.sum = known.sum*ratioDecay + observed
	known.weight = known.weight*ratioDecay + 1
}

// Of returns the factor for the group, which is 1 without any runs.
func (r *Ratios[G]) Of(group G) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.groups[group]
	if known == nil {
		return 1
	}
	return known.sum / known.weight
}
