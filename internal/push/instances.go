package push

import (
	"sort"
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

// callers are the instances that make advice calls. The advisor serves one call
// at a time per instance, so each is given one at a time. Methods must be called
// with the advice client's lock held.
type callers struct {
	// addresses returns the addresses of the instances that are alive.
	addresses func() []string
	// calling is the set of instances with a call in progress.
	calling map[string]bool
	// avoidUntil is when an instance may get calls again after a failure.
	avoidUntil map[string]time.Time
}

func newCallers(addresses func() []string) *callers {
	return &callers{
		addresses:  addresses,
		calling:    map[string]bool{},
		avoidUntil: map[string]time.Time{},
	}
}

// idle returns the instances that can make a call now, and how many of them are
// reserved for urgent calls.
func (c *callers) idle(now time.Time) (addresses []string, reserved int) {
	all := c.addresses()
	for _, address := range all {
		if !c.calling[address] && !c.avoidUntil[address].After(now) {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	if len(all) > 1 {
		reserved = (len(all) + reservedInstanceInterval - 1) / reservedInstanceInterval
	}
	return addresses, reserved
}

// fail stops calls through the instance for a while.
func (c *callers) fail(address string, now time.Time) {
	c.avoidUntil[address] = now.Add(failedInstanceBackoff)
}
