// Package lease implements both sides of a time-bounded lease between a
// granter and a holder whose clocks run at nearly the same rate but need not
// agree on the time.
//
// The holder measures the lease from the time it sent the request. The granter
// measures it from the time it received the request and adds a margin for
// clock drift. A request is always received after it was sent, so the lease
// expires at the holder before it expires at the granter, however long the
// request or its response is delayed.
package lease

import (
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/pkg/shard"
)

// Clock returns the current time of a clock that never goes backwards. time.Now
// qualifies, because its result carries a monotonic reading.
type Clock func() time.Time

// Config holds the lease parameters shared by the holder and the granter.
type Config struct {
	// TTL is how long the lease is valid at the holder, measured from the
	// sending of a request that was granted.
	TTL time.Duration
	// Margin is added to TTL by the granter to allow for clock drift.
	Margin time.Duration
}

// Holder is the side that holds the lease. The zero value holds no lease. It is
// safe for concurrent use.
type Holder struct {
	mu     sync.Mutex
	expiry time.Time
}

// Extend renews the lease after the granter has answered a request that was
// sent at the given time. A late or out-of-order response never shortens the
// lease.
func (h *Holder) Extend(sent time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if expiry := sent.Add(ttl); expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// Expiry returns when the lease expires, in terms of the holder's clock.
func (h *Holder) Expiry() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.expiry
}

// IsValid reports whether the lease is valid at the given time.
func (h *Holder) IsValid(now time.Time) bool {
	return now.Before(h.Expiry())
}

// Release releases the lease.
func (h *Holder) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiry = time.Time{}
}

// Granter is the side that grants leases, at most one per key.
type Granter[K comparable] struct {
	config Config
	// lastRenewal holds the time of the latest granted request of each key.
	lastRenewal *shard.Map[K, time.Time]
}

// NewGranter returns a granter without any leases.
func NewGranter[K comparable](config Config) *Granter[K] {
	return &Granter[K]{
		config:      config,
		lastRenewal: shard.NewMap[K, time.Time](),
	}
}

// Config returns the lease parameters given to NewGranter.
func (g *Granter[K]) Config() Config {
	return g.config
}

// Grant grants or renews the key's lease for a request received at the given
// time. It has no effect if a request received later has already been granted.
func (g *Granter[K]) Grant(key K, received time.Time) {
	g.lastRenewal.Update(key, func(last time.Time, found bool) (time.Time, bool) {
		if found && received.Before(last) {
			return last, true
		}
		return received, true
	})
}

// Expiry returns the time from which the key's lease is certain to have expired
// at the holder, and whether the key has a lease.
func (g *Granter[K]) Expiry(key K) (time.Time, bool) {
	last, ok := g.lastRenewal.Get(key)
	return last.Add(g.config.TTL + g.config.Margin), ok
}

// Remove removes the key and its lease.
func (g *Granter[K]) Remove(key K) {
	g.lastRenewal.Delete(key)
}

// EachExpired calls visit for every key whose lease is certain to have expired
// at the holder.
func (g *Granter[K]) EachExpired(now time.Time, visit func(key K)) {
	g.lastRenewal.Range(func(key K, last time.Time) bool {
		if !now.Before(last.Add(g.config.TTL + g.config.Margin)) {
			visit(key)
		}
		return true
	})
}
