package push

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/blame"
	"github.com/jasmineward/jasmineward/pkg/pace"
)

// driver manages one incarnation of a target: it renews the lease, sends
// orders, and commits the ends of runs. An incarnation is one life of the
// target's process.
type driver struct {
	leader *leader
	target graph.Target
	log    *logrus.Entry
	wake   chan struct{}
	// startSlots bounds the starts in flight.
	startSlots semaphore
	ctx        context.Context
	cancel     context.CancelFunc
	created    time.Time

	mu   sync.Mutex
	runs map[runKey]*runInfo
	// ackedSeq is the highest end number that the target knows to be committed.
	ackedSeq uint64
	// committedSeq is the number up to which all ends are committed, and committedEnds has
	// the numbers beyond it of those that are. openEnds is how many are not.
	committedSeq  uint64
	committedEnds map[uint64]bool
	openEnds      int
	// clock is a reading of the target's clock that was taken no later than
	// clockAt.
	clock   Clock
	clockAt time.Time
	// answerClock is the target's clock in its last answer to a renewal, and
	// answerSentAt is when that renewal was sent. Together they bound the clock
	// from above.
	answerClock  Clock
	answerSentAt time.Time
	// leaseExpiry is when the lease has expired even if the target's clock is slow.
	leaseExpiry time.Time
	// grantsArriveBy is when the last order with a deadline is not on its way any more.
	grantsArriveBy time.Time
	// failures counts the failed calls since the last answered renewal. The first
	// attempt of a start is not counted.
	failures int
	// lost is when the target was lost, if the failures mean that it was.
	lost blame.Span
	// lostExactly is true if the target's process is known to have ended in that time.
	lostExactly bool
	heartbeatAt time.Time
	// renewalSentAt is when the last renewal was sent, and renewalTimeout its timeout.
	renewalSentAt  time.Time
	renewalTimeout time.Duration
	// answeredAt is when the target last answered a renewal, and down is true if no
	// process listened at its address at a call since then.
	answeredAt time.Time
	down       bool
	// weighed is true once the loss of the target is committed as a crash.
	weighed bool
	// contacted is true once the target has answered a renewal.
	contacted bool
	// outliving is the number of runs that were kept beyond the lease of the silent target.
	outliving int
	// inherited is the set of runs that an earlier leader placed, and adopted the set
	// of those that the target's process may have taken for an older incarnation.
	inherited map[runKey]bool
	adopted   map[runKey]bool
	// retired is true once another incarnation of the target is known to run, or the
	// target has left: it gets no start and no longer lease.
	retired bool
	// leavesAt is when a target that leaves ends at the earliest, or zero if it has not said.
	leavesAt time.Time
	// left is true once the target has said that it ends.
	left           bool
	paceController pace.Controller
	// usableUntil is a time.Duration since the leader's start, by the monotonic
	// clock.
	usableUntil atomic.Int64
	// coldUntil is when the target will no longer be slow after its start, in the same way.
	coldUntil atomic.Int64
	// bestEffortBesideServices is true while best-effort tasks run beside
	// services.
	bestEffortBesideServices bool
}

func newDriver(l *leader, t graph.Target) *driver {
	ctx, cancel := context.WithCancel(l.ctx)
	d := &driver{
		leader: l,
		target: t,
		log: l.log.WithFields(logrus.Fields{
			"target": t.ID.ID,
		}),
		wake:        make(chan struct{}, 1),
		startSlots:  newSemaphore(maxConcurrentStarts),
		ctx:         ctx,
		cancel:      cancel,
		created:     time.Now(),
		runs:        map[runKey]*runInfo{},
		leaseExpiry: l.latestLeaseExpiry(l.started),
		heartbeatAt: time.Now(),
		// An earlier leader's orders may have been on their way.
		grantsArriveBy: l.started.Add(l.scheduler.timing.CallTimeout),

		committedEnds: map[uint64]bool{},

		inherited: map[runKey]bool{},
		adopted:   map[runKey]bool{},
	}
	return d
}

// inherit records the runs in the ledger that an earlier leader placed on the
// target, and adopts those of older incarnations. The lease of these may be as long as
// a target grants any: an order for an older incarnation has a deadline by its clock.
func (d *driver) inherit() {
	for key := range d.ledgerAssignments() {
		if d.leader.scheduler.ledger.HolderOf(d.target.ID, key.task, key.run) == d.target.ID {
			d.inherited[key] = true
			continue
		}
		d.adopted[key] = true
		d.grantsArriveBy = time.Now().Add(d.leader.scheduler.timing.CallTimeout)
		d.leaseExpiry = d.leader.leaseExpiry(time.Now(), d.leader.scheduler.timing.MaxLease)
	}
}

// latestLeaseExpiry returns when any lease granted up to the given time has
// expired, allowing for clock drift.
func (l *leader) latestLeaseExpiry(granted time.Time) time.Time {
	return l.leaseExpiry(granted, l.scheduler.timing.TTL)
}

