// Package intake bounds the memory that a process uses for the bodies of requests.
// A gate counts the bytes of all bodies that are being received, decoded or
// forwarded, and refuses what exceeds its budget. It reads no clock of its own and
// uses no network; Reader connects it with net/http.
package intake

import (
	"container/list"
	"sync"
	"time"
)

// Reason says why a body was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonTooLarge is a body over the limit, and ReasonDecoded one whose decoded
	// form is.
	ReasonTooLarge Reason = "too-large"
	ReasonDecoded  Reason = "decoded-too-large"
	// ReasonBudget, ReasonAddress and ReasonKey name the budget that is used up:
	// that of the gate, of the client's address, or of its key.
	ReasonBudget  Reason = "budget"
	ReasonAddress Reason = "address"
	ReasonKey     Reason = "key"
	// ReasonCalls is the limit of the bytes in calls to the leader.
	ReasonCalls Reason = "calls"
	// ReasonEvicted is a body that was closed in favour of others, because it had
	// been incomplete for the longest time.
	ReasonEvicted Reason = "evicted"
	// ReasonStalled is a body without progress, and ReasonTimeout one that was not
	// whole in time.
	ReasonStalled Reason = "stalled"
	ReasonTimeout Reason = "timeout"
	// ReasonBroken is a body that ended early or is malformed.
	ReasonBroken Reason = "broken"
)

// Budget bounds the bytes that a gate admits.
type Budget struct {
	// Bytes bounds all bodies, and LargeBytes those over SmallBody together. The
	// difference is kept for small bodies, so that ordinary requests are served
	// while large ones use up their part.
	Bytes      int64
	LargeBytes int64
	SmallBody  int64
	// AddressBytes and KeyBytes bound the large bodies of one client address and of
	// one key. Small bodies are not counted, because a load balancer sends those of
	// many clients from one address.
	AddressBytes int64
	KeyBytes     int64
	// CallBytes bounds the text of the large bodies that are complete, which wait in
	// calls to the leader. The leader gets as much from each instance.
	CallBytes int64
	// EvictAfter is how long a body must have been incomplete before it may be
	// closed in favour of others.
	EvictAfter time.Duration
}

const (
	// requestOverhead is counted for each request in addition to its body: its part
	// of the goroutine and the decoded request.
	requestOverhead = 512
	// Of a budget, reserveDivisor-1 parts of reserveDivisor are for large bodies.
	reserveDivisor = 4
	// An address may use 3/4 of a budget, and a key 1/2.
	addressPercent = 75
	keyPercent     = 50
	// defaultSmallBody is several times the size of an ordinary job.
	defaultSmallBody = 16 << 10
	// maxDecodeFactor is how many times SmallBody a request with a small body may need
	// until it is answered and still count as small.
	maxDecodeFactor = 8
	// defaultEvictAfter is longer than ordinary clients take to send a body.
	defaultEvictAfter = time.Second
)

// NewBudget returns a budget of the total bytes with default parts, of which each is
// large enough for one body that needs as many bytes as single, and without a limit of
// calls.
func NewBudget(total, single int64) Budget {
	large := total - total/reserveDivisor
	single = min(single, large)
	return Budget{
		Bytes:        total,
		LargeBytes:   large,
		SmallBody:    defaultSmallBody,
		AddressBytes: max(min(large, total/100*addressPercent), single),
		KeyBytes:     max(total/100*keyPercent, single),
		CallBytes:    total,
		EvictAfter:   defaultEvictAfter,
	}
}

// Gate admits the bodies of requests within a budget. Its methods may be called
// concurrently.
type Gate struct {
	name   string
	budget Budget

	mu sync.Mutex
	// used counts all bytes, large those of large bodies, and calls the text of large
	// bodies that are complete.
	used, large, calls int64
	// addresses and keys count the bytes of large bodies.
	addresses map[string]int64
	keys      map[string]int64
	// receiving has the incomplete requests, the oldest in front.
	receiving *list.List
}

// NewGate returns a gate without requests. The name appears in logs and metrics.
func NewGate(name string, budget Budget) *Gate {
	return &Gate{
		name:      name,
		budget:    budget,
		addresses: map[string]int64{},
		keys:      map[string]int64{},
		receiving: list.New(),
	}
}

// Client identifies the sender of a request. An empty key is not limited.
type Client struct {
	Address string
	Key     string
}

// Ticket is the reservation of one request.
type Ticket struct {
	gate    *Gate
	client  Client
	started time.Time
	// abort ends the receipt of the body. It must not block.
	abort func()

	// The following are protected by the gate's lock.
	bytes    int64
	text     int64
	large    bool
	complete bool
	evicted  bool
	released bool
	element  *list.Element
}

