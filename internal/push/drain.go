package push

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A target that leaves says in its heartbeats how much longer it stays at least. What runs
// there when it leaves ends with it, and only its lease tells when that is. So its runs are
// stopped while it can still list their ends, and their tasks start elsewhere at once. A run
// that is expected to be done in time goes on. One that is not is stopped right away, or, if
// the work that it does until then is kept or is of use, as late as its stop allows. The lease
// of the target lasts for little longer than the target itself.

const (
	// drainLease is the shortest lease of a target that leaves. It is granted when the target
	// may leave at any moment.
	drainLease = time.Second
	// drainMargin is the time in which a target lists a run that has ended.
	drainMargin = 200 * time.Millisecond
)

// recordDrain records how much longer a target that leaves stays at least. Zero is unknown.
func (d *driver) recordDrain(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	d.mu.Lock()
	d.leavesAt = time.Now().Add(remaining)
	d.mu.Unlock()
	d.stopUnfinished()
}

// leaseLength returns the length of a lease that is granted now. The lock must be held.
func (d *driver) leaseLength(now time.Time) time.Duration {
	ttl := d.leader.scheduler.timing.TTL
	if d.leavesAt.IsZero() {
		return ttl
	}
	return min(ttl, max(drainLease, d.leavesAt.Sub(now)))
}

// drainWait returns how long a renewal sent now may wait while the target leaves: a shorter
// lease is renewed more often, and the last stops are sent in time. The lock must be held.
func (d *driver) drainWait(now time.Time) time.Duration {
	timing := d.leader.scheduler.timing
	part := timing.RenewalWait.Seconds() / timing.TTL.Seconds()
	wait := time.Duration(part * float64(d.leaseLength(now)))
	if left := d.lastStop().Sub(now); left > 0 {
		wait = min(wait, left)
	}
	return wait
}

// lastStop returns when the runs of a target that leaves are stopped at the latest. The lock
// must be held.
func (d *driver) lastStop() time.Time {
	return d.leavesAt.Add(-d.leader.scheduler.timing.MaxStopTime - drainMargin)
}

// endsSoon reports whether the run ends because its target leaves. The lock must be held.
func (d *driver) endsSoon(info *runInfo) bool {
	return d.left || info.drained
}

// stopUnfinished stops those runs of a target that leaves which will not be done before.
func (d *driver) stopUnfinished() {
	d.mu.Lock()
	drains := !d.leavesAt.IsZero()
	d.mu.Unlock()
	if !drains {
		return
	}
	now := time.Now()
	for key, assignment := range d.ledgerAssignments() {
		remaining, known := d.leader.remainingOf(now, d.target.ID, key, assignment.Estimate)
		if assignment.Desired && d.claimDrainStop(key, &assignment, now, remaining, known) {
			d.log.WithFields(logrus.Fields{
				"job":       key.task.Job,
				"task":      key.task.RunName(key.run),
				"remaining": remaining.Milliseconds(),
			}).Info("target: run is stopped, its target leaves")
			d.stop(key)
		}
	}
}

// claimDrainStop reports whether the run is to be stopped now and has not been before. Remaining
// is how much longer the run is expected to take, if that is known.
func (d *driver) claimDrainStop(
	key runKey, assignment *graph.Assignment, now time.Time, remaining time.Duration, known bool,
) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	inTime := known && remaining > 0 && !assignment.LongRunning && now.Add(remaining).Before(d.leavesAt.Add(-drainMargin))
	late := !now.Before(d.lastStop())
	mayWait := !known || assignment.LongRunning || assignment.Checkpoints
	if info.drained || inTime || mayWait && !late {
		return false
	}
	info.drained = true
	return true
}
