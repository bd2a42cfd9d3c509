// Package rate tells which events of a source exceed its rate limit. It keeps one
// token bucket for each source and delays nothing: the caller decides what becomes of
// an event over the limit. The same events give the same answers again, so that the
// buckets can be rebuilt from a record of the events.
package rate

import "time"

// Limit is the rate that a source may use, in events.
type Limit struct {
	// PerSecond is the rate at which the bucket is refilled. A source without a
	// positive rate is unlimited.
	PerSecond float64
	// Burst is how many events a full bucket holds. It counts as one if it is less.
	Burst float64
}

// Meter has the token buckets of many sources. The zero value is ready for use. It is
// not safe for concurrent use.
type Meter[S comparable] struct {
	buckets map[S]*bucket
}

// bucket holds the tokens that were left at a time.
type bucket struct {
	tokens float64
	at     time.Time
}

// Exceeds records an event of the source and reports whether it exceeds the limit. An
// event over the limit takes no token, so a source that goes on too fast still gets its
// rate. A time before that of the last event counts as that time.
func (m *Meter[S]) Exceeds(source S, limit Limit, at time.Time) bool {
	if limit.PerSecond <= 0 {
		return false
	}
	size := max(1, limit.Burst)
	b := m.buckets[source]
	if b == nil {
		b = &bucket{
			tokens: size,
			at:     at,
		}
		if m.buckets == nil {
			m.buckets = map[S]*bucket{}
		}
		m.buckets[source] = b
	}
	if elapsed := at.Sub(b.at); elapsed > 0 {
		b.tokens += elapsed.Seconds() * limit.PerSecond
		b.at = at
	}
	b.tokens = min(b.tokens, size)
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// Forget removes the buckets of the sources that are not in use. A source that returns
// has a full bucket.
func (m *Meter[S]) Forget(inUse func(S) bool) {
	for source := range m.buckets {
		if !inUse(source) {
			delete(m.buckets, source)
		}
	}
}
