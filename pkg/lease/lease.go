// Package lease gives both sides of a time-bounded lease between a granter
// and a holder whose clocks run at nearly the same rate but share no origin.
//
// The holder counts its lease from the moment it sent the request; the
// granter counts from the moment it received it and adds a margin for drift.
// Since a request is received after it was sent, the granter's count always
// ends later, whatever the delay of the request or of its answer.
package lease

import (
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/pkg/shard"
)

// Clock reads a clock that never steps back. time.Now fits, as Go's time
// carries a monotonic reading.
type Clock func() time.Time

// Terms are what both sides agree on.
type Terms struct {
	// TTL is how long the holder may act after it sent a request that was
	// answered.
	TTL time.Duration
	// Margin is what the granter adds for the drift of the two clocks.
	Margin time.Duration
}

// Holder is the side that acts under the lease. Its zero value holds none.
type Holder struct {
	mu    sync.Mutex
	until time.Time
}

// Extend takes a granted request that was sent at the given time. An answer
// that comes late or out of order never shortens the lease.
func (h *Holder) Extend(sent time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := sent.Add(ttl); until.After(h.until) {
		h.until = until
	}
}

// Until returns when the lease ends by the holder's own clock.
func (h *Holder) Until() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until
}

// Live tells whether the holder may act at the given time.
func (h *Holder) Live(now time.Time) bool {
	return now.Before(h.Until())
}

// Drop gives the lease up.
func (h *Holder) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Time{}
}

// Granter is the side that grants leases, one for each key.
type Granter[K comparable] struct {
	terms Terms
	last  *shard.Map[K, time.Time]
}

// NewGranter returns a granter that has granted nothing.
func NewGranter[K comparable](terms Terms) *Granter[K] {
	return &Granter[K]{
		terms: terms,
		last:  shard.NewMap[K, time.Time](),
	}
}

// Terms returns the terms that the granter was made with.
func (g *Granter[K]) Terms() Terms {
	return g.terms
}

// Grant renews the lease of the key for a request received at the given
// time. An older time than one already granted changes nothing.
func (g *Granter[K]) Grant(key K, received time.Time) {
	g.last.Update(key, func(last time.Time, found bool) (time.Time, bool) {
		if found && received.Before(last) {
			return last, true
		}
		return received, true
	})
}

// End returns when the lease of the key has surely ended, and whether one
// was ever granted.
func (g *Granter[K]) End(key K) (time.Time, bool) {
	last, ok := g.last.Get(key)
	return last.Add(g.terms.TTL + g.terms.Margin), ok
}

// Forget drops the key.
func (g *Granter[K]) Forget(key K) {
	g.last.Delete(key)
}

// Ended calls visit for every key whose lease has surely ended.
func (g *Granter[K]) Ended(now time.Time, visit func(key K)) {
	g.last.Each(func(key K, last time.Time) bool {
		if !now.Before(last.Add(g.terms.TTL + g.terms.Margin)) {
			visit(key)
		}
		return true
	})
}
