package push

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A target says in its heartbeats how much longer it will be slow after its start. The leader
// alone knows it, from the heartbeats that it has got: to a new leader all targets are warm until
// their next heartbeat.

// recordCold records for how much longer the target will be slow, as its latest heartbeat says.
func (d *driver) recordCold(left time.Duration) {
	now := time.Now()
	was := d.isCold(now)
	d.coldUntil.Store(int64(now.Add(left).Sub(d.leader.started)))
	if left > 0 && !was {
		d.log.WithField("remaining", left.Milliseconds()).Info("target: cold")
	}
}

// isCold reports whether the target is still slow after its start. A decision asks for every
// target, so this does not take the driver's lock.
func (d *driver) isCold(now time.Time) bool {
	return now.Sub(d.leader.started) < time.Duration(d.coldUntil.Load())
}

// isCold reports whether the target is still slow after its start.
func (l *leader) isCold(id graph.TargetID, now time.Time) bool {
	d := l.driver(id)
	return d != nil && d.isCold(now)
}

// coldTargets counts the targets that are still slow after their start.
func (s *Scheduler) coldTargets() float64 {
	l := s.currentLeader.Load()
	if l == nil {
		return 0
	}
	count, now := 0.0, time.Now()
	for _, d := range l.allDrivers() {
		if d.isCold(now) {
			count++
		}
	}
	return count
}
