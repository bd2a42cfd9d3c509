package push

import "time"

// Timing holds the timings of leases, calls and retention.
type Timing struct {
	// TTL is the length of a target's lease, by the target's clock.
	TTL time.Duration
	// MaxLease is the longest lease that a target grants, whatever its deadline.
	MaxLease time.Duration
	// ClockDrift is the fraction by which a target's clock may be slow.
	ClockDrift float64
	// LeaseMargin is added to every wait for a lease to expire.
	LeaseMargin time.Duration
	// RenewalWait is how long a target may delay the answer to a renewal to
	// wait for an end.
	RenewalWait time.Duration
	// CallTimeout is the timeout of start, stop and pace calls.
	CallTimeout time.Duration
	// MaxHeartbeatAge is the maximum age of a target's last heartbeat for it to
	// get new work.
	MaxHeartbeatAge time.Duration
	// StopSettleTime is how long after an order a run that ends because of it
	// may be in neither list of the target, running or ended.
	StopSettleTime time.Duration
	// MaxStopTime is the longest time that a run takes to stop.
	MaxStopTime time.Duration
	// FreshRunTime is how long a run has to be listed before it is no longer suspected
	// of a crash of its target.
	FreshRunTime time.Duration
	// ClearSuspectAfter is how long a run of a suspect task has to be listed before the
	// crashes counted against the task are forgotten.
	ClearSuspectAfter time.Duration
	// EvacuateWithin is the time after which no task is started in a failure domain whose
	// evacuation was acknowledged. Tasks that are expected to run longer are moved.
	EvacuateWithin time.Duration
	// JobRetention is how long ended jobs are kept in the ledger.
	JobRetention time.Duration
}

// DefaultTiming returns the default timings.
func DefaultTiming() Timing {
	return Timing{
		TTL:             4500 * time.Millisecond,
		MaxLease:        10 * time.Second,
		ClockDrift:      0.03,
		LeaseMargin:     400 * time.Millisecond,
		RenewalWait:     1200 * time.Millisecond,
		CallTimeout:     400 * time.Millisecond,
		MaxHeartbeatAge: 4 * time.Second,
		StopSettleTime:  1500 * time.Millisecond,
		MaxStopTime:     500 * time.Millisecond,
		EvacuateWithin:  5 * time.Second,
		JobRetention:    180 * time.Second,

		FreshRunTime:      5 * time.Second,
		ClearSuspectAfter: 10 * time.Second,
	}
}
