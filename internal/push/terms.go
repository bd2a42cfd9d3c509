package push

import "time"

// Terms are the times of the leases that targets get.
type Terms struct {
	// TTL is how far ahead of its clock a target's lease is set.
	TTL time.Duration
	// Drift is by how much of a lease a target's clock may be slow.
	Drift float64
	// Margin is added to every wait for the end of a lease.
	Margin time.Duration
	// Wait is how long a renewal waits at the target for an end.
	Wait time.Duration
	// Call bounds a start, a stop and a pace.
	Call time.Duration
	// Silent is how old a target's last heartbeat may be for new work.
	Silent time.Duration
	// Settle is how long after an order a run that ends by it may be in
	// neither list of the target.
	Settle time.Duration
	// Keep is how long ended jobs are known.
	Keep time.Duration
}

// DefaultTerms returns the times that a leader starts with.
func DefaultTerms() Terms {
	return Terms{
		TTL:    4500 * time.Millisecond,
		Drift:  0.03,
		Margin: 400 * time.Millisecond,
		Wait:   1200 * time.Millisecond,
		Call:   400 * time.Millisecond,
		Silent: 4 * time.Second,
		Settle: 1500 * time.Millisecond,
		Keep:   180 * time.Second,
	}
}