// leaseExpiry returns when a lease of the given length has expired, allowing for clock
// drift.
func (l *leader) leaseExpiry(granted time.Time, length time.Duration) time.Time {
	return granted.Add(l.withClockDrift(length) + l.scheduler.timing.LeaseMargin)
}

// withClockDrift returns the longest real time in which a slow clock advances
// by d.
func (l *leader) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*l.scheduler.timing.ClockDrift)
}

// recordHeartbeat records the arrival of a heartbeat. Heartbeats may come from
// another writer, and a clock ahead of the target's own would put off the end of
// every later lease. Their reading therefore counts only if the target's last
// answer to a renewal allows it.
func (d *driver) recordHeartbeat(clock Clock) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.heartbeatAt = now
	if limit := d.clockUpperBound(now); clock <= limit {
		d.updateClock(clock)
	} else if !d.answerSentAt.IsZero() {
		d.log.WithFields(logrus.Fields{
			"clock": time.Duration(clock).Milliseconds(),
			"most":  time.Duration(limit).Milliseconds(),
		}).Warn("target: ignored the clock of a heartbeat")
	}
	d.updateUsableUntil()
}

// clockUpperBound returns an upper bound of the target's clock, or zero while no
// renewal has been answered. The lock must be held.
func (d *driver) clockUpperBound(now time.Time) Clock {
	if d.answerSentAt.IsZero() {
		return 0
	}
	return d.answerClock + Clock(d.leader.withClockDrift(now.Sub(d.answerSentAt)))
}

// updateClock processes a clock reading that has just arrived. A reading that
// does not exceed the current lower bound is ignored. The lock must be held.
func (d *driver) updateClock(clock Clock) {
	if clock <= 0 {
		return
	}
	now := time.Now()
	if clock > d.clockLowerBound(now) {
		d.clock, d.clockAt = clock, now
	}
}

// clockLowerBound returns a lower bound of the target's clock, or zero while no
// reading is known. The lock must be held.
func (d *driver) clockLowerBound(now time.Time) Clock {
	if d.clockAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(d.clockAt)
	return d.clock + Clock(float64(elapsed)*(1-d.leader.scheduler.timing.ClockDrift))
}

// extendLease returns the lease deadline for an order sent now, by the target's
// clock, and extends leaseExpiry to cover it. It returns zero, and extends nothing,
// while the target's clock is unknown, while the target does not answer and once it is
// retired, so that the lease of a lost target expires.
func (d *driver) extendLease() Clock {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failures > 0 || d.retired {
		return 0
	}
	now := time.Now()
	clock := d.clockLowerBound(now)
	if clock == 0 {
		return 0
	}
	// The target's clock is at least the lower bound now, so even a slow clock
	// reaches the deadline within the lease's length plus drift.
	length := d.leaseLength(now)
	until := d.leader.leaseExpiry(now, length)
	if until.After(d.leaseExpiry) {
		d.leaseExpiry = until
	}
	return clock + Clock(length)
}

// usable reports whether new work may be sent to the target. A decision checks
// every target, so this does not take the driver's lock.
func (d *driver) usable(now time.Time) bool {
	return now.Sub(d.leader.started) < time.Duration(d.usableUntil.Load())
}

// updateUsableUntil recomputes how long the target stays usable without further
// news. The lock must be held.
func (d *driver) updateUsableUntil() {
	var until time.Duration
	if d.contacted && d.failures == 0 && !d.retired && !d.clockAt.IsZero() {
		until = d.heartbeatAt.Add(d.leader.scheduler.timing.MaxHeartbeatAge).Sub(d.leader.started)
	}
	d.usableUntil.Store(int64(until))
}

// countFailure counts a call without an answer. Ended says that the target's process had
// ended by now, as the call did not time out, and open for how long it had the call. The
// lock must be held.
func (d *driver) countFailure(ended bool, open time.Duration) {
	now := time.Now()
	if d.failures == 0 {
		d.lost = blame.Span{
			From: d.lastSeen(),
			To:   now,
		}
		d.lostExactly = false
	}
	moment := now.Add(-breakNoticeTime)
	if ended && open > breakNoticeTime && moment.After(d.lost.From) && moment.Before(d.lost.To) {
		d.lost.From = moment
	}
	d.lostExactly = d.lostExactly || ended && now.Sub(d.lost.To) < breakNoticeTime
	d.failures++
}

// recordRefusal records that no process listens at the target's address. If the calls
// before timed out, the process may have ended any time before the first refusal. The lock
// must be held.
func (d *driver) recordRefusal() {
	if !d.down && !d.lostExactly {
		d.lost.To = time.Now()
	}
	d.down = true
}

// lastSeen returns when the target was last known to be up. The lock must be held.
func (d *driver) lastSeen() time.Time {
	seen := d.created
	for _, at := range []time.Time{d.answeredAt, d.clockAt} {
		if at.After(seen) {
			seen = at
		}
	}
	return seen
}

// lastCallFailed reports whether the target did not answer the last call.
func (d *driver) lastCallFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

// wakeUp makes renewLoop end its idle wait.
func (d *driver) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
