// Package delay computes adaptive response timeouts. It tracks the smoothed
// mean and deviation of observed latencies with the retransmission timeout
// estimator of RFC 6298.
package delay

import (
	"sync"
	"time"
)

const (
	// meanDivisor and deviationDivisor are the inverse gains of the moving
	// averages: a new latency has a weight of 1/8 in the mean and 1/4 in the
	// deviation.
	meanDivisor      = 8
	deviationDivisor = 4
	// deviationMultiplier is the number of deviations that the timeout lies
	// above the mean.
	deviationMultiplier = 4
)

// Estimator derives a timeout from the mean and the deviation of the latencies
// observed so far. It is safe for concurrent use.
type Estimator struct {
	minTimeout time.Duration
	maxTimeout time.Duration

	mu        sync.Mutex
	hasSample bool
	mean      time.Duration
	deviation time.Duration
}

// NewEstimator returns an estimator without observations. Its timeouts lie
// between minTimeout and maxTimeout.
func NewEstimator(minTimeout, maxTimeout time.Duration) *Estimator {
	return &Estimator{
		minTimeout: minTimeout,
		maxTimeout: maxTimeout,
	}
}

// Observe records the latency of a response.
func (e *Estimator) Observe(latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasSample {
		e.hasSample = true
		e.mean = latency
		e.deviation = latency / 2
		return
	}
	e.deviation += ((latency - e.mean).Abs() - e.deviation) / deviationDivisor
	e.mean += (latency - e.mean) / meanDivisor
}

// Timeout returns the timeout for the next response. It is the maximum until a
// latency has been recorded.
func (e *Estimator) Timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasSample {
		return e.maxTimeout
	}
	return min(max(e.mean+deviationMultiplier*e.deviation, e.minTimeout), e.maxTimeout)
}
