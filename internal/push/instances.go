package push

import (
	"cmp"
	"slices"
	"time"
)

const (
	// instanceHeardWithin is the maximum time since an instance was last heard
	// from for it to be given advice calls.
	instanceHeardWithin = 1500 * time.Millisecond
	// reservedInstanceInterval is the ratio of all instances to those reserved
	// for advice calls of the most urgent queues, so that these do not wait for
	// a long call to end.
	reservedInstanceInterval = 4
	// failedInstanceBackoff is how long an instance gets no calls after one of
	// its calls failed.
	failedInstanceBackoff = 2 * time.Second
)

// caller is an instance that makes advice calls.
type caller struct {
	// calls counts the calls in progress, which the advisor serves one after the
	// other, and busyUntil is when they are expected to be answered.
	calls     int
	busyUntil time.Time
	// avoidUntil is when the instance may get calls again after a failure.
	avoidUntil time.Time
}

// callers are the instances that make advice calls. The advisor serves one call
// at a time per instance. Methods must be called with the advice client's lock
// held.
type callers struct {
	// addresses returns the addresses of the instances that are alive.
	addresses func() []string
	byAddress map[string]*caller
}

func newCallers(addresses func() []string) *callers {
	return &callers{
		addresses: addresses,
		byAddress: map[string]*caller{},
	}
}

// callSlots are the instances that can take a call at one time.
type callSlots struct {
	// horizon is the time until calls can be assigned again. An instance takes
	// calls until it is expected to be busy for that long.
	horizon time.Duration
	free    []callSlot
	// reserved is the number of free instances that are kept for urgent calls.
	reserved int
}

// callSlot is an instance that is expected to be busy for the given time.
type callSlot struct {
	address string
	busyFor time.Duration
}

// slots returns the instances that can take a call now, if calls are assigned
// again after the horizon. An instance whose calls are overdue takes none.
func (c *callers) slots(now time.Time, horizon time.Duration) *callSlots {
	slots := &callSlots{horizon: horizon}
	all := c.addresses()
	for _, address := range all {
		state := c.byAddress[address]
		switch {
		case state == nil:
			slots.free = append(slots.free, callSlot{address: address})
		case state.avoidUntil.After(now):
		case state.calls == 0:
			slots.free = append(slots.free, callSlot{address: address})
		case state.busyUntil.After(now) && state.busyUntil.Sub(now) < horizon:
			slots.free = append(slots.free, callSlot{
				address: address,
				busyFor: state.busyUntil.Sub(now),
			})
		}
	}
	slots.sort()
	if len(all) > 1 {
		slots.reserved = (len(all) + reservedInstanceInterval - 1) / reservedInstanceInterval
	}
	return slots
}

// sort puts the instance that is free first in front.
func (s *callSlots) sort() {
	slices.SortFunc(s.free, func(a, b callSlot) int {
		return cmp.Or(cmp.Compare(a.busyFor, b.busyFor), cmp.Compare(a.address, b.address))
	})
}

// isEmpty reports whether no instance can take a call.
func (s *callSlots) isEmpty() bool {
	return len(s.free) == 0
}

// isForUrgent reports whether only instances are left that are kept for urgent
// calls.
func (s *callSlots) isForUrgent() bool {
	return len(s.free) <= s.reserved
}

// count returns how many calls of the given time the instances can take.
func (s *callSlots) count(callTime time.Duration) int {
	total := 0
	for _, slot := range s.free {
		total++
		if callTime > 0 {
			total += int((s.horizon - slot.busyFor - 1) / callTime)
		}
	}
	return total
}

// take assigns a call to the instance that is free first, and returns the instance
// and the expected time until the call is answered.
func (s *callSlots) take(callTime time.Duration) (address string, until time.Duration) {
	slot := s.free[0]
	slot.busyFor += callTime
	s.free = s.free[1:]
	if slot.busyFor < s.horizon {
		s.free = append(s.free, slot)
		s.sort()
	}
	return slot.address, slot.busyFor
}

// start records that the instance makes a call that is expected to be answered
// after the given time.
func (c *callers) start(address string, now time.Time, until time.Duration) {
	state := c.byAddress[address]
	if state == nil {
		state = &caller{}
		c.byAddress[address] = state
	}
	state.calls++
	state.busyUntil = now.Add(until)
}

// finish records that a call of the instance was answered.
func (c *callers) finish(address string) {
	if state := c.byAddress[address]; state != nil {
		state.calls--
	}
}

// fail records that a call of the instance failed, and stops calls through it for
// a while.
func (c *callers) fail(address string, now time.Time) {
	c.finish(address)
	if state := c.byAddress[address]; state != nil {
		state.avoidUntil = now.Add(failedInstanceBackoff)
	}
}
