// Package pace controls the speed of best-effort work that shares a machine with
// services, based on the tail latency of the services. It slows the work down at
// once when a service approaches its latency target, and speeds it up again in
// small steps while all services are well below their targets.
package pace

import "time"

const (
	// FullSpeed is the speed of unthrottled work, in percent.
	FullSpeed = 100

	// Ratios of tail latency to its target: work is slowed down above
	// slowdownThreshold, stopped above stopThreshold and sped up below
	// recoveryThreshold.
	slowdownThreshold = 0.8
	stopThreshold     = 0.95
	recoveryThreshold = 0.6

	// A slowdown divides the speed by slowdownDivisor; a speedup adds
	// speedupStep percentage points.
	slowdownDivisor = 2
	speedupStep     = 10
	// minSpeed is the lowest speed, in percent, to which work is slowed down
	// before it is stopped.
	minSpeed = 10
	// settleTime is how long a change of speed takes to show in the reported
	// tail latencies.
	settleTime = 600 * time.Millisecond
)

// Service holds the tail latency of a service and the target that it should stay
// below.
type Service struct {
	TailLatency   time.Duration
	LatencyTarget time.Duration
}

// Controller determines the speed of the best-effort work on one machine. The
// zero value is ready to use and runs work at full speed.
type Controller struct {
	// reduction is how far the speed is below FullSpeed. It makes the zero
	// value run at full speed.
	reduction  int
	lastChange time.Time
}

// SpeedPercent returns the current speed in percent.
func (c *Controller) SpeedPercent() int {
	return FullSpeed - c.reduction
}

// Update returns the new speed of the work in percent, given the latest figures
// of the services on the machine. Only a stop takes effect within settleTime of
// the last change.
func (c *Controller) Update(now time.Time, services []Service) int {
	worstRatio := 0.0
	for _, s := range services {
		if s.LatencyTarget > 0 {
			worstRatio = max(worstRatio, float64(s.TailLatency)/float64(s.LatencyTarget))
		}
	}
	speed := c.SpeedPercent()
	next := speed
	switch {
	case worstRatio > stopThreshold:
		next = 0
	case worstRatio > slowdownThreshold:
		next = speed / slowdownDivisor
		if next < minSpeed {
			next = 0
		}
	case worstRatio < recoveryThreshold:
		next = min(FullSpeed, speed+speedupStep)
	}
	if next == speed || next != 0 && now.Sub(c.lastChange) < settleTime {
		return speed
	}
	c.reduction = FullSpeed - next
	c.lastChange = now
	return next
}
