package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/group"
)

const (
	// renewalTimeoutMargin is added to the wait of a renewal to get its
	// timeout.
	renewalTimeoutMargin = 300 * time.Millisecond
	// renewalRetryDelay is the pause after a failed renewal.
	renewalRetryDelay = 60 * time.Millisecond
	// openEndsInterval is the pause between two renewals while ends stay open.
	openEndsInterval = 200 * time.Millisecond
	// idleInterval is how often a target without runs is checked.
	idleInterval = 10 * time.Second
	// maxListedEnds is the maximum number of ends in one listing of a target.
	maxListedEnds = 500
	// breakNoticeTime is how long after the end of a target's process the break of an
	// open call is noticed.
	breakNoticeTime = 50 * time.Millisecond
	// crashSettleTime is how long after a crash it is weighed, so that other losses of
	// the same moment are known.
	crashSettleTime = 300 * time.Millisecond
	// uncertainRunWait bounds the wait of a renewal while a run is being
	// stopped or the outcome of its start is uncertain.
	uncertainRunWait = 150 * time.Millisecond
	// speculateAfterFailures is the number of consecutive unanswered calls
	// from which on the target's tasks that allow it get a speculative second
	// run.
	speculateAfterFailures = 2
)

// renewLoop renews the lease while the target has runs or unacknowledged ends,
// and ends the incarnation when the lease expires without an answer.
func (d *driver) renewLoop() {
	for d.ctx.Err() == nil {
		if d.endIfLeft() {
			return
		}
		if d.idle(d.leader.scheduler.ledger.RunCount(d.target.ID)) {
			d.waitIdle()
			continue
		}
		if !d.leader.canSendOrders() {
			if !group.SleepContext(d.ctx, renewalRetryDelay) {
				return
			}
			continue
		}
		pause := renewalRetryDelay
		if err := d.renewLease(); err == nil {
			pause = d.openEndsPause()
		} else if d.handleRenewalFailure(err) {
			return
		}
		if pause > 0 && !group.SleepContext(d.ctx, pause) {
			return
		}
	}
}

// openEndsPause returns the pause between two renewals while ends stay open. The target lists
// these at once, and does not wait for others.
func (d *driver) openEndsPause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openEnds == 0 {
		return 0
	}
	return openEndsInterval
}

// idle reports whether the target has answered, has no runs and has no ends to be
// acknowledged.
func (d *driver) idle(runs int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contacted && runs == 0 && d.ackedSeq == d.committedSeq && d.openEnds == 0 && d.failures == 0
}

// waitIdle waits until the driver is woken or the idle interval has passed.
func (d *driver) waitIdle() {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}

