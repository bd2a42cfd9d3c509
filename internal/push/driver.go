package push

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/pkg/pace"
)

const (
	// holdSlack is how much later than its wait a renewal may be answered.
	holdSlack = 300 * time.Millisecond
	// retryHold is the pause after a renewal that failed.
	retryHold = 60 * time.Millisecond
	// idleCheck is how long a target without runs is left alone.
	idleCheck = 10 * time.Second
	// placedFor is how long a run may be in the log before its start is
	// sent. One whose commit was in doubt is never sent otherwise.
	placedFor = time.Second
	// listedEnds is how many ends a target lists at most in one answer.
	listedEnds = 500
	// doubtWait is how long a renewal waits while a run is being stopped or
	// its start is in doubt.
	doubtWait = 150 * time.Millisecond
	// copyAfter is after how many unanswered renewals in a row a target's tasks
	// are copied, where they may be.
	copyAfter = 2
	// stopAgain is after how long an order to stop is sent again.
	stopAgain = 500 * time.Millisecond
)

// driver keeps one lifetime of a target: its lease, its runs and their ends.
type driver struct {
	leader *leader
	target graph.Target
	log    *logrus.Entry
	wake   chan struct{}
	// lanes has a place for each start on its way.
	lanes  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	runs  map[runKey]*runInfo
	acked uint64
	// seen is the number of the last end that is in the log.
	seen uint64
	// clock was the target's at clockAt or before.
	clock   Clock
	clockAt time.Time
	// leased is when the lease is surely over.
	leased   time.Time
	failures int
	beatAt   time.Time
	met      bool
	// inherited are the runs that an earlier leader placed.
	inherited map[runKey]bool
	pacer     pace.Controller
	// usableUntil is a time.Duration since the leader's start, by the steady
	// clock.
	usableUntil atomic.Int64
	// watched tells that filler work runs beside services.
	watched bool
}

func newDriver(l *leader, t graph.Target) *driver {
	ctx, cancel := context.WithCancel(l.ctx)
	d := &driver{
		leader: l,
		target: t,
		log: l.log.WithFields(logrus.Fields{
			"target": t.ID.ID,
		}),
		wake:   make(chan struct{}, 1),
		lanes:  make(chan struct{}, startLanes),
		ctx:    ctx,
		cancel: cancel,
		runs:   map[runKey]*runInfo{},
		leased: l.longestLease(l.started),
		beatAt: time.Now(),

		inherited: map[runKey]bool{},
	}
	return d
}

// inherit notes the runs that the target may hold as an earlier leader's.
func (d *driver) inherit() {
	for _, order := range d.leader.part.ledger.Orders(d.target.ID) {
		d.inherited[runKey{
			task: order.Task,
			run:  order.Run,
		}] = true
	}
}

// longestLease returns when a lease granted until the time is surely over.
func (l *leader) longestLease(granted time.Time) time.Time {
	return granted.Add(l.stretch(l.part.terms.TTL) + l.part.terms.Margin)
}

// stretch returns how long d may take by a slow clock.
func (l *leader) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*l.part.terms.Drift)
}

// beat notes a heartbeat.
func (d *driver) beat(clock Clock) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beatAt = time.Now()
	d.learnClock(clock)
	d.refresh()
}

// learnClock notes a reading that has just arrived. Readings that the one
// known lets expect are no news.
func (d *driver) learnClock(clock Clock) {
	if clock <= 0 {
		return
	}
	now := time.Now()
	if clock > d.guess(now) {
		d.clock, d.clockAt = clock, now
	}
}

// guess returns what the target's clock reads at least.
func (d *driver) guess(now time.Time) Clock {
	if d.clockAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(d.clockAt)
	return d.clock + Clock(float64(elapsed)*(1-d.leader.part.terms.Drift))
}

// lease returns the deadline of an order sent now, and notes until when it
// may bind the target. It is zero while the target's clock is not known.
func (d *driver) lease() Clock {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	clock := d.guess(now)
	if clock == 0 {
		return 0
	}
	// The clock reads at least the guess now, so the deadline has passed
	// after the TTL by a slow clock.
	until := d.leader.longestLease(now)
	if until.After(d.leased) {
		d.leased = until
	}
	return clock + Clock(d.leader.part.terms.TTL)
}

// usable tells whether new work may be sent to the target. A decision asks it
// of every target, so it takes no lock.
func (d *driver) usable(now time.Time) bool {
	return now.Sub(d.leader.started) < time.Duration(d.usableUntil.Load())
}

// refresh notes until when the target is usable, if nothing new is heard. The
// lock must be held.
func (d *driver) refresh() {
	var until time.Duration
	if d.met && d.failures == 0 && !d.clockAt.IsZero() {
		until = d.beatAt.Add(d.leader.part.terms.Silent).Sub(d.leader.started)
	}
	d.usableUntil.Store(int64(until))
}

func (d *driver) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

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
	listing, err := d.leader.part.targets.Hold(ctx, &d.target, order)
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
	if len(listing.Ended) < listedEnds {
		d.reconcile(sent, listing)
	}
	d.follow(listing)
	d.pace(listing)
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

// takeEnds has the ends committed.
func (d *driver) takeEnds(ended []Ended) error {
	var ends []graph.End
	d.mu.Lock()
	last := d.seen
	for _, e := range ended {
		if e.Seq <= d.seen {
			continue
		}
		last = max(last, e.Seq)
		ends = append(ends, graph.End{
			Target: d.target.ID,
			Task:   e.Task,
			Run:    e.Run,
			How:    e.How,
			Saved:  e.Saved,
		})
	}
	d.mu.Unlock()
	if len(ends) == 0 {
		return nil
	}
	if err := d.commit(ends); err != nil {
		return err
	}
	d.mu.Lock()
	d.seen = max(d.seen, last)
	for _, e := range ends {
		delete(d.runs, runKey{
			task: e.Task,
			run:  e.Run,
		})
	}
	d.mu.Unlock()
	return nil
}

func (d *driver) commit(ends []graph.End) error {
	result, fault := d.leader.propose(d.ctx, graph.Command{Events: &graph.Events{Ends: ends}})
	if fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: ends not committed")
		return fault
	}
	for _, e := range ends {
		d.rate(e)
	}
	d.logEnds(ends)
	d.leader.logFinished(result.Finished)
	d.leader.poke()
	return nil
}

// logEnds writes a line for each job and kind of end: the ends of one listing
// mostly belong to one step.
func (d *driver) logEnds(ends []graph.End) {
	type group struct {
		job graph.JobID
		how graph.How
	}
	tasks := map[group][]string{}
	for _, e := range ends {
		g := group{
			job: e.Task.Job,
			how: e.How,
		}
		tasks[g] = append(tasks[g], e.Task.Place(e.Run))
	}
	for g, names := range tasks {
		d.log.WithFields(logrus.Fields{
			"job":   g.job,
			"how":   g.how.String(),
			"tasks": strings.Join(names, " "),
		}).Info("target: runs ended")
	}
}
