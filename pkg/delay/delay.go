// Package delay learns how long answers take, and tells how long to wait for
// one before it is taken for lost. It is the estimator of RFC 6298.
package delay

import (
	"sync"
	"time"
)

const (
	// meanParts and spreadParts are the parts, one in so many, of the newest
	// answer in the mean and in the spread.
	meanParts   = 8
	spreadParts = 4
	// spreads is how many spreads beyond the mean an answer may take.
	spreads = 4
)

// Estimator knows the mean time of answers and their spread. It is safe for
// several goroutines.
type Estimator struct {
	least time.Duration
	most  time.Duration

	mu     sync.Mutex
	known  bool
	mean   time.Duration
	spread time.Duration
}

// NewEstimator returns an estimator that knows nothing, and whose limits are
// from least to most.
func NewEstimator(least, most time.Duration) *Estimator {
	return &Estimator{
		least: least,
		most:  most,
	}
}

// Seen notes how long an answer took.
func (e *Estimator) Seen(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		e.known = true
		e.mean = took
		e.spread = took / 2
		return
	}
	e.spread += ((took - e.mean).Abs() - e.spread) / spreadParts
	e.mean += (took - e.mean) / meanParts
}

// Limit returns how long to wait for an answer. Before any has been seen it is
// the most.
func (e *Estimator) Limit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return e.most
	}
	return min(max(e.mean+spreads*e.spread, e.least), e.most)
}
