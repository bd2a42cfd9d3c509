package push

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/pace"
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
	for key := range d.orders() {
		d.inherited[key] = true
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
// of every target, so it does not take the driver's lock.
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

// unanswered tells whether the target did not answer the last call.
func (d *driver) unanswered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

func (d *driver) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
