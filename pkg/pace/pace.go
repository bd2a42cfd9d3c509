// Package pace finds at what part of its speed best-effort work may run
// beside services, from the tail of the services' response times. It slows
// the work at once when a service comes near its target, and speeds it up
// again in small steps while all services are well below theirs.
package pace

import "time"

const (
	// Full is the speed of work that is not slowed, in percent.
	Full = 100

	// Parts of a service's target: work is slowed above near, stopped above
	// over, and speeded up below calm.
	near = 0.8
	over = 0.95
	calm = 0.6

	slower = 2
	faster = 10
	least  = 10
	// settle is how long a change takes to show in the reported tails.
	settle = 600 * time.Millisecond
)

// Service is how a service does: the tail of its response times, and what it
// should stay below.
type Service struct {
	Tail   time.Duration
	Target time.Duration
}

// Controller keeps the speed of the best-effort work on one machine. The zero
// value is ready, and runs work at full speed.
type Controller struct {
	slowed  int
	changed time.Time
}

// Percent returns the speed now.
func (c *Controller) Percent() int {
	return Full - c.slowed
}

// Update takes the newest figures of the services beside the work, and returns
// the speed that the work should have.
func (c *Controller) Update(now time.Time, services []Service) int {
	worst := 0.0
	for _, s := range services {
		if s.Target > 0 {
			worst = max(worst, float64(s.Tail)/float64(s.Target))
		}
	}
	speed := c.Percent()
	next := speed
	switch {
	case worst > over:
		next = 0
	case worst > near:
		next = speed / slower
		if next < least {
			next = 0
		}
	case worst < calm:
		next = min(Full, speed+faster)
	}
	if next == speed || next != 0 && now.Sub(c.changed) < settle {
		return speed
	}
	c.slowed = Full - next
	c.changed = now
	return next
}
