package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/group"
)

const (
	// holdSlack is how much later than its wait a renewal may be answered.
	holdSlack = 300 * time.Millisecond
	// retryHold is the pause after a renewal that failed.
	retryHold = 60 * time.Millisecond
	// idleCheck is how long a target without runs is left alone.
	idleCheck = 10 * time.Second
	// listedEnds is how many ends a target lists at most in one answer.
	listedEnds = 500
	// doubtWait is how long a renewal waits while a run is being stopped or
	// its start is in doubt.
	doubtWait = 150 * time.Millisecond
	// copyAfter is after how many unanswered renewals in a row a target's tasks
	// are copied, where they may be.
	copyAfter = 2
)

// keep renews the lease while there is something to hold, takes ends, and
// ends the lifetime when the lease is over without an answer.
func (d *driver) keep() {
	for d.ctx.Err() == nil {
		if d.idle(d.leader.part.ledger.Holds(d.target.ID)) {
			d.rest()
			continue
		}
		if !d.leader.mayOrder() {
			if !group.Pause(d.ctx, retryHold) {
				return
			}
			continue
		}
		err := d.hold()
		if err == nil {
			continue
		}
		if d.failed(err) {
			return
		}
		if !group.Pause(d.ctx, retryHold) {
			return
		}
	}
}

// idle tells that the target has no runs, and no ends to be acknowledged.
func (d *driver) idle(runs int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.met && runs == 0 && d.acked == d.seen && d.failures == 0
}

func (d *driver) rest() {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}

// hold renews the lease once, and deals with what the target lists.
func (d *driver) hold() error {
	order := d.holdOrder()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, order.Wait+holdSlack)
	listing, err := d.leader.targets.Hold(ctx, &d.target, order)
	cancel()
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.learnClock(listing.Clock)
	first := !d.met
	d.met = true
	if d.failures > 0 {
		d.log.WithField("failures", d.failures).Info("target: answers again")
	}
	d.failures = 0
	d.acked = max(d.acked, order.Acked)
	d.refresh()
	d.mu.Unlock()
	if first {
		d.leader.poke()
	}
	if err := d.takeEnds(listing.Ended); err != nil {
		return nil
	}
	orders := d.orders()
	if len(listing.Ended) < listedEnds {
		d.reconcile(sent, orders, listing)
	}
	d.follow(orders, listing)
	d.pace(orders, listing)
	return nil
}

func (d *driver) holdOrder() Hold {
	order := Hold{
		Token: d.leader.token(),
		Wait:  d.leader.part.terms.Wait,
	}
	d.mu.Lock()
	order.Acked = d.seen
	silent := d.failures > 0
	switch {
	case !d.met || silent:
		order.Wait = 0
	case d.doubts():
		order.Wait = min(order.Wait, doubtWait)
	case d.watched:
		order.Wait = min(order.Wait, pacedWait, d.untilEnd(time.Now()))
	default:
		order.Wait = min(order.Wait, d.untilEnd(time.Now()))
	}
	d.mu.Unlock()
	// Each renewal that may arrive puts the end of the lease off, so a target
	// that does not answer is only asked: its lease must come to an end.
	if !silent {
		order.Deadline = d.lease()
	}
	return order
}

// doubts tells whether the state of a run is to be found out soon.
func (d *driver) doubts() bool {
	for _, info := range d.runs {
		if info.state == runDoubtful || info.state == runStopped || info.state == runAbsent {
			return true
		}
	}
	return false
}

// failed notes a renewal that failed. It tells true when the lifetime is
// over.
func (d *driver) failed(err error) bool {
	if errors.Is(err, ErrFenced) {
		d.leader.deposed()
		return true
	}
	if d.ctx.Err() != nil {
		return true
	}
	// One that may not lead any more, such as after it was suspended, judges no
	// target by answers that came too late.
	if !d.leader.mayOrder() {
		return false
	}
	// An address has one process, so the one that had it before is gone.
	if errors.Is(err, ErrOtherLifetime) {
		return d.leader.end("another lifetime has its address", d.target.ID) == nil
	}
	d.mu.Lock()
	d.failures++
	d.refresh()
	failures := d.failures
	silent := time.Now().After(d.leased)
	stale := time.Since(d.beatAt) > d.leader.part.terms.Silent
	d.mu.Unlock()
	if failures == 1 {
		d.log.WithError(err).Warn("target: no answer")
		d.leader.poke()
	}
	if failures == copyAfter {
		d.copyRuns("target does not answer")
	}
	if !silent || !stale && d.leader.part.ledger.Holds(d.target.ID) == 0 {
		return false
	}
	return d.leader.end("lease over", d.target.ID) == nil
}

// deposed stops all orders: a target has seen a later leader's token.
func (l *leader) deposed() {
	if !l.fenced.Swap(true) {
		l.log.Warn("sched: a target has seen a higher token, no more orders")
	}
}
