package push

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/wire"
)

// An order may lie in a socket of its relay, or in a relay that stands still, until long after
// the leader has given it up. The runs that it was about may be over by then, and the target's
// process another one, to which neither the token nor the deadline says anything. The clocks of
// two instances can't be compared, so the leader gives a time by the relay's clock, from the
// readings that the relay's answers to checks have.

// relayClocks has lower bounds of the clocks of relays.
type relayClocks struct {
	drift float64
	// now reads the clock of this process.
	now func() time.Duration

	mu        sync.Mutex
	byAddress map[string]relayClock
}

// relayClock is a reading of a relay's clock, which was taken before the time at of this
// process's clock.
type relayClock struct {
	reading wire.ProcessClock
	at      time.Duration
}

func newRelayClocks(drift float64, now func() time.Duration) *relayClocks {
	return &relayClocks{
		drift:     drift,
		now:       now,
		byAddress: map[string]relayClock{},
	}
}

// record records a reading that has just arrived, unless it is behind the lower bound that
// is known.
func (c *relayClocks) record(address string, reading wire.ProcessClock) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byAddress[address]
	if known.reading.Process == reading.Process && c.lowerBound(known, now) > reading.Reading {
		return
	}
	c.byAddress[address] = relayClock{
		reading: reading,
		at:      now,
	}
}

// lowerBound returns a lower bound of the relay's clock.
func (c *relayClocks) lowerBound(known relayClock, now time.Duration) time.Duration {
	return known.reading.Reading + time.Duration(float64(now-known.at)*(1-c.drift))
}

// after returns a time by the relay's clock that has passed once the given time has. It
// returns zero if the relay's clock is not known.
func (c *relayClocks) after(address string, wait time.Duration) wire.ProcessClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byAddress[address]
	if known.reading.Process == 0 {
		return wire.ProcessClock{}
	}
	return wire.ProcessClock{
		Process: known.reading.Process,
		Reading: c.lowerBound(known, c.now()) + wait,
	}
}

// retain forgets the clocks of the relays that do not answer.
func (c *relayClocks) retain(answers map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.byAddress {
		if !answers[address] {
			delete(c.byAddress, address)
		}
	}
}

// isOverdue reports whether the time for an order has passed by the clock of the relay that
// has it. An order for another process of the relay is overdue.
func isOverdue(sendBy, now wire.ProcessClock) bool {
	if sendBy.Process == 0 {
		return false
	}
	return sendBy.Process != now.Process || now.Reading > sendBy.Reading
}

// dropOverdue counts and logs an order that reached this relay too late.
func (s *Scheduler) dropOverdue(args *OrderArgs, now wire.ProcessClock) {
	s.metrics.overdueOrders.Inc()
	entry := s.log.WithFields(logrus.Fields{
		"target": args.ID.ID,
		"order":  args.kind(),
		"late":   (now.Reading - args.SendBy.Reading).Milliseconds(),
	})
	if args.Start != nil {
		entry = entry.WithFields(logrus.Fields{
			"job":  args.Start.Task.Job,
			"task": args.Start.Task.Name(),
			"run":  args.Start.Run,
		})
	}
	entry.Warn("relay: dropped an order that came too late")
}