// renewLease renews the lease once and processes the listing in the answer.
func (d *driver) renewLease() error {
	renewal := d.newRenewal()
	sent := time.Now()
	timeout := renewal.Wait + renewalTimeoutMargin
	d.mu.Lock()
	d.renewalSentAt, d.renewalTimeout = sent, timeout
	if renewal.Deadline != 0 {
		d.recordGrant(timeout)
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	list, err := d.leader.targets.RenewLease(ctx, &d.target, renewal)
	cancel()
	if err != nil {
		return err
	}
	d.recordListing(list, sent)
	// A target that was cut off gets no work before its late ends are settled: they take
	// its room for a moment.
	err = d.commitListedEnds(list.Ended)
	d.recordAnswered(renewal.Acked)
	if err != nil {
		return nil
	}
	assignments := d.ledgerAssignments()
	if len(list.Ended) < maxListedEnds {
		d.reconcile(sent, assignments, list)
	}
	d.removeOlder()
	d.trackProgress(assignments, list)
	d.clearSuspects(assignments)
	d.stopUnfinished()
	d.adjustPace(assignments, list)
	return nil
}

// recordListing records the target's clock in a listing that was asked for at the given time.
func (d *driver) recordListing(list RunList, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateClock(list.Clock)
	if list.Clock > 0 {
		d.answerClock, d.answerSentAt = list.Clock, sent
	}
	d.answeredAt = time.Now()
}

// recordAnswered records that the target has answered a renewal which acknowledged ends up
// to the given number. It may get work again.
func (d *driver) recordAnswered(acked uint64) {
	d.mu.Lock()
	first := !d.contacted
	d.contacted = true
	if d.failures > 0 {
		d.log.WithField("failures", d.failures).Info("target: answers again")
	}
	// The crash may have been committed before the lease of the target was over, or by an
	// earlier leader.
	withdraw := d.weighed || first
	d.weighed = false
	d.failures = 0
	d.down = false
	d.outliving = 0
	d.ackedSeq = max(d.ackedSeq, acked)
	d.updateUsableUntil()
	d.mu.Unlock()
	if first {
		d.leader.wakeDecisionLoop()
	}
	if withdraw {
		d.withdrawCrash()
	}
}

// newRenewal returns the next renewal to send.
func (d *driver) newRenewal() LeaseRenewal {
	renewal := LeaseRenewal{
		Token: d.leader.token(),
		Wait:  d.leader.scheduler.timing.RenewalWait,
	}
	d.mu.Lock()
	unanswered := d.failures > 0
	// Ends are acknowledged once, right after the answer that listed them: by the time
	// of a later renewal, another incarnation with other ends may get it.
	if !unanswered && d.ackedSeq < d.committedSeq {
		renewal.Acked = d.committedSeq
	}
	switch {
	case !d.contacted || unanswered:
		renewal.Wait = 0
	case d.hasUncertainRuns():
		renewal.Wait = min(renewal.Wait, uncertainRunWait)
	case d.bestEffortBesideServices:
		renewal.Wait = min(renewal.Wait, pacedRenewalWait, d.renewalWait(time.Now()))
	default:
		renewal.Wait = min(renewal.Wait, d.renewalWait(time.Now()))
	}
	if !d.leavesAt.IsZero() {
		renewal.Wait = min(renewal.Wait, d.drainWait(time.Now()))
	}
	d.mu.Unlock()
	// Any renewal may arrive and extend the lease. A target that does not answer is
	// therefore only asked for its listing: its renewals have no deadline.
	renewal.Deadline = d.extendLease()
	return renewal
}

// hasUncertainRuns reports whether a run is in a state that the next listing
// should resolve soon. The lock must be held.
func (d *driver) hasUncertainRuns() bool {
	for _, info := range d.runs {
		switch info.state {
		case runUnknown, runUncertain, runStopped, runAbsent:
			return true
		case runStarted:
			if !info.unlistedAt.IsZero() {
				return true
			}
		}
	}
	return false
}

// renewalEnd returns for how long the last renewal was open, and whether its error means
// that the target's process has ended: it did not time out. The lock must be held.
func (d *driver) renewalEnd(err error) (ended bool, open time.Duration) {
	if d.renewalSentAt.IsZero() {
		return errors.Is(err, ErrDown), 0
	}
	open = time.Since(d.renewalSentAt)
	return errors.Is(err, ErrNoAnswer) && open < d.renewalTimeout-2*relayTimeoutMargin, open
}

// handleRenewalFailure processes a failed renewal. It returns true when the
// driver has to stop.
func (d *driver) handleRenewalFailure(err error) bool {
	if errors.Is(err, ErrFenced) {
		d.leader.fence()
		return true
	}
	if d.ctx.Err() != nil {
		return true
	}
	// An instance that may no longer lead, for example after it was suspended,
	// does not judge targets by calls whose answers came too late.
	if !d.leader.canSendOrders() {
		return false
	}
	observed := observationOf(err)
	if observed.consequence() == consequenceEnd && d.handleReplacement(err) {
		return true
	}
	d.mu.Lock()
	d.countFailure(d.renewalEnd(err))
	if observed == observedRefusal {
		d.recordRefusal()
	}
	down := d.down
	d.updateUsableUntil()
	failures := d.failures
	weigh := down && !d.weighed && time.Since(d.lost.To) >= crashSettleTime
	leaseExpired := time.Now().After(d.leaseExpiry)
	heartbeatsStopped := time.Since(d.heartbeatAt) > d.leader.scheduler.timing.MaxHeartbeatAge
	d.mu.Unlock()
	if failures == 1 {
		d.log.WithError(err).Warn("target: no answer")
		d.leader.wakeDecisionLoop()
	}
	if failures >= speculateAfterFailures {
		d.startSpeculativeRuns("target does not answer")
	}
	if weigh {
		d.weighCrash()
	}
	if !leaseExpired || !heartbeatsStopped && d.leader.scheduler.ledger.RunCount(d.target.ID) == 0 {
		return false
	}
	return d.endSilent(down)
}

// fence stops all orders of this leader, because a target has seen the token of a
// later leader.
func (l *leader) fence() {
	if !l.fenced.Swap(true) {
		l.log.Warn("sched: a target has seen a higher fencing token, sending no more orders")
	}
}