// Open returns the reservation of a request whose body starts to arrive. Abort is
// called, with the gate's lock held, if the request is evicted.
func (g *Gate) Open(client Client, now time.Time, abort func()) (*Ticket, Reason) {
	t := &Ticket{
		gate:    g,
		client:  client,
		started: now,
		abort:   abort,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.grow(t, requestOverhead, false, now); reason != "" {
		return nil, reason
	}
	t.element = g.receiving.PushBack(t)
	return t, ""
}

// Grow raises the reservation to the bytes, if it is lower. It returns the reason
// if that is refused, and evicts other requests where this makes room.
func (t *Ticket) Grow(bytes int64, now time.Time) Reason {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.evicted {
		return ReasonEvicted
	}
	bytes += requestOverhead
	return t.gate.grow(t, bytes, t.large || bytes > t.gate.budget.SmallBody, now)
}

// Complete records that the body is complete, with the bytes of its text, which excludes
// it from eviction, and raises the reservation to what the request needs until it is
// answered.
func (t *Ticket) Complete(text, bytes int64, now time.Time) Reason {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.evicted {
		return ReasonEvicted
	}
	bytes += requestOverhead
	large := t.large || bytes > maxDecodeFactor*g.budget.SmallBody
	switch {
	case large && g.exceedsAlways(t, bytes):
		return ReasonDecoded
	case large && g.calls+text > g.budget.CallBytes:
		return ReasonCalls
	}
	if reason := g.grow(t, bytes, large, now); reason != "" {
		return reason
	}
	t.complete = true
	t.text = text
	g.receiving.Remove(t.element)
	if t.large {
		g.calls += t.text
	}
	return ""
}

// IsEvicted reports whether the request was evicted.
func (t *Ticket) IsEvicted() bool {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.evicted
}

func (t *Ticket) isLarge() bool {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.large
}

// Release ends the reservation. It may be called again.
func (t *Ticket) Release() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.release(t)
}

// BytesInFlight returns the reserved bytes.
func (g *Gate) BytesInFlight() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used
}

// EvictOldest evicts at most n incomplete requests, those that have been incomplete
// for the longest time first, and returns how many. It is used when there are too
// many connections.
func (g *Gate) EvictOldest(n int, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	evicted := 0
	for evicted < n && g.evictOne(nil, now, func(*Ticket) bool { return true }) {
		evicted++
	}
	return evicted
}

// exceedsAlways reports whether no large request of the client could reserve the
// bytes. The lock must be held.
func (g *Gate) exceedsAlways(t *Ticket, bytes int64) bool {
	b := &g.budget
	limit := min(b.LargeBytes, b.AddressBytes)
	if t.client.Key != "" {
		limit = min(limit, b.KeyBytes)
	}
	return bytes > limit
}

// grow raises the reservation to the bytes, if it is lower. A large one counts
// towards the limits of large bodies. The lock must be held.
func (g *Gate) grow(t *Ticket, bytes int64, large bool, now time.Time) Reason {
	bytes = max(bytes, t.bytes)
	if bytes == t.bytes && large == t.large {
		return ""
	}
	for {
		reason, matches := g.exceeded(t, bytes, large)
		if reason == "" {
			break
		}
		if !g.evictOne(t, now, matches) {
			return reason
		}
	}
	g.add(t, -1)
	t.bytes = bytes
	t.large = large
	g.add(t, 1)
	return ""
}

// exceeded returns the limit that the reservation would exceed, and which requests
// count towards it. The lock must be held.
func (g *Gate) exceeded(t *Ticket, bytes int64, large bool) (Reason, func(*Ticket) bool) {
	more := bytes - t.bytes
	if g.used+more > g.budget.Bytes {
		return ReasonBudget, func(*Ticket) bool { return true }
	}
	if !large {
		return "", nil
	}
	if !t.large {
		more = bytes
	}
	switch {
	case t.client.Key != "" && g.keys[t.client.Key]+more > g.budget.KeyBytes:
		return ReasonKey, func(o *Ticket) bool { return o.large && o.client.Key == t.client.Key }
	case g.addresses[t.client.Address]+more > g.budget.AddressBytes:
		return ReasonAddress, func(o *Ticket) bool { return o.large && o.client.Address == t.client.Address }
	case g.large+more > g.budget.LargeBytes:
		return ReasonBudget, func(o *Ticket) bool { return o.large }
	}
	return "", nil
}

// evictOne evicts the oldest incomplete request that matches, other than t, and
// reports whether there was one that is old enough. The lock must be held.
func (g *Gate) evictOne(t *Ticket, now time.Time, matches func(*Ticket) bool) bool {
	for e := g.receiving.Front(); e != nil; e = e.Next() {
		other, _ := e.Value.(*Ticket)
		if now.Sub(other.started) < g.budget.EvictAfter {
			return false
		}
		if other == t || !matches(other) {
			continue
		}
		other.evicted = true
		g.release(other)
		other.abort()
		return true
	}
	return false
}

// release ends a reservation. The lock must be held.
func (g *Gate) release(t *Ticket) {
	if t.released {
		return
	}
	t.released = true
	g.add(t, -1)
	if t.complete && t.large {
		g.calls -= t.text
	}
	if !t.complete {
		g.receiving.Remove(t.element)
	}
}

// add adds the reservation to the counts, with sign 1 or -1. The lock must be held.
func (g *Gate) add(t *Ticket, sign int64) {
	bytes := sign * t.bytes
	g.used += bytes
	if !t.large {
		return
	}
	g.large += bytes
	addTo(g.addresses, t.client.Address, bytes)
	if t.client.Key != "" {
		addTo(g.keys, t.client.Key, bytes)
	}
}

// addTo adds to a count, and removes it when it is zero.
func addTo(counts map[string]int64, key string, bytes int64) {
	counts[key] += bytes
	if counts[key] == 0 {
		delete(counts, key)
	}
}
