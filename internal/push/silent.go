package push

import (
	"time"

	"github.com/sirupsen/logrus"
)

// The deadline of an order bounds the lease of the process whose clock it is by. A later
// process of the target, which nobody may have heard of, reads the same deadline on a clock
// that began anew, and may grant the longest lease there is. When the lease of a target that
// does not answer is over, only those runs are therefore over that no later process can
// have. The others stay in the ledger until the longest lease is over as well.

// recordGrant records that an order with a deadline is sent, which is on its way for at most
// the given time. The lock must be held.
func (d *driver) recordGrant(timeout time.Duration) {
	if arrives := time.Now().Add(timeout); arrives.After(d.grantsArriveBy) {
		d.grantsArriveBy = arrives
	}
}

// recordStartSent records that a start of the run is sent, which is on its way for at most
// the given time.
func (d *driver) recordStartSent(key runKey, timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordGrant(timeout)
	d.runInfo(key).startArrivesBy = time.Now().Add(timeout)
}

// longestLeaseExpiry returns when any lease that an order of this leader or an earlier one
// may have granted has expired, whichever process of the target took the order. The lock
// must be held.
func (d *driver) longestLeaseExpiry() time.Time {
	return d.leader.leaseExpiry(d.grantsArriveBy, d.leader.scheduler.timing.MaxLease)
}

// canOutliveLease reports whether a later process may hold the run when this incarnation's lease
// is over. While the target is silent, the clock in the answer to the start tells which took
// it: the wait for a listing would hold back what is surely over. The lock must be held.
func (d *driver) canOutliveLease(key runKey) bool {
	return d.canOutlive(key) && !d.runInfo(key).takenByOwnClock
}

// endSilent ends the runs of a target that has not answered until its lease was over, except
// those that a later process of it may hold. Once there are none of these left, it ends the
// incarnation. It returns true when the driver has to stop.
func (d *driver) endSilent(down bool) bool {
	over, outliving := d.partitionRuns(d.leader.scheduler.ledger.Assignments(d.target.ID), d.canOutliveLease)
	d.mu.Lock()
	longest := d.longestLeaseExpiry()
	d.mu.Unlock()
	if len(outliving) == 0 || time.Now().After(longest) {
		return d.leader.endIncarnations(observedLeaseEnd, down, d.target.ID) == nil
	}
	if d.keepOutliving(len(outliving)) {
		d.log.WithFields(logrus.Fields{
			"born":      d.target.ID.Incarnation,
			"over":      runNames(over),
			"uncertain": runNames(outliving),
			"until":     time.Until(longest).Milliseconds(),
		}).Warn("target: lease over, a later lifetime may hold runs")
	}
	if len(over) > 0 {
		_ = d.commitEnds(over) // It logs the fault, and the next failed renewal tries again.
	}
	return false
}

// keepOutliving records how many runs a later process of the silent target may hold, and
// reports whether that is news.
func (d *driver) keepOutliving(runs int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.outliving != runs
	if news {
		d.leader.scheduler.metrics.outlivingRuns.Add(float64(max(0, runs-d.outliving)))
	}
	d.outliving = runs
	return news
}
